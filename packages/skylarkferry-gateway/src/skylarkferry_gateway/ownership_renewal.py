"""Proofs of ownership without a program's write, and the end of what lost owners granted."""

from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_gateway.accounts import AccountManager
from skylarkferry_gateway.ownership import OwnerTable
from skylarkferry_gateway.ownership_proofs import are_losses_over, needs_renewal
from skylarkferry_gateway.partition_accounts import PartitionAccounts


class OwnershipRenewal:
    """Renew the ownership of partitions without writes, and forget losses that are over.

    A busy partition is proven by the rows of its programs, so that only idle ones cost a read.
    """

    def __init__(self, owner_table: OwnerTable, accounts: AccountManager) -> None:
        self.owner_table = owner_table
        self.accounts = accounts

    async def renew_all(self) -> None:
        """Renew and forget what is due; a call that fails is made again at the next sweep."""
        for owned in list(self.accounts.partitions.values()):
            if owned.partition.ownership.owner != self.owner_table.incarnation:
                continue  # taken over; it is confirmed first
            try:
                await self._renew(owned)
            except PlatformUnavailableError:
                continue  # logged by the store client

    async def _renew(self, owned: PartitionAccounts) -> None:
        partition = owned.partition
        is_over = partition.ownership.losses and are_losses_over(partition.claimed_at)
        if is_over and not owned.has_unrecorded_grants():
            try:
                await self.owner_table.forget_losses(partition)
            except WriteConflictError:
                await self._read(owned)
        elif needs_renewal(partition.proven_at):
            await self._read(owned)

    async def _read(self, owned: PartitionAccounts) -> None:
        if not await self.owner_table.renew(owned.partition):
            self.accounts.drop_partition(owned)
