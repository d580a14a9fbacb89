"""Wake tasks that wait for a change."""

import anyio


class ChangeSignal:
    """Counts changes; it holds no event, and so next to no memory, while nobody waits."""

    def __init__(self) -> None:
        self.count = 0
        self.event: anyio.Event | None = None

    def notify(self) -> None:
        """Count a change and wake all that wait."""
        self.count += 1
        if self.event is not None:
            self.event.set()
            self.event = None

    async def wait_beyond(self, count: int) -> None:
        """Return once there were more changes than ``count``."""
        while self.count <= count:
            if self.event is None:
                self.event = anyio.Event()
            await self.event.wait()
