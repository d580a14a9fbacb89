"""Group commit of journal records into numbered segments, with a limited write rate."""

from collections import deque
from typing import Generic, TypeVar

import msgspec

from skylarkferry_core.ids import Epoch, Incarnation, PartitionNumber
from skylarkferry_core.records import PartitionRecord, Segment

MAX_SEGMENT_PARTITIONS = 48


class TokenBucket:
    """Limits a node to its share of the platform's write rate."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_at = 0.0

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate as of ``now``."""
        self._refill(now)
        self.rate_per_s = rate_per_s

    def _refill(self, now: float) -> None:
        elapsed_s = max(now - self.updated_at, 0.0)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_at = now

    def delay_s(self, now: float) -> float:
        """Return the seconds until a write is allowed."""
        self._refill(now)
        return max(1.0 - self.tokens, 0.0) / self.rate_per_s

    def take(self, now: float) -> None:
        """Count a write; writes that cannot wait may make the balance negative."""
        self._refill(now)
        self.tokens -= 1.0


class QueuedRecord:
    """A record to be written to the table, and its encoded size in bytes."""

    def __init__(self, record: PartitionRecord, size: int) -> None:
        self.record = record
        self.size = size


Item = TypeVar("Item", bound=QueuedRecord)


class SegmentQueue(Generic[Item]):
    """Groups records into segments in write order, with at most one segment in flight.

    A segment keeps its sequence number and records until it is written; only the records of a
    lost partition are removed from it.
    """

    def __init__(self, incarnation: Incarnation, segment_bytes: int) -> None:
        self.incarnation = incarnation
        self.segment_bytes = segment_bytes
        self.sequence = 1
        self.backlog_bytes = 0
        self.waiting: deque[Item] = deque()
        self.in_flight: list[Item] = []

    def add(self, item: Item) -> None:
        """Append a record to the queue."""
        self.waiting.append(item)
        self.backlog_bytes += item.size

    def has_unwritten(self) -> bool:
        """Return whether any record is not yet in the table."""
        return bool(self.in_flight or self.waiting)

    def next_segment(self) -> Segment | None:
        """Return the segment in flight, else a new one, or ``None`` if no records are queued."""
        if not self.in_flight:
            self._fill()
        if not self.in_flight:
            return None
        records = tuple(item.record for item in self.in_flight)
        return Segment(self.incarnation, self.sequence, records)

    def _fill(self) -> None:
        size = 0
        partitions: set[PartitionNumber] = set()
        while self.waiting:
            item = self.waiting[0]
            size += item.size
            partitions.add(item.record.partition)
            if self.in_flight and (
                size > self.segment_bytes or len(partitions) > MAX_SEGMENT_PARTITIONS
            ):
                return
            self.in_flight.append(self.waiting.popleft())

    def mark_written(self) -> list[Item]:
        """Mark the segment in flight as written, and return its records."""
        written, self.in_flight = self.in_flight, []
        self.backlog_bytes -= sum(item.size for item in written)
        self.sequence += 1
        return written

    def drop_partition(self, partition: PartitionNumber, epoch: Epoch) -> list[Item]:
        """Remove and return the records of a lost partition up to and including ``epoch``."""
        queued = [*self.in_flight, *self.waiting]
        dropped = [item for item in queued if _belongs(item, partition, epoch)]
        self.in_flight = [item for item in self.in_flight if not _belongs(item, partition, epoch)]
        self.waiting = deque(item for item in self.waiting if not _belongs(item, partition, epoch))
        self.backlog_bytes -= sum(item.size for item in dropped)
        return dropped


def _belongs(item: QueuedRecord, partition: PartitionNumber, epoch: Epoch) -> bool:
    return item.record.partition == partition and item.record.epoch <= epoch


class StoredSegment(msgspec.Struct, frozen=True, array_like=True):
    """Value of a segment row: the encoded segment, or the key of the object that contains it."""

    body: bytes = b""
    object_key: str = ""
