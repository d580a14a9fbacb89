"""What an entry of the bench asks the decisions and orders, from what it learned."""

from skylarkferry_bench.engines import EngineCall
from skylarkferry_bench.estimates import ProgramEstimates
from skylarkferry_bench.policies import Policy
from skylarkferry_bench.programs import Program, Run
from skylarkferry_bench.views import Views
from skylarkferry_bench.workloads import ProgramSpec, Workload
from skylarkferry_core.admissions import AdmissionRequest
from skylarkferry_core.capacities import CapacityEstimate
from skylarkferry_core.ids import (
    CallId,
    Epoch,
    Fingerprint,
    ModelName,
    PartitionNumber,
    RunId,
    ToolName,
)
from skylarkferry_core.interfaces import Candidate, PlacementRequest
from skylarkferry_core.messages import Fence, ModelWork, Order
from skylarkferry_core.placements import usable_candidates, wait_s
from skylarkferry_core.retention import PauseEstimates, Retention

_EXPECTED_PAUSE_S = 2.0
_NO_WORK = ModelWork(ModelName("model"), (), (), 0)
_FENCE = Fence(PartitionNumber(0), Epoch(1))


class CallPlans:
    """Questions and orders of one entry; ``nodes`` entries share the upstreams."""

    def __init__(self, workload: Workload, policy: Policy, views: Views, nodes: int) -> None:
        self.workload = workload
        self.policy = policy
        self.views = views
        self.nodes = nodes
        self.capacity = CapacityEstimate()
        self.retention = Retention()
        self.pauses = PauseEstimates()
        self.estimates = ProgramEstimates()

    def admission(self, spec: ProgramSpec, now: float) -> AdmissionRequest:
        """Return the question to admission."""
        request = self.placement(spec, Run(spec.root, RunId("0"), None))
        found = usable_candidates(request, self.views.candidates(request, now))
        return AdmissionRequest(
            customer=spec.customer,
            deadline_s=spec.deadline_s,
            expected_s=self.estimates.work_s.get(spec.kind),
            wait_s=min((wait_s(item) for item in found), default=spec.deadline_s),
            expected_calls=self.estimates.calls.get(spec.kind),
            program_id=spec.program_id,
            work_s=self.estimates.slot_s.get(spec.kind),
            capacity=self._capacity(found, now),
        )

    def _capacity(self, found: list[Candidate], now: float) -> float:
        nominal = sum(item.load.slots for item in found) / self.nodes
        waiting = sum(item.load.queued > 0 for item in found)
        return self.capacity.update(nominal, waiting >= len(found) / 2, now)

    def placement(self, spec: ProgramSpec, run: Run) -> PlacementRequest:
        """Return the question to placement for a run's next turn."""
        return PlacementRequest(
            program_id=spec.program_id,
            prompt_tokens=run.prompt_tokens,
            output_tokens=int(self.estimates.output_tokens.get(run.spec.agent)),
            failure_domain=self.workload.site.failure_domains[0],
            last_upstream=run.last_upstream,
            run_id=run.run_id,
            prefix=run.spec.prefix,
            prefix_tokens=run.spec.prefix_tokens,
        )

    def order(
        self, program: Program, run: Run, request: PlacementRequest, prefill: int, now: float
    ) -> Order:
        """Return the order of a call; ``prefill`` is the uncached part of the prompt."""
        spec = program.spec
        left_s = max(self.estimates.work_s.get(spec.kind) - program.work_s, 0.0)
        remaining_s = program.remaining_s(now)
        return Order(
            call_id=CallId(f"{spec.program_id}/{run.run_id}/{run.turn}.0.{run.attempts}"),
            program_id=spec.program_id,
            customer=spec.customer,
            fence=_FENCE,
            priority=spec.priority,
            repeatable=True,
            remaining_s=remaining_s,
            slack_s=remaining_s - left_s,
            timeout_s=remaining_s,
            fingerprint=Fingerprint(""),
            work=_NO_WORK,
            keep_kv_s=self._keep_s(run, request),
            prefill_tokens=prefill,
            output_tokens=request.output_tokens,
            cached_tokens=max(request.prompt_tokens - prefill - request.prefix_tokens, 0),
            prefix=request.prefix,
            prefix_tokens=request.prefix_tokens,
            typical_tokens=int(self.estimates.typical_tokens.get(run.spec.agent)),
        )

    def learn_call(
        self, program: Program, run: Run, request: PlacementRequest, call: EngineCall, now: float
    ) -> float:
        """Learn from a call that ended; return the seconds it occupied a slot."""
        prefill_s = call.first_token_at - call.started_at
        decode_s = now - call.first_token_at
        run.prompt_tokens = call.prompt_tokens + call.output_tokens
        run.attempts = 0
        run.outage_tries = 0
        uncached = call.prompt_tokens - call.cached_tokens
        views, name = self.views, run.last_upstream
        views.cache_estimates.finished(name, request, run.prompt_tokens)
        views.speeds.observe(name, uncached, prefill_s, call.output_tokens, decode_s)
        self.estimates.output_tokens.observe(run.spec.agent, call.output_tokens)
        self.capacity.progressed(prefill_s + decode_s)
        program.used(prefill_s + decode_s)
        run.held(prefill_s + decode_s + run.spec.turns[run.turn].pause_s)
        return prefill_s + decode_s

    def learn_run(self, run: Run) -> None:
        """Learn what a run that ended held on average."""
        self.estimates.typical_tokens.observe(run.spec.agent, run.kv_token_s / run.held_s)

    def learn_program(self, program: Program) -> None:
        """Learn from a program that was answered."""
        kind = program.spec.kind
        self.estimates.work_s.observe(kind, program.work_s)
        self.estimates.slot_s.observe(kind, program.slot_s)
        self.estimates.calls.observe(kind, program.calls)

    def _keep_s(self, run: Run, request: PlacementRequest) -> float:
        if not self.policy.retains:
            return 0.0
        pause = self.pauses.pause(ToolName(run.spec.agent), _EXPECTED_PAUSE_S)
        name = run.last_upstream
        tokens = request.prompt_tokens + request.output_tokens - request.prefix_tokens
        speed = self.views.speeds.speed(name)
        view = next(iter(self.views.views.values())) if not name else self.views.views[name]
        return self.retention.keep_s(pause, tokens, speed, view.load)
