"""Attempts of one call: place, journal the intent, dispatch, resolve the outcome, retry."""

from typing import Protocol

import anyio

from skylarkferry_core.errors import ErrorCode, NotOwnerError, UpstreamLostError
from skylarkferry_core.ids import CallId, UpstreamId
from skylarkferry_core.messages import Fence, Order, Outcome
from skylarkferry_core.outcomes import not_run_outcome, unknown_outcome
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
    """Interface to a driver, for calls in flight when their program ends or moves."""

    abandoned: bool
    """Whether another node drives the program; if so, this node records nothing more."""

    def abandon(self) -> None:
        """Stop driving the program because another node drives it."""

    def finish(self, plan: CallPlan, outcome: Outcome) -> None:
        """Record the outcome of a call."""


class CallAttempts:
    """Runs the calls of one program, each to a single final outcome."""

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
        """Run the call and return its final outcome.

        ``intent`` is an unfinished attempt of an earlier driver.
        Raise ``BudgetExhaustedError``, or ``NotOwnerError`` if another node drives the program.
        """
        if intent is not None:
            outcome = await self._resume_attempt(plan, intent)
            if not _may_retry(plan, outcome):
                return outcome
        return await self._run_attempts(plan)

    async def _run_attempts(self, plan: CallPlan) -> Outcome:
        tried_upstreams: list[UpstreamId] = []
        failures = 0
        attempt_count = 0
        retry_policy = self.context.retry_policy(plan.target.name)
        retry_policy.record_first_attempt()
        while True:
            outcome = await self._try_once(plan, tried_upstreams)
            if not _may_retry(plan, outcome):
                return outcome
            attempt_count += 1
            failures += outcome.error not in _UPSTREAM_UNAVAILABLE
            delay_s = self._delay_s(retry_policy, outcome, failures, attempt_count)
            if delay_s is None:
                return outcome
            self.reservations.close_failed(outcome)
            self.context.log_retry(self.program.program_id, outcome)
            await anyio.sleep(delay_s)

    def _delay_s(
        self, retry_policy: RetryPolicy, outcome: Outcome, failures: int, attempt_count: int
    ) -> float | None:
        """Return the seconds until the next attempt, or ``None`` to stop retrying.

        An attempt without an available upstream does not count as a retry: the call was not run.
        """
        remaining_s = self.program.deadline - self.context.wall_s()
        retry_after_s = outcome.retry_after_s or 0.0
        if outcome.error in _UPSTREAM_UNAVAILABLE:
            delay_s = retry_policy.outage_delay_s(attempt_count, remaining_s)
            return None if delay_s is None else max(delay_s, retry_after_s)
        request = RetryRequest(failures, remaining_s, retry_after_s=retry_after_s)
        return retry_policy.delay_s(request)

    async def _try_once(self, plan: CallPlan, tried_upstreams: list[UpstreamId]) -> Outcome:
        call_id = self.program.call_id(plan.slot)
        await self.reservations.reserve(call_id, plan.need)
        placed = self._place(plan, tried_upstreams)
        if placed is None:
            return not_run_outcome(call_id, ErrorCode.NO_UPSTREAM, "no upstream can take the call")
        tried_upstreams.append(placed.upstream)
        intent = self._intent(plan, call_id, placed.upstream)
        durable = self.record_writer.append(intent)
        if not plan.repeatable:
            await self._wait_durable(plan, intent, durable)
            self.context.log_intended(self.program.program_id, intent)
        return await self._dispatch(plan, intent, placed)

    def _place(self, plan: CallPlan, tried_upstreams: list[UpstreamId]) -> PlacedUpstream | None:
        return self.context.placer.place(plan.target, plan.request, tried_upstreams)

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
                detail = "the program ended before the call was dispatched"
                self.driver.finish(
                    plan, not_run_outcome(intent.call_id, ErrorCode.CANCELLED, detail)
                )
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
                return unknown_outcome(intent.call_id, ErrorCode.UPSTREAM_LOST, error.detail)
            return await resolve_outcome(self.context, intent, self.fence, plan.sink)

    async def _resolve_cancelled(self, plan: CallPlan, intent: CallIntended) -> None:
        """Resolve and record the outcome of a call whose program ends while the call runs."""
        if plan.repeatable or self.driver.abandoned:
            return
        detail = "the program ended while the call ran"
        outcome = unknown_outcome(intent.call_id, ErrorCode.OUTCOME_UNKNOWN, detail)
        with anyio.CancelScope(shield=True):
            with anyio.move_on_after(RESOLVE_GRACE_S):
                outcome = await resolve_outcome(self.context, intent, self.fence, plan.sink)
            self.driver.finish(plan, outcome)

    async def _resume_attempt(self, plan: CallPlan, intent: CallIntended) -> Outcome:
        """Resolve or follow an attempt of an earlier driver of this program."""
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
            return unknown_outcome(intent.call_id, ErrorCode.UPSTREAM_LOST, error.detail)

    def _raise_if_stale(self, outcome: Outcome) -> Outcome:
        """Return the outcome; raise ``NotOwnerError`` if it reports a stale epoch."""
        if outcome.error is ErrorCode.STALE_EPOCH:
            self.driver.abandon()
            raise NotOwnerError("a sidecar has seen a higher epoch of the partition")
        return outcome


def _may_retry(plan: CallPlan, outcome: Outcome) -> bool:
    """Return whether another attempt is safe and may succeed."""
    if outcome.error in _NOT_RETRYABLE:
        return False
    if outcome.word is FinalWord.NOT_RUN:
        return True
    return plan.repeatable and (outcome.error is not None or outcome.word is FinalWord.UNKNOWN)
