"""Leases, evaluated by their holder and by observers, each on its own clock."""

import math
from collections.abc import Container

import msgspec

from skylarkferry_core.ids import FailureDomain, Incarnation, NodeId
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_core.partitions import NodeRow, node_key


class NodeLease:
    """Lease of this node, which covers all partitions it holds.

    The holder counts the lease from a time before it sent the renewal, so it never considers the
    lease valid for longer than an observer does.
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
        """Return whether this incarnation has a row, as far as the node knows."""
        return self.version > 0

    def register(self, incarnation: Incarnation, version: int, sent_at: float) -> None:
        """Start a new incarnation whose row was written at ``version``."""
        self.incarnation = incarnation
        self.renewals = 0
        self.renewed(version, sent_at)

    def renewed(self, version: int, sent_at: float) -> None:
        """Record a renewal that was first sent at monotonic time ``sent_at``."""
        self.version = version
        self.renewed_at = sent_at

    def lose(self) -> None:
        """Record that the row is gone or belongs to another incarnation."""
        self.version = 0
        self.renewed_at = -math.inf

    def held(self, now: float) -> bool:
        """Return True while no observer can consider the lease expired."""
        return self.registered and now < self.renewed_at + self.lease_s

    def row(self, incarnation: Incarnation, renewals: int) -> NodeRow:
        """Return the node row of a renewal."""
        return NodeRow(self.node, incarnation, renewals, self.address, self.failure_domain)

    def condition(self) -> Condition:
        """Return the condition for a write: this incarnation was not declared dead."""
        return Condition(node_key(self.node), self.version)

    def renewal(self) -> Write:
        """Return the write of the next renewal."""
        row = self.row(self.incarnation, self.renewals + 1)
        return Write(node_key(self.node), msgspec.msgpack.encode(row))


class Observation(msgspec.Struct, frozen=True):
    """Version of a row, and the times at which the observer first and last read that version."""

    version: int
    since: float
    last: float


class LeaseObserver:
    """Detect expired leases by how long a row stays unchanged, on the observer's own clock.

    After a gap of more than ``max_gap_s`` between reads the count restarts from zero: the observer
    may have been paused or partitioned, and the holder may have been unable to renew.
    """

    def __init__(self, lease_s: float, max_gap_s: float = math.inf) -> None:
        self.lease_s = lease_s
        self.max_gap_s = max_gap_s
        self.observations: dict[str, Observation] = {}

    def observe(self, key: str, version: int, now: float) -> bool:
        """Record a row's version, read at ``now``; return whether it is unchanged."""
        observation = self.observations.get(key)
        is_unchanged = observation is not None and observation.version == version
        since = now
        if observation is not None and is_unchanged and now - observation.last <= self.max_gap_s:
            since = observation.since
        self.observations[key] = Observation(version, since, now)
        return is_unchanged

    def retain(self, keys: Container[str]) -> None:
        """Drop the observations of rows that are not in ``keys``."""
        self.observations = {key: item for key, item in self.observations.items() if key in keys}

    def is_expired(self, key: str, version: int) -> bool:
        """Return whether the row was observed at ``version`` for the whole lease."""
        observation = self.observations.get(key)
        if observation is None or observation.version != version:
            return False
        return observation.last - observation.since >= self.lease_s
