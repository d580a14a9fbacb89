import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from gateway_rig import TIMEOUT_S, headers, large_config, send, wait_until
from slow_link import SMALL_LINK_MBPS, slow_store

pytestmark = pytest.mark.anyio

APPLY_S = 3.0
"""Longest time until a confirmed configuration is in force, on deployments with such links."""
APPLY_BYTES = APPLY_S * SMALL_LINK_MBPS * 1e6 / 8
"""What the link can pass in this time; it counts as the time, also while the host is busy."""


# Guards against an old configuration on small links.
@pytest.mark.parametrize("route_count", [5_601, 18_000])
async def test_gateway_on_a_small_link_applies_a_large_configuration_in_time(rig, route_count):
    address, link = await slow_store(rig)
    await rig.add_replica("r1")
    gateway = await rig.add_gateway("g1", address)
    rig.configure(large_config(route_count, 2))
    passed_bytes = link.passed_bytes
    lost_s = []
    with anyio.fail_after(TIMEOUT_S):
        while gateway.config.current.version != 2:
            lost_s.append(gateway.store.unavailable_s())
            assert_that(link.passed_bytes - passed_bytes, LessThan(APPLY_BYTES))
            await anyio.sleep(0.02)
    assert_that(max(lost_s), Equals(0.0))
    answer = await send(rig, "/newest/1", headers("x"), method="GET")
    assert_that(answer.status_code, Equals(200))


# Guards against gateways on small links that never serve after a restart.
async def test_gateway_that_starts_on_a_small_link_gets_a_large_configuration(rig):
    address, _ = await slow_store(rig)
    await rig.add_replica("r1")
    rig.configure(large_config(5_601, 2))
    first = await rig.add_gateway("g1", address)
    first.scope.cancel()
    await first.ended.wait()
    second = await rig.add_gateway("g1", address)
    await wait_until(second.is_ready)
    answer = await send(rig, "/newest/1", headers("x"), method="GET", gateway=second)
    assert_that(answer.status_code, Equals(200))


async def test_large_configuration_is_fetched_once_for_each_version(rig):
    address, link = await slow_store(rig)
    gateway = await rig.add_gateway("g1", address)
    rig.configure(large_config(5_601, 2))
    version_bytes = len(rig.store.rows["op", "", "config"].value)
    passed_bytes = link.passed_bytes
    await wait_until(lambda: gateway.config.current.version == 2)
    await anyio.sleep(1.5)
    assert_that(link.passed_bytes - passed_bytes, LessThan(version_bytes * 1.1))


async def test_newest_version_is_applied_after_many_large_ones(rig):
    address, link = await slow_store(rig)
    gateway = await rig.add_gateway("g1", address)
    for version in range(2, 12):
        rig.configure(large_config(3_000, version))
        await anyio.sleep(0.2)
    passed_bytes = link.passed_bytes
    await wait_until(lambda: gateway.config.current.version == 11)
    assert_that(link.passed_bytes - passed_bytes, LessThan(APPLY_BYTES))
