"""Conditional writes of segments and lease renewals, and their outcomes."""

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
from skylarkferry_daemon.platform import PlatformServices
from skylarkferry_daemon.platform_retries import PlatformRetrier

MAX_INLINE_BYTES = 262_144
MAX_PARTITION_CONDITIONS = MAX_SEGMENT_PARTITIONS


class WriteOutcome(Enum):
    """Outcome of a write.

    ``MOVED``: a condition failed, so the write has to be rebuilt.  ``DEAD``: the node's row is
    gone or belongs to another incarnation.
    """

    WRITTEN = "written"
    MOVED = "moved"
    DEAD = "dead"


class SegmentWrite:
    """One transaction: a lease renewal and, optionally, a segment."""

    def __init__(self, segment: Segment | None, value: bytes, sent_at: float) -> None:
        self.segment = segment
        self.value = value
        self.sent_at = sent_at
        self.in_doubt = False
        self.partitions: dict[PartitionNumber, Epoch] = {}
        self.conditions: list[Condition] = []
        self.writes: list[Write] = []
        self.moved: list[tuple[PartitionNumber, Epoch]] = []


class SegmentWriter:
    """Build and send the writes of a node and resolve unknown outcomes."""

    def __init__(
        self,
        services: PlatformServices,
        lease: NodeLease,
        held_partitions: HeldPartitions,
        retrier: PlatformRetrier,
    ) -> None:
        self.table = services.table
        self.objects = services.objects
        self.lease = lease
        self.held_partitions = held_partitions
        self.retrier = retrier
        self.rotation = 0
        self.object_keys: dict[int, str] = {}

    async def prepare(self, segment: Segment | None) -> SegmentWrite:
        """Build the transaction of a segment; upload a large segment to the object store."""
        value = await self._encode_row(segment) if segment is not None else b""
        write = SegmentWrite(segment, value, self.retrier.timers.now())
        write.partitions = self._conditional_partitions(segment)
        write.conditions = [self.lease.condition()]
        write.conditions.extend(map(self.held_partitions.condition, write.partitions))
        write.writes = [self.lease.renewal()]
        if segment is not None:
            key = segment_key(segment.incarnation, segment.sequence)
            write.conditions.append(Condition(key, 0))
            write.writes.append(Write(key, value))
        return write

    async def _encode_row(self, segment: Segment) -> bytes:
        """Return the value of the segment's row; a large segment is stored as an object."""
        body = msgspec.msgpack.encode(segment)
        if len(body) <= MAX_INLINE_BYTES:
            return msgspec.msgpack.encode(StoredSegment(body=body))
        digest = xxhash.xxh3_128_hexdigest(body)
        key = f"{segment_key(segment.incarnation, segment.sequence)}-{digest}"
        await self.retrier.retry_until_answered(lambda: self.objects.put(key, body))
        self.object_keys[segment.sequence] = key
        return msgspec.msgpack.encode(StoredSegment(object_key=key))

    def pop_object_keys(self, sequence: int) -> list[str]:
        """Remove and return the object keys of the segments before ``sequence``."""
        old = [number for number in self.object_keys if number < sequence]
        return [self.object_keys.pop(number) for number in old]

    def _conditional_partitions(self, segment: Segment | None) -> dict[PartitionNumber, Epoch]:
        """Return the partitions whose ownership the write checks, and their epochs.

        These are the segment's partitions and, in rotation, other held partitions, up to
        ``MAX_PARTITION_CONDITIONS`` in total.
        """
        records = segment.records if segment is not None else ()
        epochs = {entry.partition: entry.epoch for entry in records}
        others = [partition for partition in self.held_partitions.held if partition not in epochs]
        spare_conditions = max(MAX_PARTITION_CONDITIONS - len(epochs), 0)
        start = self.rotation % len(others) if len(others) > spare_conditions else 0
        self.rotation += spare_conditions
        for partition in (others[start:] + others[:start])[:spare_conditions]:
            epochs[partition] = self.held_partitions.held[partition].epoch
        return epochs

    async def send(self, write: SegmentWrite) -> WriteOutcome:
        """Send the transaction once; raise the errors of :meth:`Table.transact`."""
        version = await self.table.transact(write.conditions, write.writes)
        self.retrier.on_answer()
        self.lease.renewals += 1
        self.lease.renewed(version, write.sent_at)
        return WriteOutcome.WRITTEN

    async def resolve(self, write: SegmentWrite) -> WriteOutcome:
        """Find out why a condition of a write failed.

        Either an earlier attempt took effect, or the lease or a partition has changed.
        """
        if await self._is_stored(write):
            await self._refresh_lease(write)
            return WriteOutcome.WRITTEN
        row = await self._read(node_key(self.lease.node))
        if not self._is_own_row(row):
            return WriteOutcome.DEAD
        if row.version != self.lease.version:
            self._apply_renewal(row, write)
            return WriteOutcome.MOVED if write.segment is not None else WriteOutcome.WRITTEN
        await self._find_moved_partitions(write)
        return WriteOutcome.MOVED

    async def _is_stored(self, write: SegmentWrite) -> bool:
        """Return True if the segment's row has the value of this write."""
        if write.segment is None:
            return False
        key = segment_key(write.segment.incarnation, write.segment.sequence)
        return (await self._read(key)).value == write.value

    async def _refresh_lease(self, write: SegmentWrite) -> None:
        row = await self._read(node_key(self.lease.node))
        if self._is_own_row(row):
            self._apply_renewal(row, write)
        else:
            self.lease.lose()

    def _is_own_row(self, row: Row) -> bool:
        if not row.version:
            return False
        seen = msgspec.msgpack.decode(row.value, type=NodeRow)
        return seen.incarnation == self.lease.incarnation

    def _apply_renewal(self, row: Row, write: SegmentWrite) -> None:
        seen = msgspec.msgpack.decode(row.value, type=NodeRow)
        self.lease.renewals = seen.renewals
        self.lease.renewed(row.version, write.sent_at)

    async def _find_moved_partitions(self, write: SegmentWrite) -> None:
        """Add partitions with a new owner or epoch to ``write.moved``.

        Refresh the row versions of the others.
        """
        for partition, epoch in write.partitions.items():
            row = await self._read(partition_key(partition))
            seen = msgspec.msgpack.decode(row.value, type=PartitionRow) if row.version else None
            if seen is None or (seen.owner, seen.epoch) != (self.lease.incarnation, epoch):
                write.moved.append((partition, epoch))
            else:
                self.held_partitions.held[partition].version = row.version

    async def _read(self, key: str) -> Row:
        return await self.retrier.retry_until_answered(lambda: self.table.read(key))
