"""Sends of one client request: how many, where to, until when, and what is known of them."""

from skylarkferry_core.errors import (
    AnswerTimeoutError,
    ConnectionLostError,
    OverloadedError,
    SkylarkferryError,
)
from skylarkferry_core.ids import ServiceName
from skylarkferry_core.routes import EngineSpec, Route, RoutingTable
from skylarkferry_gateway import defaults
from skylarkferry_gateway.exchanges import Reply
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.upstreams import Upstream

_RETRY_SHARE = 0.45
"""Share of the time left that one send may take while another may follow; two then fit."""
_HANG_OBJECTIVES = 4.0
"""Objectives of the route after which an upstream with free places is taken to hang."""
_STREAM_GAP_S = 1.2
"""Silence after which a resumable stream goes on elsewhere; clients leave after 2 s."""


class Attempts:
    """Sends of one request; ``doubt`` is set once one of them may have run without an answer."""

    def __init__(
        self, request: ClientRequest, route: Route, table: RoutingTable, service: ServiceName
    ) -> None:
        self.request = request
        self.route = route
        self.table = table
        self.service = service
        self.deadline = request.received_at + min(request.metadata.time_left_s, route.timeout_s)
        self.client_deadline = request.received_at + request.metadata.time_left_s
        self.attempts_made = 0
        self.tried_upstreams: set[Upstream] = set()
        self.ambiguous_error: SkylarkferryError | None = None
        self.last_reply: tuple[Reply, bytes] | None = None

    @property
    def engine(self) -> EngineSpec | None:
        """Return the model engine behind the service, if it is one."""
        spec = self.table.services.get(self.service)
        return spec.engine if spec is not None else None

    def remaining_s(self, now: float) -> float:
        """Return the seconds until client or route give up."""
        return self.deadline - now

    def can_attempt(self, now: float) -> bool:
        """Tell whether another send is allowed and has time."""
        if self.ambiguous_error is not None and not self.route.is_repeatable:
            return False
        has_time = self.remaining_s(now) >= defaults.MIN_ATTEMPT_S
        return has_time and self.attempts_made < max(self.route.max_attempts, 1)

    def reply_deadline(self, now: float, has_others: bool, *, is_full: bool) -> float:
        """Return the monotonic time by which the head of an answer must come.

        An upstream with free places that is silent for several times the route's objective hangs.
        """
        if not (
            self.route.is_repeatable and has_others and self.attempts_made < self.route.max_attempts
        ):
            return self.deadline + defaults.DEADLINE_SLACK_S
        wait_s = self.remaining_s(now) * _RETRY_SHARE
        if not is_full:
            wait_s = min(wait_s, _HANG_OBJECTIVES * self.route.target_latency_s)
        return now + max(wait_s, defaults.MIN_ATTEMPT_S)

    def event_deadline(self, now: float) -> float:
        """Return the monotonic time by which a stream must go on."""
        limit = self.deadline + defaults.DEADLINE_SLACK_S
        if self.route.is_resumable and self.attempts_made < self.route.max_attempts:
            return min(now + _STREAM_GAP_S, limit)
        return limit

    def final_error(self, now: float) -> SkylarkferryError:
        """Return the final answer when no send is left: in doubt, or certainly not run."""
        if self.ambiguous_error is not None:
            if self.remaining_s(now) <= 0:
                return AnswerTimeoutError("no answer came in time; the request may have run")
            return ConnectionLostError(self.ambiguous_error.detail)
        return OverloadedError("no upstream took the request", retry_after_s=defaults.RETRY_AFTER_S)
