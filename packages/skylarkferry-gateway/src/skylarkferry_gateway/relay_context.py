"""Functions shared by the relays: placement, request metadata, health accounting and logging."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import anyio

from skylarkferry_core.breakers import BreakerState
from skylarkferry_core.errors import (
    OverloadedError,
    PlatformUnavailableError,
    SkylarkferryError,
    UpstreamLostError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.background_tasks import TaskStarter
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.body_window import BodyInWindow
from skylarkferry_gateway.crash_watch import CrashWatch
from skylarkferry_gateway.exchanges import Exchange, Reply, UpstreamFullError
from skylarkferry_gateway.held_memory import MemoryAccount, MemoryUse
from skylarkferry_gateway.interfaces import HeaderCodec
from skylarkferry_gateway.messages import UpstreamRequestMetadata
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.selection import Selection, UpstreamSelector
from skylarkferry_gateway.stream_resumptions import StreamResumptions
from skylarkferry_gateway.upstream_log import UpstreamLog
from skylarkferry_gateway.upstream_reports import UpstreamReports
from skylarkferry_gateway.upstream_views import AttemptOutcome
from skylarkferry_gateway.upstreams import Upstream

_FIRST_PRIORITY = 1
_PRIORITY_STEP = 3
_LAST_PRIORITY = 9
"""Engine priorities range from 0, the highest, to 9; routes are spaced to leave levels between."""


_BODY_WAIT_SHARE = 1 / 3
"""Part of the time left for which a large body waits for room at an upstream."""


class RelayContext:
    """Components shared by all relays of one process."""

    def __init__(
        self,
        codec: HeaderCodec,
        selector: UpstreamSelector,
        crashes: CrashWatch,
        resumptions: StreamResumptions,
        memory: MemoryAccount,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.codec = codec
        self.memory = memory
        self.response_memory = memory.shares[MemoryUse.RESPONSES]
        self.crashes = crashes
        self.resumptions = resumptions
        self.reports = UpstreamReports(selector.limits, UpstreamLog(log, metrics), log)
        self.tasks: TaskStarter | None = None
        self.selector = selector
        self.log = log
        self.metrics = metrics

    async def choose_upstream(self, attempts: Attempts, now: float) -> Selection | None:
        """Return the next upstream, or ``None`` if none may be tried; log the decision."""
        attempts.refusal = self.crashes.refusal(attempts.request)
        if attempts.refusal is not None:
            return None
        decision = None
        # Without an upstream, the response is known, and is not held until a token is there.
        if attempts.charge is None or self.selector.has_untried(attempts):
            if attempts.charge is not None:
                attempts.refusal = await attempts.charge.prepare(attempts.deadline)
                if attempts.refusal is not None:
                    return None
            decision = await self._select(attempts)
        if decision is None:
            if self.selector.is_limited(attempts):
                attempts.refusal = self._refuse_beyond_limits(attempts)
            elif self.selector.needs_store(attempts):
                attempts.refusal = PlatformUnavailableError(
                    "the version of the stream cannot be recorded"
                )
            return None
        if decision.upstream.limit is not None:
            self.selector.limits.on_request(decision.upstream)
            self.metrics.limited_attempts.inc()
        source = "view" if decision.ticket is None else "coordinator"
        self.metrics.placements.labels(source=source).inc()
        self._log_decision(attempts, decision, now)
        return decision

    async def _select(self, attempts: Attempts) -> Selection | None:
        """Return the next upstream; choose again if it filled up while a coordinator was asked."""
        decision = await self.selector.select(attempts)
        if decision is None or decision.upstream.bodies.has_room_for(attempts.body_bytes):
            return decision
        self.selector.on_attempt_ended(decision)
        return await self.selector.select(attempts)

    def _refuse_beyond_limits(self, attempts: Attempts) -> SkylarkferryError:
        self.metrics.limit_refusals.inc()
        self.log.emit(
            EventKind.GATEWAY_LIMIT_REACHED,
            attempts.request.metadata.program_id,
            request=attempts.request.metadata.request_id,
            service=attempts.service,
        )
        return OverloadedError(
            "the upstreams accept no more requests now", retry_after_s=defaults.RETRY_AFTER_S
        )

    def _log_decision(self, attempts: Attempts, decision: Selection, now: float) -> None:
        limit = decision.upstream.limit
        self.log.emit(
            EventKind.GATEWAY_PLACED,
            attempts.request.metadata.program_id,
            request=attempts.request.metadata.request_id,
            upstream=decision.upstream.entry.upstream,
            version=decision.upstream.entry.software_version,
            service=attempts.service,
            resumes=attempts.request.metadata.resumed_request,
            send=attempts.attempts_made + 1,
            requests=decision.requests,
            coordinator=decision.ticket.coordinator if decision.ticket is not None else "none",
            limit=f"{limit.per_s:g}" if limit is not None else "none",
            report_age_ms=_ms_text(decision.report_age_s),
            cached=decision.cached_tokens,
            left_ms=_ms_text(attempts.remaining_s(now)),
            **self._slowdown_field(decision, now),
        )

    def _slowdown_field(self, decision: Selection, now: float) -> dict[str, float]:
        slowdown = decision.upstream.local.slowdown
        return {"slowdown": round(slowdown.value(now), 2)} if slowdown.is_reported else {}

    @asynccontextmanager
    async def exchange(self, attempts: Attempts, decision: Selection) -> AsyncIterator[Exchange]:
        """Begin an exchange with an upstream once it has room for the request's body.

        Raise ``UpstreamFullError``, with nothing sent, if it has none for too long.
        """
        body = BodyInWindow(decision.upstream.bodies, attempts.body_bytes)
        await self._enter(body, attempts, decision)
        try:
            async with Exchange(
                decision.upstream,
                self.codec,
                self.response_memory,
                body=body,
                log=self.log,
                metrics=self.metrics,
            ) as exchange:
                yield exchange
        finally:
            body.leave()

    async def _enter(self, body: BodyInWindow, attempts: Attempts, decision: Selection) -> None:
        """Wait for room for a body, as long as a retry elsewhere still fits."""
        if attempts.body_bytes <= defaults.COUNTED_BODY_BYTES:
            return
        began = anyio.current_time()
        wait_s = max(attempts.remaining_s(began), 0) * _BODY_WAIT_SHARE
        try:
            with anyio.fail_after(wait_s):
                await body.enter()
        except TimeoutError as error:
            self._refuse_body(attempts, decision, wait_s)
            raise UpstreamFullError("the upstream has no room for another large body") from error
        self.metrics.body_wait.observe(anyio.current_time() - began)
        if attempts.has_client_left():
            body.leave()
            attempts.has_given_up = True
            raise UpstreamFullError("the client left while its body waited")

    def _refuse_body(self, attempts: Attempts, decision: Selection, waited_s: float) -> None:
        window = decision.upstream.bodies
        attempts.has_given_up = True
        attempts.refusal = OverloadedError(
            "the upstream has no room for another large request body",
            retry_after_s=round(max(waited_s, defaults.RETRY_AFTER_S), 3),
        )
        self.metrics.body_refusals.inc()
        self.log.emit(
            EventKind.GATEWAY_BODIES_FULL,
            attempts.request.metadata.program_id,
            request=attempts.request.metadata.request_id,
            upstream=decision.upstream.entry.upstream,
            bytes=attempts.body_bytes,
            unread_bytes=window.unread_bytes,
            unanswered_bytes=window.unanswered_bytes,
            waiting=len(window.queue.waiting),
            waited_ms=round(waited_s * 1_000),
        )

    def reply_deadline(self, attempts: Attempts, decision: Selection, now: float) -> float:
        """Return the monotonic time by which the response head must arrive."""
        has_alternatives = self.selector.has_untried(attempts)
        is_full = decision.requests >= decision.upstream.local.slots
        return attempts.reply_deadline(now, has_alternatives, is_full=is_full)

    def upstream_request_metadata(
        self,
        attempts: Attempts,
        decision: Selection,
        now: float,
        last_event_id: int | None = None,
    ) -> UpstreamRequestMetadata:
        """Return the metadata to send to the upstream with the request."""
        priority = None
        if attempts.engine is not None:
            priority = min(_FIRST_PRIORITY + _PRIORITY_STEP * attempts.priority, _LAST_PRIORITY)
        remaining_s = attempts.remaining_s(now)
        customer = attempts.request.customer
        return UpstreamRequestMetadata(
            remaining_s,
            decision.upstream.entry.upstream,
            priority,
            last_event_id,
            customer.name if customer is not None else None,
        )

    def is_listed_since(self, opened_at: float) -> bool:
        """Return whether the list tells of the process at the end of a connection.

        It does if it is current, or was read while the connection was open.
        """
        read_at = self.selector.upstreams.read_at
        if read_at is None:
            return False
        return read_at >= opened_at or anyio.current_time() - read_at <= defaults.LIST_OUTAGE_S

    def report_other_process(self, attempts: Attempts, upstream: Upstream, born_ms: int) -> None:
        """Log an upstream whose process is not the listed one, so that it does not get a stream."""
        self.metrics.start_time_checks.labels(outcome="other").inc()
        read_at = self.selector.upstreams.read_at
        self.log.emit(
            EventKind.GATEWAY_OTHER_PROCESS,
            attempts.request.metadata.program_id,
            request=attempts.request.metadata.request_id,
            upstream=upstream.entry.upstream,
            listed_born_ms=upstream.entry.born_ms,
            born_ms=born_ms,
            list_age_ms=_ms_text(anyio.current_time() - read_at if read_at is not None else None),
        )

    def on_reply(self, decision: Selection, reply: Reply) -> None:
        """Apply what the upstream reports about itself in a response head."""
        if reply.status != HTTPStatus.MISDIRECTED_REQUEST:
            now = anyio.current_time()
            self.reports.apply(decision.upstream, reply.metadata.report, now)
            decision.load, decision.load_at = reply.metadata.report.load, now

    def check_slowdown(self, attempts: Attempts, decision: Selection, sent_at: float) -> None:
        """Compare the slowdown that a plain service reports with the time of a complete call."""
        slowdown = decision.upstream.local.slowdown
        now = anyio.current_time()
        if attempts.engine is None and slowdown.is_reported and now > sent_at:
            slowdown.check(1.0 / (now - sent_at), now)

    def on_failure_status(self, decision: Selection, reply: Reply) -> None:
        """Count a failure against the upstream, except a timeout response sent at the deadline."""
        if reply.status == HTTPStatus.GATEWAY_TIMEOUT:
            self.count_success(decision)
        else:
            self.count_failure(decision)

    def count_success(self, decision: Selection) -> None:
        """Count a success for the upstream."""
        self._count(decision, AttemptOutcome.SERVED)

    def count_refusal(self, decision: Selection) -> None:
        """Count a refusal."""
        self._count(decision, AttemptOutcome.REFUSED)

    def count_failure(self, decision: Selection, error: SkylarkferryError | None = None) -> None:
        """Count a failure against the upstream."""
        is_unreachable = isinstance(error, UpstreamLostError)
        self._count(
            decision, AttemptOutcome.UNREACHABLE if is_unreachable else AttemptOutcome.FAILED
        )

    def count_abandoned(self, decision: Selection) -> None:
        """Record that an attempt ended without an outcome at the upstream."""
        self._count(decision, AttemptOutcome.ABANDONED)

    def _count(self, decision: Selection, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt; log if the upstream's circuit breaker changes."""
        decision.outcome = outcome
        view = decision.upstream.local
        before = view.breaker.state
        view.record_outcome(outcome, anyio.current_time())
        self._log_breaker(decision.upstream, before)

    def _log_breaker(self, upstream: Upstream, before: BreakerState) -> None:
        breaker = upstream.local.breaker
        if breaker.state is not before:
            self.log.emit(
                EventKind.GATEWAY_BREAKER,
                upstream=upstream.entry.upstream,
                before=before.value,
                after=breaker.state.value,
                open_s=breaker.open_s,
            )

    def report_failed_attempt(
        self, attempts: Attempts, decision: Selection, error: SkylarkferryError
    ) -> None:
        """Log an attempt without a valid response."""
        upstream = decision.upstream
        self.metrics.failed_sends.labels(outcome=error.code.value).inc()
        self.log.emit(
            EventKind.GATEWAY_ATTEMPT_FAILED,
            attempts.request.metadata.program_id,
            request=attempts.request.metadata.request_id,
            upstream=upstream.entry.upstream,
            send=attempts.attempts_made,
            code=error.code.value,
            word=error.word.value if error.word else "",
            detail=error.detail,
            breaker=upstream.local.breaker.state.value,
        )

    def check_for_crash(self, attempts: Attempts, decision: Selection) -> None:
        """Check in the background if the upstream's process ended under a lost attempt."""
        if self.tasks is not None:
            self.tasks.start_soon(
                self.crashes.on_attempt_lost,
                attempts.request,
                decision.upstream,
                decision.alive_at,
            )


def _ms_text(duration_s: float | None) -> str:
    """Format a duration for the log; ``none`` if it is not known or has no end."""
    if duration_s is None or math.isinf(duration_s):
        return "none"
    return str(round(duration_s * 1_000))
