"""The owners of quotas: which gateway to ask for a shard, and the pools that this one owns."""

from collections.abc import Callable

from skylarkferry_admission.begun_programs import StartLog
from skylarkferry_admission.quota_limits import QuotaMargin
from skylarkferry_admission.quota_pools import QuotaPools
from skylarkferry_core.coordination import ranked_coordinators
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import NodeId, ServiceName
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.quota_messages import QUOTA_SHARDS, QuotaAnswer, QuotaAsk

_MAX_CANDIDATES = 3
"""Gateways that are tried for a shard; if all are silent, this gateway is its own owner."""
_RANKED_AS = ServiceName("quotas")
"""Name under which gateways are ranked, so that owners differ from the coordinators of services."""


class OwnedPools:
    """Answer for the shards that other gateways, or this one, ask here."""

    def __init__(self, nonce: int, margin: QuotaMargin, clock: Callable[[], float]) -> None:
        self.nonce = nonce
        self.margin = margin
        self.clock = clock
        self.shards: dict[int, QuotaPools] = {}
        self.starts = [StartLog() for _ in range(QUOTA_SHARDS)]

    def answer(self, ask: QuotaAsk) -> QuotaAnswer:
        """Return what the asking gateway gets."""
        now = self.clock()
        echo = (self.nonce, now)
        if ask.deposit is None:
            return QuotaAnswer(ask.number, echo)
        pools = self.shards.get(ask.shard)
        if pools is None:
            pools = self.shards[ask.shard] = QuotaPools(self.nonce, self.margin, now)
        is_current = pools.deposit(ask.number, ask.deposit, now)
        grants = pools.grant(ask.deposit.node, ask.version, ask.demands, now, is_current=is_current)
        starts = self.starts[ask.shard]
        told = starts.since(ask.position)
        starts.add(ask.started)
        return QuotaAnswer(
            ask.number,
            echo,
            heard=pools.heard,
            is_whole=pools.is_whole,
            is_active=pools.is_active(now),
            grants=tuple(grants),
            started=told,
            position=starts.next,
        )

    def advance(self, now: float) -> None:
        """Drop what pools may not hold any more."""
        for pools in self.shards.values():
            pools.advance(now)


class QuotaOwnerRanks:
    """Know which gateway owns a shard, and pass over those that do not answer."""

    def __init__(self, gateways: GatewayList, log: EventLog, metrics: GatewayMetrics) -> None:
        self.gateways = gateways
        self.log = log
        self.metrics = metrics
        self.ranked: dict[int, list[NodeId]] = {}
        self.ranked_nodes: set[NodeId] = set()
        self.silent: set[NodeId] = set()

    def candidates(self, shard: int) -> list[NodeId]:
        """Return the gateways to ask for a shard, in order; this one is the last."""
        own = self.gateways.node
        found = [node for node in self._ranked(shard) if node not in self.silent]
        if own not in found:
            found.append(own)
        return found[: found.index(own) + 1]

    def _ranked(self, shard: int) -> list[NodeId]:
        members = self.gateways.members
        if self.ranked_nodes != members.keys():
            self.ranked_nodes = set(members)
            self.ranked = {}
            self.silent &= self.ranked_nodes
        if shard not in self.ranked:
            cores = {node: member.cores for node, member in members.items()}
            self.ranked[shard] = ranked_coordinators(_RANKED_AS, shard, cores)[:_MAX_CANDIDATES]
        return self.ranked[shard]

    def address(self, node: NodeId) -> str:
        """Return the address of a gateway."""
        member = self.gateways.members.get(node, self.gateways.member)
        return member.address

    def on_silent(self, node: NodeId) -> None:
        """Pass over an owner until it answers again."""
        self.silent.add(node)

    def on_answer(self, node: NodeId) -> None:
        """Ask an owner again that answers."""
        self.silent.discard(node)

    def on_change(self, shard: int, before: str, owner: str) -> None:
        """Log that another owner is asked."""
        if before:
            self.metrics.quota_owner_changes.inc()
        self.log.emit(
            EventKind.GATEWAY_QUOTA_OWNER, shard=shard, owner=owner, before=before or "none"
        )
