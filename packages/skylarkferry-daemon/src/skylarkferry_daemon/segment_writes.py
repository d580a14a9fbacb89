"""Conditional writes of segments and renewals, and what became of them."""

from enum import Enum

import msgspec
import xxhash

from skylarkferry_core.held_partitions import HeldPartitions
from skylarkferry_core.ids import Epoch, PartitionNumber
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_core.leases import NodeLease
from skylarkferry_core.partitions import (
    NodeRow,
    PartitionRow,
    node_key,
    partition_key,
    segment_key,
)
from skylarkferry_core.records import Segment
from skylarkferry_core.segments import MAX_SEGMENT_PARTITIONS, StoredSegment
from skylarkferry_daemon.patience import Patience
from skylarkferry_daemon.platform import PlatformServices

INLINE_BYTES = 262_144
PARTITION_CONDITIONS = MAX_SEGMENT_PARTITIONS


class Settlement(Enum):
    """What became of a write."""

    WRITTEN = "written"
    MOVED = "moved"
    DEAD = "dead"


class SegmentWrite:
    """One transaction: a segment, or none, and a renewal of the lease."""

    def __init__(self, segment: Segment | None, value: bytes, sent_at: float) -> None:
        self.segment = segment
        self.value = value
        self.sent_at = sent_at
        self.in_doubt = False
        self.partitions: dict[PartitionNumber, Epoch] = {}
        self.conditions: list[Condition] = []
        self.writes: list[Write] = []
        self.moved: list[tuple[PartitionNumber, Epoch]] = []


class SegmentWrites:
    """Build, send and resolve the writes of a node."""

    def __init__(
        self,
        services: PlatformServices,
        lease: NodeLease,
        holdings: HeldPartitions,
        patience: Patience,
    ) -> None:
        self.table = services.table
        self.objects = services.objects
        self.lease = lease
        self.holdings = holdings
        self.patience = patience
        self.rotation = 0
        self.object_keys: dict[int, str] = {}

    async def prepare(self, segment: Segment | None) -> SegmentWrite:
        """Build the transaction of a segment and store its object if it is large."""
        value = await self._stored(segment) if segment is not None else b""
        write = SegmentWrite(segment, value, self.patience.timers.now())
        write.partitions = self._conditional_partitions(segment)
        write.conditions = [self.lease.condition()]
        write.conditions.extend(map(self.holdings.condition, write.partitions))
        write.writes = [self.lease.renewal()]
        if segment is not None:
            key = segment_key(segment.incarnation, segment.sequence)
            write.conditions.append(Condition(key, 0))
            write.writes.append(Write(key, value))
        return write

    async def _stored(self, segment: Segment) -> bytes:
        """Return the value of the segment's row."""
        body = msgspec.msgpack.encode(segment)
        if len(body) <= INLINE_BYTES:
            return msgspec.msgpack.encode(StoredSegment(body=body))
        digest = xxhash.xxh3_128_hexdigest(body)
        key = f"{segment_key(segment.incarnation, segment.sequence)}-{digest}"
        await self.patience.until_answered(lambda: self.objects.put(key, body))
        self.object_keys[segment.sequence] = key
        return msgspec.msgpack.encode(StoredSegment(object_key=key))

    def take_objects(self, sequence: int) -> list[str]:
        """Return and forget the objects of the segments before ``sequence``."""
        old = [number for number in self.object_keys if number < sequence]
        return [self.object_keys.pop(number) for number in old]

    def _conditional_partitions(self, segment: Segment | None) -> dict[PartitionNumber, Epoch]:
        """Return the segment's partitions and, in rotation, other held ones."""
        records = segment.records if segment is not None else ()
        chosen = {entry.partition: entry.epoch for entry in records}
        others = [partition for partition in self.holdings.held if partition not in chosen]
        room = max(PARTITION_CONDITIONS - len(chosen), 0)
        start = self.rotation % len(others) if len(others) > room else 0
        self.rotation += room
        for partition in (others[start:] + others[:start])[:room]:
            chosen[partition] = self.holdings.held[partition].epoch
        return chosen

    async def send(self, write: SegmentWrite) -> Settlement:
        """Send the transaction once; errors as :meth:`Table.transact`."""
        version = await self.table.transact(write.conditions, write.writes)
        self.patience.back()
        self.lease.renewals += 1
        self.lease.renewed(version, write.sent_at)
        return Settlement.WRITTEN

    async def resolve(self, write: SegmentWrite) -> Settlement:
        """Find out why a write was refused: it took effect before, or something moved."""
        if await self._found(write):
            await self._refresh_lease(write)
            return Settlement.WRITTEN
        row = await self._read(node_key(self.lease.node))
        if not self._own(row):
            return Settlement.DEAD
        if row.version != self.lease.version:
            self._take_renewal(row, write)
            return Settlement.MOVED if write.segment is not None else Settlement.WRITTEN
        await self._find_moved(write)
        return Settlement.MOVED

    async def _found(self, write: SegmentWrite) -> bool:
        """Tell whether the segment's row holds this very segment."""
        if write.segment is None:
            return False
        key = segment_key(write.segment.incarnation, write.segment.sequence)
        return (await self._read(key)).value == write.value

    async def _refresh_lease(self, write: SegmentWrite) -> None:
        row = await self._read(node_key(self.lease.node))
        if self._own(row):
            self._take_renewal(row, write)
        else:
            self.lease.lose()

    def _own(self, row: Row) -> bool:
        if not row.version:
            return False
        seen = msgspec.msgpack.decode(row.value, type=NodeRow)
        return seen.incarnation == self.lease.incarnation

    def _take_renewal(self, row: Row, write: SegmentWrite) -> None:
        seen = msgspec.msgpack.decode(row.value, type=NodeRow)
        self.lease.renewals = seen.renewals
        self.lease.renewed(row.version, write.sent_at)

    async def _find_moved(self, write: SegmentWrite) -> None:
        """Compare the partitions' rows with what is held."""
        for partition, epoch in write.partitions.items():
            row = await self._read(partition_key(partition))
            seen = msgspec.msgpack.decode(row.value, type=PartitionRow) if row.version else None
            if seen is None or (seen.owner, seen.epoch) != (self.lease.incarnation, epoch):
                write.moved.append((partition, epoch))
            else:
                self.holdings.held[partition].version = row.version

    async def _read(self, key: str) -> Row:
        return await self.patience.until_answered(lambda: self.table.read(key))
