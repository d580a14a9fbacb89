import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import headers, send, wait_until
from skylarkferry_core.events import EventKind
from skylarkferry_gateway import defaults
from skylarkferry_standins.replica import Behaviour

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def fast_gateway_list(monkeypatch):
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 0.1)


async def add_gateway(rig):
    """Add a gateway and wait until it may send to upstreams with a limit."""
    gateway = await rig.add_gateway()
    await wait_until(lambda: gateway.gateways.time_slots("r1", anyio.current_time()) is not None)
    return gateway


def logged(gateway, kind, *names):
    """Return these fields of a gateway's events of one kind."""
    events = [event for event in gateway.log.ring if event.number == kind.number]
    return [tuple(event.fields[name] for name in names) for event in events]


async def send_with_report(rig, **report):
    """Let the replica report this with its next response, and send one request."""
    rig.replicas["r1"].report = {name.replace("_", "-"): value for name, value in report.items()}
    return await send(rig, "/once/1", headers(f"id-{rig.arrivals()}"))


async def test_limit_is_logged_when_it_begins_changes_and_ends(rig):
    await rig.add_replica("r1")
    gateway = await add_gateway(rig)
    for report in (
        {},
        {"Server_Limit": "1000"},
        {"Server_Limit": "1000"},
        {"Server_Limit": "2000.5"},
        {},
    ):
        await send_with_report(rig, **report)
    changes = logged(gateway, EventKind.GATEWAY_LIMIT_CHANGED, "before", "after")
    assert_that(changes, Equals([("none", "1000"), ("1000", "2000.5"), ("2000.5", "none")]))


async def test_malformed_limit_changes_nothing_and_is_logged_once(rig):
    await rig.add_replica("r1")
    gateway = await add_gateway(rig)
    await send_with_report(rig, Server_Limit="1000")
    for _ in range(3):
        await send_with_report(rig, Server_Limit="many")
    assert_that(gateway.upstreams.upstreams["r1"].limit.per_s, Equals(1000.0))
    refused = logged(gateway, EventKind.GATEWAY_REPORT_REFUSED, "upstream", "detail")
    assert_that(refused, Equals([("r1", "server-limit: b'many'")]))


async def test_report_of_another_process_at_the_address_is_not_applied(rig):
    replica = await rig.add_replica("r1")
    gateway = await add_gateway(rig)
    replica.behaviour = lambda request: Behaviour.MISDIRECT
    await send_with_report(rig, Server_Limit="1000")
    assert_that(gateway.upstreams.upstreams["r1"].limit, Equals(None))


async def test_report_in_a_late_response_to_another_request_is_not_applied(rig):
    replica = await rig.add_replica("r1")
    gateway = await add_gateway(rig)
    replica.behaviour = lambda request: Behaviour.STALE_FIRST
    replica.stale_report = {"Server-Limit": "1000"}
    response = await send_with_report(rig)
    limit = gateway.upstreams.upstreams["r1"].limit
    assert_that((response.status_code, limit), Equals((200, None)))


async def test_new_process_of_an_upstream_begins_without_a_limit(rig):
    await rig.add_replica("r1")
    gateway = await add_gateway(rig)
    await send_with_report(rig, Server_Limit="1000")
    rig.register_replica("r1", born=2)
    await gateway.upstream_watcher.read()
    assert_that(gateway.upstreams.upstreams["r1"].limit, Equals(None))


async def test_malformed_slowdown_is_logged_once_and_the_load_stays_in_force(rig):
    await rig.add_replica("r1")
    gateway = await add_gateway(rig)
    for load in ("3,0,4,slow", "2,0,4,slow"):
        await send_with_report(rig, Skylarkferry_Server_Load=load)
    view = gateway.upstreams.upstreams["r1"].local
    assert_that((view.other_requests, view.slowdown.is_reported), Equals((1.0, False)))
    refused = logged(gateway, EventKind.GATEWAY_REPORT_REFUSED, "upstream", "detail")
    detail = "skylarkferry-server-load: slowdown b'slow'"
    assert_that(refused, Equals([("r1", detail)]))


async def test_reported_slowdown_is_logged_with_the_choice_and_shown_by_service(rig):
    await rig.add_replica("r1")
    gateway = await add_gateway(rig)
    for _ in range(2):
        await send_with_report(rig, Skylarkferry_Server_Load="1,0,4,250")
    placed = [
        event.fields.get("slowdown")
        for event in gateway.log.ring
        if event.number == EventKind.GATEWAY_PLACED.number
    ]
    assert_that(placed, Equals([None, "2.5"]))
    shown = b'skylarkferry_gateway_slowdown{service="tools"} 2.5'
    await wait_until(lambda: shown in gateway.metrics.text())


async def test_slowdown_that_contradicts_the_speed_is_logged(rig):
    await rig.add_replica("r1")
    gateway = await add_gateway(rig)
    slowdown = gateway.upstreams.upstreams["r1"].local.slowdown
    slowdown.measured.count, slowdown.corrected.square = 1_000, 10.0
    await send_with_report(rig, Skylarkferry_Server_Load="1,0,4,250")
    doubted = logged(gateway, EventKind.GATEWAY_SLOWDOWN_DOUBTED, "upstream", "doubted")
    assert_that(doubted, Equals([("r1", "True")]))
