"""Memory of store calls that carry turns, which wait for it in order."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from skylarkferry_core.errors import OverloadedError
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import MemoryAccount, MemoryUse
from skylarkferry_gateway.room_queue import RoomQueue


class TransferRoom:
    """Share of the memory account for the buffers of store calls under way."""

    def __init__(self, account: MemoryAccount) -> None:
        self.share = account.shares[MemoryUse.TRANSFERS]
        self.queue = RoomQueue()
        account.on_release = self.queue.admit

    @asynccontextmanager
    async def hold(
        self, content_bytes: int, deadline_at: float, *, is_write: bool = False
    ) -> AsyncIterator[None]:
        """Wait for the memory of a call that carries so much content, and hold it.

        Writes go before the reads that wait: each ends a request, and a read begins one.  Raise
        ``OverloadedError`` at the monotonic time ``deadline_at``.
        """
        count = min(content_bytes * defaults.TRANSFER_COPIES, self.share.limit_bytes)
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                await self.queue.wait(
                    lambda: self.share.reserve(count),
                    lambda: self.share.release(count),
                    is_first=is_write,
                )
        except TimeoutError as error:
            raise OverloadedError(
                "other store calls hold all memory for transfers",
                retry_after_s=defaults.RETRY_AFTER_S,
            ) from error
        try:
            yield
        finally:
            self.share.release(count)
