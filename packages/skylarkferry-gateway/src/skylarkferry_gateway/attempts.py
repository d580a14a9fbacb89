"""Retry state of one client request: attempts made, upstreams tried, deadlines, last error."""

import math
from collections.abc import Callable

from skylarkferry_core.errors import (
    AnswerTimeoutError,
    ConnectionLostError,
    OverloadedError,
    SkylarkferryError,
    UpstreamLostError,
)
from skylarkferry_core.ids import ServiceName
from skylarkferry_core.routes import EngineSpec, Route, RoutingTable
from skylarkferry_core.states import FinalWord
from skylarkferry_gateway import defaults
from skylarkferry_gateway.exchanges import Reply
from skylarkferry_gateway.held_memory import HeldBytes
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.quota_charges import QuotaCharge
from skylarkferry_gateway.stream_origins import StreamRow
from skylarkferry_gateway.upstreams import Upstream

_RETRYABLE_ATTEMPT_SHARE = 0.45
"""Share of the remaining time for an attempt that may be retried, so that two attempts fit."""
_HANG_LATENCY_FACTOR = 4.0
"""An upstream with free slots counts as hung after this multiple of the route's target latency."""
_STREAM_SILENCE_S = 1.2
"""Silence after which a resumable stream moves to another upstream; clients time out after 2 s."""


def deadline_of(request: ClientRequest, route: Route) -> float:
    """Return the monotonic time of the earlier of the client's deadline and the route's timeout."""
    return request.received_at + min(request.metadata.time_left_s, route.timeout_s)


class Attempts:
    """Attempts for one request.

    ``ambiguous_error`` is the error of an attempt whose request the upstream may have executed;
    ``refusal`` is the reason why no further attempt is allowed although time is left.
    ``required_version`` is the software version at which a stream that has begun must go on;
    ``stream_row`` is the row by which the version of the last attempt is recorded, if it is;
    ``is_stream_kept`` is whether the stream counts as relayed, ``has_moved`` whether its path has
    led to other services lately.
    ``has_given_up`` is whether ``refusal`` ends the request.
    ``answer_by`` bounds the deadline at a planned stop.  ``charge`` holds the tokens of its
    customer's quota, ``None`` without a quota.  ``held`` is the memory of complete responses,
    ``body_bytes`` the size of the body that upstreams get.
    """

    def __init__(
        self,
        request: ClientRequest,
        route: Route,
        table: RoutingTable,
        service: ServiceName,
        answer_by: float = math.inf,
    ) -> None:
        self.request = request
        self.route = route
        self.table = table
        self.service = service
        self.deadline = min(deadline_of(request, route), answer_by)
        self.client_deadline = request.received_at + request.metadata.time_left_s
        self.attempts_made = 0
        self.tried_upstreams: set[Upstream] = set()
        self.ambiguous_error: SkylarkferryError | None = None
        self.refusal: SkylarkferryError | None = None
        self.has_given_up = False
        self.has_client_left: Callable[[], bool] = lambda: False
        self.last_reply: tuple[Reply, bytes] | None = None
        self.held: list[HeldBytes] = []
        self.body_bytes = len(request.body)
        self.required_version: str | None = None
        self.stream_row: StreamRow | None = None
        self.is_stream_kept = False
        self.has_moved = False
        self.charge: QuotaCharge | None = None

    def count_sent(self) -> None:
        """Count an attempt that is about to be sent."""
        self.attempts_made += 1
        if self.charge is not None:
            self.charge.on_sent()

    def count_failed(self, error: SkylarkferryError) -> None:
        """Give the attempt's token back if the request certainly did not run.

        Only the loss of an upstream and its refusal say so; other errors may come after it ran.
        """
        is_lost = isinstance(error, UpstreamLostError) and error.word is FinalWord.NOT_RUN
        if is_lost and self.charge is not None:
            self.charge.on_not_run()

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether the request may be sent to the upstream, which takes new requests."""
        if upstream in self.tried_upstreams:
            return False
        return self.required_version in (None, upstream.entry.software_version)

    def release_held(self) -> None:
        """Release the memory of the responses, once the client has its response."""
        for held in self.held:
            held.release()
        self.held.clear()

    @property
    def engine(self) -> EngineSpec | None:
        """Return the engine parameters if the service is a model engine, else ``None``."""
        spec = self.table.services.get(self.service)
        return spec.engine if spec is not None else None

    @property
    def priority(self) -> int:
        """Return the priority of the request's customer or, if it has none, of the route."""
        priority = self.request.priority
        return priority if priority is not None else self.route.priority

    @property
    def idle_limit_s(self) -> float:
        """Return the longest idle time of a connection that may carry the request, in seconds."""
        if self.route.is_repeatable:
            return defaults.POOL_IDLE_S
        return defaults.NON_IDEMPOTENT_IDLE_S

    @property
    def reply_limit(self) -> float:
        """Return the monotonic time after which no upstream is waited for."""
        return self.deadline + defaults.DEADLINE_SLACK_S

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the earlier of the client's deadline and the route's timeout."""
        return self.deadline - now

    def can_attempt(self, now: float) -> bool:
        """Return whether another attempt is allowed and enough time remains for it."""
        if self.has_given_up:
            return False
        if self.ambiguous_error is not None and not self.route.is_repeatable:
            return False
        has_time = self.remaining_s(now) >= defaults.MIN_ATTEMPT_S
        return has_time and self.attempts_made < max(self.route.max_attempts, 1)

    def reply_deadline(self, now: float, has_alternatives: bool, *, is_full: bool) -> float:
        """Return the monotonic time by which the response head must arrive.

        An upstream with free slots that stays silent for several times the route's target latency
        is considered hung.
        """
        if not (
            self.route.is_repeatable
            and has_alternatives
            and self.attempts_made < self.route.max_attempts
        ):
            return self.reply_limit
        timeout_s = self.remaining_s(now) * _RETRYABLE_ATTEMPT_SHARE
        if not is_full:
            timeout_s = min(timeout_s, _HANG_LATENCY_FACTOR * self.route.target_latency_s)
        return now + max(timeout_s, defaults.MIN_ATTEMPT_S)

    def event_deadline(self, now: float) -> float:
        """Return the monotonic time by which the next bytes of a stream must arrive."""
        if self.route.is_resumable and self.attempts_made < self.route.max_attempts:
            return min(now + _STREAM_SILENCE_S, self.reply_limit)
        return self.reply_limit

    def final_error(self, now: float) -> SkylarkferryError:
        """Return the error for the client when no attempt is left.

        The error states whether the request may have been executed or was certainly not executed.
        """
        if self.ambiguous_error is not None:
            if self.remaining_s(now) <= 0:
                return AnswerTimeoutError("no response in time; the request may have been executed")
            return ConnectionLostError(self.ambiguous_error.detail)
        if self.refusal is not None:
            return self.refusal
        return OverloadedError(
            "no upstream accepted the request", retry_after_s=defaults.RETRY_AFTER_S
        )
