"""Queues of the shards that this gateway coordinates: what upstreams get now, and what waits."""

import math
import random
from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from skylarkferry_admission.decisions import Reject, RunHere
from skylarkferry_admission.estimates import (
    MAX_SLOWER,
    CompletionEstimates,
    Estimate,
    Outcome,
    Work,
)
from skylarkferry_admission.memory_reservations import MemoryNeed, MemoryReservations
from skylarkferry_admission.queues import Capacity, QueuedRequest, ShardQueue
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CustomerId, ProgramId, ServiceName, UpstreamId
from skylarkferry_core.outcome_counts import suspects
from skylarkferry_core.routes import ServiceSpec
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.coordinator import PlacementCoordinator
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.placement_messages import (
    Answer,
    Ended,
    Enqueue,
    Message,
    PlacementQuery,
    Queued,
    QueueTerms,
    Rejected,
)
from skylarkferry_gateway.upstream_views import AttemptOutcome
from skylarkferry_gateway.upstreams import Upstream

_SLOTS_PER_EXTRA = 12
"""An engine gets one request more than it has slots for each of so many slots.

The next request is then there when one ends, instead of a round trip later.
"""
_MAX_PROGRAMS = 20_000
"""Programs that are remembered; those of several minutes at a shard's planned load."""
_REPORT_INTERVAL_S = 10.0
"""Interval between log lines about the error of estimates, and about one kind of bad input."""
_LAST_PRIORITY = 9
_MAX_TIME_LEFT_S = 60.0
_DAY_S = 86_400.0
_NUMBERS_PER_MESSAGE = 500
"""Numbers in one message that requests wait; they fit into a datagram."""

Key = tuple[str, int]
"""Address of the asking gateway, and the number of its attempt."""
Program = tuple[CustomerId, ProgramId]
Outgoing = tuple[str, Message]


class _Waiting(msgspec.Struct, frozen=True):
    """A request of another gateway that waits."""

    query: PlacementQuery
    request: QueuedRequest
    program: Program


class _Placed(msgspec.Struct, frozen=True):
    """An attempt at an upstream, and what was expected of it."""

    answer: Answer
    service: ServiceName
    upstream: UpstreamId
    work: Work
    requests: int
    slots: int
    estimate: Estimate


class _Shard:
    """The queue of one shard; ``waiting`` holds what the queue refers to by key."""

    def __init__(self, rng: random.Random) -> None:
        self.queue = ShardQueue(rng)
        self.waiting: dict[Key, _Waiting] = {}


class ShardQueues:
    """Decide which requests run, which wait and which are rejected.

    Upstreams get what fits into their slots and memory, and a little more.  Each method returns the
    messages to send; nothing is sent here.
    """

    def __init__(
        self,
        coordinator: PlacementCoordinator,
        rng: random.Random,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.coordinator = coordinator
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.shards: dict[tuple[ServiceName, int, int], _Shard] = {}
        self.estimates: dict[ServiceName, CompletionEstimates] = {}
        self.memory = MemoryReservations()
        self.placed: dict[Key, _Placed] = {}
        self.begun: OrderedDict[Program, None] = OrderedDict()
        self.reported_at: dict[str, float] = {}

    @property
    def is_waiting(self) -> bool:
        """Return whether any request waits."""
        return any(shard.waiting for shard in self.shards.values())

    def ask(self, sender: str, message: Enqueue, now: float) -> list[Outgoing]:
        """Answer a question at once if its request fits; let it wait or reject it otherwise.

        A question may be repeated, as its answer may have been lost.
        """
        query, key = message.query, (sender, message.number)
        spec = self._spec(query)
        members = self._usable(query)
        if spec is None or not members or self.coordinator.is_stopping:
            return [(sender, Answer(message.number))]
        name = (query.service, query.shard, query.shards)
        shard = self.shards.setdefault(name, _Shard(self.rng))
        if key in shard.waiting:
            return [(sender, Queued((message.number,)))]
        if key in self.placed:
            return [(sender, self.placed[key].answer)]
        waiting = self._waiting(key, query, message.terms, now)
        if not shard.waiting:
            answer = self._place(key, waiting, spec, now)
            if answer is not None:
                shard.queue.on_placed(waiting.request, now)
                return [(sender, answer)]
        capacity = self._capacity(query, spec, now)
        decision = shard.queue.add(waiting.request, capacity, now)
        if isinstance(decision, Reject):
            return [self._reject(key, waiting, decision, len(shard.waiting))]
        shard.waiting[key] = waiting
        outgoing = self._decide(shard, now) if self._has_free_slot(query, spec, now) else []
        if key in shard.waiting:
            outgoing.append((sender, Queued((message.number,))))
        return outgoing

    def _waiting(self, key: Key, query: PlacementQuery, terms: QueueTerms, now: float) -> _Waiting:
        self._report_bad_terms(query, terms, now)
        program = (terms.customer, query.program_id)
        estimates = self._estimates(query.service)
        return _Waiting(
            query,
            QueuedRequest(
                key=key,
                arrived_at=now,
                deadline_at=now + min(max(0.0, query.time_left_s), _MAX_TIME_LEFT_S),
                finish_at=now + min(max(-_MAX_TIME_LEFT_S, terms.finish_s), _MAX_TIME_LEFT_S),
                work_s=estimates.mean_service_s(),
                target_latency_s=terms.target_latency_s,
                priority=terms.priority,
                is_begun=terms.is_begun or program in self.begun,
                customer=terms.customer,
                quota_per_s=terms.quota_per_s,
            ),
            program,
        )

    def _report_bad_terms(self, query: PlacementQuery, terms: QueueTerms, now: float) -> None:
        is_odd_time = any(
            math.isnan(value) or value < 0 or _DAY_S <= value < math.inf
            for value in (query.time_left_s, terms.finish_s)
        )
        is_odd_priority = not 0 <= terms.priority <= _LAST_PRIORITY
        if (is_odd_time or is_odd_priority) and self._is_due("terms", now):
            self.log.emit(
                EventKind.GATEWAY_TERMS_BOUNDED,
                query.program_id,
                service=query.service,
                priority=terms.priority,
                left_s=query.time_left_s,
                finish_s=terms.finish_s,
            )

    def _is_due(self, report: str, now: float) -> bool:
        if now - self.reported_at.get(report, -math.inf) < _REPORT_INTERVAL_S:
            return False
        self.reported_at[report] = now
        return True

    def decide(self, now: float) -> list[Outgoing]:
        """Return the messages of all decisions that are due."""
        outgoing: list[Outgoing] = []
        for name, shard in list(self.shards.items()):
            outgoing += self._decide(shard, now)
            if not shard.waiting and name[2] != len(self.coordinator.upstreams.shards(name[0])):
                del self.shards[name]  # the number of shards has changed
        return outgoing

    def _decide(self, shard: _Shard, now: float) -> list[Outgoing]:
        if not shard.waiting:
            return []
        query = next(iter(shard.waiting.values())).query
        spec = self._spec(query)
        if spec is None or self.coordinator.is_stopping or not self._usable(query, is_any=True):
            return self._return_all(shard)
        outgoing: list[Outgoing] = []
        is_full = False

        def choose(request: QueuedRequest) -> UpstreamId | None:
            nonlocal is_full
            key, waiting = _key(request), shard.waiting[_key(request)]
            answer = None if is_full else self._place(key, waiting, spec, now)
            if answer is None:
                is_full = is_full or not self._has_free_slot(waiting.query, spec, now)
                return None
            outgoing.append((key[0], answer))
            return answer.upstream

        capacity = self._capacity(query, spec, now)
        for request, decision in shard.queue.decide(capacity, now, choose):
            waiting = shard.waiting.pop(_key(request))
            if isinstance(decision, RunHere):
                self.metrics.queue_wait.observe(now - request.arrived_at)
            elif isinstance(decision, Reject):
                queued = len(shard.waiting)
                outgoing.append(self._reject(_key(request), waiting, decision, queued))
        return outgoing

    def _return_all(self, shard: _Shard) -> list[Outgoing]:
        """Answer that no upstream can be chosen here; the gateways ask another coordinator."""
        keys = list(shard.waiting)
        for key in keys:
            shard.queue.remove(key)
        shard.waiting.clear()
        return [(sender, Answer(number)) for sender, number in keys]

    def _reject(self, key: Key, waiting: _Waiting, decision: Reject, queued: int) -> Outgoing:
        self.metrics.queue_rejections.labels(reason=decision.reason.value).inc()
        sender, number = key
        rejected = Rejected(
            number,
            decision.reason,
            decision.retry_after_s,
            waiting.request.work_s,
            self._estimates(waiting.query.service).errors.p95_s,
            queued,
        )
        return sender, rejected

    def _place(self, key: Key, waiting: _Waiting, spec: ServiceSpec, now: float) -> Answer | None:
        """Choose an upstream that the request fits into and let it have the request.

        Upstreams that fail, or that take much longer than the best one, are left alone as long as
        the others can be waited for.
        """
        query = waiting.query
        usable = self._usable(query)
        healthy = self._healthy(usable, now) or usable
        if not healthy:
            return None
        estimates = {
            item.entry.upstream: self._estimate(query, item, spec, now) for item in healthy
        }
        longest_s = MAX_SLOWER * min(item.completion_s for item in estimates.values())
        need = _memory_need(query)
        fit = {
            item.entry.upstream
            for item in healthy
            if self._fits(item, need, spec, now)
            and estimates[item.entry.upstream].completion_s <= longest_s
        }
        unfit = [item.entry.upstream for item in usable if item.entry.upstream not in fit]
        if len(unfit) == len(usable):
            return None
        fitting = msgspec.structs.replace(query, excluded=(*query.excluded, *unfit))
        answer = self.coordinator.place(*key, fitting, now)
        if not answer.upstream:
            return None
        self._on_placed(key, waiting, answer, estimates[answer.upstream], spec)
        return answer

    def _on_placed(
        self,
        key: Key,
        waiting: _Waiting,
        answer: Answer,
        estimate: Estimate,
        spec: ServiceSpec,
    ) -> None:
        query = waiting.query
        upstream = self.coordinator.upstreams.upstreams[answer.upstream]
        work = Work(query.prompt_tokens - answer.cached_tokens, query.output_tokens)
        slots = _slots(upstream, spec)
        self.placed[key] = _Placed(
            answer, query.service, answer.upstream, work, answer.requests, slots, estimate
        )
        self.memory.reserve(key, answer.upstream, _memory_need(query))
        if query.program_id:
            _remember(self.begun, waiting.program)

    def _healthy(self, usable: list[Upstream], now: float) -> list[Upstream]:
        suspected = suspects(
            {item.entry.upstream: item.shared.outcome_counts for item in usable}, now
        )
        return [
            item
            for item in usable
            if item.entry.upstream not in suspected and item.shared.breaker.allows(now)
        ]

    def _fits(self, item: Upstream, need: MemoryNeed, spec: ServiceSpec, now: float) -> bool:
        if not self._is_free(item, spec, now):
            return False
        if spec.engine is None:
            return True
        return self.memory.fits(item.entry.upstream, need, spec.engine.kv_tokens)

    def _is_free(self, item: Upstream, spec: ServiceSpec, now: float) -> bool:
        slots = _slots(item, spec)
        return item.shared.requests(now) < slots + math.ceil(slots / _SLOTS_PER_EXTRA)

    def _has_free_slot(self, query: PlacementQuery, spec: ServiceSpec, now: float) -> bool:
        return any(self._is_free(item, spec, now) for item in self._usable(query, is_any=True))

    def _estimate(
        self, query: PlacementQuery, item: Upstream, spec: ServiceSpec, now: float
    ) -> Estimate:
        cached = item.shared.prompt_cache.cached(query.prompt_parts)
        work = Work(query.prompt_tokens - cached, query.output_tokens)
        requests = item.shared.requests(now)
        estimates = self._estimates(query.service)
        return estimates.estimate(item.entry.upstream, work, requests, _slots(item, spec))

    def _capacity(self, query: PlacementQuery, spec: ServiceSpec, now: float) -> Capacity:
        estimates = self._estimates(query.service)
        mean_s = estimates.mean_service_s()
        slots = sum(
            _slots(item, spec) * min(mean_s / estimates.service_s(item.entry.upstream), 1.0)
            for item in self._usable(query, is_any=True)
        )
        errors = estimates.errors
        return Capacity(slots, errors.low_ratio if errors.is_known else None)

    def _estimates(self, service: ServiceName) -> CompletionEstimates:
        return self.estimates.setdefault(service, CompletionEstimates())

    def _spec(self, query: PlacementQuery) -> ServiceSpec | None:
        return self.coordinator.service(query)

    def _usable(self, query: PlacementQuery, *, is_any: bool = False) -> list[Upstream]:
        """Return the upstreams for a request, or with ``is_any`` for any request of its shard."""
        excluded = () if is_any else query.excluded
        return [
            item
            for item in self.coordinator.members(query)
            if item.accepts_requests and item.entry.upstream not in excluded
        ]

    def end(self, sender: str, ended: Ended, now: float) -> list[Outgoing]:
        """Record how an attempt ended, or that a request does not wait any more."""
        key = (sender, ended.number)
        self._withdraw(key)
        placed = self.placed.pop(key, None)
        self.memory.release(key)
        if placed is not None:
            self._learn(placed, ended)
        self.coordinator.end(sender, ended, now)
        return self.decide(now) if self.is_waiting else []

    def _withdraw(self, key: Key) -> None:
        for shard in self.shards.values():
            if shard.waiting.pop(key, None) is not None:
                shard.queue.remove(key)

    def _learn(self, placed: _Placed, ended: Ended) -> None:
        estimates = self._estimates(placed.service)
        if ended.load is not None and ended.load.slowdown is not None:
            estimates.report_slowdown(placed.upstream, ended.load.slowdown)
        speed = ended.speed
        if speed is None or ended.outcome is not AttemptOutcome.SERVED:
            return
        completion_s = speed.prefill_s + speed.decode_s
        estimates.errors.observe(placed.estimate.completion_s, completion_s)
        outcome = Outcome(placed.work, placed.requests, placed.slots, speed.prefill_s, completion_s)
        estimates.observe(placed.upstream, outcome, speed.output_tokens)
        self.log.emit(
            EventKind.GATEWAY_ESTIMATE_CHECKED,
            upstream=placed.upstream,
            requests=placed.requests,
            estimated_ms=round(placed.estimate.completion_s * 1_000),
            actual_ms=round(min(completion_s, _DAY_S) * 1_000),
        )

    def waiting_news(self) -> list[Outgoing]:
        """Return messages that tell each gateway which of its requests wait."""
        numbers: dict[str, list[int]] = {}
        for shard in self.shards.values():
            for sender, number in shard.waiting:
                numbers.setdefault(sender, []).append(number)
        return [
            (sender, Queued(part)) for sender, found in numbers.items() for part in _parts(found)
        ]

    def sweep(self, now: float) -> None:
        """Forget attempts that the coordinator has forgotten; report the error of estimates."""
        for key in [key for key in self.placed if key not in self.coordinator.attempts]:
            del self.placed[key]
            self.memory.release(key)
        listed = set(self.coordinator.upstreams.upstreams)
        queued = sum(len(shard.waiting) for shard in self.shards.values())
        self.metrics.queue_length.set(queued)
        for service, estimates in self.estimates.items():
            estimates.forget(listed)
            errors = estimates.errors
            for quantile, error_s in (("0.5", errors.p50_s), ("0.95", errors.p95_s)):
                self.metrics.estimate_error.labels(service=service, quantile=quantile).set(error_s)
            if errors.outcomes and self._is_due(service, now):
                self.log.emit(
                    EventKind.GATEWAY_ESTIMATE_ERROR,
                    service=service,
                    outcomes=errors.outcomes,
                    p50_ms=round(errors.p50_s * 1_000),
                    p95_ms=round(errors.p95_s * 1_000),
                    low_ratio=round(errors.low_ratio, 2),
                    rejects=errors.is_known,
                    queued=queued,
                )


def _key(request: QueuedRequest) -> Key:
    key = request.key
    assert isinstance(key, tuple)
    return key


def _slots(item: Upstream, spec: ServiceSpec) -> int:
    return spec.engine.slots if spec.engine is not None else item.shared.slots


def _memory_need(query: PlacementQuery) -> MemoryNeed:
    parts = {part.part_id: part.tokens for part in query.prompt_parts}
    own_tokens = query.prompt_tokens - sum(parts.values()) + query.output_tokens
    return MemoryNeed(parts, max(own_tokens, 0))


def _remember(programs: OrderedDict[Program, None], program: Program) -> None:
    programs[program] = None
    programs.move_to_end(program)
    if len(programs) > _MAX_PROGRAMS:
        programs.popitem(last=False)


def _parts(numbers: list[int]) -> Iterator[tuple[int, ...]]:
    for start in range(0, len(numbers), _NUMBERS_PER_MESSAGE):
        yield tuple(numbers[start : start + _NUMBERS_PER_MESSAGE])
