"""Process that answers heartbeats on gRPC streams and by UDP, for cost measurements."""

import asyncio
import signal
from collections.abc import AsyncIterator
from typing import Any

import anyio
import fire

from skylarkferry_core.frames import EntryBatch, EntryHeartbeat, SidecarBatch, SidecarHeartbeat
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.states import UpstreamState
from skylarkferry_wire.codec import decoder, encode
from skylarkferry_wire.methods import SIDECAR_STREAM
from skylarkferry_wire.servers import add_handlers, new_server


def sidecar_heartbeat(sequence: int) -> SidecarBatch:
    """Return a batch with a sidecar's heartbeat."""
    load = LoadReport(3, 16, 24_000, 4_000, 16, 120_000, 0.1)
    return SidecarBatch((SidecarHeartbeat(sequence, UpstreamState.LIVE, load),))


def entry_heartbeat(sequence: int) -> EntryBatch:
    """Return a batch with an entry's heartbeat."""
    return EntryBatch((EntryHeartbeat(sequence, 7),))


async def _answer(requests: AsyncIterator[EntryBatch], _: Any) -> AsyncIterator[SidecarBatch]:
    """Answer each batch with one heartbeat."""
    number = 0
    async for _batch in requests:
        number += 1
        yield sidecar_heartbeat(number)


class _DatagramResponder(asyncio.DatagramProtocol):
    """Answers each datagram with one heartbeat."""

    def connection_made(self, transport: Any) -> None:
        """Store the transport for the replies."""
        self.transport = transport
        self.number = 0

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Decode a heartbeat and reply with one."""
        self.decode(data)
        self.number += 1
        self.transport.sendto(encode(sidecar_heartbeat(self.number)), address)

    decode = staticmethod(decoder(EntryBatch))


async def _serve(listen: str) -> None:
    host, port = listen.split(":")
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(_DatagramResponder, local_addr=(host, int(port)))
    server = new_server()
    add_handlers(server, {SIDECAR_STREAM: _answer})
    server.add_insecure_port(listen)
    await server.start()
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _signal in signals:
            break
    await server.stop(None)


def serve(listen: str) -> None:
    """Serve streams (TCP) and datagrams (UDP) on LISTEN until SIGTERM."""
    anyio.run(_serve, listen)


if __name__ == "__main__":
    fire.Fire(serve)
