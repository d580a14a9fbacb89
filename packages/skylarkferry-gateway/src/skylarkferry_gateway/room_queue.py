"""Work that waits until there is room for it, in the order of its arrival."""

from collections import deque
from collections.abc import Callable

import anyio


class _Waiter:
    def __init__(self, take: Callable[[], bool]) -> None:
        self.take = take
        self.admitted = anyio.Event()


class RoomQueue:
    """Callers that wait for room; a later one is never admitted before an earlier one.

    Those that are ``urgent`` go before those that are only ``waiting``.
    """

    def __init__(self) -> None:
        self.urgent: deque[_Waiter] = deque()
        self.waiting: deque[_Waiter] = deque()

    async def wait(
        self, take: Callable[[], bool], give_back: Callable[[], None], *, is_urgent: bool = False
    ) -> None:
        """Return once ``take`` has taken room; it returns whether there was enough.

        ``give_back`` undoes it if the caller is cancelled in the same moment.
        """
        queue = self.urgent if is_urgent else self.waiting
        if not self.urgent and (is_urgent or not queue) and take():
            return
        waiter = _Waiter(take)
        queue.append(waiter)
        try:
            await waiter.admitted.wait()
        except BaseException:
            if waiter.admitted.is_set():
                give_back()
            else:
                queue.remove(waiter)
            self.admit()
            raise

    def admit(self) -> None:
        """Admit those for whom there is room now; to be called whenever room returns."""
        while queue := self.urgent or self.waiting:
            if not queue[0].take():
                return
            queue.popleft().admitted.set()
