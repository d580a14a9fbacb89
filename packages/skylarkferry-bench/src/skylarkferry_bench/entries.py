"""Entries of the bench: they drive programs with the product's decisions."""

from collections.abc import Callable
from functools import partial
from random import Random

from skylarkferry_bench.caches import CacheKey
from skylarkferry_bench.call_plans import CallPlans
from skylarkferry_bench.clocks import VirtualClock
from skylarkferry_bench.engines import EngineCall
from skylarkferry_bench.measures import Recorder
from skylarkferry_bench.policies import Policy
from skylarkferry_bench.programs import Program, Run
from skylarkferry_bench.upstreams import Upstream
from skylarkferry_bench.views import Views
from skylarkferry_bench.workloads import ProgramSpec, TurnSpec, Workload
from skylarkferry_core.admissions import ADMISSIONS
from skylarkferry_core.ids import RunId, ToolName, UpstreamId
from skylarkferry_core.interfaces import PlacementRequest
from skylarkferry_core.messages import Order
from skylarkferry_core.placements import PLACEMENTS
from skylarkferry_core.retries import RetryBudget, RetryPolicy, RetryRequest
from skylarkferry_core.states import Priority

HOP_S = 0.001
_PLAIN_BACKOFF_S = 0.1
_PLAIN_ATTEMPTS = 6


OnLost = Callable[[ProgramSpec, float | None], None]


class Entry:
    """One entry process: admits programs, places their calls and follows them.

    ``on_lost`` hears of programs that were refused or failed, with the time to come back;
    ``nodes`` entries share the upstreams.
    """

    def __init__(
        self,
        *,
        clock: VirtualClock,
        workload: Workload,
        policy: Policy,
        views: Views,
        recorder: Recorder,
        random: Random,
        on_lost: OnLost,
        nodes: int,
    ) -> None:
        self.clock = clock
        self.workload = workload
        self.policy = policy
        self.views = views
        self.recorder = recorder
        self.on_lost = on_lost
        self.placement = PLACEMENTS[policy.placement](random)
        self.admission = ADMISSIONS[policy.admission]()
        self.plans = CallPlans(workload, policy, views, nodes)
        self.retries = RetryPolicy(random, RetryBudget())

    def start(self, spec: ProgramSpec) -> None:
        """Admit or refuse a program."""
        refusal = self.admission.admit(self.plans.admission(spec, self.clock.now), self.clock.now)
        if refusal is not None:
            self.recorder.refused(spec, self.clock.now)
            self.on_lost(spec, refusal.retry_after_s)
            return
        program = Program(spec, self.clock.now)
        if self.policy.cuts:
            self.clock.after(spec.deadline_s, lambda: self._cut(program))
        self._turn(program, Run(spec.root, RunId("0"), None))

    def _cut(self, program: Program) -> None:
        """End a program whose deadline passed; its call still runs to the end."""
        if not program.closed:
            self._fail(program)

    def _turn(self, program: Program, run: Run) -> None:
        if program.closed:
            return
        now = self.clock.now
        request = self.plans.placement(program.spec, run)
        candidates = self.views.candidates(request, now)
        name = self.placement.place(request, candidates, self.workload.site)
        run.attempts += 1
        if run.attempts == 1:
            self.retries.record_first_attempt()
        if name is None:
            self._retry(program, run)
            return
        chosen = next(item for item in candidates if item.upstream == name)
        prefill = request.prompt_tokens - int(chosen.cached_tokens * chosen.cache_confidence)
        order = self.plans.order(program, run, request, prefill, now)
        call = self._call(program, run, request, order)
        self.views.sent(name, request, prefill, now)
        self._leave(program, run, name)
        run.last_upstream = name
        program.upstreams.add(name)
        upstream = self.views.views[name].upstream
        self.clock.after(HOP_S, lambda: upstream.enqueue(order, call))

    def _leave(self, program: Program, run: Run, name: UpstreamId) -> None:
        """Free a run's memory where it was before, when its next call goes elsewhere."""
        if self.policy.releases and run.last_upstream not in ("", name):
            old = self.views.views[run.last_upstream].upstream
            program_id = program.spec.program_id
            self.clock.after(HOP_S, lambda: old.release(program_id, run.run_id))

    def _call(
        self, program: Program, run: Run, request: PlacementRequest, order: Order
    ) -> EngineCall:
        turn = run.spec.turns[run.turn]
        spec = program.spec
        upstreams = self.views.views

        def on_end(call: EngineCall) -> None:
            upstream = upstreams[run.last_upstream].upstream
            upstream.ended(call)
            load = upstream.load()
            taken_at = self.clock.now
            self.recorder.computed(call)
            if upstream.feed.rides:
                self.clock.after(HOP_S, lambda: self.views.hear_load(upstream, load, taken_at))
            self.clock.after(HOP_S, lambda: self._ended(program, run, request, call))

        def on_failure(call: EngineCall) -> None:
            self.clock.after(HOP_S, lambda: self._failed(program, run))

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

    def _failed(self, program: Program, run: Run) -> None:
        self.views.failed(run.last_upstream, self.clock.now)
        self._retry(program, run)

    def _retry(self, program: Program, run: Run) -> None:
        delay_s = self._retry_delay_s(program, run)
        if delay_s is None:
            self._fail(program)
            return
        self.clock.after(delay_s, lambda: self._turn(program, run))

    def _retry_delay_s(self, program: Program, run: Run) -> float | None:
        if self.policy.jitters:
            remaining_s = program.remaining_s(self.clock.now)
            if not self.views.any_live(self.clock.now):
                run.outage_tries += 1
                run.attempts = 1
                return self.retries.outage_delay_s(run.outage_tries, remaining_s)
            return self.retries.delay_s(RetryRequest(run.attempts, remaining_s))
        if run.attempts >= _PLAIN_ATTEMPTS:
            return None
        return _PLAIN_BACKOFF_S * float(2**run.attempts)

    def _fail(self, program: Program) -> None:
        if program.closed:
            return
        self.recorder.failed(program.spec)
        self._close(program)
        self.on_lost(program.spec, None)

    def _ended(
        self, program: Program, run: Run, request: PlacementRequest, call: EngineCall
    ) -> None:
        slot_s = self.plans.learn_call(program, run, request, call, self.clock.now)
        self.admission.progressed(program.spec.program_id, slot_s)
        self._follow(program, run)

    def _follow(self, program: Program, run: Run) -> None:
        """Go on after a turn: a pause, a sub-agent, or the end of the run."""
        if program.closed:
            self._free(program)
            return
        turn = run.spec.turns[run.turn]
        run.turn += 1
        if run.turn == len(run.spec.turns):
            self.plans.learn_run(run)
        if run.parent is None and program.spec.abandon_turn == run.turn - 1:
            self.recorder.abandoned(program.spec)
            self._close(program)
        elif turn.child is not None:
            program.runs += 1
            child_id = RunId(f"{run.run_id}.{program.runs}")
            self._turn(program, Run(turn.child, child_id, run))
        elif turn.tool is not None:
            program.work_s += turn.pause_s
            self.clock.after(turn.pause_s, lambda: self._resume(program, run, turn))
        elif run.parent is not None:
            self._end_child(program, run, run.parent)
        else:
            self._end(program)

    def _end_child(self, program: Program, run: Run, parent: Run) -> None:
        for upstream in self.views.views.values():
            upstream.upstream.engine.cache.end(program.spec.program_id, self.clock.now, run.run_id)
        parent.prompt_tokens += parent.spec.turns[parent.turn - 1].result_tokens
        self._turn(program, parent)

    def _resume(self, program: Program, run: Run, turn: TurnSpec) -> None:
        self.plans.pauses.observe(ToolName(run.spec.agent), turn.pause_s)
        run.prompt_tokens += turn.result_tokens
        self._turn(program, run)

    def _end(self, program: Program) -> None:
        self.recorder.ended(program.spec, self.clock.now)
        self.plans.learn_program(program)
        self._close(program)

    def _close(self, program: Program) -> None:
        """Mark the program's memory as held in vain, and free it if the policy does."""
        program.closed = True
        program_id = program.spec.program_id
        in_time = program.remaining_s(self.clock.now) > 0
        self.admission.ended(program_id, in_time)
        self._free(program)
        self.views.cache_estimates.released(program_id)

    def _free(self, program: Program) -> None:
        program_id = program.spec.program_id
        for name in program.upstreams:
            upstream: Upstream = self.views.views[name].upstream
            upstream.engine.cache.end(program_id, self.clock.now)
            if self.policy.releases:
                self.clock.after(HOP_S, partial(upstream.release, program_id))
