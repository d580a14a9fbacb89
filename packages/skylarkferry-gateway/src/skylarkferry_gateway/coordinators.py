"""The coordinators of all shards, as one gateway knows them."""

from enum import Enum

import anyio

from skylarkferry_core.coordination import ranked_coordinators
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import NodeId, ServiceName
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.gateway_list import GatewayList, GatewayMember

_MAX_CANDIDATES = 3
"""Gateways that are tried for a shard; if all are silent, this gateway is probably cut off."""

Shard = tuple[ServiceName, int]


class SilenceReason(Enum):
    """Why a coordinator is not used for a while."""

    TIMEOUT = "timeout"
    UNABLE = "unable"
    OLD_LIST = "old_list"


class Coordinators:
    """Know which gateway coordinates a shard, and avoid those that do not answer."""

    def __init__(self, gateways: GatewayList, log: EventLog) -> None:
        self.gateways = gateways
        self.log = log
        self.ranked: dict[Shard, list[NodeId]] = {}
        self.ranked_nodes: set[NodeId] = set()
        self.ranked_members: dict[NodeId, GatewayMember] = {}
        self.avoided_until: dict[NodeId, float] = {}

    def coordinator(self, service: ServiceName, shard: int) -> NodeId | None:
        """Return the coordinator to ask, or ``None`` if no gateway is known to answer."""
        now = anyio.current_time()
        for node in self._ranked(service, shard):
            if self.avoided_until.get(node, 0.0) <= now:
                return node
        return None

    def _ranked(self, service: ServiceName, shard: int) -> list[NodeId]:
        members = self.gateways.members
        if self.ranked_members is not members or self.ranked_nodes != members.keys():
            self.ranked_members = members
            self.ranked_nodes = set(members)
            self.ranked = {}
            self.avoided_until = {
                node: until for node, until in self.avoided_until.items() if node in members
            }
        key = (service, shard)
        if key not in self.ranked:
            cores = {node: member.cores for node, member in members.items()}
            links = {node: member.link_bytes_per_s for node, member in members.items()}
            ranked = ranked_coordinators(service, shard, cores, links)
            self.ranked[key] = ranked[:_MAX_CANDIDATES]
        return self.ranked[key]

    def address(self, node: NodeId) -> str:
        """Return the address of a listed gateway."""
        return self.gateways.members[node].address

    def avoid(self, node: NodeId, service: ServiceName, reason: SilenceReason) -> None:
        """Use the next coordinator for a while."""
        self.avoided_until[node] = anyio.current_time() + defaults.COORDINATOR_BACKOFF_S
        self.log.emit(
            EventKind.GATEWAY_COORDINATOR_AVOIDED,
            coordinator=node,
            service=service,
            reason=reason.value,
        )
