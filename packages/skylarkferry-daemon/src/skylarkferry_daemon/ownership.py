"""Which partitions this node holds, under a lease in the platform's table."""

import contextlib
import math
import secrets
from collections.abc import Collection, Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import Incarnation, NodeId, PartitionNumber
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_core.leases import NodeLease
from skylarkferry_core.messages import Fence
from skylarkferry_core.partitions import NodeRow, incarnation_of, journal_index_key, node_key
from skylarkferry_core.takeovers import ClusterView, ObservedNode, TakeoverPlanner
from skylarkferry_daemon.adoption import Adopter
from skylarkferry_daemon.cluster import ClusterReader
from skylarkferry_daemon.collection import Collector
from skylarkferry_daemon.compaction import Compactor
from skylarkferry_daemon.interfaces import PartitionListener
from skylarkferry_daemon.journal import TableJournal
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.patience import Patience
from skylarkferry_daemon.platform import PlatformServices
from skylarkferry_daemon.segment_reader import SegmentReader
from skylarkferry_daemon.settings import EntrySettings
from skylarkferry_daemon.timers import TimerService

SCAN_ROWS_PER_S = 20.0
LEAST_SCAN_S = 2.0
LONGEST_WATCH_S = 1.0
WATCH_SHARE = 0.1
COMPACT_CHECK_S = 5.0
COLLECT_ROWS_PER_S = 2.0
LEAST_COLLECT_S = 15.0
HAND_OVER_S = 10.0


class PartitionOwnership:
    """Register the node, watch its neighbours' leases and adopt what falls to it."""

    def __init__(
        self,
        settings: EntrySettings,
        services: PlatformServices,
        timers: TimerService,
        events: EventLog,
    ) -> None:
        self.settings = settings.lease
        self.table = services.table
        self.timers = timers
        self.events = events
        self.lease = NodeLease(
            settings.node, settings.rpc_listen, settings.failure_domain, settings.lease.lease_s
        )
        self.journal = TableJournal(services, self.lease, Patience(timers, events), settings)
        self.cluster = ClusterReader(services.table, services.host_list, settings.lease.partitions)
        self.planner = TakeoverPlanner(settings.node, settings.lease.lease_s)
        reader = SegmentReader(services.table, services.objects)
        self.compactor = Compactor(services.table, self.journal, reader, events, settings.limits)
        self.adopter = Adopter(services.table, self.journal, reader, self.compactor, events)
        self.collector = Collector(services, self.journal, events)
        self.scanned_at = -math.inf
        self.stopping = False
        self.superseded = False
        self.lives: set[Incarnation] = set()

    @property
    def view(self) -> ClusterView:
        """Return what was last read of the cluster."""
        return self.cluster.view

    def fence(self, partition: PartitionNumber) -> Fence | None:
        """Return the fence of a partition whose lease certainly has not lapsed."""
        holding = self.journal.holdings.held.get(partition)
        if holding is None or not holding.ready or not self.lease.held(self.timers.now()):
            return None
        return Fence(partition, holding.epoch)

    def owner_address(self, partition: PartitionNumber) -> str | None:
        """Return the gRPC address of the owner as last seen, or ``None``."""
        seen = self.view.partitions.get(partition)
        node = self.view.incarnations().get(seen.row.owner) if seen is not None else None
        return self.view.nodes[node].row.address if node is not None else None

    def node_addresses(self) -> Sequence[str]:
        """Return the gRPC addresses of all registered nodes but this one."""
        return [
            seen.row.address for node, seen in self.view.nodes.items() if node != self.lease.node
        ]

    async def run(self, listener: PartitionListener) -> None:
        """Register, then hold and adopt partitions until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.journal.run)
            tasks.start_soon(self._tell_losses, listener)

            async def watch() -> None:
                await self._watch(listener, tasks)

            self.timers.every(self.settings.renew_s, self.journal.renew)
            self.timers.every(COMPACT_CHECK_S, self._compact)
            self.timers.every(self._collect_interval_s(), self.collector.collect)
            self.timers.every(min(LONGEST_WATCH_S, self.settings.lease_s * WATCH_SHARE), watch)
            await watch()

    async def _compact(self) -> None:
        if self.compactor.due():
            await self.compactor.compact_journal()

    def _collect_interval_s(self) -> float:
        """Return how often unneeded segments are looked for."""
        return max(LEAST_COLLECT_S, self.settings.partitions / COLLECT_ROWS_PER_S)

    async def _tell_losses(self, listener: PartitionListener) -> None:
        while True:
            changed = self.journal.changed
            await self.adopter.tell_lost(listener)
            await changed.wait()

    async def _watch(self, listener: PartitionListener, tasks: TaskGroup) -> None:
        """Look at the watched leases, and at everything when it is time; skip an outage."""
        try:
            await self._look(listener, tasks)
        except PlatformUnavailableError as error:
            self.journal.patience.lost(error)

    async def _look(self, listener: PartitionListener, tasks: TaskGroup) -> None:
        if self.stopping or self.superseded:
            # Open streams follow their programs to the next owners.
            await self.cluster.read_all()
            return None
        if not self.lease.registered:
            await self._register()
            return await self._scan(listener, tasks)
        known = set(self.view.incarnations())
        watched = await self._read_watched()
        now = self.timers.now()
        self.planner.observe_nodes(self.view, watched, now)
        gone = known - set(self.view.incarnations())
        if gone or self.planner.lapsed(self.view) or now >= self._scan_due():
            await self._scan(listener, tasks)
        return None

    async def _read_watched(self) -> Collection[NodeId]:
        """Read the rows of the watched nodes and return the nodes that were read."""
        watched = self.planner.watched(self.view)
        if len(watched) * 2 <= len(self.view.nodes):
            await self.cluster.read_some(watched)
            return watched
        await self.cluster.read_nodes()
        return self.view.nodes

    def _scan_due(self) -> float:
        """Return when all rows are read next; a large cluster is read less often."""
        if self.planner.has_orphans(self.view):
            return self.scanned_at + LEAST_SCAN_S
        rows = len(self.view.nodes) + len(self.view.partitions)
        return self.scanned_at + max(LEAST_SCAN_S, rows / SCAN_ROWS_PER_S)

    async def _scan(self, listener: PartitionListener, tasks: TaskGroup) -> None:
        """Read everything, drop what was lost and adopt what falls to this node."""
        await self.cluster.read_hosts()
        await self.cluster.read_all()
        now = self.timers.now()
        self.scanned_at = now
        self.planner.observe_nodes(self.view, self.view.nodes, now)
        self.planner.observe_partitions(self.view, now)
        self.journal.share_rate(len(self.view.nodes))
        fences = await self._reconcile()
        fences.extend(await self._adopt())
        if fences:
            tasks.start_soon(self.adopter.take_up, fences, listener, tasks)

    async def _reconcile(self) -> list[Fence]:
        """Compare the rows with what is held; return what a lost answer had adopted."""
        fences: list[Fence] = []
        async with self.journal.lock:
            holdings = self.journal.holdings
            for number, seen in self.view.partitions.items():
                holding = holdings.held.get(number)
                mine = seen.row.owner == self.lease.incarnation and self.lease.registered
                if holding is not None and seen.version > holding.version:
                    if not mine or seen.row.epoch != holding.epoch:
                        self.journal.lose(number, holding.epoch)
                elif holding is None and mine:
                    fences.append(holdings.add(number, seen.row.epoch, seen.version))
        return fences

    async def _adopt(self) -> list[Fence]:
        """Declare lapsed nodes dead and adopt partitions."""
        fences: list[Fence] = []
        for dead in self.planner.lapsed(self.view):
            self.view.nodes.pop(dead.row.node)
            fences.extend(await self._claim(dead))
        fences.extend(await self._claim(None))
        return fences

    async def _claim(self, dead: ObservedNode | None) -> list[Fence]:
        """Adopt what falls to this node and take it out of the claims to come."""
        claims = self.planner.claims(self.view)
        if not claims and dead is None:
            return []
        fences = await self.adopter.adopt(claims, dead)
        for fence in fences:
            self.view.partitions.pop(fence.partition)
        return fences

    async def _register(self) -> None:
        """Write the node's row under a new incarnation."""
        key = node_key(self.lease.node)
        async with self.journal.lock:
            row = await self.table.read(key)
            if self._superseded_by(row):
                self.superseded = True
                self.events.emit(EventKind.NODE_SUPERSEDED)
                return
            if self.lease.incarnation:
                self.events.emit(EventKind.NODE_LEASE_LOST, incarnation=self.lease.incarnation)
            await self._write_registration(Condition(key, row.version))

    def _superseded_by(self, row: Row) -> bool:
        """Tell whether a row that appeared after this process registered is another's."""
        if not row.version or not self.lease.incarnation:
            return False
        return msgspec.msgpack.decode(row.value, type=NodeRow).incarnation not in self.lives

    async def _write_registration(self, condition: Condition) -> None:
        incarnation = incarnation_of(self.lease.node, secrets.token_hex(6))
        self.lives.add(incarnation)
        value = msgspec.msgpack.encode(self.lease.row(incarnation, 0))
        writes = [Write(condition.key, value), Write(journal_index_key(incarnation), b"")]
        sent_at = self.timers.now()
        try:
            version = await self.table.transact([condition], writes)
        except WriteConflictError:
            return
        self.journal.restart(incarnation)
        self.lease.register(incarnation, version, sent_at)
        self.events.emit(EventKind.NODE_REGISTERED, incarnation=incarnation)

    async def hand_over(self) -> None:
        """Give the lease up, for a planned stop; others adopt the partitions at once.

        In an outage keep it after a while; others then wait for it to lapse.
        """
        self.stopping = True
        with anyio.move_on_after(HAND_OVER_S):
            await self._hand_over()

    async def _hand_over(self) -> None:
        """Write out what is queued, delete the node's row and hold nothing."""
        await self.journal.flush()
        async with self.journal.lock:
            conditions = [self.lease.condition()]
            writes = [Write(node_key(self.lease.node), None)]
            with contextlib.suppress(WriteConflictError, PlatformUnavailableError):
                await self.table.transact(conditions, writes)
            self.journal.fail_all(in_doubt=False)
        self.events.emit(EventKind.NODE_RELEASED)
