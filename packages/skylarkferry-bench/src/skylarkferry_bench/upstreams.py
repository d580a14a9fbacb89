"""Simulated engine with its sidecar's queue, load reports and cache events."""

import math
from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from skylarkferry_bench.caches import CacheKey, PrefixCache
from skylarkferry_bench.clocks import VirtualClock
from skylarkferry_bench.engines import EngineCall, EngineSpec, SimulatedEngine
from skylarkferry_core.gates import KvGate
from skylarkferry_core.ids import FailureDomain, PoolName, ProgramId, RunId, UpstreamId
from skylarkferry_core.interfaces import QueuedOrder, QueueOrder
from skylarkferry_core.kv_claims import KvClaims
from skylarkferry_core.messages import CacheEvent, LoadReport, Order

_CONNECTION_RESET_S = 0.2
_REDISPATCH_S = 0.25


class FeedSpec(msgspec.Struct, frozen=True):
    """Interval and lag of load reports to entries; delay and lost fraction of cache events.

    With ``reports_with_outcomes``, each outcome also carries a current load report.
    """

    report_interval_s: float = 1.0
    report_lag_s: float = 0.1
    event_delay_s: float = 0.5
    event_loss: float = 0.0
    reports_with_outcomes: bool = True


class Pending(msgspec.Struct):
    """An accepted order with its engine call."""

    queued: QueuedOrder
    call: EngineCall


LoadListener = Callable[["Upstream", LoadReport, float], None]
EventListener = Callable[["Upstream", list[CacheEvent]], None]
HeldListener = Callable[[float], None]


class Upstream:
    """A model replica and its sidecar."""

    def __init__(
        self,
        *,
        name: UpstreamId,
        pool: PoolName,
        domain: FailureDomain,
        clock: VirtualClock,
        spec: EngineSpec,
        order: QueueOrder,
        gate: KvGate | None,
        ends_at_deadline: bool,
        feed: FeedSpec,
        random: Random,
        on_held: HeldListener,
    ) -> None:
        self.name = name
        self.pool = pool
        self.domain = domain
        self.clock = clock
        self.spec = spec
        self.order = order
        self.gate = gate
        self.ends_at_deadline = ends_at_deadline
        self.redispatch_scheduled = False
        self.claims = KvClaims()
        self.feed = feed
        self.random = random
        self.engine = SimulatedEngine(
            clock, spec, PrefixCache(spec.kv_tokens, on_held, self._on_cache_change)
        )
        self.queue: list[Pending] = []
        self.running: dict[int, Pending] = {}
        self.is_down = False
        self.sequence = 0
        self.changes: dict[CacheKey, int] = {}
        self.load_listeners: list[LoadListener] = []
        self.event_listeners: list[EventListener] = []
        clock.call_later(random.uniform(0, feed.report_interval_s), self._report_state)

    def enqueue(self, order: Order, call: EngineCall) -> None:
        """Queue an order; if the replica is down, fail it like a reset connection."""
        if self.is_down:
            self.clock.call_later(_CONNECTION_RESET_S, lambda: call.on_failure(call))
            return
        if self.gate is not None:
            self.engine.cache.pin(call.run, math.inf)
        self.queue.append(Pending(QueuedOrder(order, self.clock.now), call))
        self._dispatch()

    def finish(self, call: EngineCall) -> None:
        """Free the slot of a call that the engine has completed."""
        pending = self.running.pop(id(call))
        tokens = call.prompt_tokens + call.output_tokens
        self.claims.ended(pending.queued.order, tokens, self.clock.now)
        self._dispatch()

    def release(self, program_id: ProgramId, run_id: RunId | None = None) -> None:
        """Free the KV memory of a program, or of one of its runs."""
        self.engine.cache.release(program_id, self.clock.now, run_id)
        self.claims.released(program_id, run_id)

    def crash(self) -> None:
        """Drop all queued and running calls and the cache."""
        self.is_down = True
        lost = [pending.call for pending in self.queue] + self.engine.fail_all()
        self.queue.clear()
        self.claims = KvClaims()
        self.running.clear()
        for call in lost:
            self.clock.call_later(_CONNECTION_RESET_S, partial(call.on_failure, call))

    def recover(self) -> None:
        """Accept orders again, with an empty cache."""
        self.is_down = False

    def current_load(self) -> LoadReport:
        """Return the exact current load."""
        queued = [pending.queued.order for pending in self.queue]
        engine = self.engine
        prefill = sum(call.remaining_prefill_tokens for call in engine.prefilling)
        held = [self.running[id(call)].queued.order for call in engine.waiting]
        prefill += sum(order.prefill_tokens for order in [*queued, *held])
        held_tokens, reserved_tokens = self.claims.totals(self.clock.now)
        return LoadReport(
            queued=len(queued),
            running=len(self.running),
            queued_prefill_tokens=prefill,
            running_output_tokens=engine.remaining_output_tokens(),
            slots=self.spec.slots,
            free_kv_tokens=self.spec.kv_tokens - engine.cache.used,
            kv_tokens=self.spec.kv_tokens,
            held_kv_tokens=held_tokens,
            reserved_kv_tokens=reserved_tokens,
        )

    def _dispatch(self) -> None:
        self._drop_expired()
        while self.queue and len(self.running) < self.spec.slots:
            index = self._next_index()
            if index is None:
                self._schedule_redispatch()
                return
            pending = self.queue.pop(index)
            self.running[id(pending.call)] = pending
            self.engine.submit(pending.call)
            self.claims.started(pending.queued.order)

    def _drop_expired(self) -> None:
        """Drop queued orders past their deadline if the policy ends programs at the deadline."""
        if self.ends_at_deadline:
            now = self.clock.now
            self.queue = [pending for pending in self.queue if _deadline(pending) > now]

    def _next_index(self) -> int | None:
        orders = [pending.queued for pending in self.queue]
        now = self.clock.now
        if self.gate is None:
            return self.order.next_index(orders, now)
        return self.gate.next_index(orders, self.current_load(), self.order, now)

    def _schedule_redispatch(self) -> None:
        """Schedule another dispatch, since pinned memory becomes evictable as time passes."""
        if not self.redispatch_scheduled:
            self.redispatch_scheduled = True
            self.clock.call_later(_REDISPATCH_S, self._redispatch)

    def _redispatch(self) -> None:
        self.redispatch_scheduled = False
        self._dispatch()

    def _report_state(self) -> None:
        feed = self.feed
        if not self.is_down:
            load = self.current_load()
            events = self._drain_events()
            taken_at = self.clock.now
            self.clock.call_later(feed.report_lag_s, lambda: self._deliver_load(load, taken_at))
            self.clock.call_later(feed.event_delay_s, lambda: self._deliver_events(events))
        self.clock.call_later(feed.report_interval_s, self._report_state)

    def _deliver_load(self, load: LoadReport, taken_at: float) -> None:
        for listener in self.load_listeners:
            listener(self, load, taken_at)

    def _deliver_events(self, events: list[CacheEvent]) -> None:
        for listener in self.event_listeners:
            listener(self, events)

    def _on_cache_change(self, key: CacheKey, tokens: int) -> None:
        self.changes[key] = tokens

    def _drain_events(self) -> list[CacheEvent]:
        events = []
        for key, tokens in self.changes.items():
            self.sequence += 1
            if self.random.random() >= self.feed.event_loss:
                run = key.run_id or RunId("0")
                event = CacheEvent(self.sequence, key.program_id, tokens, run, key.prefix)
                events.append(event)
        self.changes.clear()
        return events


def _deadline(pending: Pending) -> float:
    return pending.queued.queued_at + pending.queued.order.remaining_s
