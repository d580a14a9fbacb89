"""Circuit breaker of an upstream."""

from collections import deque
from enum import Enum

_FAILURES_TO_OPEN = 5
_WINDOW = 20
_FAILURE_RATIO = 0.5
_OPEN_S = 1.0
_MAX_OPEN_S = 30.0


class BreakerState(Enum):
    """State of a breaker: all calls pass, none pass, or one trial call passes."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Block calls to a failing upstream, then admit single trial calls.

    The breaker opens on consecutive failures or on the failure ratio of the last outcomes; each
    failed trial doubles the time that it stays open.
    """

    def __init__(self, open_s: float = _OPEN_S, max_open_s: float = _MAX_OPEN_S) -> None:
        self.initial_open_s = open_s
        self.max_open_s = max_open_s
        self.open_s = open_s
        self.state = BreakerState.CLOSED
        self.opened_at = 0.0
        self.outcomes: deque[bool] = deque(maxlen=_WINDOW)

    def allows(self, now: float) -> bool:
        """Return whether a call could be sent at ``now``, without sending one."""
        if self.state is BreakerState.OPEN:
            return now - self.opened_at >= self.open_s
        return self.state is BreakerState.CLOSED

    def begin(self, now: float) -> None:
        """Record that a call is sent; the first call after the open time is the trial."""
        if self.state is BreakerState.OPEN and self.allows(now):
            self.state = BreakerState.HALF_OPEN

    def interrupted(self) -> None:
        """Abandon a call without an outcome; if it was the trial, the next call replaces it."""
        if self.state is BreakerState.HALF_OPEN:
            self.state = BreakerState.OPEN

    def succeeded(self) -> None:
        """Record a call that the upstream answered."""
        if self.state is BreakerState.HALF_OPEN:
            self._close()
        self.outcomes.append(True)

    def failed(self, now: float) -> None:
        """Record a call that failed at the upstream."""
        if self.state is BreakerState.HALF_OPEN:
            self.open_s = min(self.open_s * 2, self.max_open_s)
            self._open(now)
            return
        self.outcomes.append(False)
        if self.state is BreakerState.CLOSED and self._too_many_failures():
            self._open(now)

    def _too_many_failures(self) -> bool:
        recent = list(self.outcomes)[-_FAILURES_TO_OPEN:]
        if len(recent) == _FAILURES_TO_OPEN and not any(recent):
            return True
        failures = self.outcomes.count(False)
        return len(self.outcomes) == _WINDOW and failures >= _FAILURE_RATIO * _WINDOW

    def _open(self, now: float) -> None:
        self.state = BreakerState.OPEN
        self.opened_at = now
        self.outcomes.clear()

    def _close(self) -> None:
        self.state = BreakerState.CLOSED
        self.open_s = self.initial_open_s
        self.outcomes.clear()
