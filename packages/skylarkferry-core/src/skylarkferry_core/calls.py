"""Call table of a sidecar: a call runs at most once and keeps its first outcome."""

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
    """Bounds of a call table: parallel calls, waiting calls, kept outcomes, their age."""

    slots: int
    queue_limit: int
    outcomes_kept: int
    retention_s: float = RETENTION_S


class Call(msgspec.Struct):
    """One call; ``text`` is its output so far, ``due`` the monotonic end of its remaining time."""

    order: Order
    state: CallState
    due: float
    text: str = ""
    outcome: Outcome | None = None
    started_at: float = 0.0
    ended_at: float = 0.0


class CallTable:
    """Decide which calls of a sidecar run, and remember what became of them.

    Outcomes of calls that may not be repeated are kept until they are acknowledged.  After
    ``retention_s`` only the id stays, in ``expired``; ids are never dropped before they are
    acknowledged, and new work that may not be repeated is refused when they reach the bound.
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
        """Return the call of an order: the first of its id, or a new one, queued or refused."""
        known = self.known(order)
        if self.fences.is_stale(order.fence):
            return _ended_call(order, _stale_outcome(order, known), now)
        if known is not None:
            return known
        error = refusal or self._refusal_of(order)
        if error is not None:
            return self._refuse(order, error, now)
        return self._enqueue(order, now)

    def known(self, order: Order) -> Call | None:
        """Return the call of an order that came before or may have run elsewhere."""
        call = self.calls.get(order.call_id)
        if call is not None:
            return call
        if order.call_id in self.sealed:
            outcome = not_run_outcome(order.call_id, ErrorCode.SEALED, SEALED_DETAIL)
            return _ended_call(order, outcome, 0.0)
        return self._lost_call(order)

    def _lost_call(self, order: Order) -> Call | None:
        """Return a call whose outcome nobody can tell any more."""
        if order.call_id in self.acknowledged or order.call_id in self.expired:
            detail = "the outcome is no longer kept"
        elif self._is_of_another_life(order):
            detail = "the sidecar restarted since the order"
        else:
            return None
        outcome = unknown_outcome(order.call_id, ErrorCode.OUTCOME_UNKNOWN, detail)
        return _ended_call(order, outcome, 0.0)

    def _is_of_another_life(self, order: Order) -> bool:
        if order.repeatable or not order.incarnation:
            return False
        return order.incarnation != self.incarnation

    def _refusal_of(self, order: Order) -> SkylarkferryError | None:
        """Return why a new order may not be queued."""
        if order.remaining_s <= 0:
            return error_for(ErrorCode.DEADLINE_PASSED, "no time remains")
        if self.refusal is not None:
            return self.refusal
        if len(self.queue) >= self.limits.queue_limit:
            return error_for(ErrorCode.OVERLOADED, "the queue is full", RETRY_AFTER_S)
        if not order.repeatable and self.unsettled >= self.limits.outcomes_kept:
            detail = "too many outcomes await their entry"
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
        """Return the call to run now, or ``None``; a suspect runs only without neighbours."""
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
        """End a running call; later outcomes of the same call change nothing."""
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
        """Keep an ended call, and drop the oldest repeatable ones beyond the bound."""
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
        """End a call that still waits; return it, or ``None`` when it does not wait."""
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
        """Return the ids of waiting calls."""
        return [queued.order.call_id for queued in self.queue]

    def overdue(self, now: float) -> list[CallId]:
        """Return the waiting calls whose remaining time is used up."""
        return [call_id for call_id in self.queued_ids() if self.calls[call_id].due <= now]

    def seal(self, request: SealRequest, now: float) -> SealReply:
        """Settle whether a call ran; raise ``StaleEpochError``."""
        self.fences.check(request.fence)
        if request.incarnation != self.incarnation:
            return SealReply(SealVerdict.UNKNOWN)
        self.refuse_queued(request.call_id, error_for(ErrorCode.SEALED, SEALED_DETAIL), now)
        call = self.calls.get(request.call_id)
        if call is not None:
            return _seal_known(call)
        return self._seal_unseen(request.call_id, now)

    def _seal_unseen(self, call_id: CallId, now: float) -> SealReply:
        """Seal a call that never came; without room to remember it, promise nothing."""
        if call_id in self.sealed:
            return SealReply(SealVerdict.SEALED)
        if call_id in self.acknowledged or call_id in self.expired:
            return SealReply(SealVerdict.UNKNOWN)
        if len(self.sealed) >= self.limits.outcomes_kept:
            return SealReply(SealVerdict.UNKNOWN)
        self.sealed[call_id] = now
        return SealReply(SealVerdict.SEALED)

    def acknowledge(self, call_ids: Iterable[CallId]) -> None:
        """Forget outcomes that are durable elsewhere; ids of unrepeatable calls stay a while."""
        for call_id in call_ids:
            call = self.calls.get(call_id)
            if call is not None and call.state is CallState.ENDED:
                self._forget_acknowledged(call)
            if call_id in self.expired:
                del self.expired[call_id]
                self.unsettled -= 1
                self.acknowledged[call_id] = None
        while len(self.acknowledged) > self.limits.outcomes_kept:
            del self.acknowledged[next(iter(self.acknowledged))]

    def _forget_acknowledged(self, call: Call) -> None:
        """Keep the id alone; of a call that never ran, also that it never will."""
        call_id = call.order.call_id
        self._drop(call_id)
        if call.order.repeatable:
            return
        if _never_ran(call) and len(self.sealed) < self.limits.outcomes_kept:
            self.sealed[call_id] = call.ended_at
        else:
            self.acknowledged[call_id] = None

    def expire(self, now: float) -> None:
        """Drop outcomes older than the retention; ids of unrepeatable calls stay."""
        oldest = now - self.limits.retention_s
        for call_id, call in list(self.calls.items()):
            if call.state is not CallState.ENDED or call.ended_at > oldest:
                continue
            self._drop(call_id)
            if not call.order.repeatable:
                self.expired[call_id] = None
                self.unsettled += 1
        self.sealed = {key: at for key, at in self.sealed.items() if at > oldest}


def _ended_call(order: Order, outcome: Outcome, now: float) -> Call:
    return Call(order, CallState.ENDED, due=now, outcome=outcome, ended_at=now)


def _runs_alone(order: Order, suspects: Container[Fingerprint]) -> bool:
    return order.alone or order.fingerprint in suspects


def _stale_outcome(order: Order, known: Call | None) -> Outcome:
    """Return the answer to an order under a stale epoch; ``not_run`` only when it never ran."""
    detail = f"epoch {order.fence.epoch} is stale"
    if known is None or _never_ran(known):
        return not_run_outcome(order.call_id, ErrorCode.STALE_EPOCH, detail)
    return unknown_outcome(order.call_id, ErrorCode.STALE_EPOCH, detail)


def _never_ran(call: Call) -> bool:
    return call.outcome is not None and call.outcome.word is FinalWord.NOT_RUN


def _seal_known(call: Call) -> SealReply:
    """Return the verdict on a call that runs or ended."""
    if call.outcome is None:
        return SealReply(SealVerdict.IN_PROGRESS)
    match call.outcome.word:
        case FinalWord.DONE:
            return SealReply(SealVerdict.EXECUTED, call.outcome)
        case FinalWord.NOT_RUN:
            return SealReply(SealVerdict.SEALED)
        case FinalWord.UNKNOWN:
            return SealReply(SealVerdict.UNKNOWN)
