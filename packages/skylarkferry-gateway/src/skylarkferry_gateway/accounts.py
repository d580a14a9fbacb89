"""Token accounts of the programs whose partitions this process owns."""

from typing import Protocol

import anyio
import msgspec

from skylarkferry_core.accounts import Account, budget_partition
from skylarkferry_core.errors import (
    BudgetExhaustedError,
    ErrorCode,
    NotOwnerError,
    PlatformRefusedError,
    PlatformUnavailableError,
    SkylarkferryError,
    TokensSpentError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import PartitionNumber, ProgramId, TurnId
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_daemon.background_tasks import TaskStarter
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.ahead_growth import AheadGrowth
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.messages import HandedPartition, Reservation
from skylarkferry_gateway.ownership import OwnerTable, owner_key
from skylarkferry_gateway.ownership_proofs import is_recent, proof_time
from skylarkferry_gateway.partition_accounts import Growth, PartitionAccounts, ProgramAccount
from skylarkferry_gateway.store_calls import retry_until

_ROWS_PER_CALL = 90
"""Rows written per call at a handover; the store accepts 100 entries per call."""
_DELETIONS_PER_CALL = 45
"""Rows deleted per call, each with a condition."""
_GROWTH_UNAVAILABLE = "the store does not answer; the allowance cannot grow"


class Successors(Protocol):
    """Other gateways that go on with the partitions of this one."""

    async def hand_over(self, handed: HandedPartition, own_address: str) -> bool:
        """Hand a partition over; return whether a gateway has taken it."""


class AllowancePendingError(PlatformUnavailableError):
    """The store has not yet confirmed a write of the owner: a larger allowance, or its claim."""


class GrowthUnavailableError(PlatformUnavailableError):
    """The owner answers, but the store does not, so that an allowance cannot grow."""


class AccountManager:
    """Reserve and settle tokens of the programs in this process's partitions."""

    def __init__(
        self,
        store: Store,
        owner_table: OwnerTable,
        log: EventLog,
        successors: Successors | None = None,
    ) -> None:
        self.store = store
        self.owner_table = owner_table
        self.successors = successors
        self.log = log
        self.partitions: dict[PartitionNumber, PartitionAccounts] = {}
        self.claim_locks: dict[PartitionNumber, anyio.Lock] = {}
        self.is_closed = False
        self.tasks: TaskStarter | None = None
        self.ahead_growth = AheadGrowth(store, log, self._is_current, self._resolve_conflict)

    def owns(self, number: PartitionNumber) -> bool:
        """Return True if this process owns the partition and has not noticed its loss."""
        return number in self.partitions

    async def claim(self, number: PartitionNumber, generation: int, deadline_at: float) -> None:
        """Try to become the owner after ``generation``; another process may claim it first."""
        lock = self.claim_locks.setdefault(number, anyio.Lock())
        async with lock:
            if self.owns(number) or self.is_closed:
                return
            claimed = await self.owner_table.claim(number, generation, deadline_at)
            if claimed is not None:
                self.partitions[number] = PartitionAccounts(*claimed, self.log)

    def take(self, handed: HandedPartition) -> bool:
        """Go on with a partition that its stopping owner hands over; return whether it is taken."""
        number = handed.number
        lock = self.claim_locks.get(number)
        is_claimed = self.owner_table.generation(number) > handed.ownership.generation
        is_under_claim = lock is not None and lock.locked()
        if self.is_closed or self.owns(number) or is_claimed or is_under_claim:
            return False
        self.partitions[number] = PartitionAccounts.taken(handed, self.log)
        self.log.emit(
            EventKind.BUDGET_PARTITION_TAKEN,
            partition=number,
            before=handed.ownership.owner,
            generation=handed.ownership.generation,
            programs=len(handed.programs),
        )
        return True

    def unconfirmed(self) -> list[PartitionNumber]:
        """Return the partitions taken over whose rows still name their former owners."""
        own = self.owner_table.incarnation
        return [
            number
            for number, owned in self.partitions.items()
            if owned.partition.ownership.owner != own
        ]

    async def confirm(self, number: PartitionNumber) -> None:
        """Name this process as the owner of a partition that it has taken over.

        A partition that was claimed meanwhile is dropped. Raise ``PlatformUnavailableError``.
        """
        owned = self.partitions[number]
        try:
            await self.owner_table.confirm(owned.partition)
        except WriteConflictError:
            self.drop_partition(owned)

    async def reserve(self, reservation: Reservation, deadline_at: float) -> None:
        """Reserve the maximum number of tokens that a turn may generate.

        Raise ``TokensSpentError``, ``NotOwnerError`` if another process now owns the partition,
        ``AllowancePendingError`` if the store answers too late, ``GrowthUnavailableError`` if it is
        lost, or ``PlatformUnavailableError``.
        """
        number = budget_partition(reservation.program_id)
        await self._wait_for_claim(number, deadline_at)
        owned = self.partitions.get(number)
        if owned is None:
            raise NotOwnerError(f"partition {number} is not owned by this process")
        program = owned.account(reservation, anyio.current_time())
        while not self._may_grant(owned, program.account, reservation.tokens):
            await self._wait_for_growth(owned, program, reservation, deadline_at)
            if not self._is_current(owned):
                raise NotOwnerError(f"partition {number} is no longer owned by this process")
        program.account.reserve(reservation.turn, reservation.tokens)
        self.ahead_growth.consider(owned, program, self.tasks)

    def _may_grant(self, owned: PartitionAccounts, account: Account, tokens: int) -> bool:
        """Return whether a turn may be granted now; else a row is written first."""
        return account.fits(tokens) and (not account.may_be_unknown() or self._is_proven(owned))

    def _is_proven(self, owned: PartitionAccounts) -> bool:
        """Return whether this process may grant without rows: it was the owner a short time ago.

        One that goes on for a stopped owner may do so only while the store is away, which it was
        when it took over; once the store answers, it has to be confirmed as the owner first.
        """
        partition = owned.partition
        is_confirmed = partition.ownership.owner == self.owner_table.incarnation
        if not is_confirmed and self.store.unavailable_s() == 0:
            return False
        return is_recent(partition.proven_at)

    def _is_current(self, owned: PartitionAccounts) -> bool:
        """Return True unless the partition was lost, released or claimed again meanwhile."""
        return self.partitions.get(owned.partition.number) is owned

    async def _wait_for_claim(self, number: PartitionNumber, deadline_at: float) -> None:
        """Wait until a claim under way has ended, whose effect others may see before this process.

        Raise ``AllowancePendingError`` if the store answers too late.
        """
        lock = self.claim_locks.get(number)
        if self.owns(number) or lock is None or not lock.locked():
            return
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                async with lock:
                    pass
        except TimeoutError as error:
            raise AllowancePendingError(
                "the store has not confirmed a claim of the partition yet",
                retry_after_s=defaults.RETRY_AFTER_S,
            ) from error

    def settle(self, program_id: ProgramId, turn: TurnId, used: int) -> None:
        """Replace a turn's reservation with the number of tokens sent to the client."""
        owned = self.partitions.get(budget_partition(program_id))
        program = owned.programs.get(program_id) if owned is not None else None
        if program is not None:
            program.account.settle(turn, used)

    async def _wait_for_growth(
        self,
        owned: PartitionAccounts,
        program: ProgramAccount,
        reservation: Reservation,
        deadline_at: float,
    ) -> None:
        """Wait until a larger allowance was written or its write failed; it may be tried again."""
        growth = program.growth
        if growth is None:
            growth = self._start_growth(owned, program, reservation)
        elif self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
            raise GrowthUnavailableError(_GROWTH_UNAVAILABLE)
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                await growth.ended.wait()
        except TimeoutError as error:
            raise AllowancePendingError(
                "the store has not confirmed a larger allowance yet",
                retry_after_s=defaults.RETRY_AFTER_S,
            ) from error
        if growth.error is None:
            return
        is_final = not isinstance(growth.error, PlatformUnavailableError)
        if is_final or anyio.current_time() + defaults.STORE_RETRY_S >= deadline_at:
            raise growth.error
        await anyio.sleep(defaults.STORE_RETRY_S)

    def _start_growth(
        self, owned: PartitionAccounts, program: ProgramAccount, reservation: Reservation
    ) -> Growth:
        account = program.account
        try:
            allowance = account.next_allowance(reservation.tokens)
        except BudgetExhaustedError as error:
            self._log_budget_spent(reservation, account)
            raise TokensSpentError(error.detail) from error
        if self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
            raise GrowthUnavailableError(_GROWTH_UNAVAILABLE)
        assert self.tasks is not None
        program.growth = growth = Growth()
        self.tasks.start_soon(self._grow, owned, program, reservation, allowance, growth)
        return growth

    async def _grow(
        self,
        owned: PartitionAccounts,
        program: ProgramAccount,
        reservation: Reservation,
        allowance: int,
        growth: Growth,
    ) -> None:
        try:
            await self._write_allowance(owned, program, reservation, allowance)
        except SkylarkferryError as error:
            growth.error = error
        except Exception as error:
            self.log.emit(
                EventKind.TASK_FAILED,
                reservation.program_id,
                code=ErrorCode.INTERNAL.value,
                detail=repr(error),
            )
            growth.error = PlatformUnavailableError("the allowance cannot grow")
        finally:
            program.growth = None
            growth.ended.set()

    async def _write_allowance(
        self,
        owned: PartitionAccounts,
        program: ProgramAccount,
        reservation: Reservation,
        allowance: int,
    ) -> None:
        account = program.account
        conditions = [owned.partition.fence(), Condition(program.key, account.version)]
        row = msgspec.msgpack.encode(account.row_for(allowance))
        proven_at = proof_time()
        try:
            version = await self.store.transact(conditions, [Write(program.key, row)])
        except WriteConflictError:
            deadline_at = anyio.current_time() + defaults.RESERVE_TIMEOUT_S
            await self._resolve_conflict(owned, program, deadline_at)
            return
        account.version, account.allowance = version, allowance
        owned.partition.proven_at = proven_at
        self._log_granted(reservation, account)

    async def _resolve_conflict(
        self, owned: PartitionAccounts, program: ProgramAccount, deadline_at: float
    ) -> None:
        """Check whether the partition was lost or an earlier, unanswered call took effect."""
        number = owned.partition.number
        fence = await retry_until(lambda: self.store.read(owner_key(number)), deadline_at)
        is_own = fence.version == owned.partition.version
        if not is_own and not self.owner_table.adopt(owned.partition, fence):
            self.drop_partition(owned)
            raise NotOwnerError(f"partition {number} was claimed by another process")
        row = await retry_until(lambda: self.store.read(program.key), deadline_at)
        program.account.version = row.version  # the next write replaces the row or its deletion

    def drop_partition(self, owned: PartitionAccounts) -> None:
        """Forget a partition, unless this process has claimed it again meanwhile."""
        number = owned.partition.number
        if self._is_current(owned):
            del self.partitions[number]
            self.log.emit(EventKind.BUDGET_PARTITION_LOST, partition=number)

    def _log_granted(self, reservation: Reservation, account: Account) -> None:
        self.log.emit(
            EventKind.GATEWAY_GRANTED,
            reservation.program_id,
            request=reservation.turn,
            limit=reservation.limit,
            base=account.base,
            allowance=account.allowance,
            version=account.version,
        )

    def _log_budget_spent(self, reservation: Reservation, account: Account) -> None:
        self.log.emit(
            EventKind.GATEWAY_BUDGET_SPENT,
            reservation.program_id,
            request=reservation.turn,
            limit=reservation.limit,
            need=reservation.tokens,
            base=account.base,
            unrecorded=account.unrecorded(reservation.tokens),
            used=account.used,
            committed=account.committed(),
            version=account.version,
        )

    async def delete_idle_accounts(self) -> None:
        """Delete idle accounts and their rows; a row whose deletion fails stays in the store."""
        now = anyio.current_time()
        for owned in list(self.partitions.values()):
            rows = owned.remove_idle(now)
            for first in range(0, len(rows), _DELETIONS_PER_CALL):
                deleted = rows[first : first + _DELETIONS_PER_CALL]
                writes = [Write(row.key, None) for row in deleted]
                try:
                    await self.store.transact([owned.partition.fence(), *deleted], writes)
                except (PlatformUnavailableError, WriteConflictError) as error:
                    self.log.emit(EventKind.GATEWAY_STORE_RETRY, call="forget", detail=error.detail)

    async def release_all(self, deadline_at: float) -> None:
        """Release all partitions before the process ends; a failed release is logged as a loss.

        While the store is away, they are handed to other gateways.
        """
        self.is_closed = True
        owned, self.partitions = list(self.partitions.values()), {}
        async with anyio.create_task_group() as tasks:
            for accounts in owned:
                tasks.start_soon(self._release, accounts, deadline_at)
        await self.owner_table.write_unlisted()

    async def _release(self, owned: PartitionAccounts, deadline_at: float) -> None:
        try:
            with anyio.fail_after(max(deadline_at - anyio.current_time(), 0)):
                await self._release_or_hand_over(owned)
        except (PlatformUnavailableError, WriteConflictError, TimeoutError) as error:
            self.log.emit(
                EventKind.BUDGET_PARTITION_LOST,
                partition=owned.partition.number,
                detail=repr(error),
            )

    async def _release_or_hand_over(self, owned: PartitionAccounts) -> None:
        """Release a partition, or hand it over if the store has certainly changed nothing."""
        writes = owned.handover_writes()
        fence = owned.partition.fence()
        is_unchanged = True
        try:
            if self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
                raise PlatformRefusedError("the store does not answer; nothing was sent")
            while len(writes) > _ROWS_PER_CALL:
                await self.store.transact([fence], writes[:_ROWS_PER_CALL])
                is_unchanged = False
                writes = writes[_ROWS_PER_CALL:]
            await self.owner_table.release(owned.partition, writes)
        except PlatformRefusedError:
            if not is_unchanged or self.successors is None:
                raise
            if not await self.successors.hand_over(owned.handed(), self.owner_table.address):
                raise
