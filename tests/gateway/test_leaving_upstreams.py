"""Upstreams that say in their responses that they are leaving."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength

from gateway_rig import (
    ROUTES,
    config,
    forget_connections,
    headers,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.events import EventKind
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio

LEAVING = {"Server-Leaving": "1"}
PATHS = {"/once/1": "tools", "/turn/1": "engine", "/resume/1": "engine"}


async def add_replicas(rig, service="tools", names=("r1", "r2")):
    for name in names:
        await rig.add_replica(name, service)


def request_headers(path, request_id):
    return headers(request_id) if path.startswith("/once") else turn_headers(request_id)


async def send_until_heard(rig, gateway, path="/once/1", name="r1"):
    """Let a replica say that it is leaving, and send until it has said so to a gateway."""
    replica = rig.replicas[name]
    replica.report = LEAVING
    before = len(replica.received_ids)
    while len(replica.received_ids) == before:
        forget_connections(gateway)
        fields = request_headers(path, f"heard-{rig.arrivals()}")
        await send(rig, path, fields, b"p", gateway=gateway)
    return len(replica.received_ids)


async def send_several(rig, gateway, path="/once/1", count=8, **fields):
    """Send requests and return their status codes."""
    statuses = []
    for number in range(count):
        request_id = f"{gateway.settings.node}-{rig.arrivals()}-{number}"
        merged = {**request_headers(path, request_id), **fields}
        forget_connections(gateway)
        statuses.append((await send(rig, path, merged, b"p", gateway=gateway)).status_code)
    return statuses


@pytest.mark.parametrize(("path", "service"), list(PATHS.items()))
async def test_upstream_that_says_it_leaves_gets_no_new_requests(rig, path, service):
    await add_replicas(rig, service)
    gateway = await rig.add_gateway()
    arrivals = await send_until_heard(rig, gateway, path)
    assert_that(await send_several(rig, gateway, path), Equals([200] * 8))
    assert_that(rig.replicas["r1"].received_ids, HasLength(arrivals))


async def test_leaving_is_obeyed_while_the_store_is_away(rig):
    await add_replicas(rig)
    gateway = await rig.add_gateway()
    rig.store.fault = lambda request: StoreFault.SILENT
    arrivals = await send_until_heard(rig, gateway)
    assert_that(await send_several(rig, gateway), Equals([200] * 8))
    assert_that(rig.replicas["r1"].received_ids, HasLength(arrivals))


async def test_gateway_that_has_not_heard_it_sends_on(rig):
    await add_replicas(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    arrivals = await send_until_heard(rig, first)
    await send_several(rig, second, count=16)
    heard_by_second = len(rig.replicas["r1"].received_ids)
    assert_that(heard_by_second, GreaterThan(arrivals))
    await send_several(rig, first)
    await send_several(rig, second)
    assert_that(rig.replicas["r1"].received_ids, HasLength(heard_by_second))


async def test_later_list_that_shows_it_as_ready_changes_nothing(rig):
    await add_replicas(rig)
    gateway = await rig.add_gateway()
    arrivals = await send_until_heard(rig, gateway)
    rig.register_replica("r1", sequence=2)
    await gateway.upstream_watcher.read()
    await send_several(rig, gateway)
    rig.store.delete("servers", "", "r1")
    await gateway.upstream_watcher.read()
    rig.register_replica("r1", sequence=3)
    await gateway.upstream_watcher.read()
    assert_that(await send_several(rig, gateway), Equals([200] * 8))
    assert_that(rig.replicas["r1"].received_ids, HasLength(arrivals))


async def test_new_process_at_the_address_gets_requests(rig):
    await add_replicas(rig)
    gateway = await rig.add_gateway()
    arrivals = await send_until_heard(rig, gateway)
    rig.replicas["r1"].report = {}
    rig.register_replica("r1", born=2)
    await gateway.upstream_watcher.read()
    await send_several(rig, gateway, count=16)
    assert_that(len(rig.replicas["r1"].received_ids), GreaterThan(arrivals))


async def test_stream_of_a_leaving_upstream_is_relayed_to_its_end(rig):
    await add_replicas(rig, "engine", names=["r1"])
    gateway = await rig.add_gateway()
    rig.replicas["r1"].report = LEAVING
    response = await send(rig, "/turn/1", turn_headers("id-1"), b"p", gateway=gateway)
    assert_that(response.content, Contains(f"id: {EVENT_COUNT}\n".encode()))


async def test_sticky_requests_move_to_another_upstream(rig):
    await add_replicas(rig)
    rig.configure(config(2, {"/once/": {**ROUTES["/once/"], "sticky": True}}))
    gateway = await rig.add_gateway()
    affinity = {"Skylarkferry-Affinity-Key": "object-1"}
    await send_several(rig, gateway, count=1, **affinity)
    home = next(name for name, replica in rig.replicas.items() if replica.received_ids)
    rig.replicas[home].report = LEAVING
    await send_several(rig, gateway, count=1, **affinity)
    arrivals = len(rig.replicas[home].received_ids)
    assert_that(await send_several(rig, gateway, **affinity), Equals([200] * 8))
    assert_that(rig.replicas[home].received_ids, HasLength(arrivals))


async def test_retry_goes_to_no_leaving_upstream(rig):
    await add_replicas(rig)
    gateway = await rig.add_gateway()
    arrivals = await send_until_heard(rig, gateway)
    rig.replicas["r2"].behaviour = lambda request: Behaviour.SHED
    assert_that(set(await send_several(rig, gateway)), Equals({503}))
    assert_that(rig.replicas["r1"].received_ids, HasLength(arrivals))


async def test_request_is_rejected_at_once_if_all_upstreams_are_leaving(rig):
    await add_replicas(rig)
    gateway = await rig.add_gateway()
    for name in ("r1", "r2"):
        await send_until_heard(rig, gateway, name=name)
    arrivals = rig.arrivals()
    response = await send(rig, "/once/1", headers("id-last"), gateway=gateway)
    assert_that((response.status_code, rig.arrivals()), Equals((503, arrivals)))
    assert_that(float(response.headers["Retry-After"]), GreaterThan(0.0))


async def test_idle_connections_to_a_leaving_upstream_are_closed(rig):
    await add_replicas(rig)
    gateway = await rig.add_gateway()
    await send_several(rig, gateway)
    await send_until_heard(rig, gateway)
    await wait_until(lambda: not gateway.upstreams.upstreams["r1"].idle)


@pytest.mark.parametrize("report", [{"Server-Leaving": "0"}, {"Server-Leaving": "yes"}])
async def test_other_values_are_not_taken_as_leaving_and_logged_once(rig, report):
    await add_replicas(rig, names=["r1"])
    gateway = await rig.add_gateway()
    rig.replicas["r1"].report = report
    assert_that(await send_several(rig, gateway), Equals([200] * 8))
    number = EventKind.GATEWAY_REPORT_REFUSED.number
    events = [event for event in gateway.log.ring if event.number == number]
    assert_that(events, HasLength(1))


@pytest.mark.parametrize("behaviour", [Behaviour.STALE_FIRST, Behaviour.EXTRA])
async def test_late_or_extra_response_is_not_taken_as_leaving(rig, behaviour):
    await add_replicas(rig, names=["r1"])
    gateway = await rig.add_gateway()
    rig.replicas["r1"].behaviour = lambda request: behaviour
    rig.replicas["r1"].stale_report = LEAVING
    assert_that(await send_several(rig, gateway, count=3), Equals([200] * 3))


async def test_leaving_is_logged_with_its_source(rig):
    await add_replicas(rig)
    gateway = await rig.add_gateway()
    await send_until_heard(rig, gateway)
    rig.register_replica("r1", state="draining")
    rig.register_replica("r2", state="draining")
    await gateway.upstream_watcher.read()
    number = EventKind.GATEWAY_UPSTREAM_LEAVING.number
    events = [event.fields for event in gateway.log.ring if event.number == number]
    found = [(fields["upstream"], fields["source"]) for fields in events]
    assert_that(found, Equals([("r1", "response"), ("r2", "list")]))


async def test_late_heartbeat_does_not_revive_an_upstream_that_is_leaving(rig):
    await add_replicas(rig)
    gateway = await rig.add_gateway()
    rig.register_replica("r1", state="draining", sequence=12)
    await gateway.upstream_watcher.read()
    rig.register_replica("r1", sequence=11)
    for _ in range(2):
        await gateway.upstream_watcher.read()
    arrivals = len(rig.replicas["r1"].received_ids)
    assert_that(await send_several(rig, gateway), Equals([200] * 8))
    assert_that(rig.replicas["r1"].received_ids, HasLength(arrivals))
    numbers = [event.number for event in gateway.log.ring]
    assert_that(numbers.count(EventKind.GATEWAY_ENTRY_OUTDATED.number), Equals(1))
