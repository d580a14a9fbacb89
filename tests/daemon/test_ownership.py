import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from fakes import (
    FakeHostList,
    FakeObjectStore,
    FakeTable,
    FaultyTable,
    RateTimers,
    entry_settings,
    run_virtual,
)
from skylarkferry_core.ids import PartitionNumber, ProgramId
from skylarkferry_core.records import AllotmentTaken
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.ownership import PartitionOwnership
from skylarkferry_daemon.platform import PlatformServices


class Listener:
    """Remembers what was adopted and lost."""

    def __init__(self):
        self.records = {}
        self.fences = {}

    async def on_adopted(self, fence, records):
        self.fences[fence.partition] = fence
        self.records[fence.partition] = list(records)

    async def on_lost(self, partition):
        self.fences.pop(partition)


class Node:
    """An entry's ownership with its own clock and its own way to the table."""

    def __init__(self, name, cluster, rate=1.0):
        self.timers = RateTimers(rate)
        self.table = FaultyTable(cluster.table)
        services = PlatformServices(self.table, cluster.objects, cluster.hosts)
        events = EventLog(name, 1_000)
        self.ownership = PartitionOwnership(entry_settings(name), services, self.timers, events)
        self.listener = Listener()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        async with anyio.create_task_group() as tasks:
            task_status.started(tasks.cancel_scope)
            tasks.start_soon(self.timers.run, tasks)
            tasks.start_soon(self.ownership.run, self.listener)

    def held(self):
        return {p for p in range(4) if self.ownership.fence(PartitionNumber(p))}


class Cluster:
    def __init__(self, names):
        self.table = FakeTable()
        self.objects = FakeObjectStore()
        self.hosts = FakeHostList(names)


def record(partition, number):
    return AllotmentTaken(ProgramId(f"{partition:04d}-p"), number, 0)


def test_one_node_adopts_all_and_another_takes_over_what_it_wrote():
    async def session():
        cluster = Cluster(["a"])
        first, second = Node("a", cluster), Node("b", cluster)
        async with anyio.create_task_group() as tasks:
            scope = await tasks.start(first.run)
            await anyio.sleep(5)
            assert_that(first.held(), Equals({0, 1, 2, 3}))
            for number in range(10):
                fence = first.listener.fences[number % 4]
                await first.ownership.journal.append(
                    fence, record(fence.partition, number), durable=number > 5
                )
            scope.cancel()
            await tasks.start(second.run)
            await anyio.sleep(10)
            assert_that(second.held(), Equals({0, 1, 2, 3}))
            tasks.cancel_scope.cancel()
        return second.listener.records

    records = run_virtual(session)
    assert_that(records[1], Equals([record(1, 1), record(1, 5), record(1, 9)]))
    assert_that(records[2], HasLength(2))
