"""What the relays share: choice, order headers, what answers teach, and the log of decisions."""

from http import HTTPStatus

import anyio
from anyio.abc import TaskGroup

from skylarkferry_core.breakers import BreakerState
from skylarkferry_core.errors import (
    ConnectionLostError,
    SkylarkferryError,
    UpstreamLostError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.crash_watch import CrashWatch
from skylarkferry_gateway.exchanges import Reply
from skylarkferry_gateway.interfaces import HeaderCodec
from skylarkferry_gateway.messages import UpstreamRequestMetadata
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.placement import PlacementDecision, Placer
from skylarkferry_gateway.upstreams import Upstream

_FIRST_LEVEL = 1
_LEVEL_STEP = 3
_UNREACHABLE_WEIGHT = 3.0
"""Failures that an upstream without a connection counts for: each next try costs a timeout."""
_LAST_LEVEL = 9
"""Engine priorities, 0 to 9 with 0 first: a route's rank in steps that leave room between."""


class RelayContext:
    """Parts that every relay of one process uses."""

    def __init__(
        self,
        codec: HeaderCodec,
        placer: Placer,
        crashes: CrashWatch,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.codec = codec
        self.crashes = crashes
        self.tasks: TaskGroup | None = None
        self.placer = placer
        self.log = log
        self.metrics = metrics

    def choose_upstream(self, attempts: Attempts, now: float) -> PlacementDecision | None:
        """Return the next upstream, or ``None`` when none is left; log what decided."""
        choice = self.placer.place(attempts, now)
        if choice is not None:
            self._log_choice(attempts, choice, now)
        return choice

    def _log_choice(self, attempts: Attempts, choice: PlacementDecision, now: float) -> None:
        self.log.emit(
            EventKind.GATEWAY_PLACED,
            attempts.request.metadata.program_id,
            request=attempts.request.metadata.request_id,
            upstream=choice.upstream.entry.upstream,
            service=attempts.service,
            send=attempts.attempts_made + 1,
            requests=choice.requests,
            load_age_ms=_milliseconds(choice.load_age_s),
            cached=choice.cached_tokens,
            left_ms=round(attempts.remaining_s(now) * 1_000),
        )

    def reply_deadline(self, attempts: Attempts, choice: PlacementDecision, now: float) -> float:
        """Return the monotonic time by which the head of an answer must come."""
        has_others = self.placer.has_untried(attempts)
        is_full = choice.requests >= choice.upstream.slots
        return attempts.reply_deadline(now, has_others, is_full=is_full)

    def upstream_request_metadata(
        self,
        attempts: Attempts,
        choice: PlacementDecision,
        now: float,
        last_event_id: int | None = None,
    ) -> UpstreamRequestMetadata:
        """Return what the upstream is told with the request."""
        level = None
        if attempts.engine is not None:
            level = min(_FIRST_LEVEL + _LEVEL_STEP * attempts.route.priority, _LAST_LEVEL)
        left_s = attempts.remaining_s(now)
        return UpstreamRequestMetadata(left_s, choice.upstream.entry.upstream, level, last_event_id)

    def on_reply(self, upstream: Upstream, reply: Reply) -> None:
        """Learn from an answer's head."""
        if reply.metadata.load is not None:
            upstream.update_load(reply.metadata.load, anyio.current_time())

    def on_failure_status(self, upstream: Upstream, reply: Reply) -> None:
        """Count a failure against its upstream, but not a deadline that it kept to."""
        if reply.status == HTTPStatus.GATEWAY_TIMEOUT:
            self.count_success(upstream)
        else:
            self.count_failure(upstream)

    def count_success(self, upstream: Upstream) -> None:
        """Count an answer for its upstream; log when its breaker closes."""
        before = upstream.breaker.state
        upstream.breaker.succeeded()
        upstream.evidence.observe(anyio.current_time(), is_failure=False)
        self._log_breaker(upstream, before)

    def count_refusal(self, upstream: Upstream) -> None:
        """Count a refusal: evidence against an upstream that is not full."""
        before = upstream.breaker.state
        upstream.breaker.succeeded()
        is_full = upstream.requests() >= upstream.slots
        upstream.evidence.observe(anyio.current_time(), is_failure=not is_full)
        self._log_breaker(upstream, before)

    def count_failure(self, upstream: Upstream, error: SkylarkferryError | None = None) -> None:
        """Count a failure against its upstream; log when its breaker opens."""
        before = upstream.breaker.state
        now = anyio.current_time()
        upstream.breaker.failed(now)
        weight = _UNREACHABLE_WEIGHT if isinstance(error, UpstreamLostError) else 1.0
        upstream.evidence.observe(now, True, weight)
        self._log_breaker(upstream, before)

    def _log_breaker(self, upstream: Upstream, before: BreakerState) -> None:
        breaker = upstream.breaker
        if breaker.state is not before:
            self.log.emit(
                EventKind.GATEWAY_BREAKER,
                upstream=upstream.entry.upstream,
                before=before.value,
                after=breaker.state.value,
                open_s=breaker.open_s,
            )

    def report_failed_attempt(
        self, attempts: Attempts, choice: PlacementDecision, error: SkylarkferryError
    ) -> None:
        """Log a send without an answer that counts."""
        upstream = choice.upstream
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
            breaker=upstream.breaker.state.value,
        )
        if isinstance(error, ConnectionLostError) and self.tasks is not None:
            self.tasks.start_soon(self.crashes.on_connection_lost, attempts.request, upstream)


def idle_limit_s(attempts: Attempts) -> float:
    """Return how long a connection may have been idle to carry the request."""
    if attempts.route.is_repeatable:
        return defaults.POOL_IDLE_S
    return defaults.NON_IDEMPOTENT_IDLE_S


def _milliseconds(age_s: float | None) -> str:
    """Return an age for the log; an upstream that was not heard of has none."""
    return "none" if age_s is None else str(round(age_s * 1_000))
