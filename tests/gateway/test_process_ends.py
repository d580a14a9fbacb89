"""Lost attempts and the ends of processes that they are counted as."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.crashes import CrashRegistry
from skylarkferry_core.ids import FailureDomain, Fingerprint, NodeId, ServiceName, UpstreamId
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.crash_reports import CrashReport, CrashReports
from skylarkferry_gateway.messages import UpstreamEntry
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.process_ends import EndSpan, end_name

pytestmark = pytest.mark.anyio

CONTENT = Fingerprint("content")
ENTRY = UpstreamEntry(
    UpstreamId("u1"), ServiceName("tools"), "10.0.0.1:80", FailureDomain("a"), 4, False, 1_000
)
RESTARTED = msgspec.structs.replace(ENTRY, born_ms=2_000)
OTHER = msgspec.structs.replace(ENTRY, upstream=UpstreamId("u2"))


def crash_reports():
    log = EventLog(NodeId("g1"), 1_000)
    return CrashReports(None, CrashRegistry(3), log, GatewayMetrics())


def add_ends(reports, *attempts):
    """Record lost attempts in this order and return the number of crashes that they count as."""
    for number, (entry, alive_at, gone_by) in enumerate(attempts):
        reports.add_end(CONTENT, entry, EndSpan(alive_at, gone_by), f"id-{number}")
    return len(reports.registry.crashes[CONTENT])


@pytest.mark.parametrize(
    ("attempts", "ends"),
    [
        # One process; the attempts began one after the other.
        ([(ENTRY, 0.0, 3.0), (ENTRY, 1.0, 3.1), (ENTRY, 2.9, 3.2)], 1),
        # Silent: one attempt waits for its time limit longer than the others.
        ([(ENTRY, 0.0, 1.0), (ENTRY, 0.5, 9.0), (ENTRY, 0.9, 4.0)], 1),
        # The process is back at once, while its entry is stale.
        ([(ENTRY, 0.0, 1.0), (ENTRY, 1.1, 2.0), (ENTRY, 2.1, 3.0)], 3),
        # The same, but the first loss is explained last.
        ([(ENTRY, 2.1, 3.0), (ENTRY, 1.1, 2.0), (ENTRY, 0.0, 1.0)], 3),
        # Two processes, three attempts at each.
        ([(ENTRY, 0.0, 1.0), (ENTRY, 0.1, 1.1)] * 3 + [(ENTRY, 2.0, 3.0)] * 3, 2),
        # The list knew of the other process, whose attempts overlap with those of the first.
        ([(ENTRY, 0.0, 3.0), (RESTARTED, 1.0, 4.0)], 2),
        # Other upstreams end at the same time.
        ([(ENTRY, 0.0, 3.0), (OTHER, 0.0, 3.0)], 2),
    ],
)
async def test_attempts_count_as_one_crash_only_if_one_process_can_have_run_them(attempts, ends):
    assert_that(add_ends(crash_reports(), *attempts), Equals(ends))


@pytest.mark.parametrize(("alive_at", "ends"), [(0.5, 1), (1.5, 2)])
async def test_end_that_another_gateway_reported_counts_once(alive_at, ends):
    reports = crash_reports()
    known_at = EndSpan(gone_by=1.0)
    reports.add(CrashReport(CONTENT, end_name(ENTRY, 0)), "", known_at)
    assert_that(add_ends(reports, (ENTRY, alive_at, 2.0)), Equals(ends))
