"""Rows of nodes and partitions, and which node is to hold which partition."""

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from skylarkferry_core.ids import Epoch, FailureDomain, Incarnation, NodeId, PartitionNumber

NODE_PREFIX = "node/"
PARTITION_PREFIX = "partition/"
JOURNAL_INDEX_PREFIX = "journal-index/"
SEGMENT_PREFIX = "journal-segment/"
NOBODY = Incarnation("")


class NodeRow(msgspec.Struct, frozen=True):
    """A node's registration; ``renewals`` grows with each renewal of its lease."""

    node: NodeId
    incarnation: Incarnation
    renewals: int
    address: str
    failure_domain: FailureDomain


class JournalReference(msgspec.Struct, frozen=True):
    """A journal that a partition needs, from segment ``first_sequence`` on."""

    incarnation: Incarnation
    first_sequence: int


class PartitionRow(msgspec.Struct, frozen=True):
    """A partition's owner, epoch and journals.

    Records that were copied in round ``base_round`` replace all originals before
    ``(base_epoch, base_sequence)``.
    """

    owner: Incarnation = NOBODY
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


def target_of(subject: str, nodes: Iterable[NodeId]) -> NodeId | None:
    """Return the node with the highest rendezvous weight, or ``None`` without nodes."""
    return max(nodes, key=lambda node: weight(subject, node), default=None)


def watchers_of(subject: Peer, peers: Sequence[Peer], count: int) -> list[NodeId]:
    """Return the nodes that watch a node's lease, those of other failure domains first."""
    others = [peer for peer in peers if peer.node != subject.node]
    ranked = sorted(
        others,
        key=lambda peer: (
            peer.failure_domain == subject.failure_domain,
            -weight(node_key(subject.node), peer.node),
        ),
    )
    return [peer.node for peer in ranked[:count]]


def watched_by(node: NodeId, peers: Sequence[Peer], count: int) -> list[NodeId]:
    """Return the nodes whose leases a node watches."""
    return [peer.node for peer in peers if node in watchers_of(peer, peers, count)]
