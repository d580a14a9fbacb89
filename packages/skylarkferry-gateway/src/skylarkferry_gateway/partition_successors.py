"""Gateways that take over the partitions of a stopping owner while the store is away."""

import anyio

from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import PartitionNumber
from skylarkferry_core.rendezvous import ranked_names
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.messages import HandedPartition
from skylarkferry_gateway.peers import PeerClient, PeerUnreachableError

_CANDIDATES = 2
"""Gateways that are asked to take a partition, and asked for it while its owner is gone."""


class PartitionSuccessors:
    """Find the successors of a partition by its number and the list of gateways, which all share.

    A successor goes on under the former owner's claim. Its grants are bounded by that owner's rows
    and allowances, so that a later claim, which counts the owner as lost, counts them too.
    """

    def __init__(self, gateways: GatewayList, peers: PeerClient, log: EventLog) -> None:
        self.gateways = gateways
        self.peers = peers
        self.log = log
        self.lock = anyio.Lock()

    def addresses(self, number: PartitionNumber, owner_address: str) -> list[str]:
        """Return the addresses of a partition's successors, without that of its owner."""
        addresses = [
            self.gateways.members[node].address
            for node in ranked_names(f"partition {number}", self.gateways.members)
        ]
        return [item for item in addresses if item != owner_address][:_CANDIDATES]

    async def hand_over(self, handed: HandedPartition, own_address: str) -> bool:
        """Hand a partition to its first successor that takes it; return whether one did.

        After a call whose outcome is unknown, no other is asked: two would grant the same tokens.
        One partition is handed over at a time, so that many do not exceed the time limit of a call.
        """
        async with self.lock:
            return await self._hand_over(handed, own_address)

    async def _hand_over(self, handed: HandedPartition, own_address: str) -> bool:
        for address in self.addresses(handed.number, own_address):
            try:
                is_taken = await self.peers.hand_partition(address, handed)
            except PeerUnreachableError:
                continue
            except SkylarkferryError as error:
                self.log.emit(
                    EventKind.GATEWAY_PEER_SILENT,
                    peer=address,
                    call="partition",
                    detail=error.detail,
                )
                return False
            if is_taken:
                self.log.emit(
                    EventKind.BUDGET_PARTITION_HANDED,
                    partition=handed.number,
                    peer=address,
                    programs=len(handed.programs),
                )
                return True
        return False
