"""HTTP/1.1 server for stand-ins that can violate the protocol or break connections."""

import socket
import struct
from collections.abc import Awaitable, Callable
from enum import Enum

import anyio
import h11
import msgspec
from anyio.abc import SocketAttribute, SocketStream

Headers = list[tuple[bytes, bytes]]


class Ending(Enum):
    """What happens to the connection after a reply."""

    WHOLE = "whole"
    RESET = "reset"
    SILENT = "silent"


class WireRequest(msgspec.Struct, frozen=True):
    """A parsed request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class WireReply(msgspec.Struct, frozen=True):
    """Reply to a request: ``raw`` bytes if set, otherwise an HTTP response, then the ending.

    ``delay_s`` is slept before the first byte; ``closes`` closes the connection after the reply.
    """

    status: int = 200
    headers: dict[str, str] = {}
    body: bytes = b""
    raw: bytes | None = None
    ending: Ending = Ending.WHOLE
    delay_s: float = 0.0
    closes: bool = False


Handler = Callable[[WireRequest], Awaitable[WireReply]]


class WireServer:
    """Serves a handler; connections stay open until a reply or the client closes them."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections = 0

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        http = h11.Connection(h11.SERVER)
        try:
            while (request := await _read_request(stream, http)) is not None:
                if not await self._send(stream, await self.handler(request)):
                    return
                http.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
                http.send(h11.EndOfMessage())
                http.start_next_cycle()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, h11.RemoteProtocolError):
            return
        finally:
            await anyio.aclose_forcefully(stream)

    async def _send(self, stream: SocketStream, reply: WireReply) -> bool:
        """Send a reply and return whether the connection stays open."""
        await anyio.sleep(reply.delay_s)
        data = encode_reply(reply) if reply.raw is None else reply.raw
        if data:
            await stream.send(data)
        if reply.ending is Ending.SILENT:
            await anyio.sleep_forever()
        if reply.ending is Ending.RESET:
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return reply.ending is Ending.WHOLE and not reply.closes


def encode_reply(reply: WireReply) -> bytes:
    """Return a reply encoded as an HTTP response with a content length."""
    headers = {"Content-Length": str(len(reply.body)), **reply.headers}
    lines = [f"HTTP/1.1 {reply.status} Reply", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + reply.body


async def _read_request(stream: SocketStream, http: h11.Connection) -> WireRequest | None:
    head: h11.Request | None = None
    parts: list[bytes] = []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            try:
                http.receive_data(await stream.receive())
            except anyio.EndOfStream:
                return None
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {name.decode(): value.decode() for name, value in head.headers}
            target = head.target.decode()
            return WireRequest(head.method.decode(), target, headers, b"".join(parts))
        else:
            return None
