"""Backlog of one stream, without a network."""

from unittest.mock import MagicMock

import anyio
import pytest

from skylarkferry_gateway.held_memory import MemoryAccount, MemoryUse
from skylarkferry_gateway.http_server import ClientLeftError
from skylarkferry_gateway.stream_backlog import StreamBacklog

pytestmark = pytest.mark.anyio


class _BlockedClient:
    """Client that accepts nothing."""

    def is_writable(self):
        return False

    async def send_data(self, data):
        await anyio.sleep_forever()


async def test_stream_is_not_complete_after_its_background_task_was_cancelled():
    """Guards against a truncated stream that is ended as complete."""
    share = MemoryAccount(128_000_000).shares[MemoryUse.STREAMS]
    async with anyio.create_task_group() as relay, anyio.create_task_group() as background:
        backlog = StreamBacklog(_BlockedClient(), background, share, MagicMock())

        async def send():
            with pytest.raises(ClientLeftError):
                await backlog.send(b"x" * 1_000)

        relay.start_soon(send)
        await anyio.wait_all_tasks_blocked()
        background.cancel_scope.cancel()
    with pytest.raises(ClientLeftError):
        await backlog.flush()
    backlog.close()
