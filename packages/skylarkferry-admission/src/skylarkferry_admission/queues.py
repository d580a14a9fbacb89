"""The bounded queue of requests that wait for upstreams of one shard."""

import math
from collections.abc import Callable, Hashable
from random import Random

import msgspec

from skylarkferry_admission.decisions import Decision, Reject, RejectReason, RunHere, Wait
from skylarkferry_admission.fairness import DecayingSum, WorkShares
from skylarkferry_core.ids import CustomerId, UpstreamId

_LAST_PRIORITY = 9
_MAX_DELAY_S = 60.0
"""Longest time left that counts; clients may state a day, or none."""
_HELD_SHARE = 0.2
"""Share of its target latency after which a request that waits is not refused any more, unless its
deadline cannot be met; one that is refused after a quarter of it costs its caller most."""
_NEW_WAIT_SHARE = 0.1
"""Share of its slack that a new program may lose in the queue; its later turns need the rest."""
_ARRIVALS_WINDOW_S = 1.0
"""Time constant of what arrives; a few times a turn."""
_MIN_SLOTS_SHARE = 0.02
"""Least share of the slots that requests which go first are expected to leave."""
_SHARES_INTERVAL_S = 0.05
"""Interval at which customers over their shares are determined; a tenth of a usual turn."""
_QUEUED_PER_SLOT = 4
"""Requests that wait for each slot of the shard at most; several times what engines queue."""
_MIN_RETRY_S, _MAX_RETRY_S = 0.05, 2.0
_RETRY_SPREAD = (0.8, 1.6)
"""Factors between which Retry-After is spread, so that clients do not return together."""


class QueuedRequest(msgspec.Struct, frozen=True):
    """A request that an upstream is sought for; times are monotonic.

    ``finish_at`` is when its program should be done, ``work_s`` how long it takes in a slot.
    ``is_begun`` says that its program is in progress.
    """

    key: Hashable
    arrived_at: float
    deadline_at: float
    finish_at: float
    work_s: float
    target_latency_s: float
    priority: int = 0
    is_begun: bool = False
    customer: CustomerId = CustomerId("")
    quota_per_s: float | None = None


class Capacity(msgspec.Struct, frozen=True):
    """What the upstreams of a shard can do.

    ``slots`` counts them as far as they are as fast as usual.  ``low_ratio`` is the 5th percentile
    of actual to estimated time, ``None`` until enough outcomes are known for a rejection.
    """

    slots: float
    low_ratio: float | None = None


class ShardQueue:
    """Requests that wait, in the order in which they get upstreams.

    The order is: priority; customers within their shares before others, programs that are too late
    last; then the latest time at which a request has to start.  Requests of programs in progress
    are not refused for lack of capacity, those of new programs are as soon as they would have to
    wait for much of the time that they can spare.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.requests: dict[Hashable, QueuedRequest] = {}
        self.committed: set[Hashable] = set()
        self.arrivals: dict[tuple[int, int], DecayingSum] = {}
        self.work_shares = WorkShares()
        self.over: set[CustomerId] = set()
        self.over_until = -math.inf

    def add(self, request: QueuedRequest, capacity: Capacity, now: float) -> Wait | Reject:
        """Let a request wait, or reject it at once."""
        self._on_request(request, now)
        self.requests[request.key] = request
        ordered = self.ordered(now)
        ahead_s = 0.0
        for item in ordered:
            if item is request:
                break
            ahead_s += item.work_s
        rejection = self._rejection(request, ahead_s, capacity, now)
        if rejection is None and len(ordered) > self._limit(capacity):
            rejection = self._reject_for_room(request, ordered, capacity)
        if rejection is not None:
            self.remove(request.key)
            return rejection
        return Wait(now + _HELD_SHARE * request.target_latency_s)

    def _on_request(self, request: QueuedRequest, now: float) -> None:
        self.work_shares.on_request(request.customer, request.quota_per_s, now)
        arrivals = self.arrivals.setdefault(_level(request), DecayingSum())
        arrivals.add(request.work_s, now, _ARRIVALS_WINDOW_S)

    def _slots_for(self, request: QueuedRequest, capacity: Capacity, now: float) -> float:
        """Return the slots that requests which go first leave for others, by what came lately."""
        taken = sum(
            arrivals.value(now, _ARRIVALS_WINDOW_S) / _ARRIVALS_WINDOW_S
            for level, arrivals in self.arrivals.items()
            if level < _level(request)
        )
        return max(capacity.slots - taken, _MIN_SLOTS_SHARE * capacity.slots, 0.1)

    def _limit(self, capacity: Capacity) -> float:
        return max(_QUEUED_PER_SLOT * capacity.slots, 1.0)

    def _reject_for_room(
        self, request: QueuedRequest, ordered: list[QueuedRequest], capacity: Capacity
    ) -> Reject | None:
        """Return the rejection of a request that finds the queue full and goes after all others.

        Otherwise the last one has to go; ``decide`` rejects it.
        """
        if ordered[-1] is not request and len(ordered) <= 2 * self._limit(capacity):
            return None
        return self._reject(RejectReason.QUEUE_FULL, self._total_s(capacity))

    def ordered(self, now: float) -> list[QueuedRequest]:
        """Return the requests in the order in which they get upstreams."""
        if len(self.requests) < 2:
            return list(self.requests.values())
        if now >= self.over_until:
            self.over = self.work_shares.over_share(now)
            self.over_until = now + _SHARES_INTERVAL_S
        over = self.over
        return sorted(self.requests.values(), key=lambda item: self._rank(item, over, now))

    def _rank(
        self, item: QueuedRequest, over: set[CustomerId], now: float
    ) -> tuple[int, int, float, float]:
        priority = _level(item)[0]
        latest_start = self._due_at(item) - item.work_s
        if latest_start < now:
            # Otherwise a client could go first by stating a time in the past.
            return (priority, 2, latest_start, item.arrived_at)
        return (priority, int(item.customer in over), latest_start, item.arrived_at)

    def _due_at(self, item: QueuedRequest) -> float:
        return item.arrived_at + _time_left(min(item.deadline_at, item.finish_at) - item.arrived_at)

    def decide(
        self,
        capacity: Capacity,
        now: float,
        choose: Callable[[QueuedRequest], UpstreamId | None],
    ) -> list[tuple[QueuedRequest, Decision]]:
        """Return the decisions that are due, in order; their requests leave the queue.

        ``choose`` returns the upstream that a request fits into now, if there is one, and reserves
        the place.
        """
        decided: list[tuple[QueuedRequest, Decision]] = []
        if not self.requests:
            return decided
        ahead_s, kept = 0.0, 0
        limit = self._limit(capacity)
        for item in self.ordered(now):
            upstream = choose(item)
            if upstream is not None:
                decided.append((item, RunHere(upstream)))
                self._on_served(item, now)
                continue
            rejection = self._rejection(item, ahead_s, capacity, now)
            if rejection is None and kept >= limit and not self._is_committed(item, now):
                rejection = self._reject(RejectReason.QUEUE_FULL, self._total_s(capacity))
            if rejection is not None:
                decided.append((item, rejection))
                self.remove(item.key)
                continue
            kept += 1
            ahead_s += item.work_s
        return decided

    def _is_committed(self, item: QueuedRequest, now: float) -> bool:
        if now - item.arrived_at >= _HELD_SHARE * item.target_latency_s:
            self.committed.add(item.key)
        return item.key in self.committed

    def _rejection(
        self, item: QueuedRequest, ahead_s: float, capacity: Capacity, now: float
    ) -> Reject | None:
        """Return why a request that waits behind so much work is rejected, or ``None``."""
        if now >= item.deadline_at:
            return self._reject(RejectReason.DEADLINE, self._total_s(capacity))
        if capacity.low_ratio is None:
            return None
        left_s = _time_left(item.deadline_at - now)
        best_s = min(capacity.low_ratio, 1.0) * (ahead_s / max(capacity.slots, 0.1) + item.work_s)
        if best_s > left_s:
            return self._reject(RejectReason.DEADLINE, best_s - left_s)
        wait_s = ahead_s / self._slots_for(item, capacity, now)
        if min(capacity.low_ratio, 1.0) * (wait_s + item.work_s) > left_s:
            return self._reject(RejectReason.QUEUE_FULL, wait_s)
        if item.is_begun or self._is_committed(item, now):
            return None
        slack_s = self._due_at(item) - now - item.work_s
        waited_s = now - item.arrived_at
        if wait_s + waited_s > _NEW_WAIT_SHARE * max(slack_s + waited_s, 0.0):
            return self._reject(RejectReason.QUEUE_FULL, wait_s)
        return None

    def _total_s(self, capacity: Capacity) -> float:
        return sum(item.work_s for item in self.requests.values()) / max(capacity.slots, 1.0)

    def _reject(self, reason: RejectReason, drain_s: float) -> Reject:
        spread_s = drain_s * self.rng.uniform(*_RETRY_SPREAD)
        least_s = _MIN_RETRY_S * self.rng.uniform(*_RETRY_SPREAD)
        return Reject(reason, min(max(spread_s, least_s), _MAX_RETRY_S))

    def on_placed(self, request: QueuedRequest, now: float) -> None:
        """Record a request that got an upstream without waiting."""
        self._on_request(request, now)
        self._on_served(request, now)

    def _on_served(self, request: QueuedRequest, now: float) -> None:
        self.remove(request.key)
        self.work_shares.on_served(request.customer, request.work_s, now)

    def remove(self, key: Hashable) -> QueuedRequest | None:
        """Remove a request whose client or gateway left."""
        self.committed.discard(key)
        return self.requests.pop(key, None)


def _level(request: QueuedRequest) -> tuple[int, int]:
    """Return priority and stage; lower levels are served first."""
    priority = min(max(request.priority, 0), _LAST_PRIORITY)
    return priority, 0 if request.is_begun else 1


def _time_left(seconds: float) -> float:
    """Return a time left within bounds; one that is not a number counts as none."""
    return min(max(seconds, -_MAX_DELAY_S), _MAX_DELAY_S) if not math.isnan(seconds) else 0.0
