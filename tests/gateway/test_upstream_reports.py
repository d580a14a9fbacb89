import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import headers, send
from skylarkferry_core.events import EventKind
from skylarkferry_standins.replica import Behaviour

pytestmark = pytest.mark.anyio


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
    gateway = await rig.add_gateway()
    for report in (
        {},
        {"Server_Limit": "40"},
        {"Server_Limit": "40"},
        {"Server_Limit": "50.5"},
        {},
    ):
        await send_with_report(rig, **report)
    changes = logged(gateway, EventKind.GATEWAY_LIMIT_CHANGED, "before", "after")
    assert_that(changes, Equals([("none", "40"), ("40", "50.5"), ("50.5", "none")]))


async def test_malformed_limit_changes_nothing_and_is_logged_once(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    await send_with_report(rig, Server_Limit="40")
    for _ in range(3):
        await send_with_report(rig, Server_Limit="many")
    assert_that(gateway.upstreams.upstreams["r1"].limit_per_s, Equals(40.0))
    refused = logged(gateway, EventKind.GATEWAY_REPORT_REFUSED, "upstream", "detail")
    assert_that(refused, Equals([("r1", "server-limit: b'many'")]))


async def test_report_of_another_process_at_the_address_is_not_applied(rig):
    replica = await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    replica.behaviour = lambda request: Behaviour.MISDIRECT
    await send_with_report(rig, Server_Limit="40")
    assert_that(gateway.upstreams.upstreams["r1"].limit_per_s, Equals(None))


async def test_report_in_a_late_response_to_another_request_is_not_applied(rig):
    replica = await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    replica.behaviour = lambda request: Behaviour.STALE_FIRST
    replica.stale_report = {"Server-Limit": "40"}
    response = await send_with_report(rig)
    limit = gateway.upstreams.upstreams["r1"].limit_per_s
    assert_that((response.status_code, limit), Equals((200, None)))


async def test_new_process_of_an_upstream_begins_without_a_limit(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    await send_with_report(rig, Server_Limit="40")
    rig.register_replica("r1", born=2)
    await gateway.upstream_watcher.read()
    assert_that(gateway.upstreams.upstreams["r1"].limit_per_s, Equals(None))
