"""Node and partition rows, and the assignment of partitions to nodes.

Rows are encoded without field names: append new fields at the end, with a default.
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
    """A node's registration; ``renewals`` counts the renewals of its lease."""

    node: NodeId
    incarnation: Incarnation
    renewals: int
    address: str
    failure_domain: FailureDomain


class JournalReference(msgspec.Struct, frozen=True, array_like=True):
    """A journal that a partition needs, starting at segment ``first_sequence``."""

    incarnation: Incarnation
    first_sequence: int


class PartitionRow(msgspec.Struct, frozen=True, array_like=True):
    """A partition's owner, epoch and journals.

    Copies written in compaction round ``base_round`` replace all original records before
    ``(base_epoch, base_sequence)``.
    """

    owner: Incarnation = NO_OWNER
    epoch: Epoch = Epoch(0)
    journals: tuple[JournalReference, ...] = ()
    base_round: int = 0
    base_epoch: Epoch = Epoch(0)
    base_sequence: int = 0


class Peer(msgspec.Struct, frozen=True):
    """A node that can own partitions."""

    node: NodeId
    failure_domain: FailureDomain


def incarnation_of(node: NodeId, token: str) -> Incarnation:
    """Return the incarnation id of a node process; ``token`` is random per process."""
    return Incarnation(f"{node}.{token}")


def node_of(incarnation: Incarnation) -> NodeId:
    """Return the node that an incarnation belongs to."""
    return NodeId(incarnation.rpartition(".")[0])


def node_key(node: NodeId) -> str:
    """Return the table key of a node row."""
    return f"{NODE_PREFIX}{node}"


def partition_key(partition: PartitionNumber) -> str:
    """Return the table key of a partition row."""
    return f"{PARTITION_PREFIX}{partition:04d}"


def partition_of_key(key: str) -> PartitionNumber:
    """Return the partition number from a partition row's key."""
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
    """Return whether ``node`` has the highest rendezvous weight; ``nodes`` must include it."""
    own = weight(subject, node)
    return all(weight(subject, other) <= own for other in nodes)


class WatchRing:
    """Hash ring on which each node is watched by its successors.

    Successors in other failure domains are preferred. Lookups take only linear time, because every
    node performs one each second.
    """

    def __init__(self, peers: Iterable[Peer]) -> None:
        self.ring = sorted(peers, key=lambda peer: weight(NODE_PREFIX, peer.node))

    def watchers(self, subject: Peer, count: int) -> list[NodeId]:
        """Return the nodes that watch ``subject``, which may already have left the ring."""
        others = self._others(subject)
        in_other_domains = (
            peer for peer in others if peer.failure_domain != subject.failure_domain
        )
        chosen = [peer.node for peer in islice(in_other_domains, count)]
        remaining = (peer.node for peer in self._others(subject) if peer.node not in chosen)
        return [*chosen, *islice(remaining, count - len(chosen))]

    def _others(self, subject: Peer) -> Iterator[Peer]:
        """Iterate over the other nodes in ring order, starting after ``subject``."""
        own = weight(NODE_PREFIX, subject.node)
        start = bisect_right(self.ring, own, key=lambda peer: weight(NODE_PREFIX, peer.node))
        for step in range(len(self.ring)):
            peer = self.ring[(start + step) % len(self.ring)]
            if peer.node != subject.node:
                yield peer

    def watched_nodes(self, node: NodeId, count: int) -> list[NodeId]:
        """Return the nodes that ``node`` watches."""
        return [peer.node for peer in self.ring if node in self.watchers(peer, count)]
