"""Wakes tasks that wait for a change."""

import anyio


class ChangeSignal:
    """Count changes; allocate an event only while a task waits, to save memory."""

    def __init__(self) -> None:
        self.count = 0
        self.event: anyio.Event | None = None

    def notify(self) -> None:
        """Count a change and wake all waiting tasks."""
        self.count += 1
        if self.event is not None:
            self.event.set()
            self.event = None

    async def wait_beyond(self, count: int) -> None:
        """Wait until more than ``count`` changes were counted."""
        while self.count <= count:
            if self.event is None:
                self.event = anyio.Event()
            await self.event.wait()
