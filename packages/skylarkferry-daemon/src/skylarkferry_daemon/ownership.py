"""Partition ownership of this node, under a lease in the platform's table."""

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
from skylarkferry_daemon.cluster import ClusterReader
from skylarkferry_daemon.compaction import Compactor
from skylarkferry_daemon.interfaces import PartitionListener
from skylarkferry_daemon.journal import TableJournal
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.partition_takeover import PartitionTakeover
from skylarkferry_daemon.platform import PlatformServices
from skylarkferry_daemon.platform_retries import PlatformRetrier
from skylarkferry_daemon.segment_collection import SegmentCollector
from skylarkferry_daemon.segment_reader import SegmentReader
from skylarkferry_daemon.settings import EntrySettings
from skylarkferry_daemon.timers import TimerService

SCAN_ROWS_PER_S = 20.0
MIN_SCAN_INTERVAL_S = 2.0
MAX_WATCH_INTERVAL_S = 1.0
WATCH_LEASE_FRACTION = 0.1
COMPACT_CHECK_INTERVAL_S = 5.0
COLLECT_ROWS_PER_S = 2.0
MIN_COLLECT_INTERVAL_S = 15.0
HAND_OVER_TIMEOUT_S = 10.0


class PartitionOwnership:
    """Register the node, watch leases of other nodes and claim the partitions assigned to it."""

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
        self.journal = TableJournal(services, self.lease, PlatformRetrier(timers, events), settings)
        self.cluster = ClusterReader(services.table, services.host_list, settings.lease.partitions)
        self.planner = TakeoverPlanner(settings.node, settings.lease.lease_s)
        reader = SegmentReader(services.table, services.objects)
        self.compactor = Compactor(services.table, self.journal, reader, events, settings.limits)
        self.takeover = PartitionTakeover(
            services.table, self.journal, reader, self.compactor, events
        )
        self.segment_collector = SegmentCollector(services, self.journal, events)
        self.scanned_at = -math.inf
        self.stopping = False
        self.superseded = False
        self.own_incarnations: set[Incarnation] = set()

    @property
    def view(self) -> ClusterView:
        """Return the cluster as last read."""
        return self.cluster.view

    def fence(self, partition: PartitionNumber) -> Fence | None:
        """Return the fence of a ready partition while this node's lease is certain to be valid.

        Return ``None`` otherwise.
        """
        held = self.journal.held_partitions.held.get(partition)
        if held is None or not held.ready or not self.lease.held(self.timers.now()):
            return None
        return Fence(partition, held.epoch)

    def owner_address(self, partition: PartitionNumber) -> str | None:
        """Return the gRPC address of the owner as last seen, or ``None``."""
        seen = self.view.partitions.get(partition)
        node = self.view.incarnations().get(seen.row.owner) if seen is not None else None
        return self.view.nodes[node].row.address if node is not None else None

    def node_addresses(self) -> Sequence[str]:
        """Return the gRPC addresses of all other registered nodes."""
        return [
            seen.row.address for node, seen in self.view.nodes.items() if node != self.lease.node
        ]

    async def run(self, listener: PartitionListener) -> None:
        """Register, then hold and claim partitions until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.journal.run)
            tasks.start_soon(self._notify_losses, listener)

            async def watch() -> None:
                await self._watch(listener, tasks)

            self.timers.every(self.settings.renew_s, self.journal.renew)
            self.timers.every(COMPACT_CHECK_INTERVAL_S, self._compact)
            self.timers.every(self._collect_interval_s(), self.segment_collector.collect)
            self.timers.every(
                min(MAX_WATCH_INTERVAL_S, self.settings.lease_s * WATCH_LEASE_FRACTION), watch
            )
            await watch()

    async def _compact(self) -> None:
        if self.compactor.due():
            await self.compactor.compact_journal()

    def _collect_interval_s(self) -> float:
        """Return the interval between collections of unneeded segments, in seconds."""
        return max(MIN_COLLECT_INTERVAL_S, self.settings.partitions / COLLECT_ROWS_PER_S)

    async def _notify_losses(self, listener: PartitionListener) -> None:
        while True:
            changed = self.journal.changed
            await self.takeover.notify_lost(listener)
            await changed.wait()

    async def _watch(self, listener: PartitionListener, tasks: TaskGroup) -> None:
        """Check the cluster; skip the check if the platform does not answer."""
        try:
            await self._check_cluster(listener, tasks)
        except PlatformUnavailableError as error:
            self.journal.retrier.on_failure(error)

    async def _check_cluster(self, listener: PartitionListener, tasks: TaskGroup) -> None:
        """Check the watched leases; scan everything if a node left or a scan is due."""
        if self.stopping or self.superseded:
            # Open streams need the addresses of the new owners to follow their programs.
            await self.cluster.read_all()
            return None
        if not self.lease.registered:
            await self._register()
            return await self._scan(listener, tasks)
        known_before = set(self.view.incarnations())
        watched = await self._read_watched_nodes()
        now = self.timers.now()
        self.planner.observe_nodes(self.view, watched, now)
        removed = known_before - set(self.view.incarnations())
        if removed or self.planner.expired_nodes(self.view) or now >= self._next_scan_at():
            await self._scan(listener, tasks)
        return None

    async def _read_watched_nodes(self) -> Collection[NodeId]:
        """Read the watched nodes' rows, or all rows if most are watched; return the nodes read."""
        watched = self.planner.watched(self.view)
        if len(watched) * 2 <= len(self.view.nodes):
            await self.cluster.read_selected_nodes(watched)
            return watched
        await self.cluster.read_all_nodes()
        return self.view.nodes

    def _next_scan_at(self) -> float:
        """Return the time of the next full scan; larger clusters are scanned less often."""
        if self.planner.has_orphans(self.view):
            return self.scanned_at + MIN_SCAN_INTERVAL_S
        rows = len(self.view.nodes) + len(self.view.partitions)
        return self.scanned_at + max(MIN_SCAN_INTERVAL_S, rows / SCAN_ROWS_PER_S)

    async def _scan(self, listener: PartitionListener, tasks: TaskGroup) -> None:
        """Read all rows, drop lost partitions and claim those assigned to this node."""
        await self.cluster.read_hosts()
        await self.cluster.read_all()
        now = self.timers.now()
        self.scanned_at = now
        self.planner.observe_nodes(self.view, self.view.nodes, now)
        self.planner.observe_partitions(self.view, now)
        self.journal.limit_write_rate(len(self.view.nodes))
        fences = await self._reconcile()
        fences.extend(await self._claim_partitions())
        if fences:
            tasks.start_soon(self.takeover.load_partitions, fences, listener, tasks)

    async def _reconcile(self) -> list[Fence]:
        """Compare the rows with the held partitions and drop the partitions that have moved.

        Return the fences of partitions that this node claimed in a write whose answer was lost.
        """
        fences: list[Fence] = []
        async with self.journal.lock:
            held_partitions = self.journal.held_partitions
            for number, seen in self.view.partitions.items():
                held = held_partitions.held.get(number)
                is_own = seen.row.owner == self.lease.incarnation and self.lease.registered
                if held is not None and seen.version > held.version:
                    if not is_own or seen.row.epoch != held.epoch:
                        self.journal.lose(number, held.epoch)
                elif held is None and is_own:
                    fences.append(held_partitions.add(number, seen.row.epoch, seen.version))
        return fences

    async def _claim_partitions(self) -> list[Fence]:
        """Declare nodes with lapsed leases dead and claim partitions."""
        fences: list[Fence] = []
        for dead_node in self.planner.expired_nodes(self.view):
            self.view.nodes.pop(dead_node.row.node)
            fences.extend(await self._claim_assigned(dead_node))
        fences.extend(await self._claim_assigned(None))
        return fences

    async def _claim_assigned(self, dead_node: ObservedNode | None) -> list[Fence]:
        """Claim the partitions assigned to this node and remove them from the view.

        Removing them keeps the next plan from claiming them again.
        """
        claims = self.planner.claims(self.view)
        if not claims and dead_node is None:
            return []
        fences = await self.takeover.claim(claims, dead_node)
        for fence in fences:
            self.view.partitions.pop(fence.partition)
        return fences

    async def _register(self) -> None:
        """Write the node's row under a new incarnation."""
        key = node_key(self.lease.node)
        async with self.journal.lock:
            row = await self.table.read(key)
            if self._is_superseded_by(row):
                self.superseded = True
                self.events.emit(EventKind.NODE_SUPERSEDED)
                return
            if self.lease.incarnation:
                self.events.emit(EventKind.NODE_LEASE_LOST, incarnation=self.lease.incarnation)
            await self._write_registration(Condition(key, row.version))

    def _is_superseded_by(self, row: Row) -> bool:
        """Return True if another process registered this node after this process did."""
        if not row.version or not self.lease.incarnation:
            return False
        return (
            msgspec.msgpack.decode(row.value, type=NodeRow).incarnation not in self.own_incarnations
        )

    async def _write_registration(self, condition: Condition) -> None:
        incarnation = incarnation_of(self.lease.node, secrets.token_hex(6))
        self.own_incarnations.add(incarnation)
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
        """Release the lease on a planned stop so that other nodes can claim the partitions at once.

        Keep the lease if the platform is unavailable for ``HAND_OVER_TIMEOUT_S``; other nodes then
        claim the partitions only after the lease has lapsed.
        """
        self.stopping = True
        with anyio.move_on_after(HAND_OVER_TIMEOUT_S):
            await self._release_node()

    async def _release_node(self) -> None:
        """Flush the journal, delete the node's row and drop all partitions."""
        await self.journal.flush()
        async with self.journal.lock:
            conditions = [self.lease.condition()]
            writes = [Write(node_key(self.lease.node), None)]
            with contextlib.suppress(WriteConflictError, PlatformUnavailableError):
                await self.table.transact(conditions, writes)
            self.journal.fail_all(in_doubt=False)
        self.events.emit(EventKind.NODE_RELEASED)
