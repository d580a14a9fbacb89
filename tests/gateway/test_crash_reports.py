"""Crash reports in the store: shared, withdrawn and followed."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from crashing_requests import (
    CRASHES,
    add_crashing_replicas,
    assert_not_sent_any_more,
    send_crashing,
)
from gateway_rig import (
    wait_until,
)
from skylarkferry_core.ids import CrashId, Fingerprint
from skylarkferry_gateway import defaults
from skylarkferry_gateway.crash_reports import CrashReport
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio


async def test_crash_report_survives_a_store_outage(rig):
    path = "/once/1"
    await add_crashing_replicas(rig, path, Behaviour.LOSE_ANSWER)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    rig.store.fault = lambda request: (
        StoreFault.REFUSED if request.target.endswith("rows-tx") else StoreFault.NONE
    )
    for number in range(CRASHES):
        await send_crashing(rig, path, f"id-{number}", first)
    await wait_until(first.crashes.registry.quarantined)
    rig.store.fault = lambda request: StoreFault.NONE
    await assert_not_sent_any_more(rig, path, second)


async def test_completed_request_is_no_longer_suspected_at_any_gateway(rig):
    crashing = await rig.add_crashing_replica("r1", "tools", Behaviour.LOSE_ANSWER)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await send_crashing(rig, "/once/1", "id-0", first)
    await wait_until(lambda: second.crashes.registry.crashes)
    crashing.behaviour = lambda request: Behaviour.SERVE
    crashing.listener = await rig.listen(rig.addresses["r1"], rig.servers["r1"])
    await send_crashing(rig, "/once/1", "id-1", second)
    await wait_until(lambda: not first.crashes.registry.crashes)
    assert_that(second.crashes.registry.crashes, Equals({}))


async def test_withdrawn_reports_are_forgotten_by_a_gateway_that_missed_the_change(rig):
    await rig.add_crashing_replica("r1", "tools", Behaviour.LOSE_ANSWER)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await send_crashing(rig, "/once/1", "id-0", first)
    await wait_until(lambda: second.crashes.registry.crashes)
    rig.store.rows = {key: row for key, row in rig.store.rows.items() if key[0] != "crashes"}
    rig.store.put("other", "", "row", b"")
    rig.store.discard_history()
    await wait_until(lambda: not second.crashes.registry.crashes)


async def test_old_crash_reports_are_withdrawn(rig, monkeypatch):
    await rig.add_crashing_replica("r1", "tools", Behaviour.LOSE_ANSWER)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await send_crashing(rig, "/once/1", "id-0", first)
    await wait_until(lambda: second.crashes.registry.crashes)
    monkeypatch.setattr(defaults, "CRASH_KEEP_S", 0.0)
    await first.crashes.reports.withdraw_old()
    await wait_until(lambda: not second.crashes.registry.crashes)


def test_poll_on_a_dead_connection_ends_within_the_bound_for_contact():
    contact_s = 3.0
    longest_s = defaults.CRASHES_POLL_TIMEOUT_S + defaults.STORE_TIMEOUT_S
    assert_that(longest_s, LessThan(contact_s))


async def test_report_under_another_key_does_not_hold_up_the_reports_of_a_gateway(rig, monkeypatch):
    """Its own key would be longer than the store accepts, so that it could never be withdrawn."""
    await rig.add_crashing_replica("r1", "tools", Behaviour.LOSE_ANSWER)
    odd = CrashReport(Fingerprint("f" * 500), CrashId("crash"))
    rig.store.put("crashes", "", "another", msgspec.msgpack.encode(odd))
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await wait_until(lambda: first.crashes.reports.followed_version is not None)
    monkeypatch.setattr(defaults, "CRASH_KEEP_S", 0.0)
    await first.crashes.reports.withdraw_old()
    monkeypatch.undo()
    await send_crashing(rig, "/once/1", "id-0", first)
    await wait_until(lambda: second.crashes.registry.crashes.keys() - {odd.fingerprint})
