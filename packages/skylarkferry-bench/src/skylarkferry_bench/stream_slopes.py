"""What control messages on gRPC streams cost each end."""

import socket
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, contextmanager
from pathlib import Path

import anyio
import grpc

from skylarkferry_bench.resources import (
    MICROSECONDS_PER_S,
    Slope,
    cpu_s,
    own_resident_bytes,
    resident_bytes,
)
from skylarkferry_bench.stream_peer import entry_beat
from skylarkferry_core.frames import SidecarBatch
from skylarkferry_standins.child_processes import ChildProcess, free_address, wait_until
from skylarkferry_wire.clients import open_channel, open_stream
from skylarkferry_wire.codec import decoder, encode
from skylarkferry_wire.methods import SIDECAR_STREAM

PIPELINED_MESSAGES = 20_000
PINGS = 3_000
PACED_PER_S = 100
PACED_S = 10
STREAMS = 64
IDLE_S = 10


class Cost:
    """Processor time and memory of both ends between its start and ``take``."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.own_s, self.peer_s = time.process_time(), cpu_s(pid)
        self.own_bytes, self.peer_bytes = own_resident_bytes(), resident_bytes(pid)

    def cpu(self, name: str, messages: int) -> Iterator[Slope]:
        """Return the processor time of one message at each end."""
        own_us = (time.process_time() - self.own_s) / messages * MICROSECONDS_PER_S
        peer_us = (cpu_s(self.pid) - self.peer_s) / messages * MICROSECONDS_PER_S
        yield Slope(f"{name}, entry's end", own_us, "us", f"{messages} messages")
        yield Slope(f"{name}, sidecar's end", peer_us, "us", f"{messages} messages")

    def memory(self, name: str, count: int) -> Iterator[Slope]:
        """Return the resident bytes of one of ``count`` things at each end."""
        own = (own_resident_bytes() - self.own_bytes) / count
        peer = (resident_bytes(self.pid) - self.peer_bytes) / count
        yield Slope(f"{name}, entry's end", own, "bytes", f"{count} streams")
        yield Slope(f"{name}, sidecar's end", peer, "bytes", f"{count} streams")


def stream_slopes() -> Iterator[Slope]:
    """Measure with the peer in a process of its own."""
    with _peer() as (address, pid):
        yield from anyio.run(_measure, address, pid)


@contextmanager
def _peer() -> Iterator[tuple[str, int]]:
    address = free_address()
    with tempfile.TemporaryDirectory() as directory:
        arguments = ["skylarkferry_bench.stream_peer", address]
        process = ChildProcess("stream-peer", arguments, "", Path(directory))
        process.start()
        try:
            wait_until(lambda: _accepts(address), "the peer to serve")
            yield address, process.pid
        finally:
            process.kill()


def _accepts(address: str) -> bool:
    host, port = address.split(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


async def _measure(address: str, pid: int) -> list[Slope]:
    slopes: list[Slope] = []
    async with open_channel(address) as channel:
        stream = open_stream(channel, SIDECAR_STREAM)
        await _ping(stream, 100)
        for measure in (_pipelined, _ping_pong, _paced):
            slopes += [slope async for slope in measure(stream, pid)]
        stream.cancel()
    for compare in (_datagrams, _idle):
        slopes += [slope async for slope in compare(address, pid)]
    return slopes


async def _ping(stream: grpc.aio.StreamStreamCall, count: int) -> None:
    for number in range(count):
        await stream.write(entry_beat(number))
        await stream.read()


async def _pipelined(stream: grpc.aio.StreamStreamCall, pid: int) -> AsyncIterator[Slope]:
    cost = Cost(pid)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_read, stream, PIPELINED_MESSAGES)
        for number in range(PIPELINED_MESSAGES):
            await stream.write(entry_beat(number))
    for slope in cost.cpu("one message each way, pipelined", PIPELINED_MESSAGES):
        yield slope


async def _read(stream: grpc.aio.StreamStreamCall, count: int) -> None:
    for _ in range(count):
        await stream.read()


async def _ping_pong(stream: grpc.aio.StreamStreamCall, pid: int) -> AsyncIterator[Slope]:
    cost, start = Cost(pid), time.perf_counter()
    await _ping(stream, PINGS)
    wall_us = (time.perf_counter() - start) / PINGS * MICROSECONDS_PER_S
    for slope in cost.cpu("one message each way, ping-pong", PINGS):
        yield slope
    yield Slope("one message each way, ping-pong, wall time", wall_us, "us", f"{PINGS} messages")


async def _paced(stream: grpc.aio.StreamStreamCall, pid: int) -> AsyncIterator[Slope]:
    cost = Cost(pid)
    start = anyio.current_time()
    for number in range(PACED_PER_S * PACED_S):
        await anyio.sleep_until(start + number / PACED_PER_S)
        await _ping(stream, 1)
    name = f"one message each way, {PACED_PER_S} a second"
    for slope in cost.cpu(name, PACED_PER_S * PACED_S):
        yield slope


async def _datagrams(address: str, pid: int) -> AsyncIterator[Slope]:
    """Measure the same heartbeats as datagrams, for comparison."""
    host, port = address.split(":")
    decode = decoder(SidecarBatch)
    async with await anyio.create_connected_udp_socket(host, int(port)) as peer:
        cost = Cost(pid)
        start = anyio.current_time()
        for number in range(PACED_PER_S * PACED_S):
            await anyio.sleep_until(start + number / PACED_PER_S)
            await peer.send(encode(entry_beat(number)))
            decode(await peer.receive())
        name = f"one datagram each way, {PACED_PER_S} a second"
        for slope in cost.cpu(name, PACED_PER_S * PACED_S):
            yield slope


async def _idle(address: str, pid: int) -> AsyncIterator[Slope]:
    """Measure streams that carry nothing but gRPC's own keepalive."""
    cost = Cost(pid)
    async with AsyncExitStack() as stack:
        streams = [await _open(stack, address) for _ in range(STREAMS)]
        for slope in cost.memory("an open stream", STREAMS):
            yield slope
        cost = Cost(pid)
        await anyio.sleep(IDLE_S)
        for slope in cost.cpu("an idle stream, a second", STREAMS * IDLE_S):
            yield slope
        for name, gap_s in (("spread over it", 1.0 / STREAMS), ("all at once", 0.0)):
            cost = Cost(pid)
            await _beat(streams, gap_s)
            title = f"{STREAMS} streams, one message each way a second, {name}"
            for slope in cost.cpu(title, STREAMS * IDLE_S):
                yield slope


async def _open(stack: AsyncExitStack, address: str) -> grpc.aio.StreamStreamCall:
    channel = await stack.enter_async_context(open_channel(address))
    stream = open_stream(channel, SIDECAR_STREAM)
    stack.callback(stream.cancel)
    await _ping(stream, 1)
    return stream


async def _beat(streams: list[grpc.aio.StreamStreamCall], gap_s: float) -> None:
    """Ping every stream once a second, ``gap_s`` after its neighbour."""
    start = anyio.current_time()
    for second in range(IDLE_S):
        async with anyio.create_task_group() as tasks:
            for index, stream in enumerate(streams):
                await anyio.sleep_until(start + second + index * gap_s)
                tasks.start_soon(_ping, stream, 1)
        await anyio.sleep_until(start + second + 1)
