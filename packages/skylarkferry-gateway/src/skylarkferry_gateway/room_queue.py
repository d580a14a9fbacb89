"""Work that waits until there is room for it, in the order of its arrival."""

from collections import deque
from collections.abc import Callable

import anyio


class _Waiter:
    def __init__(self, take: Callable[[], bool]) -> None:
        self.take = take
        self.admitted = anyio.Event()


class RoomQueue:
    """Callers that wait for room; a later one is never admitted before an earlier one."""

    def __init__(self) -> None:
        self.waiting: deque[_Waiter] = deque()

    async def wait(
        self, take: Callable[[], bool], give_back: Callable[[], None], *, is_first: bool = False
    ) -> None:
        """Return once ``take`` has taken room; it returns whether there was enough.

        ``give_back`` undoes it if the caller is cancelled in the same moment.  With ``is_first``,
        the caller goes before all who wait.
        """
        if (is_first or not self.waiting) and take():
            return
        waiter = _Waiter(take)
        if is_first:
            self.waiting.appendleft(waiter)
        else:
            self.waiting.append(waiter)
        try:
            await waiter.admitted.wait()
        except BaseException:
            if waiter.admitted.is_set():
                give_back()
            else:
                self.waiting.remove(waiter)
            self.admit()
            raise

    def admit(self) -> None:
        """Admit those for whom there is room now; to be called whenever room returns."""
        while self.waiting and self.waiting[0].take():
            self.waiting.popleft().admitted.set()
