"""Golden session: a node is frozen past its lease, another adopts, the first thaws."""

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


def ordered(event_lines):
    """Order the lines of like events at one node and time by their fields."""
    groups = groupby(event_lines, key=lambda line: line.split()[:4])
    return "".join(f"{line}\n" for _, group in groups for line in sorted(group))


async def session():
    cluster = Cluster(["a", "b"])
    first, second = Node("a", cluster), Node("b", cluster)

    def tell(line):
        cluster.event_lines.append(f"{anyio.current_time() - 1_000.0:5.1f} s  -  {line}")

    async with anyio.create_task_group() as tasks:
        await tasks.start(first.run)
        await tasks.start(second.run)
        await anyio.sleep(4)
        tell("a writes one durable record to each of its partitions")
        for partition, fence in first.listener.fences.items():
            await first.append(fence, record(partition, partition), durable=True)
        tell("a is frozen")
        first.table.pause()
        await anyio.sleep(8)
        tell("a thaws and appends under its old epochs")
        first.table.thawed.set()
        for partition, fence in list(first.listener.fences.items()):
            try:
                await first.append(fence, record(partition, 100), durable=True)
            except NotOwnerError as error:
                tell(f"the append to {partition} is refused: {error.word.value}")
        await anyio.sleep(12)
        tell(f"a holds {sorted(first.held())}, b holds {sorted(second.held())}")
        tasks.cancel_scope.cancel()
    return ordered(cluster.event_lines)


def test_frozen_node_is_taken_over_and_comes_back_under_a_new_life(monkeypatch):
    lives = count(1)
    monkeypatch.setattr(secrets, "token_hex", lambda _: f"life-{next(lives)}")
    assert_that(run_virtual(session), Equals(GOLDEN.read_text()))
