"""Takes over partitions: claims them, replays their journals and compacts them."""

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

MAX_CLAIMED_PARTITIONS = 32


class PartitionTakeover:
    """Take over partitions and notify the listener of each gain and loss, one at a time."""

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
        self.notify_lock = anyio.Lock()

    async def claim(
        self, claims: list[ObservedPartition], dead_node: ObservedNode | None
    ) -> list[Fence]:
        """Claim up to ``MAX_CLAIMED_PARTITIONS`` partitions in one transaction.

        With ``dead_node``, the same transaction declares that node dead by deleting its row.

        Return the fences of the claimed partitions.  There are none if this node's own
        lease may have lapsed, another node claimed first or the platform did not answer.
        """
        claims = claims[:MAX_CLAIMED_PARTITIONS]
        async with self.journal.lock:
            if not self.journal.lease.held(self.journal.retrier.timers.now()):
                return []
            rows = [self._claimed_row(seen.row) for seen in claims]
            version = await self._write_rows(claims, rows, dead_node)
            if not version:
                return []
            if dead_node is not None:
                self.events.emit(EventKind.NODE_DECLARED_DEAD, peer=dead_node.row.node)
            held_partitions = self.journal.held_partitions
            return [
                held_partitions.add(seen.partition, row.epoch, version)
                for seen, row in zip(claims, rows, strict=True)
            ]

    def _claimed_row(self, row: PartitionRow) -> PartitionRow:
        """Return the row with this node as owner and with its journal added to the row's list."""
        own = self.journal.lease.incarnation
        journals = row.journals
        if own not in {journal.incarnation for journal in journals}:
            journals = (*journals, JournalReference(own, self.journal.queue.sequence))
        return msgspec.structs.replace(
            row, owner=own, epoch=Epoch(row.epoch + 1), journals=journals
        )

    async def _write_rows(
        self,
        claims: list[ObservedPartition],
        rows: list[PartitionRow],
        dead_node: ObservedNode | None,
    ) -> int:
        """Write the rows and return their version, or 0 if the transaction failed."""
        conditions = [self.journal.lease.condition()]
        writes: list[Write] = []
        if dead_node is not None:
            conditions.append(Condition(node_key(dead_node.row.node), dead_node.version))
            writes.append(Write(node_key(dead_node.row.node), None))
        for seen, row in zip(claims, rows, strict=True):
            key = partition_key(seen.partition)
            conditions.append(Condition(key, seen.version))
            writes.append(Write(key, msgspec.msgpack.encode(row)))
        self.journal.bucket.take(self.journal.retrier.timers.now())
        try:
            return await self.table.transact(conditions, writes)
        except (WriteConflictError, PlatformUnavailableError):
            return 0

    async def load_partitions(
        self,
        fences: list[Fence],
        listener: PartitionListener,
        tasks: TaskGroup,
    ) -> None:
        """Replay claimed partitions, pass them to the listener and start their compaction.

        Drop partitions whose rows no longer name this node as owner.
        """
        rows = await self._owned_rows(fences)
        journals = {journal.incarnation for row in rows.values() for journal in row.journals}
        retrier = self.journal.retrier
        segments = await retrier.retry_until_answered(lambda: self.reader.read(journals))
        for fence, row in rows.items():
            self._report_gaps(fence.partition, row, segments)
            records = replay(fence.partition, row, segments)
            if await self._notify_acquired(fence, records, listener):
                tasks.start_soon(self._rebase, fence, records)

    async def _owned_rows(self, fences: list[Fence]) -> dict[Fence, PartitionRow]:
        rows: dict[Fence, PartitionRow] = {}
        for fence in fences:
            key = partition_key(fence.partition)
            row = await self.journal.retrier.retry_until_answered(partial(self.table.read, key))
            seen = msgspec.msgpack.decode(row.value, type=PartitionRow)
            if (seen.owner, seen.epoch) == (self.journal.lease.incarnation, fence.epoch):
                rows[fence] = seen
            else:
                await self._drop_partition(fence)
        return rows

    async def _drop_partition(self, fence: Fence) -> None:
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

    async def _notify_acquired(
        self, fence: Fence, records: list[Record], listener: PartitionListener
    ) -> bool:
        """Notify the listener of a partition; return False if it was lost in the meantime."""
        async with self.notify_lock:
            await self._notify_lost(listener)
            held = self.journal.held_partitions.find(fence)
            if held is None:
                return False
            held.announced = True
            await listener.on_acquired(fence, records)
            held.ready = True
        self.events.emit(
            EventKind.PARTITION_ADOPTED,
            partition=fence.partition,
            epoch=fence.epoch,
            records=len(records),
        )
        return True

    async def notify_lost(self, listener: PartitionListener) -> None:
        """Notify the listener of the partitions lost since the last call."""
        async with self.notify_lock:
            await self._notify_lost(listener)

    async def _notify_lost(self, listener: PartitionListener) -> None:
        for partition in self.journal.held_partitions.take_lost():
            self.events.emit(EventKind.PARTITION_LOST, partition=partition)
            await listener.on_lost(partition)

    async def _rebase(self, fence: Fence, records: list[Record]) -> None:
        try:
            await self.compactor.rebase(fence, records)
        except NotOwnerError:
            return
