"""Rows of nodes and partitions, and which node is to hold which partition.

Rows are encoded without field names: new fields go last, with a default.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import islice

import msgspec
import xxhash

from skylarkferry_core.ids import Epoch, FailureDomain, Incarnation, NodeId, PartitionNumber

NODE_PREFIX = "node/"
PARTITION_PREFIX = "partition/"
JOURNAL_INDEX_PREFIX = "journal-index/"
SEGMENT_PREFIX = "journal-segment/"
NO_OWNER = Incarnation("")


class NodeRow(msgspec.Struct, frozen=True, array_like=True):
    """A node's registration; ``renewals`` grows with each renewal of its lease."""

    node: NodeId
    incarnation: Incarnation
    renewals: int
    address: str
    failure_domain: FailureDomain


class JournalReference(msgspec.Struct, frozen=True, array_like=True):
    """A journal that a partition needs, from segment ``first_sequence`` on."""

    incarnation: Incarnation
    first_sequence: int


class PartitionRow(msgspec.Struct, frozen=True, array_like=True):
    """A partition's owner, epoch and journals.

    Records that were copied in round ``base_round`` replace all originals before
    ``(base_epoch, base_sequence)``.
    """

    owner: Incarnation = NO_OWNER
    epoch: Epoch = Epoch(0)
    journals: tuple[JournalReference, ...] = ()
    base_round: int = 0
    base_epoch: Epoch = Epoch(0)
    base_sequence: int = 0


class Peer(msgspec.Struct, frozen=True):
    """A node that could hold partitions."""

    node: NodeId
    failure_domain: FailureDomain


def incarnation_of(node: NodeId, token: str) -> Incarnation:
    """Return the incarnation of a node that a random token names."""
    return Incarnation(f"{node}.{token}")


def node_of(incarnation: Incarnation) -> NodeId:
    """Return the node that an incarnation is a life of."""
    return NodeId(incarnation.rpartition(".")[0])


def node_key(node: NodeId) -> str:
    """Return the table key of a node row."""
    return f"{NODE_PREFIX}{node}"


def partition_key(partition: PartitionNumber) -> str:
    """Return the table key of a partition row."""
    return f"{PARTITION_PREFIX}{partition:04d}"


def partition_of_key(key: str) -> PartitionNumber:
    """Return the partition of a partition row's key."""
    return PartitionNumber(int(key.removeprefix(PARTITION_PREFIX)))


def journal_index_key(incarnation: Incarnation) -> str:
    """Return the table key that lists a journal for garbage collection."""
    return f"{JOURNAL_INDEX_PREFIX}{incarnation}"


def segment_prefix(incarnation: Incarnation) -> str:
    """Return the table prefix of a journal's segments."""
    return f"{SEGMENT_PREFIX}{incarnation}/"


def segment_key(incarnation: Incarnation, sequence: int) -> str:
    """Return the table key of a journal segment."""
    return f"{segment_prefix(incarnation)}{sequence:012d}"


def weight(subject: str, node: NodeId) -> int:
    """Return the rendezvous weight of a node for a subject."""
    return xxhash.xxh64_intdigest(f"{subject}\x00{node}".encode())


def is_target(subject: str, node: NodeId, nodes: Iterable[NodeId]) -> bool:
    """Tell whether ``node`` has the highest rendezvous weight of ``nodes``, which hold it."""
    own = weight(subject, node)
    return all(weight(subject, other) <= own for other in nodes)


class WatchRing:
    """Nodes on a ring by hash; each is watched by the next ones, of other failure domains first.

    Found in linear time, as every node asks for it each second.
    """

    def __init__(self, peers: Iterable[Peer]) -> None:
        self.ring = sorted(peers, key=lambda peer: weight(NODE_PREFIX, peer.node))

    def watchers(self, subject: Peer, count: int) -> list[NodeId]:
        """Return the watchers of a node, which need not be on the ring any more."""
        others = self._others(subject)
        apart = (peer for peer in others if peer.failure_domain != subject.failure_domain)
        chosen = [peer.node for peer in islice(apart, count)]
        near = (peer.node for peer in self._others(subject) if peer.node not in chosen)
        return [*chosen, *islice(near, count - len(chosen))]

    def _others(self, subject: Peer) -> Iterator[Peer]:
        """Iterate the other nodes, clockwise from a node's place."""
        own = weight(NODE_PREFIX, subject.node)
        start = bisect_right(self.ring, own, key=lambda peer: weight(NODE_PREFIX, peer.node))
        for step in range(len(self.ring)):
            peer = self.ring[(start + step) % len(self.ring)]
            if peer.node != subject.node:
                yield peer

    def watched_nodes(self, node: NodeId, count: int) -> list[NodeId]:
        """Return the nodes that a node watches."""
        return [peer.node for peer in self.ring if node in self.watchers(peer, count)]
