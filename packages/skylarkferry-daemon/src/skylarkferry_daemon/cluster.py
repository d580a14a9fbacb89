"""Reads the node rows, the partition rows and the platform's host list."""

import msgspec

from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.ids import NodeId, PartitionNumber
from skylarkferry_core.interfaces import HostList, Row, Table
from skylarkferry_core.partitions import (
    NODE_PREFIX,
    PARTITION_PREFIX,
    NodeRow,
    PartitionRow,
    node_key,
    partition_of_key,
)
from skylarkferry_core.states import Role
from skylarkferry_core.takeovers import ClusterView, ObservedNode, ObservedPartition


class ClusterReader:
    """Keep a view of the cluster and refresh all of it or only selected nodes."""

    def __init__(self, table: Table, host_list: HostList, partitions: int) -> None:
        self.table = table
        self.host_list = host_list
        self.partitions = partitions
        self.view = ClusterView()

    async def read_all(self) -> ClusterView:
        """Read all rows and return the view.

        Partitions are read before nodes, so an owner without a node row has left the cluster.
        """
        partitions = await self.table.scan(PARTITION_PREFIX)
        await self.read_all_nodes()
        self.view.partitions = self._decode_partitions(partitions)
        return self.view

    def _decode_partitions(self, rows: list[Row]) -> dict[PartitionNumber, ObservedPartition]:
        numbers = map(PartitionNumber, range(self.partitions))
        seen = {number: ObservedPartition(number, PartitionRow(), 0) for number in numbers}
        for row in rows:
            number = partition_of_key(row.key)
            decoded = msgspec.msgpack.decode(row.value, type=PartitionRow)
            seen[number] = ObservedPartition(number, decoded, row.version)
        return seen

    async def read_all_nodes(self) -> None:
        """Read all node rows."""
        rows = await self.table.scan(NODE_PREFIX)
        self.view.nodes = {}
        for row in rows:
            self._update_node(row)

    async def read_selected_nodes(self, nodes: list[NodeId]) -> None:
        """Read the rows of ``nodes`` only."""
        for node in nodes:
            row = await self.table.read(node_key(node))
            if row.version:
                self._update_node(row)
            else:
                self.view.nodes.pop(node, None)

    def _update_node(self, row: Row) -> None:
        decoded = msgspec.msgpack.decode(row.value, type=NodeRow)
        self.view.nodes[decoded.node] = ObservedNode(decoded, row.version)

    async def read_hosts(self) -> None:
        """Read the host list; keep the previous one if the platform does not answer."""
        try:
            hosts = await self.host_list.hosts()
        except PlatformUnavailableError:
            return
        entries = [host for host in hosts if host.role == Role.ENTRY.value]
        self.view.listed = frozenset(NodeId(host.name) for host in entries)
        self.view.leaving = frozenset(NodeId(host.name) for host in entries if host.leaving)
