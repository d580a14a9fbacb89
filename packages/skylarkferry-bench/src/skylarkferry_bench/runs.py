"""Simulates one run of a workload, a policy, a fault and a seed on the virtual clock."""

from functools import partial
from random import Random

import msgspec

from skylarkferry_bench.clocks import VirtualClock
from skylarkferry_bench.entries import Entry
from skylarkferry_bench.faults import FAULTS, NEW_POOL, OLD_POOL, POOL, Fault
from skylarkferry_bench.measures import Measures, Recorder
from skylarkferry_bench.policies import Policy
from skylarkferry_bench.upstream_views import UpstreamViews
from skylarkferry_bench.upstreams import Upstream
from skylarkferry_bench.workloads import WORKLOADS, ProgramSpec, draw_programs
from skylarkferry_core.gates import KvGate
from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.queues import QUEUE_ORDERS

_ENTRIES = 2
_WARMUP_FRACTION = 0.2
_DRAIN_S = 300.0
_CALLER_RETRY_S = 1.0


class RunSpec(msgspec.Struct, frozen=True):
    """Parameters of a run; the rate is the nominal rate times ``load`` and the fault's load."""

    workload: str
    policy: Policy
    fault: str
    seed: int
    load: float = 1.0
    duration_s: float = 300.0


class Simulation:
    """The clock, upstreams and entries of one run."""

    def __init__(self, spec: RunSpec) -> None:
        self.spec = spec
        self.fault: Fault = FAULTS[spec.fault]
        self.workload = WORKLOADS[spec.workload]
        self.clock = VirtualClock()
        self.random = Random(f"{spec.workload}:{spec.fault}:{spec.seed}:decisions")
        self.recorder = Recorder(_WARMUP_FRACTION * spec.duration_s)
        self.upstreams = [self._build_upstream(index) for index in range(self.workload.replicas)]
        self.entries = [self._build_entry() for _ in range(_ENTRIES)]
        self.attempts: dict[str, int] = {}

    def run(self) -> Measures:
        """Run all programs and return the measures of the run."""
        spec = self.spec
        load = spec.load * self.fault.load
        for program in draw_programs(self.workload, spec.seed, load, spec.duration_s):
            self.clock.call_at(program.arrives_at, partial(self._arrive, program))
        self.fault.inject(self.clock, self.upstreams, spec.duration_s)
        self.clock.run(spec.duration_s + _DRAIN_S)
        for upstream in self.upstreams:
            upstream.engine.cache.report_held(self.clock.now)
        return self.recorder.summarize(spec.duration_s)

    def _arrive(self, program: ProgramSpec) -> None:
        self.recorder.record_arrival(program)
        self._start(program)

    def _start(self, program: ProgramSpec) -> None:
        self.random.choice(self.entries).start(program)

    def _retry_unfinished(self, program: ProgramSpec, retry_after_s: float | None) -> None:
        """Retry like a caller, after the delay in the refusal or, if it has none, a fixed delay."""
        attempts = self.attempts.get(program.program_id, 0) + 1
        self.attempts[program.program_id] = attempts
        if attempts > self.fault.caller_retries:
            return
        delay_s = _CALLER_RETRY_S
        if retry_after_s is not None:
            delay_s = retry_after_s * self.random.uniform(1.0, 1.5)
        self.recorder.record_retry(program)
        self.clock.call_later(delay_s, lambda: self._start(program))

    def _build_upstream(self, index: int) -> Upstream:
        workload = self.workload
        domains = workload.site.failure_domains
        is_first_half = index < workload.replicas // 2
        pool = (OLD_POOL if is_first_half else NEW_POOL) if self.fault.two_pools else POOL
        return Upstream(
            name=UpstreamId(f"{workload.name}-{index}"),
            pool=pool,
            domain=domains[index % len(domains)],
            clock=self.clock,
            spec=workload.engine,
            order=QUEUE_ORDERS[self.spec.policy.queue_order](),
            gate=KvGate() if self.spec.policy.uses_kv_gate else None,
            ends_at_deadline=self.spec.policy.ends_at_deadline,
            feed=self.fault.feed,
            random=Random(f"{self.spec.seed}:{index}"),
            on_held=self.recorder.record_held,
        )

    def _build_entry(self) -> Entry:
        duration_s = self.spec.duration_s
        views = UpstreamViews(
            self.upstreams, lambda now: self.fault.shares(now, duration_s), self.clock.now
        )
        for upstream in self.upstreams:
            upstream.load_listeners.append(views.update_load)
            upstream.event_listeners.append(views.update_cache)
        random = Random(self.random.random())
        return Entry(
            clock=self.clock,
            workload=self.workload,
            policy=self.spec.policy,
            views=views,
            recorder=self.recorder,
            random=random,
            on_unfinished=self._retry_unfinished,
            nodes=_ENTRIES,
        )


def run_one(spec: RunSpec) -> Measures:
    """Simulate one run; callable in a worker process."""
    return Simulation(spec).run()
