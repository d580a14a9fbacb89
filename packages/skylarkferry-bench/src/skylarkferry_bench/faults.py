"""Faults injected into a simulated run at fractions of its duration."""

from collections.abc import Callable, Mapping, Sequence

import msgspec

from skylarkferry_bench.clocks import VirtualClock
from skylarkferry_bench.upstreams import FeedSpec, Upstream
from skylarkferry_core.ids import PoolName

_SLOWDOWN = 3.0
_STALE_S = 4.0
_EVENT_LOSS = 0.3
_OUTAGE_S = 15.0
_CALLER_RETRIES = 5

Inject = Callable[[VirtualClock, Sequence[Upstream], float], None]
Shares = Callable[[float, float], Mapping[PoolName, float]]

POOL = PoolName("models")
OLD_POOL = PoolName("old-provider")
NEW_POOL = PoolName("new-provider")


def _inject_nothing(clock: VirtualClock, upstreams: Sequence[Upstream], duration_s: float) -> None:
    """Inject no fault."""


def _crash_replica(clock: VirtualClock, upstreams: Sequence[Upstream], duration_s: float) -> None:
    clock.call_at(0.4 * duration_s, upstreams[0].crash)
    clock.call_at(0.7 * duration_s, upstreams[0].recover)


def _slow_replica(clock: VirtualClock, upstreams: Sequence[Upstream], duration_s: float) -> None:
    def slow_down() -> None:
        upstreams[0].engine.slowdown = _SLOWDOWN

    clock.call_at(0.3 * duration_s, slow_down)


def _crash_all_replicas(
    clock: VirtualClock, upstreams: Sequence[Upstream], duration_s: float
) -> None:
    for upstream in upstreams:
        clock.call_at(0.4 * duration_s, upstream.crash)
        clock.call_at(0.4 * duration_s + _OUTAGE_S, upstream.recover)


def _single_pool_share(now: float, duration_s: float) -> Mapping[PoolName, float]:
    return {POOL: 1.0}


def _shift_shares(now: float, duration_s: float) -> Mapping[PoolName, float]:
    """Shift all traffic from the old pool to the new one during the middle half of the run."""
    shifted = min(max((now / duration_s - 0.25) / 0.5, 0.0), 1.0)
    return {OLD_POOL: 1.0 - shifted, NEW_POOL: shifted}


class Fault(msgspec.Struct, frozen=True):
    """A fault, the load it is injected at, and how often callers retry after a failure."""

    name: str
    inject: Inject = _inject_nothing
    load: float = 1.0
    feed: FeedSpec = FeedSpec()
    shares: Shares = _single_pool_share
    two_pools: bool = False
    caller_retries: int = 0


NO_FAULT = Fault("none")
FAULTS: Mapping[str, Fault] = {
    fault.name: fault
    for fault in (
        NO_FAULT,
        Fault("replica dies", _crash_replica),
        Fault("replica at a third of its speed", _slow_replica),
        Fault(
            "stale load reports", feed=FeedSpec(report_lag_s=_STALE_S, reports_with_outcomes=False)
        ),
        Fault("cache events with gaps", feed=FeedSpec(event_loss=_EVENT_LOSS)),
        Fault("provider leaves", load=0.5, shares=_shift_shares, two_pools=True),
        Fault("callers retry after an outage", _crash_all_replicas, caller_retries=_CALLER_RETRIES),
    )
}
