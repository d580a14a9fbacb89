"""Memory of store calls that carry turns, which wait for it in order."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from skylarkferry_core.errors import OverloadedError
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import MemoryAccount, MemoryUse
from skylarkferry_gateway.room_queue import RoomQueue


class TransferRoom:
    """Memory of store calls under way, and how much of them is read at the same time.

    Reads share the host's link. Those beyond what it carries in ``TRANSFER_WINDOW_S`` wait, so that
    the first ones are complete early instead of all of them at the end.
    """

    def __init__(self, account: MemoryAccount, link_bytes_per_s: float) -> None:
        self.window_bytes = link_bytes_per_s * defaults.TRANSFER_WINDOW_S or math.inf
        self.reading_bytes = 0
        self.share = account.shares[MemoryUse.TRANSFERS]
        self.queue = RoomQueue()
        account.on_release = self.queue.admit

    @asynccontextmanager
    async def hold(
        self,
        content_bytes: int,
        deadline_at: float = math.inf,
        *,
        is_read: bool = False,
        is_urgent: bool = False,
    ) -> AsyncIterator[None]:
        """Wait for the memory of a call that carries so much content, and hold it.

        Urgent calls go before those that wait: a write ends a request, and the rest of a turn
        completes what has arrived.  Raise ``OverloadedError`` at the monotonic time
        ``deadline_at``.
        """
        count = min(content_bytes * defaults.TRANSFER_COPIES, self.share.limit_bytes)
        read_bytes = content_bytes if is_read else 0

        def take() -> bool:
            if read_bytes and self.reading_bytes + read_bytes > max(self.window_bytes, read_bytes):
                return False
            if not self.share.reserve(count):
                if self.share.used:
                    return False
                self.share.add(count)  # one call goes on, whatever else is held
            self.reading_bytes += read_bytes
            return True

        def give_back() -> None:
            self.reading_bytes -= read_bytes
            self.share.release(count)

        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                await self.queue.wait(take, give_back, is_urgent=is_urgent)
        except TimeoutError as error:
            raise OverloadedError(
                "other store calls hold all memory for transfers",
                retry_after_s=defaults.RETRY_AFTER_S,
            ) from error
        try:
            yield
        finally:
            give_back()
