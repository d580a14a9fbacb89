"""Replay of programs against engines in virtual time, with and without a queue at the coordinator.

Engines have slots and their own FIFO queue, clients send turns of programs one after the other and
come back after refusals as the platform's clients do.
"""

import heapq
import itertools
from collections import Counter, deque
from random import Random

from skylarkferry_admission.decisions import Reject, RunHere
from skylarkferry_admission.estimates import MAX_SLOWER, CompletionEstimates, Outcome, Work
from skylarkferry_admission.queues import Capacity, QueuedRequest, ShardQueue
from skylarkferry_core.ids import CustomerId, UpstreamId

SLOTS, ENGINE_QUEUE = 12, 36
TOKENS = 248
TOKEN_S = 0.00121
UNCACHED = 1_680
PREFILL_PER_S = 299_000.0
CROWDING = 0.25
"""By how much a token takes longer if all slots are in use."""
JITTER = (0.85, 1.15)
TOOL_S = 0.03
TARGET_S = 0.3
CLIENT_WAIT_S = 3.2
EXTRA = 1
SWEEP_S = 0.02


class Engine:
    def __init__(self, name, factor=1.0):
        self.name = UpstreamId(name)
        self.factor = factor
        self.running = 0
        self.queue = deque()
        self.placed = 0
        """Requests that the coordinator gave to it and that have not ended."""

    def service_s(self):
        beside = min(self.running, SLOTS) / SLOTS
        return self.factor * (UNCACHED / PREFILL_PER_S + TOKENS * TOKEN_S * (1 + CROWDING * beside))


class Kind:
    def __init__(self, name, rate, turns, priority, due_factor=1.6):
        self.name, self.rate, self.turns, self.priority = name, rate, turns, priority
        self.due_factor, self.target_s = due_factor, TARGET_S

    def ideal_s(self):
        alone_s = UNCACHED / PREFILL_PER_S + TOKENS * TOKEN_S
        return self.turns * (alone_s + TOOL_S)


class Program:
    numbers = itertools.count()

    def __init__(self, kind, customer, begins_at):
        self.number = next(Program.numbers)
        self.kind, self.customer, self.begins_at = kind, customer, begins_at
        self.finish_at = begins_at + kind.due_factor * kind.ideal_s()
        self.turn = 0
        self.sends = 0
        self.was_placed = False


class Send:
    def __init__(self, program, now):
        self.program, self.sent_at = program, now
        self.deadline_at = now + CLIENT_WAIT_S
        self.engine = None
        self.requests = 0
        self.is_over = False


class Report:
    def __init__(self):
        self.begun, self.in_time = Counter(), Counter()
        self.by_customer, self.customer_in_time = Counter(), Counter()
        self.refused = self.held = 0

    def share(self, kind=None):
        if kind is not None:
            return self.in_time[kind] / max(self.begun[kind], 1)
        return sum(self.in_time.values()) / max(sum(self.begun.values()), 1)

    def customer_share(self, customer):
        return self.customer_in_time[customer] / max(self.by_customer[customer], 1)

    def text(self):
        kinds = ", ".join(f"{kind} {self.share(kind):.3f}" for kind in sorted(self.begun))
        return f"in time {self.share():.3f} ({kinds}), refused {self.refused}, held {self.held}"


class Replay:
    """One run; ``with_queue`` says whether the coordinator has a queue."""

    def __init__(
        self, kinds, engines, *, with_queue, load, duration_s, customers=None, quotas=None, seed=1
    ):
        self.rng = Random(seed)
        self.kinds, self.engines, self.with_queue = kinds, engines, with_queue
        self.by_name = {engine.name: engine for engine in engines}
        self.load, self.duration_s = load, duration_s
        self.customers = customers or {"c": 1.0}
        self.quotas = quotas or {}
        self.events, self.order = [], itertools.count()
        self.now = 0.0
        self.report = Report()
        self.queue = ShardQueue(Random(seed))
        self.estimates = CompletionEstimates()

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self):
        for kind in self.kinds:
            for customer, share in self.customers.items():
                self.at(0.0, self._arrive, kind, customer, share, True)
        if self.with_queue:
            self.at(SWEEP_S, self._sweep)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            if self.now > self.duration_s + 15:
                break
            action(*arguments)
        return self.report

    def _arrive(self, kind, customer, share, is_first=False):
        if self.now > self.duration_s:
            return
        peak = 8.0
        if not is_first and self.rng.random() < self.load(self.now, customer) / peak:
            program = Program(kind, customer, self.now)
            self.report.begun[kind.name] += 1
            self.report.by_customer[customer] += 1
            self._send(program)
        next_s = self.rng.expovariate(kind.rate * share * peak)
        self.at(self.now + next_s, self._arrive, kind, customer, share)

    def _send(self, program):
        send = Send(program, self.now)
        program.sends += 1
        self.at(send.deadline_at, self._leave, send)
        if self.with_queue:
            self._ask(send)
        else:
            self._place_at_once(send)

    def _place_at_once(self, send):
        """Choose by estimated completion, twice if the first engine refuses."""
        ranked = sorted(
            self.engines,
            key=lambda item: self._estimated_s(item, self._requests(item)),
        )
        for engine in ranked[:2]:
            if self._start(send, engine):
                return
        self._refuse(send, 0.2)

    def _requests(self, engine):
        return engine.running + len(engine.queue)

    def _estimated_s(self, engine, requests):
        work = Work(UNCACHED, TOKENS)
        return self.estimates.estimate(engine.name, work, requests, SLOTS).completion_s

    def _start(self, send, engine):
        send.requests = self._requests(engine)
        if engine.running < SLOTS:
            self._begin(send, engine)
        elif len(engine.queue) < ENGINE_QUEUE:
            send.engine = engine
            engine.queue.append(send)
        else:
            return False
        send.program.was_placed = True
        return True

    def _begin(self, send, engine):
        send.engine = engine
        engine.running += 1
        service_s = engine.service_s() * self.rng.uniform(*JITTER)
        self.at(self.now + service_s, self._end, send, engine, self.now)

    def _end(self, send, engine, began_at):
        engine.running -= 1
        engine.placed -= 1
        while engine.queue and engine.running < SLOTS:
            waiting = engine.queue.popleft()
            if not waiting.is_over:
                self._begin(waiting, engine)
            else:
                engine.placed -= 1
        if not send.is_over:
            send.is_over = True
            self._learn(send, engine, began_at)
            self._on_turn_done(send.program)
        if self.with_queue:
            self._decide()

    def _learn(self, send, engine, began_at):
        completion_s = self.now - began_at
        first_s = engine.factor * UNCACHED / PREFILL_PER_S
        work = Work(UNCACHED, TOKENS)
        estimate = self.estimates.estimate(engine.name, work, send.requests, SLOTS)
        self.estimates.errors.observe(estimate.completion_s, completion_s)
        outcome = Outcome(work, send.requests, SLOTS, first_s, completion_s)
        self.estimates.observe(engine.name, outcome, TOKENS)

    def _on_turn_done(self, program):
        program.turn += 1
        program.sends = 0
        if program.turn < program.kind.turns:
            self.at(self.now + TOOL_S, self._send, program)
        elif self.now <= program.finish_at:
            self.report.in_time[program.kind.name] += 1
            self.report.customer_in_time[program.customer] += 1

    def _leave(self, send):
        """The client has waited long enough; an upstream goes on with what it has begun."""
        if send.is_over:
            return
        send.is_over = True
        self.queue.remove(send)
        self._again(send.program, self.rng.uniform(0.1, 0.4))

    def _refuse(self, send, retry_after_s):
        send.is_over = True
        self.report.refused += 1
        if self.now - send.sent_at > 0.25 * send.program.kind.target_s:
            self.report.held += 1
        delay_s = min(retry_after_s, CLIENT_WAIT_S / 3)
        if send.program.sends > 1:
            delay_s = self.rng.uniform(0.1, 0.4)
        self._again(send.program, delay_s)

    def _again(self, program, delay_s):
        if program.sends < 4:
            self.at(self.now + delay_s, self._send, program)

    # With a queue:

    def _ask(self, send):
        program = send.program
        request = QueuedRequest(
            key=send,
            arrived_at=self.now,
            deadline_at=send.deadline_at,
            finish_at=program.finish_at,
            work_s=self.estimates.mean_service_s(),
            target_latency_s=program.kind.target_s,
            priority=program.kind.priority,
            is_begun=program.turn > 0 or program.was_placed,
            customer=CustomerId(program.customer),
            quota_per_s=self.quotas.get(program.customer),
        )
        if not self.queue.requests:
            engine = self._choose(request)
            if engine is not None:
                self.queue.on_placed(request, self.now)
                self._start(send, self.by_name[engine])
                return
        decision = self.queue.add(request, self._capacity(), self.now)
        if isinstance(decision, Reject):
            self._refuse(send, decision.retry_after_s)
        else:
            self._decide()

    def _capacity(self):
        mean_s = self.estimates.mean_service_s()
        slots = sum(
            SLOTS * min(mean_s / self.estimates.service_s(item.name), 1.0) for item in self.engines
        )
        errors = self.estimates.errors
        return Capacity(slots, errors.low_ratio if errors.is_known else None)

    def _choose(self, request):
        fitting = [engine for engine in self.engines if engine.placed < SLOTS + EXTRA]
        if not fitting:
            return None
        best = min(fitting, key=lambda item: self._estimated_s(item, item.placed))
        if MAX_SLOWER:
            any_s = min(self._estimated_s(item, item.placed) for item in self.engines)
            if self._estimated_s(best, best.placed) > MAX_SLOWER * any_s:
                return None
        best.placed += 1
        return best.name

    def _decide(self):
        for request, decision in self.queue.decide(self._capacity(), self.now, self._choose):
            if isinstance(decision, RunHere):
                self._start(request.key, self.by_name[decision.upstream])
            elif isinstance(decision, Reject):
                self._refuse(request.key, decision.retry_after_s)

    def _sweep(self):
        self._decide()
        self.at(self.now + SWEEP_S, self._sweep)
