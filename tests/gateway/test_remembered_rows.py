"""Gateways that start while the store is away and get lists from their peers."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, MatchesSetwise

from gateway_rig import config, send, turn_headers, wait_until
from skylarkferry_admission.access import CONFIRMED_WITHIN_S
from skylarkferry_core.accounts import budget_partition
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ProgramId, TurnId
from skylarkferry_core.interfaces import Row
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Changes, Snapshot
from skylarkferry_gateway.messages import Reservation
from skylarkferry_gateway.peers import PeerCallers
from skylarkferry_gateway.relayed_calls import CallOutcome
from skylarkferry_gateway.remembered_rows import RememberedRows
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio

PROGRAM = ProgramId("program")


async def lose_store(rig, gateway, fault):
    rig.store.fault = lambda request: fault
    await wait_until(lambda: gateway.store.unavailable_s() > defaults.STORE_LOST_AFTER_S)


async def start_in_outage(rig, running):
    """Start a gateway that a running one calls, as one that asks an owner at its address."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rig.add_gateway, "late")
        await wait_until(lambda: len(rig.gateways) == 2 and rig.gateways[1].is_listening)
        late = rig.gateways[1]
        reservation = Reservation(PROGRAM, 1_000, TurnId("asked"), 100)
        await running.store.peers.reserve(late.settings.peer_listen, reservation)
    return late


# Guards against a gateway that answers "no configuration" until the store is back.
@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.SILENT])
async def test_gateway_that_starts_in_an_outage_serves_with_what_its_peers_know(rig, fault):
    replica = await rig.add_replica("e1", "engine")
    running = await rig.add_gateway("running")
    fields = turn_headers("t-1", PROGRAM, 1_000)
    assert_that((await send(rig, "/turn/1", fields, b"p")).status_code, Equals(200))
    await wait_until(lambda: running.accounts.partitions and not running.owners.unlisted)
    await running.owners.refresh(anyio.current_time(), anyio.current_time() + 5)
    rig.configure(config(2))
    await wait_until(lambda: running.config.current.version == 2)
    await lose_store(rig, running, fault)
    late = await start_in_outage(rig, running)
    assert_that(late.config.current.version, Equals(2))
    fields = turn_headers("t-2", PROGRAM, 1_000)
    response = await send(rig, "/turn/1", fields, b"p", gateway=late)
    assert_that(response.status_code, Equals(200))
    assert_that(len(replica.runs), Equals(2))
    number = budget_partition(PROGRAM)
    assert_that((running.accounts.owns(number), late.accounts.owns(number)), Equals((True, False)))
    told = [
        item for item in late.log.ring if item.number == EventKind.GATEWAY_ROWS_FROM_PEER.number
    ]
    names = [Equals(name) for name in late.store.remembered.names]
    assert_that([item.fields["name"] for item in told], MatchesSetwise(*names))


# Guards against a 401 for a key of a version that neither the peer nor this gateway has read.
async def test_what_a_peer_read_earlier_does_not_confirm_the_configuration(rig):
    await rig.add_replica("e1", "engine")
    rig.configure(config(2, tenants=[{"name": "gears", "apiKeys": ["known"]}]))
    running = await rig.add_gateway("running")
    await lose_store(rig, running, StoreFault.REFUSED)
    await anyio.sleep(CONFIRMED_WITHIN_S)
    late = await start_in_outage(rig, running)
    assert_that(late.config.current.version, Equals(2))
    fields = {**turn_headers("t-1", PROGRAM, 1_000), "Authorization": "Bearer added"}
    response = await send(rig, "/turn/1", fields, b"p", gateway=late)
    assert_that(response.status_code, Equals(503))


# Guards against a gateway that keeps to what a peer remembered although the store is back.
async def test_gateway_reads_the_store_itself_once_it_is_back(rig):
    await rig.add_replica("e1", "engine")
    running = await rig.add_gateway("running")
    await lose_store(rig, running, StoreFault.REFUSED)
    late = await start_in_outage(rig, running)
    rig.configure(config(3))
    await rig.add_replica("e2", "engine")
    rig.store.fault = lambda request: StoreFault.NONE
    await wait_until(
        lambda: late.config.current.version == 3 and len(late.upstreams.upstreams) == 2
    )
    assert_that(late.store.remembered.reads.keys() >= {"servers//"}, Equals(True))


async def test_only_what_was_read_from_the_store_is_passed_on():
    remembered = RememberedRows()
    remembered.names = frozenset({"op//config", "servers//"})
    assert_that(remembered.reply("op//config").outcome, Equals(CallOutcome.REFUSED))
    remembered.borrowed.add("servers//")
    assert_that(remembered.may_borrow("servers//"), Equals(False))
    assert_that(remembered.reply("servers//").outcome, Equals(CallOutcome.REFUSED))
    remembered.keep_rows("turns/t/", [Row("turns/t/0000", b"", 1)])
    assert_that(remembered.reads, Equals({}))
    remembered.keep_snapshot("op//config", Snapshot(Row("op//config", b"one", 3), 7))
    remembered.keep_changes("op", Changes([Row("op//config", b"two", 9)], 9))
    remembered.keep_changes("op", Changes([], 11))
    reply = remembered.reply("op//config")
    assert_that((reply.rows, reply.version), Equals(([Row("op//config", b"two", 9)], 11)))


def test_callers_are_bounded_and_well_formed():
    callers = PeerCallers()
    for value in (b"", b"peer", b"127.0.0.1", b"127.0.0.1:99999", b"\xff:1", b"[::1]:80"):
        callers.add(value)
    assert_that(callers.addresses, Equals({}))
    for port in range(1, 20):
        callers.add(b"10.0.0.1:%d" % port)
    assert_that(list(callers.addresses), Equals([f"10.0.0.1:{port}" for port in range(12, 20)]))
