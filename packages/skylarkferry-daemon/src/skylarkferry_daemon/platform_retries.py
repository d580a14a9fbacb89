"""Retries platform requests during an outage."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.timers import TimerService

INITIAL_RETRY_S = 0.1
MAX_RETRY_S = 1.0

Answer = TypeVar("Answer")


class PlatformRetrier:
    """Retry failed platform requests and log the start and the end of an outage."""

    def __init__(self, timers: TimerService, events: EventLog) -> None:
        self.timers = timers
        self.events = events
        self.unavailable_since: float | None = None

    async def pause(self, delay_s: float) -> None:
        """Wait ``delay_s`` seconds on the timer service."""
        elapsed = anyio.Event()

        async def end() -> None:
            elapsed.set()

        timer = self.timers.after(delay_s, end)
        try:
            await elapsed.wait()
        finally:
            timer.cancel()

    async def retry_until_answered(self, request: Callable[[], Awaitable[Answer]]) -> Answer:
        """Retry an idempotent request, with exponential backoff, until the platform answers."""
        delay_s = INITIAL_RETRY_S
        while True:
            try:
                answer = await request()
            except PlatformUnavailableError as error:
                self.on_failure(error)
            else:
                self.on_answer()
                return answer
            await self.pause(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_S)

    def on_failure(self, error: PlatformUnavailableError) -> None:
        """Record that a request failed; the first failure starts an outage."""
        if self.unavailable_since is None:
            self.unavailable_since = self.timers.now()
            self.events.emit(EventKind.PLATFORM_LOST, detail=error.detail)

    def on_answer(self) -> None:
        """Record that the platform answered, which ends an outage."""
        if self.unavailable_since is not None:
            lost_s = self.timers.now() - self.unavailable_since
            self.unavailable_since = None
            self.events.emit(EventKind.PLATFORM_BACK, lost_s=f"{lost_s:.1f}")
