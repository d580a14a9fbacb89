"""Copies the records that a partition still needs, so that older segments can go."""

import msgspec

from skylarkferry_core.errors import NotOwnerError, WriteConflictError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import PartitionNumber
from skylarkferry_core.interfaces import Condition, Row, Table, Write
from skylarkferry_core.messages import Fence
from skylarkferry_core.partitions import JournalReference, PartitionRow, partition_key
from skylarkferry_core.records import PartitionRecord, Record
from skylarkferry_core.replays import compact
from skylarkferry_daemon.journal import TableJournal
from skylarkferry_daemon.log import EventLog


class Compactor:
    """Give partitions a new base in the own journal."""

    def __init__(
        self, table: Table, journal: TableJournal, events: EventLog, ended_kept: int
    ) -> None:
        self.table = table
        self.journal = journal
        self.events = events
        self.ended_kept = ended_kept
        self.rounds: dict[PartitionNumber, int] = {}

    async def rebase(self, fence: Fence, records: list[Record], base_sequence: int = 0) -> None:
        """Copy ``records``, which stand for all before segment ``base_sequence`` of this epoch.

        The old journals leave the partition's row only after the copies are durable.  Raise
        ``NotOwnerError`` when the epoch moved.
        """
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
        return max(self.ended_kept // max(len(self.journal.holdings.held), 1), 1)

    async def _copy(self, fence: Fence, records: list[Record], base_round: int) -> None:
        """Append the copies and wait until the last of them is durable."""
        for index, record in enumerate(records):
            entry = PartitionRecord(fence.partition, fence.epoch, record, base_round)
            await self.journal.add(entry, durable=index == len(records) - 1)

    async def _read(self, fence: Fence) -> Row:
        """Return the partition's row; raise ``NotOwnerError`` when it names another owner."""
        key = partition_key(fence.partition)
        row = await self.journal.patience.until_answered(lambda: self.table.read(key))
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
            holding = self.journal.holdings.find(fence)
            if holding is None:
                raise NotOwnerError(f"partition {fence.partition} changed hands")
            conditions = [self.journal.lease.condition(), condition]
            self.journal.bucket.take(self.journal.patience.timers.now())
            try:
                holding.version = await self.journal.patience.until_answered(
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
