"""Partition ownership and journals of several entries on fakes, each with its own clock."""

import anyio
import msgspec

from fakes import (
    FakeHostList,
    FakeObjectStore,
    FakeTable,
    FaultyTable,
    RateTimers,
    entry_settings,
)
from skylarkferry_core.ids import PartitionNumber, ProgramId
from skylarkferry_core.partitions import PartitionRow, partition_key
from skylarkferry_core.records import AllotmentTaken
from skylarkferry_core.replays import replay
from skylarkferry_daemon.log import NO_PROGRAM, EventLog
from skylarkferry_daemon.ownership import PartitionOwnership
from skylarkferry_daemon.platform import PlatformServices
from skylarkferry_daemon.segment_reader import SegmentReader

PARTITIONS = 4
START_S = 1_000.0


class Listener:
    """A listener that records the acquired partitions and their records."""

    def __init__(self):
        self.records = {}
        self.fences = {}

    async def on_acquired(self, fence, records):
        self.fences[fence.partition] = fence
        self.records[fence.partition] = list(records)

    async def on_lost(self, partition):
        self.fences.pop(partition)


class TimelineLog(EventLog):
    """An event log that appends each event to the lines shared by all nodes."""

    def __init__(self, node, event_lines):
        super().__init__(node, ring_events=10)
        self.event_lines = event_lines

    def emit(self, kind, program_id=NO_PROGRAM, **fields):
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        at_s = anyio.current_time() - START_S
        self.event_lines.append(
            f"{at_s:5.1f} s  {self.node}  {kind.name.lower()} {values}".rstrip()
        )


class Node:
    """Partition ownership of an entry with its own clock and its own table connection."""

    def __init__(self, name, cluster, rate=1.0, **limits):
        self.name = name
        self.timers = RateTimers(rate)
        self.table = FaultyTable(cluster.table)
        services = PlatformServices(self.table, cluster.objects, cluster.hosts)
        events = TimelineLog(name, cluster.event_lines)
        settings = entry_settings(name, partitions=PARTITIONS, **limits)
        self.ownership = PartitionOwnership(settings, services, self.timers, events)
        self.listener = Listener()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            task_status.started(tasks.cancel_scope)
            tasks.start_soon(self.timers.run, tasks)
            tasks.start_soon(self.ownership.run, self.listener)

    def hand_over(self):
        """Start a planned stop in a task that is cancelled with the node."""
        if not self.tasks.cancel_scope.cancel_called:
            self.tasks.start_soon(self.ownership.hand_over)

    def held(self):
        numbers = map(PartitionNumber, range(PARTITIONS))
        return {number for number in numbers if self.ownership.fence(number)}

    async def append(self, fence, record, *, durable):
        await self.ownership.journal.append(fence, record, durable=durable)


class Cluster:
    def __init__(self, names):
        self.event_lines = []
        self.table = FakeTable()
        self.objects = FakeObjectStore()
        self.hosts = FakeHostList(names)

    async def replayed(self, partition):
        """Return the records that a node would replay when it takes over the partition."""
        row = msgspec.msgpack.decode(
            self.table.rows[partition_key(partition)].value, type=PartitionRow
        )
        reader = SegmentReader(self.table, self.objects)
        segments = await reader.read(journal.incarnation for journal in row.journals)
        return replay(partition, row, segments)


def record(partition, number):
    return AllotmentTaken(ProgramId(f"{partition:04d}-p"), number, 0)
