"""Selection of the partitions that a node takes over, based on the node and partition rows."""

from collections.abc import Collection

import msgspec

from skylarkferry_core.ids import FailureDomain, Incarnation, NodeId, PartitionNumber
from skylarkferry_core.leases import LeaseObserver
from skylarkferry_core.partitions import (
    NO_OWNER,
    NodeRow,
    PartitionRow,
    Peer,
    WatchRing,
    is_target,
    node_key,
    node_of,
    partition_key,
)

WATCHERS_PER_NODE = 2
SMALL_CLUSTER_NODES = 8
MAX_MOVES_PER_SCAN = 1
MAX_OBSERVATION_GAP_SHARE = 0.5


class ObservedNode(msgspec.Struct, frozen=True):
    """A node row and its version."""

    row: NodeRow
    version: int


class ObservedPartition(msgspec.Struct, frozen=True):
    """A partition row, possibly absent, and its version."""

    partition: PartitionNumber
    row: PartitionRow
    version: int


class ClusterView(msgspec.Struct):
    """Rows and platform host list as the node last read them."""

    nodes: dict[NodeId, ObservedNode] = msgspec.field(default_factory=dict)
    partitions: dict[PartitionNumber, ObservedPartition] = msgspec.field(default_factory=dict)
    listed: frozenset[NodeId] = frozenset()
    leaving: frozenset[NodeId] = frozenset()

    def incarnations(self) -> dict[Incarnation, NodeId]:
        """Return a map from registered incarnations to their nodes."""
        return {seen.row.incarnation: node for node, seen in self.nodes.items()}

    def active_nodes(self) -> list[NodeId]:
        """Return the registered nodes that are not leaving."""
        return [node for node in self.nodes if node not in self.leaving]

    def peers(self) -> list[Peer]:
        """Return the registered nodes."""
        return [Peer(node, seen.row.failure_domain) for node, seen in self.nodes.items()]


class TakeoverPlanner:
    """Select the nodes to declare dead and the partitions to adopt.

    Partitions of a dead node go to its watchers, because they detect the failure first. If the node
    chosen for a partition does not adopt it within a lease duration, any node that notices this may
    adopt the partition.
    """

    def __init__(self, node: NodeId, lease_s: float) -> None:
        self.node = node
        self.leases = LeaseObserver(lease_s, lease_s * MAX_OBSERVATION_GAP_SHARE)
        self.orphans = LeaseObserver(lease_s)
        self.misplaced = LeaseObserver(lease_s)
        self.domains: dict[NodeId, FailureDomain] = {}
        self.suspects: set[NodeId] = set()

    def observe_nodes(self, view: ClusterView, read: Collection[NodeId], now: float) -> None:
        """Record the rows of the nodes in ``read``, which were read at ``now``."""
        for node, seen in view.nodes.items():
            if node in read:
                self._observe_node(node, seen, now)
        self.leases.retain({node_key(node) for node in view.nodes})

    def _observe_node(self, node: NodeId, seen: ObservedNode, now: float) -> None:
        self.domains[node] = seen.row.failure_domain
        if self.leases.observe(node_key(node), seen.version, now):
            self.suspects.add(node)
        else:
            self.suspects.discard(node)

    def observe_partitions(self, view: ClusterView, now: float) -> None:
        """Record the partition rows of a view that was read at ``now``."""
        self._update(self.orphans, self._orphaned(view), now)
        self._update(self.misplaced, self._misplaced(view), now)

    def _update(
        self, observer: LeaseObserver, partitions: Collection[ObservedPartition], now: float
    ) -> None:
        for seen in partitions:
            observer.observe(partition_key(seen.partition), seen.version, now)
        observer.retain({partition_key(seen.partition) for seen in partitions})

    def watched(self, view: ClusterView) -> list[NodeId]:
        """Return the nodes whose rows are polled between scans: ring neighbours and suspects."""
        ring = WatchRing(view.peers())
        neighbours = ring.watched_nodes(self.node, _watcher_count(len(view.nodes)))
        suspects = self.suspects.intersection(view.nodes) - {self.node}
        return sorted({*neighbours, *suspects})

    def expired_nodes(self, view: ClusterView) -> list[ObservedNode]:
        """Return the other nodes whose leases have expired."""
        others = (seen for node, seen in view.nodes.items() if node != self.node)
        return [
            seen for seen in others if self.leases.is_expired(node_key(seen.row.node), seen.version)
        ]

    def claims(self, view: ClusterView) -> list[ObservedPartition]:
        """Return the partitions to adopt: orphans if any, else a few that belong on this node."""
        if self.node in view.leaving or self.node not in view.nodes:
            return []
        orphaned = [seen for seen in self._orphaned(view) if self._should_adopt(seen, view)]
        return orphaned or self._moves(view)

    def has_orphans(self, view: ClusterView) -> bool:
        """Return whether any partition has no registered owner."""
        return bool(self._orphaned(view))

    def _orphaned(self, view: ClusterView) -> list[ObservedPartition]:
        """Return the partitions without a registered owner."""
        incarnations = view.incarnations()
        return [seen for seen in view.partitions.values() if seen.row.owner not in incarnations]

    def _should_adopt(self, seen: ObservedPartition, view: ClusterView) -> bool:
        key = partition_key(seen.partition)
        candidates = self._adoption_candidates(seen.row.owner, view)
        if self.node in candidates and is_target(key, self.node, candidates):
            return True
        return self.orphans.is_expired(key, seen.version)

    def _adoption_candidates(self, owner: Incarnation, view: ClusterView) -> list[NodeId]:
        """Return the nodes from which the target of an orphaned partition is chosen."""
        if owner == NO_OWNER:
            return sorted({*view.active_nodes(), *(view.listed - view.leaving)})
        dead = Peer(node_of(owner), self.domains.get(node_of(owner), FailureDomain("")))
        watchers = WatchRing(view.peers()).watchers(dead, _watcher_count(len(view.nodes)))
        candidates = {*watchers, dead.node}
        return [node for node in view.active_nodes() if node in candidates]

    def _misplaced(self, view: ClusterView) -> list[ObservedPartition]:
        """Return the partitions that belong on this node but that other registered nodes own."""
        active_nodes = view.active_nodes()
        incarnations = view.incarnations()
        own = view.nodes.get(self.node)
        if own is None or self.node in view.leaving:
            return []
        return [
            seen
            for seen in view.partitions.values()
            if seen.row.owner in incarnations
            and seen.row.owner != own.row.incarnation
            and is_target(partition_key(seen.partition), self.node, active_nodes)
        ]

    def _moves(self, view: ClusterView) -> list[ObservedPartition]:
        movable = [
            seen
            for seen in self._misplaced(view)
            if self.misplaced.is_expired(partition_key(seen.partition), seen.version)
        ]
        return movable[:MAX_MOVES_PER_SCAN]


def _watcher_count(nodes: int) -> int:
    """Return how many nodes watch each node's lease."""
    return nodes if nodes <= SMALL_CLUSTER_NODES else WATCHERS_PER_NODE
