"""gRPC channels from an entry to other processes."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Any

import grpc

from skylarkferry_wire.clients import call, open_channel, stream
from skylarkferry_wire.methods import Method


class Peers:
    """Opens a channel per address on first use and closes all channels on exit."""

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
        """Call a unary method at an address; raise its typed error."""
        return await call(self.channel(address), method, request, timeout_s)

    def stream(self, address: str, method: Method, request: Any) -> AsyncIterator[Any]:
        """Iterate over the replies of a streaming method at an address."""
        return stream(self.channel(address), method, request)
