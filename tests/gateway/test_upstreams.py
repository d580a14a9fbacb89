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
