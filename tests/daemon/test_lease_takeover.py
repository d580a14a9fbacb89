"""Golden session: a node is suspended past its lease, another takes over, the first resumes."""

import secrets
from itertools import count, groupby
from pathlib import Path

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fakes import run_virtual
from nodes import Cluster, Node, record
from skylarkferry_core.errors import NotOwnerError

GOLDEN = Path(__file__).parents[1] / "golden" / "lease_takeover.txt"


def sort_equal_events(event_lines):
    """Sort lines that have the same time, node and event by their fields."""
    groups = groupby(event_lines, key=lambda line: line.split()[:4])
    return "".join(f"{line}\n" for _, group in groups for line in sorted(group))


async def session():
    cluster = Cluster(["a", "b"])
    first, second = Node("a", cluster), Node("b", cluster)

    def add_line(line):
        cluster.event_lines.append(f"{anyio.current_time() - 1_000.0:5.1f} s  -  {line}")

    async with anyio.create_task_group() as tasks:
        await tasks.start(first.run)
        await tasks.start(second.run)
        await anyio.sleep(4)
        add_line("a writes one durable record to each of its partitions")
        for partition, fence in first.listener.fences.items():
            await first.append(fence, record(partition, partition), durable=True)
        add_line("a is suspended")
        first.table.pause()
        await anyio.sleep(8)
        add_line("a resumes and appends under its old epochs")
        first.table.resumed.set()
        for partition, fence in list(first.listener.fences.items()):
            try:
                await first.append(fence, record(partition, 100), durable=True)
            except NotOwnerError as error:
                add_line(f"the append to {partition} is refused: {error.word.value}")
        await anyio.sleep(12)
        add_line(f"a holds {sorted(first.held())}, b holds {sorted(second.held())}")
        tasks.cancel_scope.cancel()
    return sort_equal_events(cluster.event_lines)


def test_suspended_node_loses_its_partitions_and_rejoins_with_a_new_incarnation(monkeypatch):
    incarnation_ids = count(1)
    monkeypatch.setattr(secrets, "token_hex", lambda _: f"id-{next(incarnation_ids)}")
    assert_that(run_virtual(session), Equals(GOLDEN.read_text()))
