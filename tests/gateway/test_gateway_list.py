import math

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import wait_until
from skylarkferry_core.ids import NodeId
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.gateway_list import GatewayList, GatewayMember
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_platform.store import PlatformStore
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio


def gateway_list(rig, node):
    log = EventLog(NodeId(node), 100)
    store = PlatformStore(rig.store_address, log, GatewayMetrics())
    return GatewayList(store, NodeId(node), GatewayMember(f"{node}.example:1", 1.0), log)


async def test_gateway_has_no_time_slots_until_all_others_have_read_its_row(rig):
    gateway = gateway_list(rig, "g1")
    await gateway.send_heartbeat()
    joined_at = anyio.current_time()
    assert_that(gateway.time_slots("r1", joined_at), Equals(None))
    others_read_at = joined_at + defaults.GATEWAY_HEARTBEAT_S
    assert_that(gateway.time_slots("r1", others_read_at), Equals(None))
    assert_that(gateway.time_slots("r1", others_read_at + 2.0).gateways, Equals(1))


async def test_restarted_gateway_has_its_time_slots_at_once(rig):
    await gateway_list(rig, "g1").send_heartbeat()
    restarted = gateway_list(rig, "g1")
    await restarted.send_heartbeat()
    assert_that(restarted.time_slots("r1", anyio.current_time()).gateways, Equals(1))


async def test_gateways_have_different_time_slots_at_an_upstream(rig):
    gateways = [gateway_list(rig, f"g{number}") for number in range(5)]
    for _ in range(2):
        for gateway in gateways:
            await gateway.send_heartbeat()
    now = anyio.current_time() + 2 * defaults.GATEWAY_HEARTBEAT_S
    slots = [gateway.time_slots("r1", now) for gateway in gateways]
    assert_that(sorted(item.index for item in slots), Equals([0, 1, 2, 3, 4]))


async def test_gateway_that_ended_leaves_the_list_after_three_reads(rig):
    gateway, ended = gateway_list(rig, "g1"), gateway_list(rig, "g2")
    await ended.send_heartbeat()
    sizes = []
    for _ in range(5):
        await gateway.send_heartbeat()
        sizes.append(len(gateway.nodes))
    assert_that(sizes, Equals([2, 2, 2, 1, 1]))


@pytest.mark.parametrize("fault", [StoreFault.LOST, StoreFault.REFUSED])
async def test_heartbeat_repeats_a_call_that_failed(rig, fault):
    gateway = gateway_list(rig, "g1")
    faults = [fault] * 3
    rig.store.fault = lambda request: faults.pop() if faults else StoreFault.NONE
    await gateway.send_heartbeat()
    assert_that(gateway.nodes, Equals(("g1",)))


async def test_list_stays_as_it_is_while_the_store_is_away(rig):
    gateway, other = gateway_list(rig, "g1"), gateway_list(rig, "g2")
    await other.send_heartbeat()
    await gateway.send_heartbeat()
    rig.store.fault = lambda request: StoreFault.REFUSED
    for _ in range(5):
        await gateway.send_heartbeat()
    assert_that(gateway.nodes, Equals(("g1", "g2")))


async def test_row_of_a_gateway_that_ended_long_ago_is_deleted(rig, monkeypatch):
    monkeypatch.setattr("skylarkferry_gateway.gateway_list._DELETE_AFTER_READS", 4)
    first, second, ended = (gateway_list(rig, f"g{number}") for number in range(3))
    await ended.send_heartbeat()
    for _ in range(8):
        await first.send_heartbeat()
        await second.send_heartbeat()
    rows = [rig.store.value("gateways", "", f"g{number}") for number in range(3)]
    assert_that([row is not None for row in rows], Equals([True, True, False]))


async def test_running_gateways_count_each_other(rig, monkeypatch):
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 0.1)
    gateways = [await rig.add_gateway(f"g{number}") for number in range(3)]
    await wait_until(lambda: all(len(gateway.gateways.nodes) == 3 for gateway in gateways))


async def test_gateway_is_counted_until_others_may_have_taken_it_off_their_lists(rig):
    """Guards against a share of quotas that the others have divided among themselves."""
    await gateway_list(rig, "g1").send_heartbeat()
    gateway = gateway_list(rig, "g1")
    await gateway.send_heartbeat()
    now = anyio.current_time()
    found = [gateway.is_counted(now + later_s) for later_s in (0.0, 12.0, 12.6)]
    assert_that(found, Equals([True, True, False]))


async def test_gateway_that_others_may_have_dropped_waits_until_they_have_read_its_row(rig):
    await gateway_list(rig, "g1").send_heartbeat()
    gateway = gateway_list(rig, "g1")
    await gateway.send_heartbeat()
    gateway.updated_at -= 13.0  # as after an outage
    await gateway.send_heartbeat()
    now = anyio.current_time()
    assert_that([gateway.is_counted(now + s) for s in (0.0, 6.1)], Equals([False, True]))


async def test_gateways_that_join_together_know_each_other_before_the_next_heartbeat(rig):
    gateways = [gateway_list(rig, f"g{number}") for number in range(3)]
    for gateway in gateways:
        await gateway.send_heartbeat()
    found = [gateway.has_read_own for gateway in gateways]
    for gateway in gateways:
        await gateway.read_joined()
    sizes = [len(gateway.nodes) for gateway in gateways]
    assert_that((found, sizes), Equals(([False] * 3, [3, 3, 3])))


async def test_early_reads_take_no_gateway_off_the_list(rig):
    """Guards against reads between heartbeats that count as heartbeats without an update."""
    await gateway_list(rig, "g2").send_heartbeat()
    gateway = gateway_list(rig, "g1")
    await gateway.send_heartbeat()
    for _ in range(5):
        await gateway.read_joined()
    assert_that(gateway.nodes, Equals(("g1", "g2")))


async def test_row_without_a_link_has_the_bytes_of_earlier_versions(rig):
    await gateway_list(rig, "g1").send_heartbeat()
    row = rig.store.value("gateways", "", "g1")
    assert_that(msgspec.msgpack.decode(row), Equals(["g1.example:1", 1.0]))


async def test_rows_with_and_without_a_link_are_read(rig):
    """Guards against gateways of two versions that take each other's rows for malformed."""
    gateway, other, older = (gateway_list(rig, name) for name in ("g1", "g2", "g3"))
    gateway.member = GatewayMember("127.0.0.1:1", 1.0, 4e6)
    other.member = GatewayMember("127.0.0.1:2", 1.0, 40e6)
    older.member = GatewayMember("127.0.0.1:3", 2.0)
    for item in (other, older, gateway, gateway):
        await item.send_heartbeat()
    assert_that(gateway.unreadable, Equals(set()))
    shares = gateway.peer_shares()
    expected = {"127.0.0.1:1": 0.1, "127.0.0.1:2": 0.5, "127.0.0.1:3": 1.0}
    assert_that(shares, Equals(expected))


@pytest.mark.parametrize("link", [-1.0, math.nan, math.inf, "wide"])
async def test_row_with_a_malformed_link_names_no_gateway(rig, link):
    gateway = gateway_list(rig, "g1")
    row = msgspec.msgpack.encode(("127.0.0.1:2", 1.0, link))
    rig.store.put("gateways", "", "g2", row)
    await gateway.send_heartbeat()
    assert_that((set(gateway.members), gateway.unreadable), Equals(({"g1"}, {"g2"})))
