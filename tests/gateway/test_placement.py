import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import ENGINE, config, send, turn_headers, wait_until

pytestmark = pytest.mark.anyio

SHARED_TOKENS = 13_000


async def send_turns(rig, gateways, prefixes):
    """Send one turn in a separate session per prefix and gateway."""
    for prefix in range(prefixes):
        for number, gateway in enumerate(gateways):
            parts = f"shared{prefix}:{SHARED_TOKENS},own{prefix}{number}:500"
            name = f"{prefix}-{number}"
            fields = turn_headers(name, name, Prompt_Prefix=parts)
            assert_that(
                (await send(rig, "/turn/1", fields, b"p", gateway=gateway)).status_code, Equals(200)
            )


def engines_of(rig, prefix):
    """Return the names of the engines that executed a prefix's turns."""
    return {
        name
        for name, replica in rig.replicas.items()
        for run in replica.runs
        if run.request_id.startswith(f"{prefix}-")
    }


@pytest.fixture
async def gateways(rig, monkeypatch):
    """Four gateways before six engines that all seem equally fast, however busy the machine is."""
    for number in range(6):
        await rig.add_replica(f"e{number}", "engine")
    gateways = [await rig.add_gateway(f"g{number}") for number in range(4)]
    for gateway in gateways:
        for placer in (gateway.context.selector.placer, gateway.coordinator.placer):
            monkeypatch.setattr(placer.speeds, "observe", lambda *observed: None)
    return gateways


async def set_engine_memory(rig, gateways, tokens):
    """Set the memory of all engines and wait until all gateways know it."""
    engine = {**ENGINE, "kvCapacity": tokens}
    rig.configure({**config(version=2), "services": [{"name": "engine", "engine": engine}]})
    for gateway in gateways:
        await wait_until(lambda gateway=gateway: gateway.config.current.version == 2)


async def test_gateways_send_an_unknown_prefix_to_the_same_engines(rig, gateways):
    """An engine has room for all twelve prefixes; each is sent to its first homes only."""
    await set_engine_memory(rig, gateways, 30 * SHARED_TOKENS)
    await send_turns(rig, gateways, 12)
    engines = [engines_of(rig, prefix) for prefix in range(12)]
    assert_that(max(map(len, engines)), LessThan(3))
    assert_that(len(set.union(*engines)), GreaterThan(2))


async def test_prefixes_that_do_not_fit_stay_on_few_engines(rig, gateways):
    """An engine has room for two of the six prefixes, so each prefix is kept by few engines."""
    await set_engine_memory(rig, gateways, 4 * SHARED_TOKENS)
    await send_turns(rig, gateways, 6)
    await send_turns(rig, gateways, 6)
    engines = [engines_of(rig, prefix) for prefix in range(6)]
    assert_that(max(map(len, engines)), LessThan(4))
    assert_that(len(set.union(*engines)), GreaterThan(2))
