import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import ENGINE, config, send, turn_headers, wait_until

pytestmark = pytest.mark.anyio

SHARED_TOKENS = 13_000


async def turns(rig, gateways, prefixes):
    """Send a turn of its own session for each prefix through each gateway."""
    for prefix in range(prefixes):
        for number, gateway in enumerate(gateways):
            parts = f"shared{prefix}:{SHARED_TOKENS},own{prefix}{number}:500"
            name = f"{prefix}-{number}"
            fields = turn_headers(name, name, Prompt_Prefix=parts)
            assert_that(
                (await send(rig, "/turn/1", fields, b"p", gateway=gateway)).status_code, Equals(200)
            )


def engines_of(rig, prefix):
    """Return the engines that ran a prefix's turns."""
    return {
        name
        for name, replica in rig.replicas.items()
        for run in replica.runs
        if run.request_id.startswith(f"{prefix}-")
    }


@pytest.fixture
async def gateways(rig):
    for number in range(6):
        await rig.add_replica(f"e{number}", "engine")
    return [await rig.add_gateway(f"g{number}") for number in range(4)]


async def test_gateways_send_an_unknown_prefix_to_the_same_engines(rig, gateways):
    await turns(rig, gateways, 12)
    found = [engines_of(rig, prefix) for prefix in range(12)]
    assert_that(max(map(len, found)), LessThan(3))
    assert_that(len(set.union(*found)), GreaterThan(2))


async def test_prefixes_that_do_not_fit_stay_on_few_engines(rig, gateways):
    """The engine's memory holds two prefixes beside the rest: six prefixes share the engines."""
    small = {**ENGINE, "kvCapacity": 4 * SHARED_TOKENS}
    rig.configure({**config(version=2), "services": [{"name": "engine", "engine": small}]})
    for gateway in gateways:
        await wait_until(lambda gateway=gateway: gateway.config.current.version == 2)
    await turns(rig, gateways, 6)
    await turns(rig, gateways, 6)
    found = [engines_of(rig, prefix) for prefix in range(6)]
    assert_that(max(map(len, found)), LessThan(4))
    assert_that(len(set.union(*found)), GreaterThan(2))
