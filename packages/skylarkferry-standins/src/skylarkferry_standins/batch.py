"""Slots of a continuous batch, assigned by priority and then by arrival."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio


class Batch:
    """A batch that runs at most ``slots`` sequences at once."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.waiting: list[tuple[int, int, anyio.Event]] = []
        self.arrivals = itertools.count()

    @asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot for the duration of the context; lower priority numbers get a slot first."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self.running < self.slots:
            self.running += 1
            return
        entry = (priority, next(self.arrivals), anyio.Event())
        heapq.heappush(self.waiting, entry)
        try:
            await entry[2].wait()
        except BaseException:
            self._cancel_wait(entry)
            raise

    def _cancel_wait(self, entry: tuple[int, int, anyio.Event]) -> None:
        if entry in self.waiting:
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
        else:
            self._release()

    def _release(self) -> None:
        if self.waiting:
            heapq.heappop(self.waiting)[2].set()
        else:
            self.running -= 1
