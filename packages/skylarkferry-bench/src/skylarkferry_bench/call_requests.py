"""Admission requests, placement requests and orders of a simulated entry, from its estimates."""

from skylarkferry_bench.engines import EngineCall
from skylarkferry_bench.estimates import ProgramEstimates
from skylarkferry_bench.policies import Policy
from skylarkferry_bench.programs import Program, Run
from skylarkferry_bench.upstream_views import UpstreamViews
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
_EMPTY_WORK = ModelWork(ModelName("model"), (), (), 0)
_FENCE = Fence(PartitionNumber(0), Epoch(1))


class CallRequests:
    """Builds the requests and orders of one of ``nodes`` entries that share the upstreams."""

    def __init__(
        self, workload: Workload, policy: Policy, views: UpstreamViews, nodes: int
    ) -> None:
        self.workload = workload
        self.policy = policy
        self.views = views
        self.nodes = nodes
        self.capacity = CapacityEstimate()
        self.retention = Retention()
        self.pauses = PauseEstimates()
        self.estimates = ProgramEstimates()

    def admission_request(self, spec: ProgramSpec, now: float) -> AdmissionRequest:
        """Return the admission request of a program."""
        request = self.placement_request(spec, Run(spec.root, RunId("0"), None))
        usable = usable_candidates(request, self.views.candidates(request, now))
        return AdmissionRequest(
            customer=spec.customer,
            deadline_s=spec.deadline_s,
            expected_s=self.estimates.work_s.get(spec.kind),
            wait_s=min((wait_s(item) for item in usable), default=spec.deadline_s),
            expected_calls=self.estimates.calls.get(spec.kind),
            program_id=spec.program_id,
            work_s=self.estimates.slot_s.get(spec.kind),
            capacity=self._estimate_capacity(usable, now),
        )

    def _estimate_capacity(self, candidates: list[Candidate], now: float) -> float:
        nominal = sum(item.load.slots for item in candidates) / self.nodes
        with_queue = sum(item.load.queued > 0 for item in candidates)
        return self.capacity.update(nominal, with_queue >= len(candidates) / 2, now)

    def placement_request(self, spec: ProgramSpec, run: Run) -> PlacementRequest:
        """Return the placement request of a run's next turn."""
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

    def build_order(
        self, program: Program, run: Run, request: PlacementRequest, prefill: int, now: float
    ) -> Order:
        """Return the order of a call; ``prefill`` is its number of uncached prompt tokens."""
        spec = program.spec
        remaining_work_s = max(self.estimates.work_s.get(spec.kind) - program.work_s, 0.0)
        remaining_s = program.remaining_s(now)
        return Order(
            call_id=CallId(f"{spec.program_id}/{run.run_id}/{run.turn}.0.{run.attempts}"),
            program_id=spec.program_id,
            customer=spec.customer,
            fence=_FENCE,
            priority=spec.priority,
            repeatable=True,
            remaining_s=remaining_s,
            slack_s=remaining_s - remaining_work_s,
            timeout_s=remaining_s,
            fingerprint=Fingerprint(""),
            work=_EMPTY_WORK,
            keep_kv_s=self._keep_s(run, request),
            prefill_tokens=prefill,
            output_tokens=request.output_tokens,
            cached_tokens=max(request.prompt_tokens - prefill - request.prefix_tokens, 0),
            prefix=request.prefix,
            prefix_tokens=request.prefix_tokens,
            typical_tokens=int(self.estimates.typical_tokens.get(run.spec.agent)),
        )

    def record_call(
        self, program: Program, run: Run, request: PlacementRequest, call: EngineCall, now: float
    ) -> float:
        """Update the estimates after a call; return the seconds that it occupied a slot."""
        prefill_s = call.first_token_at - call.started_at
        decode_s = now - call.first_token_at
        run.prompt_tokens = call.prompt_tokens + call.output_tokens
        run.attempts = 0
        run.outage_attempts = 0
        uncached = call.prompt_tokens - call.cached_tokens
        views, upstream = self.views, run.last_upstream
        views.cache_estimates.finished(upstream, request, run.prompt_tokens)
        views.speeds.observe(upstream, uncached, prefill_s, call.output_tokens, decode_s)
        self.estimates.output_tokens.observe(run.spec.agent, call.output_tokens)
        self.capacity.progressed(prefill_s + decode_s)
        program.record_call(prefill_s + decode_s)
        run.record_held(prefill_s + decode_s + run.spec.turns[run.turn].pause_s)
        return prefill_s + decode_s

    def record_run(self, run: Run) -> None:
        """Update the estimate of the KV tokens that a run holds on average."""
        self.estimates.typical_tokens.observe(run.spec.agent, run.kv_token_s / run.held_s)

    def record_program(self, program: Program) -> None:
        """Update the estimates after a program completed."""
        kind = program.spec.kind
        self.estimates.work_s.observe(kind, program.work_s)
        self.estimates.slot_s.observe(kind, program.slot_s)
        self.estimates.calls.observe(kind, program.calls)

    def _keep_s(self, run: Run, request: PlacementRequest) -> float:
        if not self.policy.retains_kv:
            return 0.0
        pause = self.pauses.pause(ToolName(run.spec.agent), _EXPECTED_PAUSE_S)
        upstream = run.last_upstream
        tokens = request.prompt_tokens + request.output_tokens - request.prefix_tokens
        speed = self.views.speeds.speed(upstream)
        view = next(iter(self.views.views.values())) if not upstream else self.views.views[upstream]
        return self.retention.keep_s(pause, tokens, speed, view.load)
