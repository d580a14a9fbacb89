"""Driver of one program: a task that runs its calls until the final answer."""

import anyio
import msgspec
from anyio.abc import TaskGroup

from skylarkferry_core.budgets import Amount, model_amount
from skylarkferry_core.document import AgentSpec
from skylarkferry_core.errors import BudgetExhaustedError, ErrorCode
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import Chunk
from skylarkferry_core.ids import AgentName, RunId
from skylarkferry_core.messages import Fence, Outcome, Usage
from skylarkferry_core.programs import Program, ReadyCall
from skylarkferry_core.records import (
    CallCompleted,
    CallIntended,
    ProgramEnded,
    RunStarted,
    SlotKey,
    TurnCompleted,
)
from skylarkferry_core.runs import ROOT_RUN, Run
from skylarkferry_core.states import FinalWord
from skylarkferry_core.turns import sub_agent_input
from skylarkferry_daemon.attempts import CallAttempts
from skylarkferry_daemon.call_planner import CallPlan, CallPlanner
from skylarkferry_daemon.change_signals import ChangeSignal
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.program_feeds import ProgramFeed
from skylarkferry_daemon.record_writer import RecordWriter


class EarlyEnd(msgspec.Struct, frozen=True):
    """Error with which a program ends before it has an answer."""

    error: ErrorCode
    detail: str
    retry_after_s: float | None = None


class FeedSink:
    """Passes the output of the root run to the feed."""

    def __init__(self, feed: ProgramFeed) -> None:
        self.feed = feed

    def on_chunk(self, chunk: Chunk) -> None:
        """Add output of the current attempt."""
        self.feed.extend(chunk.text)


class NullSink:
    """Discards output that callers do not see."""

    def on_chunk(self, chunk: Chunk) -> None:
        """Ignore the output."""


class Driver:
    """Drives one program; its state is in ``program``, and every change of it is journaled."""

    def __init__(
        self, context: EntryContext, program: Program, fence: Fence, feed: ProgramFeed
    ) -> None:
        self.context = context
        self.program = program
        self.feed = feed
        self.fence = fence
        self.planner = CallPlanner(context, program, fence)
        self.started: set[SlotKey] = set()
        self.early_end: EarlyEnd | None = None
        self.wake_signal = ChangeSignal()
        self.calls_scope: anyio.CancelScope | None = None
        self.driver_scope: anyio.CancelScope | None = None
        self.abandoned = False
        self.work_s = 0.0
        self.waiting_since: dict[RunId, float] = {}

    def cancel(self, early_end: EarlyEnd) -> None:
        """Record the outcomes of calls in flight, then end the program without an answer."""
        self._end_early(early_end)
        if self.calls_scope is not None:
            self.calls_scope.cancel()

    def abandon(self) -> None:
        """Stop at once without further records because another node drives the program."""
        self.abandoned = True
        self.context.sidecars.detach(self.program.program_id)
        if self.driver_scope is not None:
            self.driver_scope.cancel()

    async def run(self) -> None:
        """Run until the program's end is durable or another node owns the program.

        Raise an exception group with ``NotOwnerError`` when a sidecar reports another owner.
        """
        if self.abandoned:
            return
        async with anyio.create_task_group() as writes:
            self.driver_scope = writes.cancel_scope
            self.record_writer = RecordWriter(
                self.program,
                self.fence,
                self.context.journal,
                feed=self.feed,
                tasks=writes,
                on_lost=self.abandon,
            )
            self.attempts = CallAttempts(
                self.context, self.program, self.fence, self.record_writer, self
            )
            await self._run_calls()
            await self._end()

    async def _run_calls(self) -> None:
        """Run calls until there is an answer, an early end or the deadline has passed."""
        remaining_s = self.program.deadline - self.context.wall_s()
        async with anyio.create_task_group() as calls:
            self.calls_scope = calls.cancel_scope
            calls.cancel_scope.deadline = anyio.current_time() + remaining_s
            await self._launch_until_done(calls)
            calls.cancel_scope.cancel()
        if not self._is_done():
            self._end_early(EarlyEnd(ErrorCode.DEADLINE_PASSED, "the deadline passed"))

    async def _launch_until_done(self, calls: TaskGroup) -> None:
        while not self._is_done():
            seen = self.wake_signal.count
            await self.record_writer.wait_for_capacity()
            for ready in self.program.ready_calls():
                self._launch(ready, calls)
            if not self._is_done():
                await self.wake_signal.wait_beyond(seen)

    def _is_done(self) -> bool:
        if self.early_end is not None:
            return True
        if self.program.request.service is not None:
            return not self.program.ready_calls()
        if self.program.finished() is not None:
            return True
        termination_reason = self.program.termination_reason(self.planner.document)
        if termination_reason is not None:
            self.early_end = EarlyEnd(termination_reason.error, termination_reason.detail)
        return termination_reason is not None

    def _launch(self, ready: ReadyCall, calls: TaskGroup) -> None:
        """Start a ready call unless it was started already."""
        if ready.slot in self.started:
            return
        self.started.add(ready.slot)
        if self.program.request.service is not None:
            calls.start_soon(self._run_service, ready)
        elif ready.request is None:
            calls.start_soon(self._run_model, ready)
        elif AgentName(ready.request.name) in self._spec(ready.slot.run_id).agents:
            self._start_run(ready)
        else:
            calls.start_soon(self._run_tool, ready)

    def _spec(self, run_id: RunId) -> AgentSpec:
        return self.planner.document.agents[self.program.runs[run_id].agent]

    def _start_run(self, ready: ReadyCall) -> None:
        """Start a sub-agent in the same program, with the same budget."""
        assert ready.request is not None
        slot = ready.slot
        run_id = RunId(f"{slot.run_id}.{slot.turn}.{slot.index}")
        text = sub_agent_input(ready.request.arguments)
        agent = AgentName(ready.request.name)
        self.record_writer.append(RunStarted(self.program.program_id, run_id, slot, agent, text))
        self._wake()

    async def _run_model(self, ready: ReadyCall) -> None:
        run = self.program.runs[ready.slot.run_id]
        self._observe_pause(run)
        if run.run_id == ROOT_RUN:
            plan = self.planner.model_plan(run, FeedSink(self.feed), self.feed.begin_attempt)
        else:
            plan = self.planner.model_plan(run, NullSink(), _no_op)
        outcome = await self._attempt(plan, ready.intent)
        if outcome is not None:
            self._record_turn(plan, run, outcome)

    def _observe_pause(self, run: Run) -> None:
        """Record the pause between two turns, during which the engine kept the run's cache."""
        since = self.waiting_since.pop(run.run_id, None)
        if since is not None:
            self.context.estimates.observe_pause(run.agent, anyio.current_time() - since)

    async def _run_tool(self, ready: ReadyCall) -> None:
        assert ready.request is not None
        name = ready.request.name
        spec = self.planner.document.tools.get(name)
        if spec is None or name not in self._spec(ready.slot.run_id).tools:
            self._refuse_tool(ready.slot, name)
            return
        plan = self.planner.tool_plan(ready.slot, spec, ready.request, NullSink())
        outcome = await self._attempt(plan, ready.intent)
        if outcome is not None:
            self.finish(plan, outcome)

    async def _run_service(self, ready: ReadyCall) -> None:
        work = self.program.request.service
        assert work is not None
        plan = self.planner.service_plan(ready.slot, work, NullSink())
        outcome = await self._attempt(plan, ready.intent)
        if outcome is not None:
            self.finish(plan, outcome)

    async def _attempt(self, plan: CallPlan, intent: CallIntended | None) -> Outcome | None:
        """Return the call's final outcome, or ``None`` if the budget does not cover the call."""
        try:
            return await self.attempts.run(plan, intent)
        except BudgetExhaustedError as error:
            self._end_early(EarlyEnd(error.code, error.detail))
            return None

    def _refuse_tool(self, slot: SlotKey, name: str) -> None:
        """Record a call of a tool that the agent lacks as not run; the model sees this outcome."""
        outcome = Outcome(
            self.program.call_id(slot),
            FinalWord.NOT_RUN,
            error=ErrorCode.NOT_FOUND,
            detail=f"the agent has no tool {name}",
        )
        self.record_writer.append(CallCompleted(self.program.program_id, slot, name, outcome))
        self._wake()

    def _record_turn(self, plan: CallPlan, run: Run, outcome: Outcome) -> None:
        if outcome.word is not FinalWord.DONE or outcome.message is None or outcome.error:
            self.attempts.reservations.close_failed(outcome)
            code = outcome.error or ErrorCode.UPSTREAM_FAILED
            self._end_early(EarlyEnd(code, outcome.detail, outcome.retry_after_s))
            return
        self._report_work(plan, outcome)
        usage = _limited_to_reservation(outcome.usage, plan.need)
        spec = self.planner.document.models[self._spec(run.run_id).model]
        cost = min(model_amount(spec, usage).cost_micros, plan.need.cost_micros)
        record = TurnCompleted(
            self.program.program_id, plan.slot, outcome.call_id, outcome.message, usage, cost
        )
        self.record_writer.append(record, self._acknowledgement(plan.slot, outcome))
        self.attempts.reservations.notify()
        self._wake()

    def _report_work(self, plan: CallPlan, outcome: Outcome) -> None:
        """Report the turn's work to admission and its cached tokens to placement."""
        self.work_s += outcome.timing.run_s
        self.context.admission.progressed(self.program.program_id, outcome.timing.run_s)
        if plan.target.model is not None:
            self.context.estimates.capacity(plan.target.model).progressed(outcome.timing.run_s)
        self.waiting_since[plan.slot.run_id] = anyio.current_time()
        intent = self.program.intents.get(plan.slot)
        if intent is not None:
            tokens = outcome.usage.prompt_tokens + outcome.usage.output_tokens
            self.context.estimates.observe_kv_tokens(AgentName(plan.name), tokens)
            self.context.sidecars.cache_estimates.finished(intent.upstream, plan.request, tokens)

    def finish(self, plan: CallPlan, outcome: Outcome) -> None:
        """Record the outcome of a tool or service call."""
        cost = 0 if outcome.word is FinalWord.NOT_RUN else plan.need.cost_micros
        record = CallCompleted(self.program.program_id, plan.slot, plan.name, outcome, cost)
        self.record_writer.append(record, self._acknowledgement(plan.slot, outcome))
        self.attempts.reservations.notify()
        self.context.log_ended(self.program.program_id, plan.name, outcome)
        self._wake()

    def _acknowledgement(self, slot: SlotKey, outcome: Outcome) -> "Acknowledgement | None":
        intent = self.program.intents.get(slot)
        if intent is None:
            return None
        return Acknowledgement(self.context, intent)

    def _end_early(self, early_end: EarlyEnd) -> None:
        if self.early_end is None:
            self.early_end = early_end
        self._wake()

    def _wake(self) -> None:
        self.wake_signal.notify()

    async def _end(self) -> None:
        """Record the program's end durably and release its resources."""
        record = self._final_record()
        await self.record_writer.append_durably(record)
        self.feed.end()
        self.context.sidecars.release(self.program.program_id, self.fence)
        self.context.placer.forget(self.program.program_id)
        self.context.estimates.observe_program(self.program, self.work_s)
        self.context.log.emit(
            EventKind.PROGRAM_ENDED,
            self.program.program_id,
            word=record.word.value,
            error=record.error.value if record.error else "",
        )

    def _final_record(self) -> ProgramEnded:
        program_id = self.program.program_id
        answer = self.program.finished()
        if answer is not None:
            return ProgramEnded(program_id, FinalWord.DONE, answer)
        if self.early_end is not None:
            early_end = self.early_end
            word = self.program.word_on_failure()
            return ProgramEnded(
                program_id, word, "", early_end.error, early_end.detail, early_end.retry_after_s
            )
        outcome = next(iter(self.program.outcomes.values()))
        return ProgramEnded(program_id, outcome.word, "", outcome.error, outcome.detail)


class Acknowledgement:
    """Callback that tells the sidecar that a call's outcome is durable."""

    def __init__(self, context: EntryContext, intent: CallIntended) -> None:
        self.context = context
        self.intent = intent

    def __call__(self) -> None:
        """Send the acknowledgement."""
        self.context.sidecars.acknowledge(self.intent.upstream, self.intent.call_id)


def _no_op() -> None:
    """Do nothing when an attempt starts; callers do not see the output of its call."""


def _limited_to_reservation(usage: Usage, reserved: Amount) -> Usage:
    """Limit a reported usage to the reservation, so that an engine cannot overspend the budget."""
    if usage.prompt_tokens + usage.output_tokens <= reserved.tokens:
        return usage
    prompt = min(usage.prompt_tokens, reserved.tokens)
    return Usage(prompt, min(usage.cached_tokens, prompt), reserved.tokens - prompt)
