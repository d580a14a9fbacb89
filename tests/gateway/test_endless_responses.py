"""Upstreams that send without end, until the gateway closes the connection."""

import re

import anyio
import h11
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from gateway_rig import ROUTES, config, headers, send, turn_headers, wait_until
from skylarkferry_gateway import defaults, stream_events
from skylarkferry_gateway.peers import PeerDownError
from skylarkferry_gateway.stream_events import EventSplitter
from skylarkferry_gateway.stream_position import StreamPosition
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import Replica

pytestmark = pytest.mark.anyio

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nIDENTITYconnection: close\r\n\r\n"
)
CHUNK_BYTES = 65_536
SOCKET_BYTES = 8 << 20
"""Most bytes that are on their way between two processes on loopback."""


class EndlessServer:
    """Server that answers each request with a head, and then repeats bytes without end."""

    def __init__(self, name, head, repeated):
        self.name = name
        self.head = head
        self.repeated = repeated * (CHUNK_BYTES // len(repeated))
        self.closed = 0
        self.sent_bytes = 0

    async def serve(self, stream):
        try:
            request = await self._read(stream)
            fields = {name.decode(): value.decode() for name, value in request.headers}
            identity = (
                f"skylarkferry-request-id: {fields.get('skylarkferry-request-id')}\r\n"
                f"skylarkferry-response-signature: signed by {self.name}\r\n"
            )
            await stream.send(self.head.replace(b"IDENTITY", identity.encode()))
            while True:
                await stream.send(self.repeated)
                self.sent_bytes += len(self.repeated)
        except anyio.EndOfStream:
            pass  # a check of the process
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed += 1
        finally:
            await anyio.aclose_forcefully(stream)

    async def _read(self, stream):
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if isinstance(event, h11.Request):
                return event
            http.receive_data(await stream.receive())


async def add_endless_replica(rig, name, service, head, repeated):
    server = EndlessServer(name, head, repeated)
    rig.addresses[name] = free_address()
    rig.replicas[name] = Replica(name)
    await rig.listen(rig.addresses[name], server)
    rig.register_replica(name, service)
    return server


async def test_interim_responses_without_end_fail_the_attempt_at_once(rig):
    server = await add_endless_replica(rig, "r1", "tools", b"", INTERIM)
    await rig.add_gateway()
    response = await send(rig, "/once/1", headers("id-1"))
    assert_that(response.status_code, Equals(502))
    assert_that(response.json()["detail"], Contains("interim"))
    await wait_until(lambda: server.closed == 1)


async def test_event_without_end_breaks_a_stream_that_the_client_is_receiving(rig):
    head = (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nIDENTITY"
        b"connection: close\r\n\r\nid: 1\ndata: first\n\nid: 2\ndata: "
    )
    server = await add_endless_replica(rig, "r1", "engine", head, b"x")
    await rig.add_gateway()
    with pytest.raises(httpx.RemoteProtocolError):
        await send(rig, "/turn/1", turn_headers("id-1"), b"p")
    await wait_until(lambda: server.closed == 1)


def test_each_byte_of_an_event_is_searched_once_however_small_its_pieces(monkeypatch):
    searched = []

    class Recording:
        def __init__(self, pattern):
            self.pattern = pattern

        def search(self, buffer, start=0):
            searched.append(len(buffer) - start)
            return self.pattern.search(buffer, start)

    pattern = re.compile(stream_events._EVENT_END.pattern)
    monkeypatch.setattr(stream_events, "_EVENT_END", Recording(pattern))
    splitter = EventSplitter()
    pieces, piece = 1_000, b"data: " + b"x" * 506
    for _ in range(pieces):
        splitter.feed(piece)
    assert_that(sum(searched), LessThan(2 * pieces * len(piece)))
    assert_that(len(splitter.feed(b"\n\n")), Equals(1))


@pytest.mark.parametrize("cut", [1, 2, 3])
def test_event_end_is_found_if_it_arrives_in_pieces(cut):
    raw = b"id: 1\ndata: x\r\n\r\nid: 2\ndata: y\n\n"
    middle = raw.index(b"\r\n\r\n") + cut
    splitter = EventSplitter()
    events = [*splitter.feed(raw[:middle]), *splitter.feed(raw[middle:])]
    assert_that([event.event_id for event in events], Equals([1, 2]))


async def test_bodies_without_end_together_stay_within_the_memory_for_responses(rig):
    head = b"HTTP/1.1 200 OK\r\nIDENTITYconnection: close\r\n\r\n"
    for number in range(3):
        await add_endless_replica(rig, f"r{number}", "tools", head, b"x")
    # The sizes, not the time limit, end the attempts, however slow the machine is.
    rig.configure(config(1, {"/once/": {**ROUTES["/once/"], "timeoutMs": 60_000}}))
    gateway = await rig.add_gateway()
    memory = gateway.context.response_memory
    statuses = []

    async def send_one(number):
        fields = headers(f"id-{number}", deadline_ms=60_000)
        statuses.append((await send(rig, "/once/1", fields)).status_code)

    async with anyio.create_task_group() as tasks:
        for number in range(40):
            tasks.start_soon(send_one, number)
    assert_that(set(statuses), Equals({502}))
    assert_that(memory.most_used, LessThan(memory.limit_bytes + 1))
    assert_that(memory.used, Equals(0))


async def test_small_responses_are_served_while_the_memory_for_responses_is_used_up(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    gateway.context.response_memory.used = gateway.context.response_memory.limit_bytes
    response = await send(rig, "/once/1", headers("id-1"), b"p")
    assert_that(response.status_code, Equals(200))


# Guards against processes that run out of memory by streams that never end.
async def test_retained_turn_whose_events_never_end_is_broken_off_at_the_largest_size(rig):
    repeated = b"data: " + b"x" * 1_000 + b"\n\n"
    server = await add_endless_replica(rig, "r1", "engine", STREAM_HEAD, repeated)
    gateway = await rig.add_gateway()
    memory = gateway.context.response_memory
    with pytest.raises(httpx.RemoteProtocolError):
        await send(rig, "/kept/1", turn_headers("id-1", deadline_ms=60_000), b"p")
    await wait_until(lambda: server.closed == 1)
    assert_that(server.sent_bytes, LessThan(defaults.MAX_ANSWER_BYTES + SOCKET_BYTES))
    assert_that(memory.most_used > 0, Equals(True))
    assert_that(memory.used, Equals(0))


# Guards against processes that run out of memory by streams that never end.
async def test_events_without_end_together_stay_within_the_memory_for_responses(rig):
    head = STREAM_HEAD + b"id: 1\ndata: "
    for number in range(3):
        await add_endless_replica(rig, f"r{number}", "engine", head, b"x")
    gateway = await rig.add_gateway()
    memory = gateway.context.response_memory
    memory.limit_bytes = 2 << 20

    async def send_one(number):
        await send(rig, "/turn/1", turn_headers(f"id-{number}", program=f"p-{number}"), b"p")

    async with anyio.create_task_group() as tasks:
        for number in range(20):
            tasks.start_soon(send_one, number)
    assert_that(memory.most_used > 0, Equals(True))
    assert_that(memory.most_used, LessThan(memory.limit_bytes + 1))
    assert_that(memory.used, Equals(0))


# Guards against processes that run out of memory by events that each have a few bytes.
async def test_tiny_events_are_relayed_in_small_batches(rig, monkeypatch):
    batches = []
    accept = StreamPosition.accept

    def recording_accept(position, events):
        batches.append(len(events))
        accept(position, events)

    monkeypatch.setattr(StreamPosition, "accept", recording_accept)
    await add_endless_replica(rig, "r1", "engine", STREAM_HEAD, b"a\n\n")
    await rig.add_gateway()
    with pytest.raises(httpx.RemoteProtocolError):
        await send(rig, "/turn/1", turn_headers("id-1", deadline_ms=500), b"p")
    assert_that(max(batches), LessThan(defaults.STREAM_PIECE_BYTES))


@pytest.mark.parametrize("path", ["/once/1", "/turn/1"])
async def test_long_line_that_is_no_head_is_not_repeated_in_the_error(rig, path):
    head = b"\x01" * 60_000 + b"\r\n\r\n"
    service = "tools" if path == "/once/1" else "engine"
    server = await add_endless_replica(rig, "r1", service, head, b"x")
    gateway = await rig.add_gateway()
    response = await send(rig, path, turn_headers("id-1"))
    await wait_until(lambda: server.closed == 1)
    assert_that(len(response.content), LessThan(1_000))
    longest = max(len(value) for event in gateway.log.ring for value in event.fields.values())
    assert_that(longest, LessThan(1_000))


async def test_small_call_of_a_gateway_reads_no_long_answer(rig):
    server = EndlessServer("peer", b"HTTP/1.1 200 OK\r\n\r\n", b"x")
    address = free_address()
    await rig.listen(address, server)
    peers = (await rig.add_gateway()).store.peers
    with pytest.raises(PeerDownError, match="exceeds"):
        await peers.stream_origin(address, "s-1")
    await wait_until(lambda: server.closed == 1)
    assert_that(server.sent_bytes, LessThan(SOCKET_BYTES))
