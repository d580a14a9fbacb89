"""Leases as their holder and their observers judge them, each on its own clock."""

import math
from collections.abc import Container

import msgspec

from skylarkferry_core.ids import FailureDomain, Incarnation, NodeId
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_core.partitions import NodeRow, node_key


class NodeLease:
    """The lease of this node, which covers all partitions it holds.

    The holder counts from before it sent a renewal, so it never believes in its lease for longer
    than an observer does.
    """

    def __init__(
        self, node: NodeId, address: str, failure_domain: FailureDomain, lease_s: float
    ) -> None:
        self.node = node
        self.address = address
        self.failure_domain = failure_domain
        self.lease_s = lease_s
        self.incarnation = Incarnation("")
        self.renewals = 0
        self.version = 0
        self.renewed_at = -math.inf

    @property
    def registered(self) -> bool:
        """Tell whether this incarnation has a row, as far as the node knows."""
        return self.version > 0

    def register(self, incarnation: Incarnation, version: int, sent_at: float) -> None:
        """Begin a new incarnation whose row was written at ``version``."""
        self.incarnation = incarnation
        self.renewals = 0
        self.renewed(version, sent_at)

    def renewed(self, version: int, sent_at: float) -> None:
        """Take a renewal that was first sent at monotonic time ``sent_at``."""
        self.version = version
        self.renewed_at = sent_at

    def lose(self) -> None:
        """Take note that the row is gone or belongs to another incarnation."""
        self.version = 0
        self.renewed_at = -math.inf

    def held(self, now: float) -> bool:
        """Tell whether no observer can take the lease as lapsed yet."""
        return self.registered and now < self.renewed_at + self.lease_s

    def row(self, incarnation: Incarnation, renewals: int) -> NodeRow:
        """Return the node row at a renewal."""
        return NodeRow(self.node, incarnation, renewals, self.address, self.failure_domain)

    def condition(self) -> Condition:
        """Return the condition that this incarnation was not declared dead."""
        return Condition(node_key(self.node), self.version)

    def renewal(self) -> Write:
        """Return the write of the next renewal."""
        row = self.row(self.incarnation, self.renewals + 1)
        return Write(node_key(self.node), msgspec.msgpack.encode(row))


class Observation(msgspec.Struct, frozen=True):
    """A row's version, and when the observer saw that version first and last."""

    version: int
    since: float
    last: float


class LeaseObserver:
    """Judge by how long a row has not moved on the own clock.

    An observer that could not look for more than ``blind_s`` begins to count again: it may have
    been paused or cut off, and the holder may have had no chance to renew.
    """

    def __init__(self, lease_s: float, max_gap_s: float = math.inf) -> None:
        self.lease_s = lease_s
        self.max_gap_s = max_gap_s
        self.sightings: dict[str, Observation] = {}

    def observe(self, key: str, version: int, now: float) -> bool:
        """Take a row's version, read at ``now``; tell whether it has not moved."""
        seen = self.sightings.get(key)
        unmoved = seen is not None and seen.version == version
        since = now
        if seen is not None and unmoved and now - seen.last <= self.max_gap_s:
            since = seen.since
        self.sightings[key] = Observation(version, since, now)
        return unmoved

    def retain(self, keys: Container[str]) -> None:
        """Drop the rows that are not in ``keys``."""
        self.sightings = {key: seen for key, seen in self.sightings.items() if key in keys}

    def lapsed(self, key: str, version: int) -> bool:
        """Tell whether the row was seen at ``version`` for the whole lease."""
        seen = self.sightings.get(key)
        if seen is None or seen.version != version:
            return False
        return seen.last - seen.since >= self.lease_s
