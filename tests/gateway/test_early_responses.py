"""Upstreams that answer a long upload at once, without a length, and end the connection."""

import socket
import struct
from contextlib import suppress
from enum import Enum

import anyio
import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import ROUTES, config, headers, turn_headers
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import EVENT_COUNT
from stream_clients import receive

pytestmark = pytest.mark.anyio

EVENTS = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENT_COUNT + 1))
LIMITS = {"maxHeaderBytes": 8_192, "maxBodyBytes": 4_194_304}


class End(Enum):
    """How the connection ends after a part of the response, while the upload is being written."""

    RESET = "reset"
    CLOSE = "close"
    """The server closes with unread bytes, which resets the connection."""
    SHUTDOWN = "shutdown"
    """The server ends its direction in order, and resets the connection at once."""


class EarlyServer:
    """Answers 200 once it has read a request's head, and ends the connection."""

    def __init__(self, name, body, end):
        self.name = name
        self.body = body
        self.end = end
        self.served = 0

    async def serve(self, stream):
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._serve(stream)

    async def _serve(self, stream):
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        raw = stream.extra(SocketAttribute.raw_socket)
        stream._transport.pause_reading()  # what arrives from now on stays unread
        fields = data.partition(b"\r\n\r\n")[0].lower().split(b"\r\n")
        request_id = next(
            field.partition(b": ")[2]
            for field in fields
            if b"request-id" in field.partition(b":")[0]
        )
        self.served += 1
        await stream.send(
            b"HTTP/1.1 200 OK\r\nSkylarkferry-Request-Id: " + request_id + b"\r\n"
            b"Skylarkferry-Response-Signature: signed\r\n\r\n" + self.body
        )
        if self.end is End.SHUTDOWN:
            await stream.send_eof()
        if self.end is not End.CLOSE:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(stream)


async def add_early_server(rig, name, service, body, end):
    rig.configure(config(1, {k: {**v, "maxAttempts": 1} for k, v in ROUTES.items()}, LIMITS))
    server = rig.servers[name] = EarlyServer(name, body, end)
    rig.addresses[name] = free_address()
    await rig.listen(rig.addresses[name], server)
    rig.register_replica(name, service)
    await rig.add_gateway()
    return server


# Guards against a part of a response that reaches the client as the whole one.
@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("size", [400_000, 3_000_000])
@pytest.mark.parametrize("path", ["/get/1", "/once/1"])
async def test_early_response_that_is_cut_during_an_upload_is_not_complete(rig, path, size, end):
    server = await add_early_server(rig, "r1", "tools", b"a part of the answer", end)
    for number in range(5):
        outcome = await receive(rig, path, headers(f"id-{number}"), b"x" * size)
        assert_that((outcome[0], server.served), Equals((502, number + 1)))


@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("size", [400_000, 3_000_000])
@pytest.mark.parametrize("path", ["/turn/1", "/kept/1"])
async def test_early_stream_that_is_cut_during_an_upload_is_not_complete(rig, path, size, end):
    server = await add_early_server(rig, "e1", "engine", EVENTS, end)
    for number in range(5):
        fields = turn_headers(f"id-{number}", f"program-{number}")
        status, _, is_complete = await receive(rig, path, fields, b"x" * size)
        assert_that((status == 200 and is_complete, server.served), Equals((False, number + 1)))
