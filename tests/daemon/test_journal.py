"""A node's journal: group commit, moved partitions, in-doubt writes, large segments, deletion."""

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from fakes import run_virtual
from nodes import Cluster, Node, record
from skylarkferry_core.errors import NotOwnerError
from skylarkferry_core.ids import Epoch, PartitionNumber, ProgramId
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_core.partitions import SEGMENT_PREFIX, PartitionRow, node_key, partition_key
from skylarkferry_core.records import AllotmentTaken, ProgramEnded
from skylarkferry_core.states import FinalWord

P0, P1 = PartitionNumber(0), PartitionNumber(1)


def run_with_node(session, **limits):
    """Run a session with a single node that holds all partitions."""

    async def run():
        cluster = Cluster(["a"])
        node = Node("a", cluster, **limits)
        async with anyio.create_task_group() as tasks:
            await tasks.start(node.run)
            await anyio.sleep(2)
            await session(cluster, node, tasks)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def segments(cluster):
    return [key for key in cluster.table.rows if key.startswith(SEGMENT_PREFIX)]


def reassign(cluster, partition):
    """Assign a partition to another owner without notifying the node."""
    key = partition_key(partition)
    row = cluster.table.rows[key]
    seen = msgspec.msgpack.decode(row.value, type=PartitionRow)
    moved = msgspec.structs.replace(seen, owner="z.1", epoch=Epoch(seen.epoch + 1))
    writes = [Write(key, msgspec.msgpack.encode(moved))]
    cluster.table.apply([Condition(key, row.version)], writes)


def test_records_queued_during_a_write_share_the_next_segment():
    async def session(cluster, node, tasks):
        before = len(segments(cluster))
        for number in range(100):
            fence = node.listener.fences[number % 4]
            item = record(fence.partition, number)
            tasks.start_soon(lambda f=fence, i=item: node.append(f, i, durable=True))
        await anyio.sleep(1)
        assert_that(await cluster.replayed(P0), HasLength(25))
        assert_that(len(segments(cluster)) - before, LessThan(3))

    run_with_node(session)


def test_records_of_a_moved_partition_are_dropped_and_the_segment_number_is_kept():
    async def session(cluster, node, tasks):
        fences = dict(node.listener.fences)
        sequence = node.ownership.journal.queue.sequence
        node.table.pause()
        await anyio.sleep(0.01)
        await node.append(fences[P0], record(0, 1), durable=False)
        await node.append(fences[P1], record(1, 2), durable=False)
        reassign(cluster, P0)
        node.table.resumed.set()
        with pytest.raises(NotOwnerError):
            await node.append(fences[P0], record(0, 3), durable=True)
        await node.append(fences[P1], record(1, 4), durable=True)
        written = await cluster.replayed(P1)
        assert_that(written, Equals([record(1, 2), record(1, 4)]))
        assert_that(await cluster.replayed(P0), HasLength(0))
        assert_that(next(int(key[-4:]) for key in segments(cluster)), Equals(sequence))
        assert_that(P0 in node.listener.fences, Equals(False))

    run_with_node(session)


def test_append_is_unknown_when_the_answer_is_lost_and_the_node_is_declared_dead():
    async def session(cluster, node, tasks):
        fence = node.listener.fences[P0]
        node.table.delay_writes = 1
        final_words = []

        async def append():
            try:
                await node.append(fence, record(0, 1), durable=True)
            except NotOwnerError as error:
                final_words.append(error.word)

        tasks.start_soon(append)
        await anyio.sleep(0.001)
        cluster.table.apply([], [Write(node_key(node.name), None)])
        await anyio.sleep(5)
        assert_that(final_words, Equals([FinalWord.UNKNOWN]))
        assert_that(node.ownership.lease.registered, Equals(True))

    run_with_node(session)


def test_large_segment_is_stored_as_an_object_and_read_back():
    async def session(cluster, node, tasks):
        item = AllotmentTaken(ProgramId("0000-" + "x" * 300_000), 1, 0)
        await node.append(node.listener.fences[P0], item, durable=True)
        assert_that(cluster.objects.objects, HasLength(1))
        assert_that(await cluster.replayed(P0), Equals([item]))

    run_with_node(session)


def test_full_backlog_blocks_records_that_are_not_durable():
    async def session(cluster, node, tasks):
        cluster.table.down = True
        fence = node.listener.fences[P0]
        with anyio.move_on_after(60):
            for number in range(1_000):
                await node.append(fence, record(0, number), durable=False)
        queued = node.ownership.journal.queue.backlog_bytes
        assert_that(queued, LessThan(3_000))
        cluster.table.down = False
        await node.append(fence, record(0, 1_000), durable=True)
        found = await cluster.replayed(P0)
        assert_that(found, Equals([*(record(0, n) for n in range(len(found) - 1)), found[-1]]))

    run_with_node(session, journal_backlog_bytes=2_000)


def test_compaction_drops_ended_programs_and_obsolete_segments_are_deleted():
    async def session(cluster, node, tasks):
        fence = node.listener.fences[P0]
        live = AllotmentTaken(ProgramId("0000-live"), 1, 0)
        await node.append(fence, live, durable=True)
        for number in range(100):
            ended = ProgramEnded(ProgramId(f"0000-{number}"), FinalWord.DONE, "answer")
            await node.append(fence, ended, durable=True)
        last = ended
        await anyio.sleep(40)
        found = await cluster.replayed(P0)
        assert_that(found[0], Equals(live))
        assert_that(found[-1], Equals(last))
        assert_that(found, HasLength(3))
        assert_that(len(segments(cluster)), LessThan(10))

    run_with_node(session, journal_compact_bytes=500, ended_programs_kept=8)


def test_journal_of_an_ended_incarnation_is_deleted():
    async def run():
        cluster = Cluster(["a", "b"])
        first, second = Node("a", cluster), Node("b", cluster)
        async with anyio.create_task_group() as tasks:
            scope = await tasks.start(first.run)
            await anyio.sleep(6)
            for partition, fence in first.listener.fences.items():
                await first.append(fence, record(partition, partition), durable=True)
            scope.cancel()
            await tasks.start(second.run)
            await anyio.sleep(60)
            assert_that(await cluster.replayed(P1), Equals([record(1, 1)]))
            incarnations = {key.split("/")[1] for key in segments(cluster)}
            assert_that(incarnations, Equals({second.ownership.lease.incarnation}))
            tasks.cancel_scope.cancel()

    run_virtual(run)
