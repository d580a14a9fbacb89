"""Execution of queued calls on the upstream, limited to its number of slots."""

import anyio
import msgspec
from anyio.abc import TaskGroup

from skylarkferry_core.calls import Call
from skylarkferry_core.errors import (
    BadRequestError,
    CallCancelledError,
    DeadlinePassedError,
    ErrorCode,
    SkylarkferryError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import Cancel
from skylarkferry_core.ids import CallId
from skylarkferry_core.messages import ModelWork, Order, Outcome, ServiceWork, ToolWork
from skylarkferry_core.outcomes import unknown_outcome
from skylarkferry_core.states import CallState, FinalWord, PoolKind
from skylarkferry_daemon.crash_detector import CrashDetector
from skylarkferry_daemon.kv_retention import KvRetention
from skylarkferry_daemon.sidecar_state import SidecarState
from skylarkferry_daemon.stopwatches import Stopwatch
from skylarkferry_daemon.timers import Subscription
from skylarkferry_daemon.upstream_adapters import Adapter, BrokenConnectionError

_LATE_ANSWER_GRACE_S = 1.0
_LATE_ANSWER_PASSES = 100
"""Passes of the event loop in which an answer is read; one of a megabyte takes a few dozen."""
WORK_KINDS = {
    PoolKind.MODEL: ModelWork,
    PoolKind.TOOL: ToolWork,
    PoolKind.SERVICE: ServiceWork,
}


class CallRunner:
    """Runs, times out, cancels and refuses calls as the call table decides."""

    def __init__(
        self,
        state: SidecarState,
        adapter: Adapter,
        crash_detector: CrashDetector,
        kv_retention: KvRetention,
        tasks: TaskGroup,
    ) -> None:
        self.state = state
        self.work_kind = WORK_KINDS[state.settings.kind]
        self.table = state.table
        self.drain = state.drain
        self.crash_registry = state.crash_registry
        self.hub = state.hub
        self.timers = state.timers
        self.log = state.log
        self.adapter = adapter
        self.crash_detector = crash_detector
        self.kv_retention = kv_retention
        self.tasks = tasks
        self.cancel_scopes: dict[CallId, anyio.CancelScope] = {}
        self.timed_out: set[CallId] = set()

    def submit(self, order: Order) -> Call:
        """Queue an order and return its call; return the existing call of a repeated order."""
        is_new = order.call_id not in self.table.calls
        call = self.table.accept(order, self.timers.now(), self._refusal(order))
        if call.outcome is not None and is_new:
            self._log_refusal(call)
        if call.state is CallState.QUEUED and is_new:
            self.timers.after(order.remaining_s, self.refuse_overdue)
            self.start_calls()
        return call

    def _refusal(self, order: Order) -> SkylarkferryError | None:
        if not isinstance(order.work, self.work_kind):
            return BadRequestError("the order's work does not match the kind of the upstream")
        return self.drain.refusal() or self.crash_registry.refusal(order.fingerprint)

    def _log_refusal(self, call: Call) -> None:
        assert call.outcome is not None
        kind = EventKind.CALL_REFUSED
        if call.outcome.error is ErrorCode.STALE_EPOCH:
            kind = EventKind.ORDER_STALE
        self.log.emit(
            kind,
            call.order.program_id,
            call=call.order.call_id,
            word=call.outcome.word.value,
            error=_error_code(call.outcome),
        )

    def start_calls(self) -> None:
        """Start as many queued calls as the call table allows now."""
        while call := self.table.start_next(self.timers.now(), self.crash_registry.suspects()):
            self.cancel_scopes[call.order.call_id] = anyio.CancelScope()
            self.tasks.start_soon(self._run, call)

    async def start_held_calls(self) -> None:
        """Start queued calls that wait for retained KV cache to expire.

        The expiry itself triggers no callback, so this method is called periodically.
        """
        self.start_calls()

    async def _run(self, call: Call) -> None:
        """Run one call until it has an outcome or reaches its time limit."""
        order = call.order
        self.log.emit(EventKind.CALL_STARTED, order.program_id, call=order.call_id)
        self.kv_retention.on_started(order)
        limit_s = min(order.timeout_s, call.due - self.timers.now())
        timer = self._start_time_limit(order.call_id, limit_s)
        outcome = unknown_outcome(order.call_id, ErrorCode.CANCELLED, "the call was cancelled")
        stopwatch = Stopwatch(self.timers)
        with self.cancel_scopes[order.call_id]:
            outcome = await self._run_on_upstream(order, stopwatch)
        timer.cancel()
        if order.call_id in self.timed_out:
            self.timed_out.discard(order.call_id)
            outcome = _timeout_outcome(order, is_deadline=limit_s < order.timeout_s)
        del self.cancel_scopes[order.call_id]
        outcome = msgspec.structs.replace(outcome, timing=stopwatch.timing())
        self._finish(call, outcome)

    def _start_time_limit(self, call_id: CallId, limit_s: float) -> Subscription:
        """Cancel a call after ``limit_s`` seconds."""
        started_at = self.timers.now()

        async def time_out() -> None:
            await self._on_time_limit(call_id, started_at)

        return self.timers.after(limit_s, time_out)

    async def _on_time_limit(self, call_id: CallId, started_at: float) -> None:
        """Cancel a call at its time limit.

        If the process was frozen during the call, the answer may already be in the socket buffer.
        In this case the call gets more time to read it.
        """
        scope = self.cancel_scopes.get(call_id)
        if scope is None:
            return
        if self.timers.last_late_at >= started_at:
            await _wait_for_late_answers()
        if self.cancel_scopes.get(call_id) is scope:
            self.timed_out.add(call_id)
            scope.cancel()

    async def _run_on_upstream(self, order: Order, stopwatch: Stopwatch) -> Outcome:
        """Run a call on the upstream and return its outcome; errors become outcomes too."""
        call = self.table.calls[order.call_id]
        try:
            return await self.adapter.run(
                order, lambda text: self._append_output(call, text, stopwatch)
            )
        except BrokenConnectionError as error:
            await self.crash_detector.on_broken_connection(call)
            return unknown_outcome(
                order.call_id, _unanswered_error(order), f"the connection broke: {error}"
            )
        except Exception as error:
            self.log.emit(EventKind.TASK_FAILED, order.program_id, error=repr(error))
            return unknown_outcome(
                order.call_id, _unanswered_error(order), "internal error in the sidecar"
            )

    def _append_output(self, call: Call, text: str, stopwatch: Stopwatch) -> None:
        stopwatch.record_output()
        self.table.append(call.order.call_id, text)
        self.hub.mark_changed(call)

    def _finish(self, call: Call, outcome: Outcome) -> None:
        order = call.order
        self.kv_retention.on_ended(order)
        self.table.finish(order.call_id, outcome, self.timers.now())
        if outcome.word is FinalWord.DONE and self.crash_registry.on_done(order.fingerprint):
            self.log.emit(EventKind.REQUEST_CLEARED, order.program_id, call=order.call_id)
        if outcome.error is ErrorCode.NO_UPSTREAM:
            self.crash_detector.set_reachable(False)
        self.log.emit(
            EventKind.CALL_FINISHED,
            order.program_id,
            call=order.call_id,
            word=outcome.word.value,
            error=_error_code(outcome),
        )
        self.hub.mark_changed(call)
        self.state.notify_progress()
        self.start_calls()

    async def refuse_overdue(self) -> None:
        """Refuse queued calls that have no time left before their deadline."""
        for call_id in self.table.overdue(self.timers.now()):
            self._refuse_queued(call_id, DeadlinePassedError("the deadline passed in the queue"))

    def refuse_all_queued(self, error: SkylarkferryError) -> None:
        """Refuse all queued calls with ``error``."""
        for call_id in self.table.queued_ids():
            self._refuse_queued(call_id, error)

    def refuse_quarantined(self) -> None:
        """Refuse queued calls whose request is quarantined."""
        for queued in list(self.table.queue):
            error = self.crash_registry.refusal(queued.order.fingerprint)
            if error is not None:
                self._refuse_queued(queued.order.call_id, error)

    def _refuse_queued(self, call_id: CallId, error: SkylarkferryError) -> None:
        call = self.table.refuse_queued(call_id, error, self.timers.now())
        if call is not None:
            self._log_refusal(call)
            self.hub.mark_changed(call)

    def cancel(self, frame: Cancel) -> None:
        """Refuse a queued call or stop a running repeatable call; ignore a stale fence."""
        if self.table.fences.is_stale_else_record(frame.fence):
            return
        self._refuse_queued(frame.call_id, CallCancelledError("the call was cancelled"))
        call = self.table.running.get(frame.call_id)
        if call is not None and call.order.repeatable:
            self.cancel_scopes[frame.call_id].cancel()


async def _wait_for_late_answers() -> None:
    """Wait until answers in socket buffers were read, also if the event loop runs slowly."""
    await anyio.sleep(_LATE_ANSWER_GRACE_S)
    for _ in range(_LATE_ANSWER_PASSES):
        await anyio.lowlevel.checkpoint()


def _error_code(outcome: Outcome) -> str:
    return outcome.error.value if outcome.error else ""


def _unanswered_error(order: Order) -> ErrorCode:
    """Return the error code of an unanswered call; repeatable calls may be retried."""
    return ErrorCode.UPSTREAM_FAILED if order.repeatable else ErrorCode.OUTCOME_UNKNOWN


def _timeout_outcome(order: Order, is_deadline: bool) -> Outcome:
    if is_deadline and order.repeatable:
        return unknown_outcome(order.call_id, ErrorCode.DEADLINE_PASSED, "the deadline passed")
    return unknown_outcome(
        order.call_id, _unanswered_error(order), f"no answer within {order.timeout_s} s"
    )
