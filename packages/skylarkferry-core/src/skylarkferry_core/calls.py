"""Call table of a sidecar: each call runs at most once and keeps its first outcome."""

from collections.abc import Container, Iterable

import msgspec

from skylarkferry_core.engine_gates import EngineGate
from skylarkferry_core.errors import ErrorCode, SkylarkferryError, error_for
from skylarkferry_core.fences import FenceGuard
from skylarkferry_core.frames import SealReply, SealRequest
from skylarkferry_core.ids import CallId, Fingerprint, Incarnation
from skylarkferry_core.interfaces import QueuedOrder, QueueOrder
from skylarkferry_core.messages import Order, Outcome
from skylarkferry_core.outcomes import not_run_outcome, unknown_outcome
from skylarkferry_core.states import CallState, FinalWord, SealVerdict

RETENTION_S = 3_600.0
RETRY_AFTER_S = 1.0
SEALED_DETAIL = "the call was sealed before it ran"


class TableLimits(msgspec.Struct, frozen=True):
    """Limits of a call table: running calls, queued calls, kept outcomes and their age."""

    slots: int
    queue_limit: int
    outcomes_kept: int
    retention_s: float = RETENTION_S


class Call(msgspec.Struct):
    """One call; ``text`` is its output so far, ``due`` its deadline in monotonic time."""

    order: Order
    state: CallState
    due: float
    text: str = ""
    outcome: Outcome | None = None
    started_at: float = 0.0
    ended_at: float = 0.0


class CallTable:
    """Decide which calls of a sidecar run, and keep their outcomes.

    Outcomes of unrepeatable calls are kept until they are acknowledged.  After ``retention_s`` only
    the id is kept, in ``expired``.  Ids are never dropped before they are acknowledged; new
    unrepeatable calls are refused while ``unsettled`` is at the limit of kept outcomes.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        limits: TableLimits,
        queue_order: QueueOrder,
        fences: FenceGuard,
    ) -> None:
        self.incarnation = incarnation
        self.limits = limits
        self.gate = EngineGate(queue_order)
        self.fences = fences
        self.calls: dict[CallId, Call] = {}
        self.queue: list[QueuedOrder] = []
        self.running: dict[CallId, Call] = {}
        self.ended: dict[CallId, Call] = {}
        self.sealed: dict[CallId, float] = {}
        self.acknowledged: dict[CallId, None] = {}
        self.expired: dict[CallId, None] = {}
        self.unsettled = 0
        self.refusal: SkylarkferryError | None = None

    def accept(self, order: Order, now: float, refusal: SkylarkferryError | None = None) -> Call:
        """Return the existing call of an order, or a new one that is queued or refused."""
        known = self.find(order)
        if self.fences.is_stale_else_record(order.fence):
            return _ended_call(order, _stale_outcome(order, known), now)
        if known is not None:
            return known
        error = refusal or self._refusal_error(order)
        if error is not None:
            return self._refuse(order, error, now)
        return self._enqueue(order, now)

    def find(self, order: Order) -> Call | None:
        """Return the order's call if the order was seen before or may have run, else ``None``."""
        call = self.calls.get(order.call_id)
        if call is not None:
            return call
        if order.call_id in self.sealed:
            outcome = not_run_outcome(order.call_id, ErrorCode.SEALED, SEALED_DETAIL)
            return _ended_call(order, outcome, 0.0)
        return self._call_with_lost_outcome(order)

    def _call_with_lost_outcome(self, order: Order) -> Call | None:
        """Return an ended call with an unknown outcome if the outcome is lost, else ``None``."""
        if order.call_id in self.acknowledged or order.call_id in self.expired:
            detail = "the outcome is no longer kept"
        elif self._has_other_incarnation(order):
            detail = "the sidecar restarted after the order was sent"
        else:
            return None
        outcome = unknown_outcome(order.call_id, ErrorCode.OUTCOME_UNKNOWN, detail)
        return _ended_call(order, outcome, 0.0)

    def _has_other_incarnation(self, order: Order) -> bool:
        if order.repeatable or not order.incarnation:
            return False
        return order.incarnation != self.incarnation

    def _refusal_error(self, order: Order) -> SkylarkferryError | None:
        """Return the error that keeps a new order out of the queue, or ``None``."""
        if order.remaining_s <= 0:
            return error_for(ErrorCode.DEADLINE_PASSED, "no time is left before the deadline")
        if self.refusal is not None:
            return self.refusal
        if len(self.queue) >= self.limits.queue_limit:
            return error_for(ErrorCode.OVERLOADED, "the queue is full", RETRY_AFTER_S)
        if not order.repeatable and self.unsettled >= self.limits.outcomes_kept:
            detail = "too many outcomes are not acknowledged yet"
            return error_for(ErrorCode.OVERLOADED, detail, RETRY_AFTER_S)
        return None

    def _refuse(self, order: Order, error: SkylarkferryError, now: float) -> Call:
        outcome = not_run_outcome(order.call_id, error.code, error.detail, error.retry_after_s)
        call = _ended_call(order, outcome, now)
        if order.repeatable or self.unsettled < self.limits.outcomes_kept:
            self._add(call)
            self._keep(call)
        return call

    def _enqueue(self, order: Order, now: float) -> Call:
        call = Call(order, CallState.QUEUED, due=now + order.remaining_s)
        self._add(call)
        self.queue.append(QueuedOrder(order, now))
        return call

    def _add(self, call: Call) -> None:
        self.calls[call.order.call_id] = call
        self.unsettled += not call.order.repeatable

    def start_next(self, now: float, suspects: Container[Fingerprint] = ()) -> Call | None:
        """Return the call to run now, or ``None``; a suspect request runs without other calls."""
        if not self.queue or len(self.running) >= self.limits.slots:
            return None
        if any(_runs_alone(call.order, suspects) for call in self.running.values()):
            return None
        index = self.gate.next_index(self.queue, len(self.running), now)
        if index is None:
            return None
        order = self.queue[index].order
        if self.running and _runs_alone(order, suspects):
            return None
        del self.queue[index]
        call = self.calls[order.call_id]
        call.state = CallState.RUNNING
        call.started_at = now
        self.running[order.call_id] = call
        self.gate.started(order)
        return call

    def append(self, call_id: CallId, text: str) -> None:
        """Add output to a running call."""
        call = self.running.get(call_id)
        if call is not None:
            call.text += text

    def finish(self, call_id: CallId, outcome: Outcome, now: float) -> Call | None:
        """End a running call; return ``None`` and ignore the outcome if it is not running."""
        call = self.running.pop(call_id, None)
        if call is None:
            return None
        self.gate.ended(call.order, outcome, now)
        self._end(call, outcome, now)
        return call

    def _end(self, call: Call, outcome: Outcome, now: float) -> None:
        call.state = CallState.ENDED
        call.outcome = outcome
        call.ended_at = now
        self._keep(call)

    def _keep(self, call: Call) -> None:
        """Keep an ended repeatable call, and drop the oldest ones beyond the limit."""
        if not call.order.repeatable:
            return
        self.ended[call.order.call_id] = call
        while len(self.ended) > self.limits.outcomes_kept:
            self._drop(next(iter(self.ended)))

    def _drop(self, call_id: CallId) -> None:
        call = self.calls.pop(call_id)
        self.ended.pop(call_id, None)
        self.unsettled -= not call.order.repeatable

    def refuse_queued(self, call_id: CallId, error: SkylarkferryError, now: float) -> Call | None:
        """End a queued call; return it, or ``None`` if it is not queued."""
        call = self.calls.get(call_id)
        if call is None or call.state is not CallState.QUEUED:
            return None
        self._unqueue(call_id)
        outcome = not_run_outcome(call_id, error.code, error.detail, error.retry_after_s)
        self._end(call, outcome, now)
        return call

    def _unqueue(self, call_id: CallId) -> None:
        self.queue = [queued for queued in self.queue if queued.order.call_id != call_id]

    def queued_ids(self) -> list[CallId]:
        """Return the ids of queued calls."""
        return [queued.order.call_id for queued in self.queue]

    def overdue(self, now: float) -> list[CallId]:
        """Return the ids of queued calls whose deadline has passed."""
        return [call_id for call_id in self.queued_ids() if self.calls[call_id].due <= now]

    def seal(self, request: SealRequest, now: float) -> SealReply:
        """Return whether a call ran, and keep it from running later; raise ``StaleEpochError``."""
        self.fences.check(request.fence)
        if request.incarnation != self.incarnation:
            return SealReply(SealVerdict.UNKNOWN)
        self.refuse_queued(request.call_id, error_for(ErrorCode.SEALED, SEALED_DETAIL), now)
        call = self.calls.get(request.call_id)
        if call is not None:
            return _seal_verdict(call)
        return self._seal_unknown(request.call_id, now)

    def _seal_unknown(self, call_id: CallId, now: float) -> SealReply:
        """Seal a call that never arrived; answer ``UNKNOWN`` if there is no room to record it."""
        if call_id in self.sealed:
            return SealReply(SealVerdict.SEALED)
        if call_id in self.acknowledged or call_id in self.expired:
            return SealReply(SealVerdict.UNKNOWN)
        if len(self.sealed) >= self.limits.outcomes_kept:
            return SealReply(SealVerdict.UNKNOWN)
        self.sealed[call_id] = now
        return SealReply(SealVerdict.SEALED)

    def acknowledge(self, call_ids: Iterable[CallId]) -> None:
        """Drop outcomes that are durable elsewhere; keep a bounded number of unrepeatable ids."""
        for call_id in call_ids:
            call = self.calls.get(call_id)
            if call is not None and call.state is CallState.ENDED:
                self._drop_acknowledged(call)
            if call_id in self.expired:
                del self.expired[call_id]
                self.unsettled -= 1
                self.acknowledged[call_id] = None
        while len(self.acknowledged) > self.limits.outcomes_kept:
            del self.acknowledged[next(iter(self.acknowledged))]

    def _drop_acknowledged(self, call: Call) -> None:
        """Keep only the id; seal a call that never ran."""
        call_id = call.order.call_id
        self._drop(call_id)
        if call.order.repeatable:
            return
        if _never_ran(call) and len(self.sealed) < self.limits.outcomes_kept:
            self.sealed[call_id] = call.ended_at
        else:
            self.acknowledged[call_id] = None

    def expire(self, now: float) -> None:
        """Drop outcomes older than the retention, but keep the ids of unrepeatable calls."""
        cutoff = now - self.limits.retention_s
        for call_id, call in list(self.calls.items()):
            if call.state is not CallState.ENDED or call.ended_at > cutoff:
                continue
            self._drop(call_id)
            if not call.order.repeatable:
                self.expired[call_id] = None
                self.unsettled += 1
        self.sealed = {key: at for key, at in self.sealed.items() if at > cutoff}


def _ended_call(order: Order, outcome: Outcome, now: float) -> Call:
    return Call(order, CallState.ENDED, due=now, outcome=outcome, ended_at=now)


def _runs_alone(order: Order, suspects: Container[Fingerprint]) -> bool:
    return order.alone or order.fingerprint in suspects


def _stale_outcome(order: Order, known: Call | None) -> Outcome:
    """Return the outcome of an order with a stale epoch: ``not_run`` only if its call never ran."""
    detail = f"epoch {order.fence.epoch} is stale"
    if known is None or _never_ran(known):
        return not_run_outcome(order.call_id, ErrorCode.STALE_EPOCH, detail)
    return unknown_outcome(order.call_id, ErrorCode.STALE_EPOCH, detail)


def _never_ran(call: Call) -> bool:
    return call.outcome is not None and call.outcome.word is FinalWord.NOT_RUN


def _seal_verdict(call: Call) -> SealReply:
    """Return the verdict on a call in the table."""
    if call.outcome is None:
        return SealReply(SealVerdict.IN_PROGRESS)
    match call.outcome.word:
        case FinalWord.DONE:
            return SealReply(SealVerdict.EXECUTED, call.outcome)
        case FinalWord.NOT_RUN:
            return SealReply(SealVerdict.SEALED)
        case FinalWord.UNKNOWN:
            return SealReply(SealVerdict.UNKNOWN)
