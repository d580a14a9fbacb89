"""Claims of budget partitions that no gateway owns, before a program needs them."""

import anyio

from skylarkferry_core.accounts import BUDGET_PARTITIONS, NO_OWNER
from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.ids import PartitionNumber
from skylarkferry_core.rendezvous import weighted_choice
from skylarkferry_gateway import defaults
from skylarkferry_gateway.accounts import AccountManager
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.ownership import OwnerTable


class PartitionClaims:
    """Claim this gateway's share of the partitions without an owner.

    A partition cannot be claimed while the store is away, so that programs of one that nobody owns
    are rejected then. Only partitions that were never claimed or were released are divided here;
    that an owner ended without a release is found by the gateways that call it.
    """

    def __init__(
        self, owner_table: OwnerTable, accounts: AccountManager, gateways: GatewayList
    ) -> None:
        self.owner_table = owner_table
        self.accounts = accounts
        self.gateways = gateways

    async def claim_unowned(self) -> None:
        """Claim the unowned partitions of which this gateway is the first choice.

        Before, it makes sure of those that it has taken over from owners that stopped. A partition
        whose part of the store is away is left out, and all while the whole store is.
        """
        if self.gateways.known_from is None:
            return
        for number in [*self.accounts.unconfirmed(), *self._own_share()]:
            if self.accounts.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
                return
            try:
                await self._secure(number)
            except PlatformUnavailableError:
                continue  # logged by the store client

    async def _secure(self, number: PartitionNumber) -> None:
        """Confirm a partition that was taken over, or claim one that nobody owns."""
        if self.accounts.owns(number):
            await self.accounts.confirm(number)
            return
        deadline_at = anyio.current_time() + defaults.RESERVE_TIMEOUT_S
        await self.accounts.claim(number, self.owner_table.generation(number), deadline_at)

    def _own_share(self) -> list[PartitionNumber]:
        cores = {node: member.cores for node, member in self.gateways.members.items()}
        return [
            number
            for number in map(PartitionNumber, range(BUDGET_PARTITIONS))
            if self.owner_table.owner(number) == NO_OWNER
            and not self.accounts.owns(number)
            and weighted_choice(f"partition {number}", cores) == self.gateways.node
        ]
