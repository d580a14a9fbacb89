"""Copies the records that a partition still needs, so that older segments can go."""

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
    """Give partitions a new base in the own journal."""

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
        self.rounds: dict[PartitionNumber, int] = {}
        self.active: set[PartitionNumber] = set()
        self.live_bytes = 0

    def due(self) -> bool:
        """Tell whether most of the own journal is probably needed no longer."""
        return self.journal.written_bytes > max(
            self.compact_bytes, COMPACTION_GROWTH_RATIO * self.live_bytes
        )

    async def compact_journal(self) -> None:
        """Give all held partitions a new base after the segments written so far."""
        async with self.journal.lock:
            base_sequence = self.journal.queue.sequence
            self.journal.written_bytes = 0
        own = self.journal.lease.incarnation
        segments = await self.journal.retrier.retry_until_answered(lambda: self.reader.read([own]))
        written = [segment for segment in segments if segment.sequence < base_sequence]
        for partition, holding in list(self.journal.held_partitions.held.items()):
            with contextlib.suppress(NotOwnerError):
                fence = Fence(partition, holding.epoch)
                await self._compact_partition(fence, written, base_sequence)
        self.live_bytes = self.journal.written_bytes

    async def _compact_partition(
        self, fence: Fence, written: list[Segment], base_sequence: int
    ) -> None:
        """Rebase a partition that needs the own journal only."""
        row = await self._read(fence)
        seen = msgspec.msgpack.decode(row.value, type=PartitionRow)
        holding = self.journal.held_partitions.find(fence)
        if len(seen.journals) > 1 or holding is None or not holding.ready:
            return
        await self.rebase(fence, replay(fence.partition, seen, written), base_sequence)

    async def rebase(self, fence: Fence, records: list[Record], base_sequence: int = 0) -> None:
        """Copy ``records``, which stand for all before segment ``base_sequence`` of this epoch.

        The old journals leave the partition's row only after the copies are durable.  Raise
        ``NotOwnerError`` when the epoch moved.
        """
        if fence.partition in self.active:
            return
        self.active.add(fence.partition)
        try:
            await self._rebase(fence, records, base_sequence)
        finally:
            self.active.discard(fence.partition)

    async def _rebase(self, fence: Fence, records: list[Record], base_sequence: int) -> None:
        row = await self._read(fence)
        seen = msgspec.msgpack.decode(row.value, type=PartitionRow)
        base_round = max(seen.base_round, self.rounds.get(fence.partition, 0)) + 1
        self.rounds[fence.partition] = base_round
        kept = compact(records, self._kept_each())
        await self._copy(fence, kept, base_round)
        new = msgspec.structs.replace(
            seen,
            journals=(self._reference(seen, base_sequence),),
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

    def _reference(self, row: PartitionRow, base_sequence: int) -> JournalReference:
        """Return what the partition needs of the own journal from now on."""
        own = self.journal.lease.incarnation
        first = next(entry.first_sequence for entry in row.journals if entry.incarnation == own)
        return JournalReference(own, max(first, base_sequence))

    def _kept_each(self) -> int:
        """Return how many ended programs each held partition keeps."""
        return max(self.ended_kept // max(len(self.journal.held_partitions.held), 1), 1)

    async def _copy(self, fence: Fence, records: list[Record], base_round: int) -> None:
        """Append the copies and wait until the last of them is durable."""
        for index, record in enumerate(records):
            entry = PartitionRecord(fence.partition, fence.epoch, record, base_round)
            await self.journal.add(entry, durable=index == len(records) - 1)

    async def _read(self, fence: Fence) -> Row:
        """Return the partition's row; raise ``NotOwnerError`` when it names another owner."""
        key = partition_key(fence.partition)
        row = await self.journal.retrier.retry_until_answered(lambda: self.table.read(key))
        seen = msgspec.msgpack.decode(row.value, type=PartitionRow)
        if (seen.owner, seen.epoch) != (self.journal.lease.incarnation, fence.epoch):
            raise NotOwnerError(f"partition {fence.partition} changed hands")
        return row

    async def _replace_row(self, fence: Fence, version: int, new: PartitionRow) -> None:
        """Write the partition's row, however long it takes, unless the epoch moved."""
        value = msgspec.msgpack.encode(new)
        write = Write(partition_key(fence.partition), value)
        condition = Condition(partition_key(fence.partition), version)
        async with self.journal.lock:
            holding = self.journal.held_partitions.find(fence)
            if holding is None:
                raise NotOwnerError(f"partition {fence.partition} changed hands")
            conditions = [self.journal.lease.condition(), condition]
            self.journal.bucket.take(self.journal.retrier.timers.now())
            try:
                holding.version = await self.journal.retrier.retry_until_answered(
                    lambda: self.table.transact(conditions, [write])
                )
            except WriteConflictError:
                holding.version = await self._version_of(fence, value)

    async def _version_of(self, fence: Fence, value: bytes) -> int:
        """Return the version of the row if it took this value in an earlier attempt."""
        row = await self._read(fence)
        if row.value != value:
            raise NotOwnerError(f"partition {fence.partition} changed hands")
        return row.version
