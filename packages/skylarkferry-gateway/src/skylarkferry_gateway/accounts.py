"""Accounts of the programs whose partitions this process owns."""

from collections.abc import Sequence

import anyio
import msgspec

from skylarkferry_core.accounts import Account, AccountRow, budget_partition
from skylarkferry_core.errors import (
    BudgetExhaustedError,
    NotOwnerError,
    PlatformUnavailableError,
    TokensSpentError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import PartitionNumber, ProgramId, TurnId
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.messages import Reservation
from skylarkferry_gateway.ownership import OwnedPartition, OwnerTable, account_key, owner_key
from skylarkferry_gateway.store_calls import retry_until

_ROWS_A_CALL = 90
"""Rows in one call when a partition is handed over; the store takes 100 entries."""


class ProgramAccount:
    """One program's account with its row's key and a lock for changes of its allowance."""

    def __init__(self, account: Account, key: str, now: float) -> None:
        self.account = account
        self.key = key
        self.lock = anyio.Lock()
        self.used_at = now


class PartitionAccounts:
    """One owned partition: its programs, and the rows that earlier owners wrote."""

    def __init__(self, partition: OwnedPartition, rows: Sequence[Row]) -> None:
        self.partition = partition
        self.rows = {row.key: row for row in rows}
        self.owned_since = anyio.current_time()
        self.programs: dict[ProgramId, ProgramAccount] = {}

    def account(self, wanted: Reservation, now: float) -> ProgramAccount:
        """Return a program's account, opened on the first turn that comes here."""
        found = self.programs.get(wanted.program_id)
        if found is None:
            key = account_key(self.partition.number, wanted.program_id)
            row = self.rows.pop(key, None)
            written = msgspec.msgpack.decode(row.value, type=AccountRow) if row else None
            losses = self.partition.ownership.losses
            version = row.version if row else 0
            account = Account(wanted.limit, wanted.tokens, losses, written, version)
            found = self.programs[wanted.program_id] = ProgramAccount(account, key, now)
        found.used_at = now
        return found

    def remove_idle(self, now: float) -> list[str]:
        """Forget accounts unused for ``ACCOUNT_IDLE_S`` and return the keys of their rows."""
        keys: list[str] = []
        for program_id, item in list(self.programs.items()):
            is_idle = now - item.used_at > defaults.ACCOUNT_IDLE_S
            if is_idle and not item.account.reserved:
                del self.programs[program_id]
                keys.extend([item.key] if item.account.version else [])
        if now - self.owned_since > defaults.ACCOUNT_IDLE_S:
            keys.extend(self.rows)
            self.rows = {}
        return keys

    def handover_writes(self) -> list[Write]:
        """Return the rows to hand over: programs whose use no row covers, or covers too widely."""
        return [
            Write(item.key, msgspec.msgpack.encode(item.account.final_row()))
            for item in self.programs.values()
        ]


class AccountManager:
    """Reserve and settle tokens of the programs that this process accounts for."""

    def __init__(self, store: Store, owner_table: OwnerTable, log: EventLog) -> None:
        self.store = store
        self.owner_table = owner_table
        self.log = log
        self.partitions: dict[PartitionNumber, PartitionAccounts] = {}
        self.claim_locks: dict[PartitionNumber, anyio.Lock] = {}
        self.is_closed = False

    def owns(self, number: PartitionNumber) -> bool:
        """Tell whether this process owns a partition, as far as it knows."""
        return number in self.partitions

    async def claim(self, number: PartitionNumber, deadline_at: float) -> None:
        """Try to become a partition's owner; others may be first."""
        lock = self.claim_locks.setdefault(number, anyio.Lock())
        async with lock:
            if self.owns(number) or self.is_closed:
                return
            claimed = await self.owner_table.claim(number, deadline_at)
            if claimed is not None:
                self.partitions[number] = PartitionAccounts(*claimed)

    async def reserve(self, wanted: Reservation, deadline_at: float) -> None:
        """Reserve a turn's most.

        Raise ``TokensSpentError``, ``NotOwnerError`` when the partition is another's by now, and
        ``PlatformUnavailableError``.
        """
        number = budget_partition(wanted.program_id)
        owned = self.partitions.get(number)
        if owned is None:
            raise NotOwnerError(f"partition {number} is not owned here")
        item = owned.account(wanted, anyio.current_time())
        async with item.lock:
            while not item.account.fits(wanted.tokens):
                await self._grow(owned, item, wanted, deadline_at)
            item.account.reserve(wanted.turn, wanted.tokens)

    def settle(self, program_id: ProgramId, turn: TurnId, used: int) -> None:
        """Count what a turn handed out."""
        owned = self.partitions.get(budget_partition(program_id))
        item = owned.programs.get(program_id) if owned is not None else None
        if item is not None:
            item.account.settle(turn, used)

    async def _grow(
        self,
        owned: PartitionAccounts,
        item: ProgramAccount,
        wanted: Reservation,
        deadline_at: float,
    ) -> None:
        account = item.account
        try:
            allowance = account.next_allowance(wanted.tokens)
        except BudgetExhaustedError as error:
            self._log_spent(wanted, account)
            raise TokensSpentError(error.detail) from error
        if self.store.lost_s() > defaults.STORE_LOST_AFTER_S:
            raise PlatformUnavailableError("the store does not answer; no allowance can grow")
        conditions = [owned.partition.fence(), Condition(item.key, account.version)]
        row = msgspec.msgpack.encode(account.row_for(allowance))
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                version = await self.store.transact(conditions, [Write(item.key, row)])
        except WriteConflictError:
            await self._settle_conflict(owned, item, deadline_at)
            return
        except TimeoutError as error:
            raise PlatformUnavailableError("the store did not answer in time") from error
        except PlatformUnavailableError:
            if anyio.current_time() + defaults.STORE_RETRY_S >= deadline_at:
                raise
            await anyio.sleep(defaults.STORE_RETRY_S)
            return
        account.version, account.allowance = version, allowance
        self._log_granted(wanted, account)

    async def _settle_conflict(
        self, owned: PartitionAccounts, item: ProgramAccount, deadline_at: float
    ) -> None:
        """Find out whether the partition was lost or an earlier write without an answer counts."""
        number = owned.partition.number
        fence = await retry_until(lambda: self.store.read(owner_key(number)), deadline_at)
        if fence.version != owned.partition.version:
            self._lost(number)
            raise NotOwnerError(f"partition {number} was claimed by another process")
        row = await retry_until(lambda: self.store.read(item.key), deadline_at)
        account = item.account
        if row.version != account.version:
            written = msgspec.msgpack.decode(row.value, type=AccountRow)
            account.version = row.version
            account.allowance = written.granted_tokens - account.base

    def _lost(self, number: PartitionNumber) -> None:
        if self.partitions.pop(number, None) is not None:
            self.log.emit(EventKind.BUDGET_PARTITION_LOST, partition=number)

    def _log_granted(self, wanted: Reservation, account: Account) -> None:
        self.log.emit(
            EventKind.GATEWAY_GRANTED,
            wanted.program_id,
            request=wanted.turn,
            limit=wanted.limit,
            base=account.base,
            allowance=account.allowance,
            version=account.version,
        )

    def _log_spent(self, wanted: Reservation, account: Account) -> None:
        self.log.emit(
            EventKind.GATEWAY_BUDGET_SPENT,
            wanted.program_id,
            request=wanted.turn,
            limit=wanted.limit,
            need=wanted.tokens,
            base=account.base,
            used=account.used,
            committed=account.committed(),
            version=account.version,
        )

    async def delete_idle_accounts(self) -> None:
        """Remove rows of accounts that nobody used for long; what fails stays in the store."""
        now = anyio.current_time()
        for owned in list(self.partitions.values()):
            keys = owned.remove_idle(now)
            for first in range(0, len(keys), _ROWS_A_CALL):
                writes = [Write(key, None) for key in keys[first : first + _ROWS_A_CALL]]
                try:
                    await self.store.transact([owned.partition.fence()], writes)
                except (PlatformUnavailableError, WriteConflictError) as error:
                    self.log.emit(EventKind.GATEWAY_STORE_RETRY, call="forget", detail=error.detail)

    async def hand_over(self, deadline_at: float) -> None:
        """Hand all partitions over before the process ends; those that fail count as lost."""
        self.is_closed = True
        owned, self.partitions = list(self.partitions.values()), {}
        async with anyio.create_task_group() as tasks:
            for item in owned:
                tasks.start_soon(self._hand_over, item, deadline_at)

    async def _hand_over(self, owned: PartitionAccounts, deadline_at: float) -> None:
        writes = owned.handover_writes()
        fence = owned.partition.fence()
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                while len(writes) > _ROWS_A_CALL:
                    await self.store.transact([fence], writes[:_ROWS_A_CALL])
                    writes = writes[_ROWS_A_CALL:]
                await self.owner_table.release(owned.partition, writes)
        except (PlatformUnavailableError, WriteConflictError, TimeoutError) as error:
            self.log.emit(
                EventKind.BUDGET_PARTITION_LOST,
                partition=owned.partition.number,
                detail=repr(error),
            )
