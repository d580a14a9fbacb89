"""Simulated model engine: continuous batching, a token budget per step and a prefix cache.

Steps between two changes of the batch are identical, so the engine simulates them as one event.
A call that arrives during a step joins that step.
"""

import bisect
import heapq
import itertools
from collections.abc import Callable

import msgspec

from skylarkferry_bench.caches import CacheKey, PrefixCache
from skylarkferry_bench.clocks import VirtualClock
from skylarkferry_core.states import Priority


class EngineSpec(msgspec.Struct, frozen=True):
    """Size and speed of an engine: seconds per step, per decoding call and per prefill token."""

    step_s: float
    decode_s: float
    prefill_s: float
    step_tokens: int
    kv_tokens: int
    slots: int


class EngineCall(msgspec.Struct):
    """A call at an engine, with exact token counts; times are in virtual seconds."""

    run: CacheKey
    prefix: CacheKey | None
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    priority: Priority
    keep_s: float
    on_end: Callable[["EngineCall"], None]
    on_failure: Callable[["EngineCall"], None]
    cached_tokens: int = 0
    remaining_prefill_tokens: int = 0
    started_at: float = 0.0
    first_token_at: float = 0.0
    end_step: int = 0


class SimulatedEngine:
    """An engine on the virtual clock; ``slowdown`` multiplies the duration of its steps."""

    def __init__(self, clock: VirtualClock, spec: EngineSpec, cache: PrefixCache) -> None:
        self.clock = clock
        self.spec = spec
        self.cache = cache
        self.slowdown = 1.0
        self.waiting: list[EngineCall] = []
        self.prefilling: list[EngineCall] = []
        self.decoding: list[tuple[int, int, EngineCall]] = []
        self.sequence = itertools.count()
        self.steps = 0
        self.plan_at = 0.0
        self.plan_step_s = 0.0
        self.plan_steps = 0
        self.plan_number = 0

    def submit(self, call: EngineCall) -> None:
        """Queue a call; it starts once its KV memory fits."""
        self._advance()
        bisect.insort(self.waiting, call, key=lambda item: item.priority)
        self._schedule_plan()

    def fail_all(self) -> list[EngineCall]:
        """Drop all calls and the cache as in a crash; return the lost calls."""
        lost = [*self.waiting, *self.prefilling, *(item[2] for item in self.decoding)]
        self.waiting, self.prefilling, self.decoding = [], [], []
        self.cache.report_held(self.clock.now)
        empty_cache = PrefixCache(self.cache.capacity, self.cache.on_held, self.cache.on_change)
        self.cache = empty_cache
        self.plan_number += 1
        return lost

    def remaining_output_tokens(self) -> int:
        """Return the output tokens that the decoding calls have left."""
        return sum(end - self.steps for end, _, _ in self.decoding)

    def _start_waiting(self) -> None:
        while self.waiting and self._start(self.waiting[0]):
            self.waiting.pop(0)

    def _start(self, call: EngineCall) -> bool:
        now = self.clock.now
        cached = self.cache.cached_tokens(call.run, call.prefix, call.prefix_tokens)
        total = call.prompt_tokens + call.output_tokens
        if not self.cache.reserve(call.run, call.prefix, call.prefix_tokens, total, now):
            return False
        call.cached_tokens = min(cached, call.prompt_tokens - 1)
        call.remaining_prefill_tokens = call.prompt_tokens - call.cached_tokens
        call.started_at = now
        bisect.insort(self.prefilling, call, key=lambda item: item.priority)
        return True

    def _schedule_plan(self) -> None:
        self._start_waiting()
        self.plan_number += 1
        if not self.prefilling and not self.decoding:
            return
        prefill, self.plan_steps = self._uniform_steps()
        spec = self.spec
        step_s = spec.step_s + len(self.decoding) * spec.decode_s + prefill * spec.prefill_s
        self.plan_step_s = step_s * self.slowdown
        number = self.plan_number
        end_at = self.plan_at + self.plan_steps * self.plan_step_s
        self.clock.call_at(end_at, lambda: self._on_plan_end(number))

    def _uniform_steps(self) -> tuple[int, int]:
        """Return the prefill tokens of a step and the number of identical steps to come."""
        steps_to_end = self.decoding[0][0] - self.steps if self.decoding else 1 << 30
        if not self.prefilling:
            return 0, steps_to_end
        budget = self._prefill_budget()
        head = self.prefilling[0].remaining_prefill_tokens
        if head >= budget:
            return budget, max(min(head // budget, steps_to_end), 1)
        return min(sum(call.remaining_prefill_tokens for call in self.prefilling), budget), 1

    def _prefill_budget(self) -> int:
        return max(self.spec.step_tokens - len(self.decoding), 1)

    def _on_plan_end(self, number: int) -> None:
        if number == self.plan_number:
            self._apply_steps(self.plan_steps)
            self.plan_at = self.clock.now
            self._schedule_plan()

    def _advance(self) -> None:
        """Apply the steps that have completed since the plan began."""
        if not self.prefilling and not self.decoding:
            self.plan_at = self.clock.now
            return
        completed = int((self.clock.now - self.plan_at) / self.plan_step_s)
        completed = min(completed, self.plan_steps)
        self._apply_steps(completed)
        self.plan_at += completed * self.plan_step_s

    def _apply_steps(self, steps: int) -> None:
        if not steps:
            return
        prefilled = self._prefill(steps * self._prefill_budget())
        self.steps += steps
        while self.decoding and self.decoding[0][0] <= self.steps:
            self._end(heapq.heappop(self.decoding)[2])
        for call in prefilled:
            self._begin_decode(call)

    def _prefill(self, budget: int) -> list[EngineCall]:
        done: list[EngineCall] = []
        while self.prefilling and budget > 0:
            head = self.prefilling[0]
            taken = min(head.remaining_prefill_tokens, budget)
            head.remaining_prefill_tokens -= taken
            budget -= taken
            if head.remaining_prefill_tokens:
                break
            done.append(self.prefilling.pop(0))
        return done

    def _begin_decode(self, call: EngineCall) -> None:
        call.first_token_at = self.clock.now
        call.end_step = self.steps + call.output_tokens - 1
        if call.output_tokens <= 1:
            self._end(call)
            return
        heapq.heappush(self.decoding, (call.end_step, next(self.sequence), call))

    def _end(self, call: EngineCall) -> None:
        self.cache.finish(call.run, self.clock.now, call.keep_s)
        self.clock.call_at(self.clock.now, lambda: call.on_end(call))
