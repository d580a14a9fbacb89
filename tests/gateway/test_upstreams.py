import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import FailureDomain, ServiceName, UpstreamId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import UpstreamEntry
from skylarkferry_gateway.upstreams import Upstream, Upstreams

pytestmark = pytest.mark.anyio


def entry(name="u1", **fields):
    values = {
        "upstream": UpstreamId(name),
        "service": ServiceName("s"),
        "address": "127.0.0.1:1",
        "failure_domain": FailureDomain("a"),
        "slots": 4,
        "is_leaving": False,
    }
    return UpstreamEntry(**{**values, **fields})


class IdleConnection:
    """Connection whose abort makes another request take the next idle one."""

    def __init__(self, upstream, reusable):
        self.upstream = upstream
        self.reusable = reusable
        self.is_aborted = False

    def is_reusable(self, now, limit_s):
        return self.reusable

    async def abort(self):
        self.is_aborted = True
        if self.upstream.idle:
            self.upstream.idle.pop()


async def test_close_idle_ignores_connections_acquired_meanwhile():
    upstream = Upstream(entry())
    upstream.idle = [IdleConnection(upstream, reusable) for reusable in (False, False, True)]
    stale = upstream.idle[:2]
    await upstream.close_idle(0.0)
    assert_that([connection.is_aborted for connection in stale], Equals([True, True]))
    assert_that(upstream.idle, Equals([]))


async def test_missing_entry_is_removed_at_once_except_after_an_outage():
    upstreams = Upstreams()
    upstreams.update([entry("u1"), entry("u2")], 0.0)
    removed = upstreams.update([entry("u2")], 0.5)
    assert_that([item.entry.upstream for item in removed], Equals(["u1"]))
    recovered_at = 0.5 + defaults.LIST_OUTAGE_S + 0.1
    assert_that(upstreams.update([], recovered_at), Equals([]))
    assert_that(upstreams.update([], recovered_at + 1.0), Equals([]))
    removed_later = upstreams.update([], recovered_at + defaults.LAPSED_ENTRY_KEEP_S)
    assert_that([item.entry.upstream for item in removed_later], Equals(["u2"]))


async def test_leaving_upstream_accepts_no_requests_and_has_no_grace_period():
    upstreams = Upstreams()
    upstreams.update([entry("u1", is_leaving=True)], 0.0)
    assert_that(upstreams.for_service(ServiceName("s"))[0].accepts_requests, Equals(False))
    assert_that(len(upstreams.update([], 10.0)), Equals(1))


def upstream_of(upstreams):
    return upstreams.for_service(ServiceName("s"))[0]


# Guards against an upstream that gets requests again although it is leaving.
async def test_late_entry_of_the_same_start_does_not_replace_a_later_one():
    upstreams = Upstreams()
    upstreams.update([entry(born_ms=5, sequence=12, is_leaving=True)], 0.0)
    late = entry(born_ms=5, sequence=11)
    assert_that(upstreams.update([late], 0.5), Equals([]))
    assert_that(upstream_of(upstreams).accepts_requests, Equals(False))
    assert_that(upstreams.outdated, Equals([late]))
    upstreams.update([entry(born_ms=5, sequence=13, is_leaving=True)], 1.0)
    assert_that((upstreams.outdated, upstream_of(upstreams).entry.sequence), Equals(([], 13)))


async def test_late_entry_of_an_upstream_that_is_gone_does_not_list_it_again():
    upstreams = Upstreams()
    upstreams.update([entry(born_ms=5, sequence=12)], 0.0)
    upstreams.update([], 0.5)
    upstreams.update([entry(born_ms=5, sequence=11)], 1.0)
    assert_that(upstreams.for_service(ServiceName("s")), Equals([]))
    upstreams.update([entry(born_ms=5, sequence=13)], 1.5)  # it had lapsed
    assert_that(upstream_of(upstreams).accepts_requests, Equals(True))


@pytest.mark.parametrize("fields", [{"born_ms": 6}, {"born_ms": 5, "software_version": "v2"}])
async def test_entry_of_another_start_counts_anew(fields):
    upstreams = Upstreams()
    upstreams.update([entry(born_ms=5, sequence=12, is_leaving=True)], 0.0)
    upstreams.update([entry(sequence=1, **fields)], 0.5)
    assert_that(upstream_of(upstreams).accepts_requests, Equals(True))


async def test_entries_without_a_start_time_are_not_compared():
    upstreams = Upstreams()
    upstreams.update([entry(sequence=12, is_leaving=True)], 0.0)
    upstreams.update([entry(sequence=1)], 0.5)
    assert_that(upstream_of(upstreams).accepts_requests, Equals(True))
