"""The dispatch stage of one call: place, journal the intent, order, settle, retry."""

from typing import Protocol

import anyio

from skylarkferry_core.errors import ErrorCode, NotOwnerError, UpstreamLostError
from skylarkferry_core.ids import CallId, UpstreamId
from skylarkferry_core.messages import Fence, Order, Outcome
from skylarkferry_core.outcomes import not_run, unknown
from skylarkferry_core.programs import Program
from skylarkferry_core.records import CallIntended
from skylarkferry_core.retries import RetryPolicy, RetryRequest
from skylarkferry_core.states import FinalWord
from skylarkferry_daemon.call_placement import PlacedUpstream
from skylarkferry_daemon.call_planner import CallPlan
from skylarkferry_daemon.call_resolution import resolve_outcome
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.record_writer import RecordWriter
from skylarkferry_daemon.reservations import Reservations

RESOLVE_GRACE_S = 3.0
_UPSTREAM_UNAVAILABLE = frozenset(
    {ErrorCode.NO_UPSTREAM, ErrorCode.OVERLOADED, ErrorCode.UPSTREAM_LEAVING}
)
_NOT_RETRYABLE = frozenset(
    {ErrorCode.QUARANTINED, ErrorCode.BAD_REQUEST, ErrorCode.DEADLINE_PASSED}
)


class DriverCallbacks(Protocol):
    """Where the outcomes of calls are recorded that were in flight when their program ended."""

    abandoned: bool
    """Whether another node drives the program; then nothing is recorded any more."""

    def abandon(self) -> None:
        """Stop driving the program: another node does."""

    def finish(self, plan: CallPlan, outcome: Outcome) -> None:
        """Record the final word of a call."""


class CallAttempts:
    """Run the calls of one program, each to its one final outcome."""

    def __init__(
        self,
        context: EntryContext,
        program: Program,
        fence: Fence,
        record_writer: RecordWriter,
        driver: DriverCallbacks,
    ) -> None:
        self.context = context
        self.program = program
        self.fence = fence
        self.record_writer = record_writer
        self.driver = driver
        self.reservations = Reservations(program, record_writer)

    async def run(self, plan: CallPlan, intent: CallIntended | None) -> Outcome:
        """Return the final outcome; ``intent`` is an attempt that an earlier driver left open.

        Raise ``BudgetExhaustedError``, or ``NotOwnerError`` when another node drives the program.
        """
        if intent is not None:
            outcome = await self._resume_attempt(plan, intent)
            if not _may_retry(plan, outcome):
                return outcome
        return await self._run_attempts(plan)

    async def _run_attempts(self, plan: CallPlan) -> Outcome:
        tried: list[UpstreamId] = []
        failures = 0
        tries = 0
        retries = self.context.retries(plan.target.name)
        retries.record_first_attempt()
        while True:
            outcome = await self._try_once(plan, tried)
            if not _may_retry(plan, outcome):
                return outcome
            tries += 1
            failures += outcome.error not in _UPSTREAM_UNAVAILABLE
            delay_s = self._delay_s(retries, outcome, failures, tries)
            if delay_s is None:
                return outcome
            self.reservations.close_failed(outcome)
            self.context.log_retry(self.program.program_id, outcome)
            await anyio.sleep(delay_s)

    def _delay_s(
        self, retries: RetryPolicy, outcome: Outcome, failures: int, tries: int
    ) -> float | None:
        """Return the seconds to the next attempt, or ``None`` to give up at once.

        Waiting for an upstream that can take the call is no retry: nothing was sent to any.
        """
        remaining_s = self.program.deadline - self.context.wall_s()
        retry_after_s = outcome.retry_after_s or 0.0
        if outcome.error in _UPSTREAM_UNAVAILABLE:
            delay_s = retries.outage_delay_s(tries, remaining_s)
            return None if delay_s is None else max(delay_s, retry_after_s)
        request = RetryRequest(failures, remaining_s, retry_after_s=retry_after_s)
        return retries.delay_s(request)

    async def _try_once(self, plan: CallPlan, tried: list[UpstreamId]) -> Outcome:
        call_id = self.program.call_id(plan.slot)
        await self.reservations.reserve(call_id, plan.need)
        placed = self._place(plan, tried)
        if placed is None:
            return not_run(call_id, ErrorCode.NO_UPSTREAM, "no upstream can take the call")
        tried.append(placed.upstream)
        intent = self._intent(plan, call_id, placed.upstream)
        durable = self.record_writer.append(intent)
        if not plan.repeatable:
            await self._wait_durable(plan, intent, durable)
            self.context.log_intended(self.program.program_id, intent)
        return await self._dispatch(plan, intent, placed)

    def _place(self, plan: CallPlan, tried: list[UpstreamId]) -> PlacedUpstream | None:
        return self.context.placer.place(plan.target, plan.request, tried)

    def _intent(self, plan: CallPlan, call_id: CallId, upstream: UpstreamId) -> CallIntended:
        incarnation = self.context.sidecars.incarnation(upstream)
        return CallIntended(
            self.program.program_id, plan.slot, call_id, upstream, incarnation, plan.repeatable
        )

    async def _wait_durable(
        self, plan: CallPlan, intent: CallIntended, durable: anyio.Event
    ) -> None:
        try:
            await durable.wait()
        except anyio.get_cancelled_exc_class():
            if not self.driver.abandoned:
                detail = "the program ended before the call was ordered"
                self.driver.finish(plan, not_run(intent.call_id, ErrorCode.CANCELLED, detail))
            raise

    async def _dispatch(
        self, plan: CallPlan, intent: CallIntended, placed: PlacedUpstream
    ) -> Outcome:
        plan.begin()
        order = plan.order(intent, placed)
        self.context.log_placed(self.program.program_id, intent)
        self.context.estimates.record_dispatch(intent.upstream)
        try:
            outcome = self._raise_if_stale(await self._dispatch_or_resolve(plan, intent, order))
        except anyio.get_cancelled_exc_class():
            self.context.estimates.breaker(intent.upstream).interrupted()
            await self._resolve_cancelled(plan, intent)
            raise
        self.context.estimates.observe(intent.upstream, outcome)
        return outcome

    async def _dispatch_or_resolve(
        self, plan: CallPlan, intent: CallIntended, order: Order
    ) -> Outcome:
        try:
            return await self.context.sidecars.dispatch(intent.upstream, order, plan.sink)
        except UpstreamLostError as error:
            if plan.repeatable:
                return unknown(intent.call_id, ErrorCode.UPSTREAM_LOST, error.detail)
            return await resolve_outcome(self.context, intent, self.fence, plan.sink)

    async def _resolve_cancelled(self, plan: CallPlan, intent: CallIntended) -> None:
        """Find the final word of a call whose program ends while it runs."""
        if plan.repeatable or self.driver.abandoned:
            return
        detail = "the program ended while the call ran"
        outcome = unknown(intent.call_id, ErrorCode.OUTCOME_UNKNOWN, detail)
        with anyio.CancelScope(shield=True):
            with anyio.move_on_after(RESOLVE_GRACE_S):
                outcome = await resolve_outcome(self.context, intent, self.fence, plan.sink)
            self.driver.finish(plan, outcome)

    async def _resume_attempt(self, plan: CallPlan, intent: CallIntended) -> Outcome:
        """Settle or follow an attempt of an earlier driver of this program."""
        if plan.repeatable:
            return self._raise_if_stale(await self._attach(plan, intent))
        try:
            return self._raise_if_stale(
                await resolve_outcome(self.context, intent, self.fence, plan.sink)
            )
        except anyio.get_cancelled_exc_class():
            await self._resolve_cancelled(plan, intent)
            raise

    async def _attach(self, plan: CallPlan, intent: CallIntended) -> Outcome:
        plan.begin()
        try:
            return await self.context.sidecars.attach(
                intent.upstream, intent.call_id, self.fence, plan.sink
            )
        except UpstreamLostError as error:
            return unknown(intent.call_id, ErrorCode.UPSTREAM_LOST, error.detail)

    def _raise_if_stale(self, outcome: Outcome) -> Outcome:
        """Return the outcome, or raise when it says that another node owns the program."""
        if outcome.error is ErrorCode.STALE_EPOCH:
            self.driver.abandon()
            raise NotOwnerError("a sidecar saw a higher epoch")
        return outcome


def _may_retry(plan: CallPlan, outcome: Outcome) -> bool:
    """Tell whether another attempt does no harm and may help."""
    if outcome.error in _NOT_RETRYABLE:
        return False
    if outcome.word is FinalWord.NOT_RUN:
        return True
    return plan.repeatable and (outcome.error is not None or outcome.word is FinalWord.UNKNOWN)
