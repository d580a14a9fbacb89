"""Simulated entries that run programs with the scheduling decisions of the product."""

from collections.abc import Callable
from functools import partial
from random import Random

from skylarkferry_bench.caches import CacheKey
from skylarkferry_bench.call_requests import CallRequests
from skylarkferry_bench.clocks import VirtualClock
from skylarkferry_bench.engines import EngineCall
from skylarkferry_bench.measures import Recorder
from skylarkferry_bench.policies import Policy
from skylarkferry_bench.programs import Program, Run
from skylarkferry_bench.upstream_views import UpstreamViews
from skylarkferry_bench.upstreams import Upstream
from skylarkferry_bench.workloads import ProgramSpec, TurnSpec, Workload
from skylarkferry_core.admissions import ADMISSIONS
from skylarkferry_core.ids import RunId, ToolName, UpstreamId
from skylarkferry_core.interfaces import PlacementRequest
from skylarkferry_core.messages import Order
from skylarkferry_core.placements import PLACEMENTS
from skylarkferry_core.retries import RetryBudget, RetryPolicy, RetryRequest
from skylarkferry_core.states import Priority

NETWORK_DELAY_S = 0.001
_BASELINE_BACKOFF_S = 0.1
_BASELINE_ATTEMPTS = 6


UnfinishedListener = Callable[[ProgramSpec, float | None], None]


class Entry:
    """An entry process that admits programs, places their calls and continues their runs.

    ``on_unfinished`` is called with a program that was refused or failed and the delay in seconds
    until its caller may retry, if known; ``nodes`` entries share the upstreams.
    """

    def __init__(
        self,
        *,
        clock: VirtualClock,
        workload: Workload,
        policy: Policy,
        views: UpstreamViews,
        recorder: Recorder,
        random: Random,
        on_unfinished: UnfinishedListener,
        nodes: int,
    ) -> None:
        self.clock = clock
        self.workload = workload
        self.policy = policy
        self.views = views
        self.recorder = recorder
        self.on_unfinished = on_unfinished
        self.placement = PLACEMENTS[policy.placement](random)
        self.admission = ADMISSIONS[policy.admission]()
        self.requests = CallRequests(workload, policy, views, nodes)
        self.retries = RetryPolicy(random, RetryBudget())

    def start(self, spec: ProgramSpec) -> None:
        """Admit a program and start its first turn, or refuse it."""
        refusal = self.admission.admit(
            self.requests.admission_request(spec, self.clock.now), self.clock.now
        )
        if refusal is not None:
            self.recorder.record_refusal(spec, self.clock.now)
            self.on_unfinished(spec, refusal.retry_after_s)
            return
        program = Program(spec, self.clock.now)
        if self.policy.ends_at_deadline:
            self.clock.call_later(spec.deadline_s, lambda: self._end_at_deadline(program))
        self._start_turn(program, Run(spec.root, RunId("0"), None))

    def _end_at_deadline(self, program: Program) -> None:
        """Fail a program whose deadline passed; its running call is not interrupted."""
        if not program.closed:
            self._fail_program(program)

    def _start_turn(self, program: Program, run: Run) -> None:
        if program.closed:
            return
        now = self.clock.now
        request = self.requests.placement_request(program.spec, run)
        candidates = self.views.candidates(request, now)
        name = self.placement.place(request, candidates, self.workload.site)
        run.attempts += 1
        if run.attempts == 1:
            self.retries.record_first_attempt()
        if name is None:
            self._retry(program, run)
            return
        candidate = next(item for item in candidates if item.upstream == name)
        prefill = request.prompt_tokens - int(candidate.cached_tokens * candidate.cache_confidence)
        order = self.requests.build_order(program, run, request, prefill, now)
        call = self._build_engine_call(program, run, request, order)
        self.views.record_sent(name, request, prefill, now)
        self._release_previous(program, run, name)
        run.last_upstream = name
        program.upstreams.add(name)
        upstream = self.views.views[name].upstream
        self.clock.call_later(NETWORK_DELAY_S, lambda: upstream.enqueue(order, call))

    def _release_previous(self, program: Program, run: Run, name: UpstreamId) -> None:
        """Release a run's memory at its previous upstream when the next call goes elsewhere."""
        if self.policy.releases_kv and run.last_upstream not in ("", name):
            previous = self.views.views[run.last_upstream].upstream
            program_id = program.spec.program_id
            self.clock.call_later(NETWORK_DELAY_S, lambda: previous.release(program_id, run.run_id))

    def _build_engine_call(
        self, program: Program, run: Run, request: PlacementRequest, order: Order
    ) -> EngineCall:
        turn = run.spec.turns[run.turn]
        spec = program.spec
        upstream_views = self.views.views

        def on_end(call: EngineCall) -> None:
            upstream = upstream_views[run.last_upstream].upstream
            upstream.finish(call)
            load = upstream.current_load()
            taken_at = self.clock.now
            self.recorder.record_call(call)
            if upstream.feed.reports_with_outcomes:
                self.clock.call_later(
                    NETWORK_DELAY_S, lambda: self.views.update_load(upstream, load, taken_at)
                )
            self.clock.call_later(
                NETWORK_DELAY_S, lambda: self._on_call_end(program, run, request, call)
            )

        def on_failure(call: EngineCall) -> None:
            self.clock.call_later(NETWORK_DELAY_S, lambda: self._on_call_failure(program, run))

        return EngineCall(
            run=CacheKey(spec.program_id, run.run_id),
            prefix=CacheKey(prefix=run.spec.prefix),
            prefix_tokens=run.spec.prefix_tokens,
            prompt_tokens=run.prompt_tokens,
            output_tokens=turn.output_tokens,
            priority=spec.priority if self.policy.queue_order != "fifo" else Priority.URGENT,
            keep_s=order.keep_kv_s,
            on_end=on_end,
            on_failure=on_failure,
        )

    def _on_call_failure(self, program: Program, run: Run) -> None:
        self.views.record_failure(run.last_upstream, self.clock.now)
        self._retry(program, run)

    def _retry(self, program: Program, run: Run) -> None:
        delay_s = self._retry_delay_s(program, run)
        if delay_s is None:
            self._fail_program(program)
            return
        self.clock.call_later(delay_s, lambda: self._start_turn(program, run))

    def _retry_delay_s(self, program: Program, run: Run) -> float | None:
        if self.policy.jitters_retries:
            remaining_s = program.remaining_s(self.clock.now)
            if not self.views.has_live_upstream(self.clock.now):
                run.outage_attempts += 1
                run.attempts = 1
                return self.retries.outage_delay_s(run.outage_attempts, remaining_s)
            return self.retries.delay_s(RetryRequest(run.attempts, remaining_s))
        if run.attempts >= _BASELINE_ATTEMPTS:
            return None
        return _BASELINE_BACKOFF_S * float(2**run.attempts)

    def _fail_program(self, program: Program) -> None:
        if program.closed:
            return
        self.recorder.record_failure(program.spec)
        self._close_program(program)
        self.on_unfinished(program.spec, None)

    def _on_call_end(
        self, program: Program, run: Run, request: PlacementRequest, call: EngineCall
    ) -> None:
        slot_s = self.requests.record_call(program, run, request, call, self.clock.now)
        self.admission.progressed(program.spec.program_id, slot_s)
        self._continue_run(program, run)

    def _continue_run(self, program: Program, run: Run) -> None:
        """Continue a run after a turn: with a tool call, a sub-agent, or its end."""
        if program.closed:
            self._release_memory(program)
            return
        turn = run.spec.turns[run.turn]
        run.turn += 1
        if run.turn == len(run.spec.turns):
            self.requests.record_run(run)
        if run.parent is None and program.spec.abandon_turn == run.turn - 1:
            self.recorder.record_abandonment(program.spec)
            self._close_program(program)
        elif turn.child is not None:
            program.runs += 1
            child_id = RunId(f"{run.run_id}.{program.runs}")
            self._start_turn(program, Run(turn.child, child_id, run))
        elif turn.tool is not None:
            program.work_s += turn.pause_s
            self.clock.call_later(turn.pause_s, lambda: self._resume_after_tool(program, run, turn))
        elif run.parent is not None:
            self._end_child_run(program, run, run.parent)
        else:
            self._complete_program(program)

    def _end_child_run(self, program: Program, run: Run, parent: Run) -> None:
        for view in self.views.views.values():
            view.upstream.engine.cache.end(program.spec.program_id, self.clock.now, run.run_id)
        parent.prompt_tokens += parent.spec.turns[parent.turn - 1].result_tokens
        self._start_turn(program, parent)

    def _resume_after_tool(self, program: Program, run: Run, turn: TurnSpec) -> None:
        self.requests.pauses.observe(ToolName(run.spec.agent), turn.pause_s)
        run.prompt_tokens += turn.result_tokens
        self._start_turn(program, run)

    def _complete_program(self, program: Program) -> None:
        self.recorder.record_completion(program.spec, self.clock.now)
        self.requests.record_program(program)
        self._close_program(program)

    def _close_program(self, program: Program) -> None:
        """Mark the program's memory as wasted, and release it if the policy does."""
        program.closed = True
        program_id = program.spec.program_id
        in_time = program.remaining_s(self.clock.now) > 0
        self.admission.ended(program_id, in_time)
        self._release_memory(program)
        self.views.cache_estimates.released(program_id)

    def _release_memory(self, program: Program) -> None:
        program_id = program.spec.program_id
        for name in program.upstreams:
            upstream: Upstream = self.views.views[name].upstream
            upstream.engine.cache.end(program_id, self.clock.now)
            if self.policy.releases_kv:
                self.clock.call_later(NETWORK_DELAY_S, partial(upstream.release, program_id))
