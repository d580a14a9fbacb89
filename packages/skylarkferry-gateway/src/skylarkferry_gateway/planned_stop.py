"""Time that a planned stop of the process leaves to requests."""

import math

import anyio

from skylarkferry_core.errors import ProcessStoppingError, SkylarkferryError
from skylarkferry_gateway import defaults


class PlannedStop:
    """Bound on the requests that arrive after the process has been told to stop.

    ``answer_by`` is the monotonic time by which each of them has its final answer.
    ``is_accepting`` is whether clients may still open connections, which they do until they know
    of the stop; it ends before any client can find the listener closed.
    """

    def __init__(self) -> None:
        self.answer_by = math.inf
        self.is_accepting = True

    def begin(self, end: float) -> None:
        """Bound requests by the monotonic time at which the process cuts what is unfinished."""
        self.answer_by = end - defaults.DEADLINE_SLACK_S - defaults.STOP_ANSWER_S

    def first_request_by(self) -> float:
        """Return the monotonic time until which open connections may send a first request."""
        return min(anyio.current_time() + defaults.STOP_FIRST_REQUEST_S, self.answer_by)

    def refusal(self, deadline: float) -> SkylarkferryError | None:
        """Return the error for a request that might not be answered in time, else ``None``."""
        if self.is_accepting or deadline <= self.answer_by:
            return None
        return ProcessStoppingError(
            "the process stops before the request's time limit",
            retry_after_s=defaults.STOP_RETRY_AFTER_S,
        )
