import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import FailureDomain, ServiceName, UpstreamId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import PromptPart, ReportedLoad, UpstreamEntry
from skylarkferry_gateway.upstreams import PromptCacheEstimate, Upstream, Upstreams

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
    """A connection whose end lets another request take the next one."""

    def __init__(self, upstream, fresh):
        self.upstream = upstream
        self.fresh = fresh
        self.is_aborted = False

    def is_reusable(self, now, limit_s):
        return self.fresh

    async def abort(self):
        self.is_aborted = True
        if self.upstream.idle:
            self.upstream.idle.pop()


async def test_connections_taken_while_others_are_closed_are_left_alone():
    upstream = Upstream(entry())
    upstream.idle = [IdleConnection(upstream, fresh) for fresh in (False, False, True)]
    stale = upstream.idle[:2]
    await upstream.close_idle(0.0)
    assert_that([connection.is_aborted for connection in stale], Equals([True, True]))
    assert_that(upstream.idle, Equals([]))


async def test_entry_that_vanishes_is_gone_at_once_but_not_after_an_outage():
    upstreams = Upstreams()
    upstreams.update([entry("u1"), entry("u2")], 0.0)
    gone = upstreams.update([entry("u2")], 0.5)
    assert_that([item.entry.upstream for item in gone], Equals(["u1"]))
    back_at = 0.5 + defaults.LIST_OUTAGE_S + 0.1
    assert_that(upstreams.update([], back_at), Equals([]))
    assert_that(upstreams.update([], back_at + 1.0), Equals([]))
    later = upstreams.update([], back_at + defaults.LAPSED_ENTRY_KEEP_S)
    assert_that([item.entry.upstream for item in later], Equals(["u2"]))


async def test_leaving_upstream_takes_no_work_and_keeps_no_grace():
    upstreams = Upstreams()
    upstreams.update([entry("u1", is_leaving=True)], 0.0)
    assert_that(upstreams.for_service(ServiceName("s"))[0].accepts_requests, Equals(False))
    assert_that(len(upstreams.update([], 10.0)), Equals(1))


async def test_load_of_others_is_what_the_answer_reports_beyond_our_own():
    upstream = Upstream(entry())
    upstream.in_flight = 2
    upstream.update_load(ReportedLoad(running=4, queued=3, slots=4), 1.0)
    assert_that((upstream.other_requests, upstream.requests()), Equals((5.0, 7)))


async def test_prompt_parts_count_only_from_the_front_and_the_oldest_go():
    parts = PromptCacheEstimate()
    parts.add([PromptPart("a", 100), PromptPart("b", 50)], 1_000)
    wanted = [PromptPart("a", 100), PromptPart("x", 10), PromptPart("b", 50)]
    assert_that(parts.cached(wanted), Equals(100))
    parts.add([PromptPart("c", 900)], 1_000)
    assert_that(parts.cached(wanted), Equals(0))
