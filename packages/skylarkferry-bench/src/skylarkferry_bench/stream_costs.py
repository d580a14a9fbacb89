"""Costs of control messages on gRPC streams at both ends."""

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
    Measurement,
    cpu_s,
    own_resident_bytes,
    resident_bytes,
)
from skylarkferry_bench.stream_peer import entry_heartbeat
from skylarkferry_core.frames import SidecarBatch
from skylarkferry_standins.child_processes import ChildProcess, wait_until
from skylarkferry_standins.ports import free_address
from skylarkferry_wire.clients import open_channel, open_stream
from skylarkferry_wire.codec import decoder, encode
from skylarkferry_wire.methods import SIDECAR_STREAM

PIPELINED_MESSAGES = 20_000
PINGS = 3_000
PACED_PER_S = 100
PACED_S = 10
STREAMS = 64
IDLE_S = 10


class CostMeter:
    """CPU time and memory used at both ends since its creation; ``pid`` is the peer's process."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.own_s, self.peer_s = time.process_time(), cpu_s(pid)
        self.own_bytes_before, self.peer_bytes = own_resident_bytes(), resident_bytes(pid)

    def cpu(self, name: str, messages: int) -> Iterator[Measurement]:
        """Yield the CPU time per message at each end."""
        own_us = (time.process_time() - self.own_s) / messages * MICROSECONDS_PER_S
        peer_us = (cpu_s(self.pid) - self.peer_s) / messages * MICROSECONDS_PER_S
        yield Measurement(f"{name}, entry's end", own_us, "us", f"{messages} messages")
        yield Measurement(f"{name}, sidecar's end", peer_us, "us", f"{messages} messages")

    def memory(self, name: str, count: int) -> Iterator[Measurement]:
        """Yield the resident bytes per stream at each end, for ``count`` streams."""
        own = (own_resident_bytes() - self.own_bytes_before) / count
        peer = (resident_bytes(self.pid) - self.peer_bytes) / count
        yield Measurement(f"{name}, entry's end", own, "bytes", f"{count} streams")
        yield Measurement(f"{name}, sidecar's end", peer, "bytes", f"{count} streams")


def measure_streams() -> Iterator[Measurement]:
    """Measure streams and datagrams to a peer in a separate process."""
    with _run_peer() as (address, pid):
        yield from anyio.run(_measure, address, pid)


@contextmanager
def _run_peer() -> Iterator[tuple[str, int]]:
    address = free_address()
    with tempfile.TemporaryDirectory() as directory:
        arguments = ["skylarkferry_bench.stream_peer", address]
        process = ChildProcess("stream-peer", arguments, "", Path(directory))
        process.start()
        try:
            wait_until(lambda: _accepts_connections(address), "the peer to serve")
            yield address, process.pid
        finally:
            process.kill()


def _accepts_connections(address: str) -> bool:
    host, port = address.split(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


async def _measure(address: str, pid: int) -> list[Measurement]:
    measurements: list[Measurement] = []
    async with open_channel(address) as channel:
        stream = open_stream(channel, SIDECAR_STREAM)
        await _ping(stream, 100)
        for measure in (_measure_pipelined, _measure_ping_pong, _measure_paced):
            measurements += [measurement async for measurement in measure(stream, pid)]
        stream.cancel()
    for compare in (_measure_datagrams, _measure_idle):
        measurements += [measurement async for measurement in compare(address, pid)]
    return measurements


async def _ping(stream: grpc.aio.StreamStreamCall, count: int) -> None:
    for number in range(count):
        await stream.write(entry_heartbeat(number))
        await stream.read()


async def _measure_pipelined(
    stream: grpc.aio.StreamStreamCall, pid: int
) -> AsyncIterator[Measurement]:
    meter = CostMeter(pid)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_read_messages, stream, PIPELINED_MESSAGES)
        for number in range(PIPELINED_MESSAGES):
            await stream.write(entry_heartbeat(number))
    for measurement in meter.cpu("one message each way, pipelined", PIPELINED_MESSAGES):
        yield measurement


async def _read_messages(stream: grpc.aio.StreamStreamCall, count: int) -> None:
    for _ in range(count):
        await stream.read()


async def _measure_ping_pong(
    stream: grpc.aio.StreamStreamCall, pid: int
) -> AsyncIterator[Measurement]:
    meter, start = CostMeter(pid), time.perf_counter()
    await _ping(stream, PINGS)
    wall_us = (time.perf_counter() - start) / PINGS * MICROSECONDS_PER_S
    for measurement in meter.cpu("one message each way, ping-pong", PINGS):
        yield measurement
    yield Measurement(
        "one message each way, ping-pong, wall time", wall_us, "us", f"{PINGS} messages"
    )


async def _measure_paced(stream: grpc.aio.StreamStreamCall, pid: int) -> AsyncIterator[Measurement]:
    meter = CostMeter(pid)
    start = anyio.current_time()
    for number in range(PACED_PER_S * PACED_S):
        await anyio.sleep_until(start + number / PACED_PER_S)
        await _ping(stream, 1)
    name = f"one message each way, {PACED_PER_S} a second"
    for measurement in meter.cpu(name, PACED_PER_S * PACED_S):
        yield measurement


async def _measure_datagrams(address: str, pid: int) -> AsyncIterator[Measurement]:
    """Measure the same heartbeats as UDP datagrams, for comparison."""
    host, port = address.split(":")
    decode = decoder(SidecarBatch)
    async with await anyio.create_connected_udp_socket(host, int(port)) as peer:
        meter = CostMeter(pid)
        start = anyio.current_time()
        for number in range(PACED_PER_S * PACED_S):
            await anyio.sleep_until(start + number / PACED_PER_S)
            await peer.send(encode(entry_heartbeat(number)))
            decode(await peer.receive())
        name = f"one datagram each way, {PACED_PER_S} a second"
        for measurement in meter.cpu(name, PACED_PER_S * PACED_S):
            yield measurement


async def _measure_idle(address: str, pid: int) -> AsyncIterator[Measurement]:
    """Measure idle streams, which carry only gRPC keepalives, and streams pinged every second."""
    meter = CostMeter(pid)
    async with AsyncExitStack() as stack:
        streams = [await _open_stream(stack, address) for _ in range(STREAMS)]
        for measurement in meter.memory("an open stream", STREAMS):
            yield measurement
        meter = CostMeter(pid)
        await anyio.sleep(IDLE_S)
        for measurement in meter.cpu("an idle stream, a second", STREAMS * IDLE_S):
            yield measurement
        for name, gap_s in (("spread over it", 1.0 / STREAMS), ("all at once", 0.0)):
            meter = CostMeter(pid)
            await _ping_every_second(streams, gap_s)
            title = f"{STREAMS} streams, one message each way a second, {name}"
            for measurement in meter.cpu(title, STREAMS * IDLE_S):
                yield measurement


async def _open_stream(stack: AsyncExitStack, address: str) -> grpc.aio.StreamStreamCall:
    channel = await stack.enter_async_context(open_channel(address))
    stream = open_stream(channel, SIDECAR_STREAM)
    stack.callback(stream.cancel)
    await _ping(stream, 1)
    return stream


async def _ping_every_second(streams: list[grpc.aio.StreamStreamCall], gap_s: float) -> None:
    """Ping every stream once a second, each ``gap_s`` seconds after the previous stream."""
    start = anyio.current_time()
    for second in range(IDLE_S):
        async with anyio.create_task_group() as tasks:
            for index, stream in enumerate(streams):
                await anyio.sleep_until(start + second + index * gap_s)
                tasks.start_soon(_ping, stream, 1)
        await anyio.sleep_until(start + second + 1)
