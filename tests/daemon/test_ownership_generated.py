"""Checks ownership and journals of several nodes against a global lock under generated faults."""

from collections import defaultdict
from enum import Enum

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from fakes import run_virtual
from nodes import PARTITIONS, Cluster, Node, record
from skylarkferry_core.errors import NotOwnerError
from skylarkferry_core.partitions import (
    PARTITION_PREFIX,
    SEGMENT_PREFIX,
    PartitionRow,
    partition_key,
)
from skylarkferry_core.records import Segment
from skylarkferry_core.segments import StoredSegment
from skylarkferry_core.states import FinalWord

NAMES = ("a", "b", "c")
RECOVERY_S = 18.0
STARTUP_S = 5.0


class Kind(Enum):
    APPEND = "append"
    APPEND_DURABLE = "append_durable"
    SLEEP = "sleep"
    PAUSE = "pause"
    RESUME = "resume"
    KILL = "kill"
    RESTART = "restart"
    OUTAGE = "outage"
    OUTAGE_ENDS = "outage_ends"
    DISCONNECT = "disconnect"
    RECONNECT = "reconnect"
    LOSE_ANSWER = "lose_answer"
    DELAY_WRITE = "delay_write"
    LEAVE = "leave"
    HAND_OVER = "hand_over"


class Step(msgspec.Struct):
    kind: Kind
    node: int
    amount: int


WEIGHTED_KINDS = [*Kind, *[Kind.APPEND] * 4, *[Kind.APPEND_DURABLE] * 8, *[Kind.SLEEP] * 6]
STEPS = st.lists(
    st.builds(Step, st.sampled_from(WEIGHTED_KINDS), st.integers(0, 2), st.integers(0, 7)),
    min_size=20,
    max_size=50,
)
RATES = st.tuples(*[st.sampled_from([0.8, 1.0, 1.25])] * 3)


class LockedTable:
    """Check that the writer of each segment holds the global lock: the partition's row."""

    def __init__(self, table):
        self.table = table
        self.owners = {}
        self.apply = table.apply
        table.apply = self.apply_and_check

    def apply_and_check(self, conditions, writes):
        version = self.apply(conditions, writes)
        for write in writes:
            if write.key.startswith(SEGMENT_PREFIX) and write.value is not None:
                self.check(msgspec.msgpack.decode(write.value, type=StoredSegment).body)
            if write.key.startswith(PARTITION_PREFIX):
                row = msgspec.msgpack.decode(write.value, type=PartitionRow)
                owner = self.owners.setdefault((write.key, row.epoch), row.owner)
                assert_that(row.owner, Equals(owner))
        return version

    def check(self, body):
        segment = msgspec.msgpack.decode(body, type=Segment)
        for entry in segment.records:
            value = self.table.rows[partition_key(entry.partition)].value
            row = msgspec.msgpack.decode(value, type=PartitionRow)
            writer = (segment.incarnation, entry.epoch)
            assert_that(writer, Equals((row.owner, row.epoch)))


class Session:
    """Run generated steps and record which appends were acknowledged or refused."""

    def __init__(self, rates):
        self.cluster = Cluster(NAMES)
        LockedTable(self.cluster.table)
        self.rates = dict(zip(NAMES, rates, strict=True))
        self.nodes = {}
        self.scopes = {}
        self.appended = defaultdict(list)
        self.acknowledged = set()
        self.refused = set()
        self.number = 0

    async def start(self, name):
        node = Node(name, self.cluster, self.rates[name], journal_compact_bytes=300)
        self.nodes[name] = node
        self.scopes[name] = await self.tasks.start(node.run)

    async def run(self, steps):
        async with anyio.create_task_group() as self.tasks:
            for name in NAMES:
                await self.start(name)
            await anyio.sleep(STARTUP_S)
            for step in steps:
                await self.run_step(step)
            await self.recover()
            await self.check()
            self.tasks.cancel_scope.cancel()

    async def run_step(self, step):
        name = NAMES[step.node]
        node = self.nodes[name]
        match step.kind:
            case Kind.APPEND | Kind.APPEND_DURABLE:
                self.append(step)
            case Kind.SLEEP:
                await anyio.sleep(0.0007 * 7**step.amount % 11)
            case Kind.PAUSE:
                node.table.pause()
            case Kind.RESUME:
                node.table.resumed.set()
            case Kind.KILL:
                self.scopes[name].cancel()
            case Kind.RESTART:
                self.scopes[name].cancel()
                await self.start(name)
            case Kind.OUTAGE | Kind.OUTAGE_ENDS:
                self.cluster.table.down = step.kind is Kind.OUTAGE
            case Kind.DISCONNECT | Kind.RECONNECT:
                node.table.disconnected = step.kind is Kind.DISCONNECT
            case Kind.LOSE_ANSWER:
                node.table.lose_answers = 1 + step.amount % 2
            case Kind.DELAY_WRITE:
                node.table.delay_writes = 1 + step.amount % 2
            case Kind.LEAVE:
                self.cluster.hosts.leaving ^= {name}
            case Kind.HAND_OVER:
                node.hand_over()

    def append(self, step):
        """Append at a node that holds the partition, even if another node has claimed it since."""
        partition = step.amount % PARTITIONS
        candidates = [node for node in self.running() if partition in node.listener.fences]
        if not candidates:
            return
        node = candidates[step.node % len(candidates)]
        fence = node.listener.fences[partition]
        self.number += 1
        item = record(fence.partition, self.number)
        durable = step.kind is Kind.APPEND_DURABLE
        self.tasks.start_soon(self.append_and_record, node, fence, item, durable)

    def running(self):
        return [node for node in self.nodes.values() if not self.scopes[node.name].cancel_called]

    async def append_and_record(self, node, fence, item, durable):
        self.appended[fence, id(node)].append(item)
        try:
            await node.append(fence, item, durable=durable)
        except NotOwnerError as error:
            if error.word is FinalWord.NOT_RUN:
                self.refused.add(item)
        else:
            if durable:
                self.acknowledged.add(item)

    async def recover(self):
        self.cluster.table.down = False
        self.cluster.hosts.leaving = set()
        for name, node in list(self.nodes.items()):
            node.table.disconnected = False
            node.table.lose_answers = node.table.delay_writes = 0
            node.table.resumed.set()
            if self.scopes[name].cancel_called or node.ownership.stopping:
                self.scopes[name].cancel()
                await self.start(name)
        await anyio.sleep(RECOVERY_S)

    async def check(self):
        held = sorted(number for node in self.nodes.values() for number in node.held())
        assert_that(held, Equals(list(range(PARTITIONS))))
        self.cluster.table = self.cluster.table.snapshot()
        found = {number: await self.cluster.replayed(number) for number in range(PARTITIONS)}
        records = [item for items in found.values() for item in items]
        assert_that(set(records), HasLength(len(records)))
        assert_that(self.acknowledged - set(records), Equals(set()))
        assert_that(self.refused & set(records), Equals(set()))
        for number, items in found.items():
            assert_that({item.program_id for item in items} - {f"{number:04d}-p"}, HasLength(0))
        for (fence, _), items in self.appended.items():
            self.check_order(items, found[fence.partition])

    def check_order(self, items, found):
        """Check that records keep their order and that none before a durable one is missing."""
        kept = [item for item in found if item in items]
        assert_that(kept, Equals(items[: len(kept)]))
        last = max((items.index(i) for i in items if i in self.acknowledged), default=-1)
        assert_that(len(kept) > last, Equals(True))


@pytest.mark.soak
@given(STEPS, RATES)
def test_no_writer_without_the_lock_and_no_acknowledged_record_is_missing(steps, rates):
    run_virtual(Session(rates).run, steps)


def test_handover_of_a_partition_that_is_not_yet_replayed_reports_no_loss():
    """Guards against ``on_lost`` without ``on_acquired``, when a restarted node hands over."""
    kinds = (Kind.RESTART, 0), (Kind.SLEEP, 1), (Kind.HAND_OVER, 0)
    steps = [Step(kind, 1, amount) for kind, amount in kinds]
    run_virtual(Session((0.8, 0.8, 0.8)).run, steps)
