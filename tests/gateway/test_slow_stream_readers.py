"""Clients that read their streams slowly, before upstreams that cut off unread responses."""

import asyncio
import socket
from contextlib import asynccontextmanager

import anyio
import h11
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from gateway_rig import headers, send, turn_headers, wait_until
from skylarkferry_core.events import EventKind
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import MemoryUse
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import Replica
from skylarkferry_standins.wire_server import _read_request

pytestmark = pytest.mark.anyio

UNREAD_S = 0.6
"""Time after which the upstream cuts off a response that stays unread."""
EVENTS = 12_000
EVENT_BYTES = 1_000
STREAM_BYTES = EVENTS * EVENT_BYTES


class ImpatientEngine:
    """Engine with long streams that cuts off a response which nobody reads."""

    def __init__(self):
        self.cut_off = self.completed = 0

    async def serve(self, stream):
        http = h11.Connection(h11.SERVER)
        try:
            while (request := await _read_request(stream, http)) is not None:
                request_id = request.headers.get("skylarkferry-request-id", "")
                await stream.send(
                    f"HTTP/1.1 200 OK\r\nSkylarkferry-Request-Id: {request_id}\r\n"
                    "Skylarkferry-Response-Signature: signed\r\nConnection: close\r\n"
                    "Content-Type: text/event-stream\r\n\r\n".encode()
                )
                await self._send_events(stream)
                return
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.cut_off += 1
        finally:
            await anyio.aclose_forcefully(stream)

    async def _send_events(self, stream):
        for first in range(1, EVENTS + 1, 60):
            events = [
                f"id: {number}\ndata: ".encode().ljust(EVENT_BYTES - 2, b"x") + b"\n\n"
                for number in range(first, first + 60)
            ]
            with anyio.move_on_after(UNREAD_S) as scope:
                await stream.send(b"".join(events))
            if scope.cancelled_caught:
                self.cut_off += 1
                return
        self.completed += 1


@pytest.fixture
async def engine(rig, monkeypatch):
    monkeypatch.setattr(defaults, "STREAM_HOLD_S", 0.2)
    server = ImpatientEngine()
    rig.addresses["e1"] = free_address()
    rig.replicas["e1"] = Replica("e1")
    await rig.listen(rig.addresses["e1"], server)
    rig.register_replica("e1", "engine")
    return server


@asynccontextmanager
async def streaming(gateway, request_id):
    """Begin a stream with a small receive buffer, without reading it."""
    host, _, port = gateway.settings.client_listen.rpartition(":")
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    raw.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(raw, (host, int(port)))
    fields = turn_headers(request_id, program=request_id, deadline_ms=60_000)
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = ["POST /turn/1 HTTP/1.1", *lines, "Content-Length: 1", "", ""]
    with raw:
        await loop.sock_sendall(raw, "\r\n".join(head).encode() + b"p")
        yield raw


async def read_all(client, pause_s=0.0):
    """Return what the client receives until the end of the response or of the connection."""
    received = bytearray()
    while not received.endswith(b"\r\n0\r\n\r\n"):
        try:
            data = await asyncio.get_running_loop().sock_recv(client, 65_536)
        except ConnectionResetError:
            break
        if not data:
            break
        received += data
        await anyio.sleep(pause_s)
    return bytes(received)


def streams_of(gateway):
    return gateway.memory.shares[MemoryUse.STREAMS]


async def test_stream_of_a_client_that_pauses_is_read_on_and_complete(rig, engine):
    """Guards against upstreams that cut a stream off because its client paused."""
    gateway = await rig.add_gateway()
    async with streaming(gateway, "id-1") as client:
        await wait_until(lambda: engine.completed == 1 or engine.cut_off)
        assert_that((engine.completed, engine.cut_off), Equals((1, 0)))
        await wait_until(lambda: streams_of(gateway).used > STREAM_BYTES / 4)
        received = await read_all(client)
    assert_that(received.endswith(b"\r\n0\r\n\r\n"), Equals(True))
    numbers = [f"id: {number}\n".encode() for number in (1, EVENTS // 2, EVENTS)]
    assert_that([received.count(number) for number in numbers], Equals([1, 1, 1]))
    await wait_until(lambda: gateway.memory.used == 0)
    assert_that(gateway.metrics.text(), Contains(b'slow_streams_total{outcome="buffered"} 1.0'))


async def test_stream_beyond_the_memory_for_streams_is_ended_and_others_are_served(rig, engine):
    gateway = await rig.add_gateway()
    await rig.add_replica("r1")
    await wait_until(lambda: "r1" in gateway.upstreams.upstreams)
    streams_of(gateway).limit_bytes = 1 << 20
    async with streaming(gateway, "id-1") as client:
        await wait_until(lambda: gateway.log.ring and broken_off(gateway))
        assert_that((await send(rig, "/once/1", headers("id-2"))).status_code, Equals(200))
        assert_that(await read_all(client), Not(Contains(b"\r\n0\r\n\r\n")))
    assert streams_of(gateway).most_used <= 1 << 20
    await wait_until(lambda: gateway.memory.used == 0)
    assert_that(broken_off(gateway)[0].fields["detail"], Contains("reads too slowly"))


def broken_off(gateway):
    return [
        event for event in gateway.log.ring if event.number == EventKind.GATEWAY_BROKEN_OFF.number
    ]


async def test_stream_that_keeps_up_goes_on_without_memory(rig, engine, monkeypatch):
    """Guards against a stream that is ended because of the slow clients of others."""
    monkeypatch.setattr(defaults, "STREAM_HOLD_S", 2.0)
    gateway = await rig.add_gateway()
    streams_of(gateway).limit_bytes = 0
    async with streaming(gateway, "id-1") as client:
        received = await read_all(client, pause_s=0.0005)
    assert_that(received.endswith(b"\r\n0\r\n\r\n"), Equals(True))


async def test_client_that_leaves_releases_what_was_kept_for_it(rig, engine):
    gateway = await rig.add_gateway()
    async with streaming(gateway, "id-1"):
        await wait_until(lambda: streams_of(gateway).used > 1 << 20)
    await wait_until(lambda: gateway.memory.used == 0)
    await wait_until(lambda: not gateway.clients)


async def test_client_that_reads_steadily_holds_its_upstream_back(rig, engine, monkeypatch):
    """Guards against memory for clients that are slower than their upstream, as most are."""
    monkeypatch.setattr(defaults, "STREAM_HOLD_S", 2.0)
    gateway = await rig.add_gateway()
    async with streaming(gateway, "id-1") as client:
        received = await read_all(client, pause_s=0.0005)
    assert_that(received.endswith(b"\r\n0\r\n\r\n"), Equals(True))
    assert streams_of(gateway).most_used < 200_000


async def test_client_may_pause_several_times(rig, engine):
    """Guards against a backlog that works once for each stream."""
    gateway = await rig.add_gateway()
    loop = asyncio.get_running_loop()
    received = bytearray()
    async with streaming(gateway, "id-1") as client:
        for _ in range(3):
            await anyio.sleep(0.5)
            for _ in range(40):
                received += await loop.sock_recv(client, 65_536)
        received += await read_all(client)
    numbers = [received.count(f"id: {number}\n".encode()) for number in range(1, EVENTS + 1, 7)]
    assert_that((set(numbers), engine.cut_off), Equals(({1}, 0)))
