"""gRPC channels from an entry to the other entries."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Any

import grpc

from skylarkferry_wire.clients import call, open_channel, stream
from skylarkferry_wire.methods import Method


class Peers:
    """Open a channel per address on first use and close all at the end."""

    def __init__(self) -> None:
        self.channels: dict[str, grpc.aio.Channel] = {}
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> "Peers":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stack.aclose()

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return the channel to ``ip:port``."""
        found = self.channels.get(address)
        if found is None:
            found = self.channels[address] = open_channel(address)
            self.stack.push_async_callback(found.close)
        return found

    async def call(self, address: str, method: Method, request: Any, timeout_s: float) -> Any:
        """Call a unary method of another entry; raise its typed error."""
        return await call(self.channel(address), method, request, timeout_s)

    def stream(self, address: str, method: Method, request: Any) -> AsyncIterator[Any]:
        """Iterate the replies of another entry's streaming method."""
        return stream(self.channel(address), method, request)
