"""Timer service: components subscribe to it instead of running their own sleep loops."""

import heapq
import itertools
import math
from collections.abc import Awaitable, Callable

import anyio

from skylarkferry_daemon.background_tasks import TaskStarter

LATE_THRESHOLD_S = 0.5

Callback = Callable[[], Awaitable[None]]


class Subscription:
    """A pending timer; ``interval_s`` is ``None`` for a one-shot timer."""

    def __init__(self, callback: Callback, interval_s: float | None) -> None:
        self.callback = callback
        self.interval_s = interval_s
        self.cancelled = False
        self.running = False

    def cancel(self) -> None:
        """Stop the timer; a callback that is already running continues."""
        self.cancelled = True

    @property
    def name(self) -> str:
        """Return the callback's name, for the log."""
        return getattr(self.callback, "__qualname__", repr(self.callback))

    async def run(self) -> None:
        """Call the callback; until it ends, the timer fires no other call."""
        self.running = True
        try:
            await self.callback()
        finally:
            self.running = False


class TimerService:
    """Run callbacks at monotonic times, each in its own task.

    If a periodic callback is still running when it is due again, that run is skipped.
    ``last_late_at`` is the last time a timer fired more than ``LATE_THRESHOLD_S`` late, which
    means that the process was suspended or its event loop blocked.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Subscription]] = []
        self.insertion_order = itertools.count()
        self.changed = anyio.Event()
        self.last_late_at = -math.inf

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return anyio.current_time()

    def every(self, interval_s: float, callback: Callback) -> Subscription:
        """Call ``callback`` every ``interval_s`` seconds, first after one interval."""
        return self._add(interval_s, Subscription(callback, interval_s))

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call ``callback`` once, ``delay_s`` seconds from now."""
        return self._add(delay_s, Subscription(callback, None))

    def _add(self, delay_s: float, subscription: Subscription) -> Subscription:
        due = self.now() + delay_s
        heapq.heappush(self.heap, (due, next(self.insertion_order), subscription))
        if self.heap[0][2] is subscription:
            self.changed.set()
        return subscription

    async def run(self, tasks: TaskStarter) -> None:
        """Fire timers until cancelled; run the callbacks in ``tasks``."""
        while True:
            self._fire_due(tasks)
            await self._wait()

    def _fire_due(self, tasks: TaskStarter) -> None:
        now = self.now()
        if self.heap and now - self.heap[0][0] > LATE_THRESHOLD_S:
            self.last_late_at = now
        while self.heap and self.heap[0][0] <= now:
            due, _, subscription = heapq.heappop(self.heap)
            if subscription.cancelled:
                continue
            if not subscription.running:
                tasks.start_soon(subscription.run, name=subscription.name)
            if subscription.interval_s is not None:
                self._add(max(due + subscription.interval_s - now, 0.0), subscription)

    async def _wait(self) -> None:
        self.changed = anyio.Event()
        delay_s = self.heap[0][0] - self.now() if self.heap else math.inf
        with anyio.move_on_after(delay_s):
            await self.changed.wait()
