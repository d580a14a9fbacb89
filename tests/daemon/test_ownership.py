import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from fakes import run_virtual
from nodes import Cluster, Node, record


def test_node_takes_over_all_partitions_and_records_of_a_killed_node():
    async def session():
        cluster = Cluster(["a"])
        first, second = Node("a", cluster), Node("b", cluster)
        async with anyio.create_task_group() as tasks:
            scope = await tasks.start(first.run)
            await anyio.sleep(5)
            assert_that(first.held(), Equals({0, 1, 2, 3}))
            for number in range(10):
                fence = first.listener.fences[number % 4]
                await first.append(fence, record(fence.partition, number), durable=number > 5)
            scope.cancel()
            await tasks.start(second.run)
            await anyio.sleep(10)
            assert_that(second.held(), Equals({0, 1, 2, 3}))
            tasks.cancel_scope.cancel()
        return second.listener.records

    records = run_virtual(session)
    assert_that(records[1], Equals([record(1, 1), record(1, 5), record(1, 9)]))
    assert_that(records[2], HasLength(2))


def test_later_process_with_the_same_node_name_supersedes_the_earlier():
    async def session():
        cluster = Cluster(["a"])
        first, second = Node("a", cluster), Node("a", cluster)
        async with anyio.create_task_group() as tasks:
            await tasks.start(first.run)
            await anyio.sleep(5)
            await tasks.start(second.run)
            await anyio.sleep(20)
            assert_that(second.held(), Equals({0, 1, 2, 3}))
            assert_that(first.held(), Equals(set()))
            assert_that(first.ownership.superseded, Equals(True))
            assert_that(second.ownership.superseded, Equals(False))
            tasks.cancel_scope.cancel()

    run_virtual(session)


def test_planned_stop_hands_over_before_the_lease_expires():
    async def session():
        cluster = Cluster(["a", "b"])
        first, second = Node("a", cluster), Node("b", cluster)
        async with anyio.create_task_group() as tasks:
            await tasks.start(first.run)
            await tasks.start(second.run)
            await anyio.sleep(5)
            await first.append(first.listener.fences[0], record(0, 1), durable=False)
            await first.ownership.hand_over()
            await anyio.sleep(1.2)
            assert_that(second.held(), Equals({0, 1, 2, 3}))
            assert_that(second.listener.records[0], Equals([record(0, 1)]))
            assert_that(first.listener.fences, Equals({}))
            tasks.cancel_scope.cancel()

    run_virtual(session)
