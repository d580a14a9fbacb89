"""Costs of an entry's platform reads and journal replay at the design size of a deployment."""

import hashlib
import json
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import ExitStack
from pathlib import Path

import anyio
import httpx
import msgspec

from skylarkferry_bench import samples
from skylarkferry_bench.resources import MICROSECONDS_PER_S, Measurement, cpu_us_per_call
from skylarkferry_bench.testbeds import DOCUMENT
from skylarkferry_core.ids import Epoch, FailureDomain, NodeId, PartitionNumber
from skylarkferry_core.interfaces import Write
from skylarkferry_core.partitions import (
    JournalReference,
    NodeRow,
    PartitionRow,
    incarnation_of,
    node_key,
    partition_key,
    segment_key,
)
from skylarkferry_core.records import PartitionRecord, Segment
from skylarkferry_core.replays import replay
from skylarkferry_core.segments import StoredSegment
from skylarkferry_core.validation import check_texts
from skylarkferry_daemon.cluster import ClusterReader
from skylarkferry_daemon.platform import PlatformServices, connect_platform
from skylarkferry_daemon.segment_reader import SegmentReader
from skylarkferry_daemon.settings import PlatformSettings
from skylarkferry_standins.deployment import Deployment

NODES = 320
SIDECARS = 12_000
PARTITIONS = 2_048
DOMAINS = 14
CUSTOMERS = 920
SEGMENTS = 200
SEGMENT_RECORDS = 64
ROWS_PER_TRANSACTION = 100
REPEATS = 5

ReadAction = Callable[[], Awaitable[object]]


def measure_cluster() -> Iterator[Measurement]:
    """Store the rows of 320 nodes in a platform and read them as an entry does."""
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = Deployment(directory, DOCUMENT, stack)
        deployment.start_platform()
        yield from anyio.run(_measure, deployment.platform_url)
    yield from _measure_document()


def _measure_document() -> Iterator[Measurement]:
    """Measure a document with ``CUSTOMERS`` customers; its other sections are those of the demo."""
    texts = {path.stem: path.read_text() for path in sorted(DOCUMENT.glob("*.jsonc"))}
    names = [f"customer-{number:03d}" for number in range(CUSTOMERS)]
    texts["budgets"] = json.dumps({name: _build_customer(name) for name in names}, indent=2)
    assert not check_texts(texts)
    size = sum(len(text.encode()) for text in texts.values())
    basis = f"{CUSTOMERS} customers"
    yield Measurement("document", size, "bytes", basis)
    check_us = cpu_us_per_call(lambda: check_texts(texts), REPEATS)
    yield Measurement("parse and check a document", check_us, "us", basis)


def _build_customer(name: str) -> dict[str, object]:
    digest = hashlib.sha256(name.encode()).hexdigest()
    budget = {"tokens": 250_000, "cost_micros": 1_000_000, "turns": 360}
    return {"token_hashes": [digest], "program_budget": budget, "tokens_per_minute": 10_000_000}


class ReceivedBytes:
    """Counts the body bytes of the responses that a client received."""

    def __init__(self) -> None:
        self.total = 0

    async def add(self, response: httpx.Response) -> None:
        """Add the body of a response."""
        self.total += len(await response.aread())


async def _measure(url: str) -> list[Measurement]:
    received = ReceivedBytes()
    hooks = {"response": [received.add]}
    async with httpx.AsyncClient(event_hooks=hooks, timeout=60.0) as client:
        settings = PlatformSettings(url, f"{url}/objects", f"{url}/hosts", timeout_s=60.0)
        services = connect_platform(client, settings)
        await client.put(f"{url}/control/hosts", json=_build_hosts())
        await _write_rows(services, _build_rows())
        reader = ClusterReader(services.table, services.host_list, PARTITIONS)
        reads: dict[str, ReadAction] = {
            f"host list of {NODES + SIDECARS:,} hosts": services.host_list.hosts,
            f"all rows of {NODES} nodes and {PARTITIONS:,} partitions": reader.read_all,
            "one row": lambda: services.table.read(node_key(NodeId("entry-001"))),
        }
        measurements = [
            measurement
            for name, read in reads.items()
            async for measurement in _measure_read(name, read, received)
        ]
        return measurements + [
            measurement async for measurement in _measure_replay(services, received)
        ]


def _build_hosts() -> list[dict[str, object]]:
    return [_build_host(f"entry-{number:03d}", "entry", number) for number in range(NODES)] + [
        _build_host(f"calc-models-{number:05d}", "sidecar", number) for number in range(SIDECARS)
    ]


def _build_host(name: str, role: str, number: int) -> dict[str, object]:
    labels = {
        "host": name,
        "role": role,
        "failure_domain": f"domain-{number % DOMAINS}",
        "pool": "calc-models" if role == "sidecar" else "",
        "leaving": "false",
    }
    return {"targets": [f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:7100"]} | {
        "labels": labels
    }


def _build_rows() -> list[Write]:
    rows: list[Write] = []
    for number in range(NODES):
        node = NodeId(f"entry-{number:03d}")
        domain = FailureDomain(f"domain-{number % DOMAINS}")
        row = NodeRow(node, incarnation_of(node, "0123456789ab"), 1_000, "10.0.0.1:7100", domain)
        rows.append(Write(node_key(node), msgspec.msgpack.encode(row)))
    for number in range(PARTITIONS):
        owner = incarnation_of(NodeId(f"entry-{number % NODES:03d}"), "0123456789ab")
        journals = (JournalReference(owner, 100),)
        partition = PartitionRow(owner, Epoch(3), journals, 1, Epoch(3), 100)
        key = partition_key(PartitionNumber(number))
        rows.append(Write(key, msgspec.msgpack.encode(partition)))
    return rows


async def _write_rows(services: PlatformServices, writes: list[Write]) -> None:
    for start in range(0, len(writes), ROWS_PER_TRANSACTION):
        await services.table.transact([], writes[start : start + ROWS_PER_TRANSACTION])


async def _measure_read(
    name: str, read: ReadAction, received: ReceivedBytes
) -> AsyncIterator[Measurement]:
    await read()
    before, start = received.total, time.process_time()
    for _ in range(REPEATS):
        await read()
    cpu_us = (time.process_time() - start) / REPEATS * MICROSECONDS_PER_S
    yield Measurement(f"read {name}", (received.total - before) / REPEATS, "bytes")
    yield Measurement(f"read {name}, processor", cpu_us, "us", f"{REPEATS} reads")


async def _measure_replay(
    services: PlatformServices, received: ReceivedBytes
) -> AsyncIterator[Measurement]:
    """Read a journal and replay one of its partitions."""
    for sequence in range(1, SEGMENTS + 1):
        await services.table.transact([], [_build_segment(sequence)])
    before, cpu_start_s, start = received.total, time.process_time(), time.perf_counter()
    segments = await SegmentReader(services.table, services.objects).read([samples.INCARNATION])
    row = PartitionRow(
        samples.INCARNATION, samples.FENCE.epoch, (JournalReference(samples.INCARNATION, 1),)
    )
    replay(samples.FENCE.partition, row, segments)
    records = SEGMENTS * SEGMENT_RECORDS
    basis = f"{records} records of turns"
    cpu_us = (time.process_time() - cpu_start_s) / records * MICROSECONDS_PER_S
    wall_us = (time.perf_counter() - start) / records * MICROSECONDS_PER_S
    yield Measurement("replay a record", (received.total - before) / records, "bytes", basis)
    yield Measurement("replay a record, processor", cpu_us, "us", basis)
    yield Measurement("replay a record, wall time", wall_us, "us", basis)


def _build_segment(sequence: int) -> Write:
    fence = samples.FENCE
    entries = tuple(
        PartitionRecord(fence.partition, fence.epoch, samples.build_turn_record(number, sequence))
        for number in range(SEGMENT_RECORDS)
    )
    body = msgspec.msgpack.encode(Segment(samples.INCARNATION, sequence, entries))
    value = msgspec.msgpack.encode(StoredSegment(body=body))
    return Write(segment_key(samples.INCARNATION, sequence), value)
