"""Adopts partitions: the transaction, the replay of their journals, and their new base."""

from functools import partial

import anyio
import msgspec
from anyio.abc import TaskGroup

from skylarkferry_core.errors import NotOwnerError, PlatformUnavailableError, WriteConflictError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import Epoch, PartitionNumber
from skylarkferry_core.interfaces import Condition, Table, Write
from skylarkferry_core.messages import Fence
from skylarkferry_core.partitions import (
    JournalReference,
    PartitionRow,
    node_key,
    partition_key,
)
from skylarkferry_core.records import Record, Segment
from skylarkferry_core.replays import missing_sequences, replay
from skylarkferry_core.takeovers import ObservedNode, ObservedPartition
from skylarkferry_daemon.compaction import Compactor
from skylarkferry_daemon.interfaces import PartitionListener
from skylarkferry_daemon.journal import TableJournal
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.segment_reader import SegmentReader

PARTITIONS_AT_ONCE = 32


class Adopter:
    """Take partitions over and tell the listener of all that is gained and lost, in order."""

    def __init__(
        self,
        table: Table,
        journal: TableJournal,
        reader: SegmentReader,
        compactor: Compactor,
        events: EventLog,
    ) -> None:
        self.table = table
        self.journal = journal
        self.reader = reader
        self.compactor = compactor
        self.events = events
        self.telling = anyio.Lock()

    async def adopt(
        self, claims: list[ObservedPartition], dead: ObservedNode | None
    ) -> list[Fence]:
        """Adopt partitions in one transaction; with ``dead`` declare that node dead in it.

        Return nothing when another node was first or the answer did not come.
        """
        claims = claims[:PARTITIONS_AT_ONCE]
        async with self.journal.lock:
            if not self.journal.lease.held(self.journal.patience.timers.now()):
                return []
            rows = [self._adopted(seen.row) for seen in claims]
            version = await self._transact(claims, rows, dead)
            if not version:
                return []
            if dead is not None:
                self.events.emit(EventKind.NODE_DECLARED_DEAD, peer=dead.row.node)
            holdings = self.journal.holdings
            return [
                holdings.add(seen.partition, row.epoch, version)
                for seen, row in zip(claims, rows, strict=True)
            ]

    def _adopted(self, row: PartitionRow) -> PartitionRow:
        """Return the row as this node's, with its own journal at the end of the list."""
        own = self.journal.lease.incarnation
        journals = row.journals
        if own not in {journal.incarnation for journal in journals}:
            journals = (*journals, JournalReference(own, self.journal.queue.sequence))
        return msgspec.structs.replace(
            row, owner=own, epoch=Epoch(row.epoch + 1), journals=journals
        )

    async def _transact(
        self, claims: list[ObservedPartition], rows: list[PartitionRow], dead: ObservedNode | None
    ) -> int:
        """Write the rows and return their version, or 0."""
        conditions = [self.journal.lease.condition()]
        writes: list[Write] = []
        if dead is not None:
            conditions.append(Condition(node_key(dead.row.node), dead.version))
            writes.append(Write(node_key(dead.row.node), None))
        for seen, row in zip(claims, rows, strict=True):
            key = partition_key(seen.partition)
            conditions.append(Condition(key, seen.version))
            writes.append(Write(key, msgspec.msgpack.encode(row)))
        self.journal.bucket.take(self.journal.patience.timers.now())
        try:
            return await self.table.transact(conditions, writes)
        except (WriteConflictError, PlatformUnavailableError):
            return 0

    async def take_up(
        self,
        fences: list[Fence],
        listener: PartitionListener,
        tasks: TaskGroup,
    ) -> None:
        """Replay partitions whose rows name this node, hand them to the listener, rebase them."""
        rows = await self._rows(fences)
        journals = {journal.incarnation for row in rows.values() for journal in row.journals}
        patience = self.journal.patience
        segments = await patience.until_answered(lambda: self.reader.read(journals))
        for fence, row in rows.items():
            self._report_gaps(fence.partition, row, segments)
            records = replay(fence.partition, row, segments)
            if await self._tell_adopted(fence, records, listener):
                tasks.start_soon(self._rebase, fence, records)

    async def _rows(self, fences: list[Fence]) -> dict[Fence, PartitionRow]:
        rows: dict[Fence, PartitionRow] = {}
        for fence in fences:
            key = partition_key(fence.partition)
            row = await self.journal.patience.until_answered(partial(self.table.read, key))
            seen = msgspec.msgpack.decode(row.value, type=PartitionRow)
            if (seen.owner, seen.epoch) == (self.journal.lease.incarnation, fence.epoch):
                rows[fence] = seen
            else:
                await self._lose(fence)
        return rows

    async def _lose(self, fence: Fence) -> None:
        async with self.journal.lock:
            self.journal.lose(fence.partition, fence.epoch)

    def _report_gaps(
        self, partition: PartitionNumber, row: PartitionRow, segments: list[Segment]
    ) -> None:
        for incarnation, sequence in missing_sequences(row, segments):
            self.events.emit(
                EventKind.JOURNAL_GAP,
                partition=partition,
                journal=incarnation,
                sequence=sequence,
            )

    async def _tell_adopted(
        self, fence: Fence, records: list[Record], listener: PartitionListener
    ) -> bool:
        """Hand a partition to the listener; return false when it was lost meanwhile."""
        async with self.telling:
            await self._tell_lost(listener)
            holding = self.journal.holdings.find(fence)
            if holding is None:
                return False
            await listener.on_adopted(fence, records)
            holding.ready = True
        self.events.emit(
            EventKind.PARTITION_ADOPTED,
            partition=fence.partition,
            epoch=fence.epoch,
            records=len(records),
        )
        return True

    async def tell_lost(self, listener: PartitionListener) -> None:
        """Tell the listener of the partitions lost since the last call."""
        async with self.telling:
            await self._tell_lost(listener)

    async def _tell_lost(self, listener: PartitionListener) -> None:
        for partition in self.journal.holdings.take_lost():
            self.events.emit(EventKind.PARTITION_LOST, partition=partition)
            await listener.on_lost(partition)

    async def _rebase(self, fence: Fence, records: list[Record]) -> None:
        try:
            await self.compactor.rebase(fence, records)
        except NotOwnerError:
            return
