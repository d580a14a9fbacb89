"""Copies the records that a partition still needs, so that older segments can be deleted."""

import contextlib

import msgspec

from skylarkferry_core.errors import NotOwnerError, WriteConflictError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import PartitionNumber
from skylarkferry_core.interfaces import Condition, Row, Table, Write
from skylarkferry_core.messages import Fence
from skylarkferry_core.partitions import JournalReference, PartitionRow, partition_key
from skylarkferry_core.records import PartitionRecord, Record, Segment
from skylarkferry_core.replays import compact, replay
from skylarkferry_daemon.journal import TableJournal
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.segment_reader import SegmentReader
from skylarkferry_daemon.settings import LimitSettings

COMPACTION_GROWTH_RATIO = 3


class Compactor:
    """Write new bases of partitions to this node's journal.

    A base is a copy of all live records, from which a replay of the partition starts.
    """

    def __init__(
        self,
        table: Table,
        journal: TableJournal,
        reader: SegmentReader,
        events: EventLog,
        limits: LimitSettings,
    ) -> None:
        self.table = table
        self.journal = journal
        self.reader = reader
        self.events = events
        self.ended_kept = limits.ended_programs_kept
        self.compact_bytes = limits.journal_compact_bytes
        self.latest_rounds: dict[PartitionNumber, int] = {}
        self.rebasing: set[PartitionNumber] = set()
        self.live_bytes = 0

    def due(self) -> bool:
        """Return True if most of this node's journal is probably obsolete."""
        return self.journal.written_bytes > max(
            self.compact_bytes, COMPACTION_GROWTH_RATIO * self.live_bytes
        )

    async def compact_journal(self) -> None:
        """Write a new base for each held partition; it replaces the segments written so far."""
        async with self.journal.lock:
            base_sequence = self.journal.queue.sequence
            self.journal.written_bytes = 0
        own = self.journal.lease.incarnation
        segments = await self.journal.retrier.retry_until_answered(lambda: self.reader.read([own]))
        written = [segment for segment in segments if segment.sequence < base_sequence]
        for partition, held in list(self.journal.held_partitions.held.items()):
            with contextlib.suppress(NotOwnerError):
                fence = Fence(partition, held.epoch)
                await self._compact_partition(fence, written, base_sequence)
        self.live_bytes = self.journal.written_bytes

    async def _compact_partition(
        self, fence: Fence, written: list[Segment], base_sequence: int
    ) -> None:
        """Write a new base for a partition that depends on this node's journal only."""
        row = await self._read_owned_row(fence)
        stored = msgspec.msgpack.decode(row.value, type=PartitionRow)
        held = self.journal.held_partitions.find(fence)
        if len(stored.journals) > 1 or held is None or not held.ready:
            return
        await self.rebase(fence, replay(fence.partition, stored, written), base_sequence)

    async def rebase(self, fence: Fence, records: list[Record], base_sequence: int = 0) -> None:
        """Write ``records`` as the new base of a partition.

        They replace all segments before ``base_sequence`` of this epoch.  The old journals are
        removed from the partition's row only after the copies are durable.  Raise
        ``NotOwnerError`` if the partition has a new epoch.
        """
        if fence.partition in self.rebasing:
            return
        self.rebasing.add(fence.partition)
        try:
            await self._rebase(fence, records, base_sequence)
        finally:
            self.rebasing.discard(fence.partition)

    async def _rebase(self, fence: Fence, records: list[Record], base_sequence: int) -> None:
        row = await self._read_owned_row(fence)
        stored = msgspec.msgpack.decode(row.value, type=PartitionRow)
        base_round = max(stored.base_round, self.latest_rounds.get(fence.partition, 0)) + 1
        self.latest_rounds[fence.partition] = base_round
        kept = compact(records, self._ended_kept_per_partition())
        await self._copy(fence, kept, base_round)
        new = msgspec.structs.replace(
            stored,
            journals=(self._own_reference(stored, base_sequence),),
            base_round=base_round,
            base_epoch=fence.epoch,
            base_sequence=base_sequence,
        )
        await self._replace_row(fence, row.version, new)
        self.events.emit(
            EventKind.JOURNAL_COMPACTED,
            partition=fence.partition,
            records=len(records),
            kept=len(kept),
        )

    def _own_reference(self, row: PartitionRow, base_sequence: int) -> JournalReference:
        """Return the reference to the part of this node's journal that is still needed."""
        own = self.journal.lease.incarnation
        first = next(entry.first_sequence for entry in row.journals if entry.incarnation == own)
        return JournalReference(own, max(first, base_sequence))

    def _ended_kept_per_partition(self) -> int:
        """Return the number of ended programs that each held partition keeps."""
        return max(self.ended_kept // max(len(self.journal.held_partitions.held), 1), 1)

    async def _copy(self, fence: Fence, records: list[Record], base_round: int) -> None:
        """Append copies of the records and wait until the last one is durable."""
        for index, record in enumerate(records):
            entry = PartitionRecord(fence.partition, fence.epoch, record, base_round)
            await self.journal.add(entry, durable=index == len(records) - 1)

    async def _read_owned_row(self, fence: Fence) -> Row:
        """Return the partition's row; raise ``NotOwnerError`` if it has another owner or epoch."""
        key = partition_key(fence.partition)
        row = await self.journal.retrier.retry_until_answered(lambda: self.table.read(key))
        stored = msgspec.msgpack.decode(row.value, type=PartitionRow)
        if (stored.owner, stored.epoch) != (self.journal.lease.incarnation, fence.epoch):
            raise NotOwnerError(f"partition {fence.partition} is no longer held")
        return row

    async def _replace_row(self, fence: Fence, version: int, new: PartitionRow) -> None:
        """Write the partition's row; retry until an outage ends.

        Raise ``NotOwnerError`` if the partition has a new epoch.
        """
        value = msgspec.msgpack.encode(new)
        write = Write(partition_key(fence.partition), value)
        condition = Condition(partition_key(fence.partition), version)
        async with self.journal.lock:
            held = self.journal.held_partitions.find(fence)
            if held is None:
                raise NotOwnerError(f"partition {fence.partition} is no longer held")
            conditions = [self.journal.lease.condition(), condition]
            self.journal.bucket.take(self.journal.retrier.timers.now())
            try:
                held.version = await self.journal.retrier.retry_until_answered(
                    lambda: self.table.transact(conditions, [write])
                )
            except WriteConflictError:
                held.version = await self._resolve_version(fence, value)

    async def _resolve_version(self, fence: Fence, value: bytes) -> int:
        """Return the row's version if an earlier attempt wrote ``value``.

        Raise ``NotOwnerError`` otherwise.
        """
        row = await self._read_owned_row(fence)
        if row.value != value:
            raise NotOwnerError(f"partition {fence.partition} is no longer held")
        return row.version
