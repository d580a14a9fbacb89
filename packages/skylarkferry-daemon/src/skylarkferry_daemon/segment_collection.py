"""Deletes journal segments that no partition needs any longer."""

from collections.abc import Iterable

import msgspec

from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import Incarnation, NodeId
from skylarkferry_core.interfaces import Row, Write
from skylarkferry_core.partitions import (
    JOURNAL_INDEX_PREFIX,
    NODE_PREFIX,
    PARTITION_PREFIX,
    NodeRow,
    PartitionRow,
    is_target,
    journal_index_key,
    segment_key,
    segment_prefix,
)
from skylarkferry_core.segments import StoredSegment
from skylarkferry_daemon.journal import TableJournal
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.platform import PlatformServices

DELETION_BATCH_SIZE = 64


class SegmentCollector:
    """Delete old segments of this node's journal, and whole journals of ended incarnations."""

    def __init__(self, services: PlatformServices, journal: TableJournal, events: EventLog) -> None:
        self.table = services.table
        self.objects = services.objects
        self.journal = journal
        self.events = events
        self.collected: dict[Incarnation, int] = {}

    async def collect(self) -> None:
        """Delete unneeded segments; during an outage leave the rest for the next run."""
        try:
            await self._collect()
        except PlatformUnavailableError as error:
            self.journal.retrier.on_failure(error)

    async def _collect(self) -> None:
        """Read journals, then nodes, then partitions.

        An ended incarnation cannot claim partitions, and the partition rows are read last.  If
        they do not reference the journal of an ended incarnation, no later row will.
        """
        own = self.journal.lease.incarnation
        sequence = self.journal.queue.sequence
        index = await self.table.scan(JOURNAL_INDEX_PREFIX)
        nodes = _incarnations(await self.table.scan(NODE_PREFIX))
        needed = _first_needed_sequences(await self.table.scan(PARTITION_PREFIX))
        await self._collect_own(own, needed.get(own, sequence))
        for row in index:
            incarnation = Incarnation(row.key.removeprefix(JOURNAL_INDEX_PREFIX))
            unneeded = incarnation not in needed and incarnation not in nodes.values()
            if unneeded and is_target(row.key, self.journal.lease.node, nodes):
                await self._collect_journal(incarnation)

    async def _collect_own(self, own: Incarnation, first_needed: int) -> None:
        """Delete this node's segments before sequence ``first_needed``."""
        first = self.collected.get(own, 1)
        keys = [segment_key(own, number) for number in range(first, first_needed)]
        await self._delete(keys)
        await self._delete_objects(self.journal.segment_writer.pop_object_keys(first_needed))
        self.collected = {own: max(first, first_needed)}
        if keys:
            self.events.emit(EventKind.JOURNAL_COLLECTED, journal=own, segments=len(keys))

    async def _collect_journal(self, incarnation: Incarnation) -> None:
        """Delete a journal whose incarnation has ended and that no partition references."""
        rows = await self.table.scan(segment_prefix(incarnation))
        stored = (msgspec.msgpack.decode(row.value, type=StoredSegment) for row in rows)
        await self._delete_objects([each.object_key for each in stored if each.object_key])
        await self._delete([row.key for row in rows])
        await self._delete([journal_index_key(incarnation)])
        self.events.emit(EventKind.JOURNAL_COLLECTED, journal=incarnation, segments=len(rows))

    async def _delete(self, keys: list[str]) -> None:
        for start in range(0, len(keys), DELETION_BATCH_SIZE):
            writes = [Write(key, None) for key in keys[start : start + DELETION_BATCH_SIZE]]
            self.journal.bucket.take(self.journal.retrier.timers.now())
            await self.table.transact([], writes)

    async def _delete_objects(self, keys: Iterable[str]) -> None:
        for key in keys:
            await self.objects.delete(key)


def _incarnations(rows: list[Row]) -> dict[NodeId, Incarnation]:
    decoded = (msgspec.msgpack.decode(row.value, type=NodeRow) for row in rows)
    return {row.node: row.incarnation for row in decoded}


def _first_needed_sequences(rows: list[Row]) -> dict[Incarnation, int]:
    """Return the lowest sequence of each journal that any partition still needs."""
    needed: dict[Incarnation, int] = {}
    for row in rows:
        for journal in msgspec.msgpack.decode(row.value, type=PartitionRow).journals:
            lowest = needed.get(journal.incarnation, journal.first_sequence)
            needed[journal.incarnation] = min(lowest, journal.first_sequence)
    return needed
