"""Translate the cancellation of gRPC calls for anyio's cancel scopes."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from anyio.lowlevel import checkpoint_if_cancelled

from skylarkferry_core.errors import ConnectionLostError

Reply = TypeVar("Reply")


async def await_rpc(call: Awaitable[Reply]) -> Reply:
    """Await a gRPC call inside anyio's cancel scopes.

    A cancelled call raises gRPC's own ``CancelledError``, which no cancel scope recognises and
    which would end the whole task.  This function raises the error of the cancelled scope instead.
    If no scope was cancelled, the call itself was cancelled, and ``ConnectionLostError`` is raised.
    """
    try:
        return await call
    except asyncio.CancelledError as error:
        await checkpoint_if_cancelled()
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        raise ConnectionLostError("the RPC was cancelled") from error
