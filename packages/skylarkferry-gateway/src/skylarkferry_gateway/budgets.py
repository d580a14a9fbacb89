"""Token budgets of programs, reserved at the owner of the program's partition."""

import anyio

from skylarkferry_core.accounts import NO_OWNER, Ownership, budget_partition
from skylarkferry_core.errors import (
    NotOwnerError,
    PlatformUnavailableError,
    SkylarkferryError,
    TokensSpentError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import Incarnation, PartitionNumber, ProgramId, TurnId
from skylarkferry_daemon.background_tasks import TaskStarter
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.accounts import (
    AccountManager,
    AllowancePendingError,
    GrowthUnavailableError,
)
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.messages import Reservation
from skylarkferry_gateway.ownership import OwnerTable
from skylarkferry_gateway.partition_successors import PartitionSuccessors
from skylarkferry_gateway.peers import (
    PeerDownError,
    PeerSilentError,
    Settlement,
    Verdict,
)

_LOCAL = ""
_SETTLE_ATTEMPTS = 3


class ProgramBudgets:
    """Reserve a turn's maximum output before it runs; settle the tokens used after it ended."""

    def __init__(
        self,
        owner_table: OwnerTable,
        accounts: AccountManager,
        store: FailoverStore,
        successors: PartitionSuccessors,
        log: EventLog,
    ) -> None:
        self.owner_table = owner_table
        self.accounts = accounts
        self.successors = successors
        self.store = store
        self.peers = store.peers
        self.log = log
        self.turn_owners: dict[TurnId, str] = {}
        self.silent_until: dict[Incarnation, float] = {}
        self.tasks: TaskStarter | None = None

    async def reserve(self, reservation: Reservation) -> None:
        """Reserve tokens for a turn.

        Raise ``TokensSpentError`` if the budget does not cover them, ``GrowthUnavailableError`` if
        the owner answers but cannot grant without the store, and ``PlatformUnavailableError`` if
        neither an owner nor the store answers in time.
        """
        deadline_at = anyio.current_time() + defaults.RESERVE_TIMEOUT_S
        number = budget_partition(reservation.program_id)
        while anyio.current_time() < deadline_at:
            if self.accounts.owns(number):
                if await self._reserve_locally(reservation, deadline_at):
                    return
            elif not self._can_ask_owner(number):
                await self._claim(number, self.owner_table.generation(number), deadline_at)
            elif await self._reserve_remotely(number, reservation, deadline_at):
                return
        raise PlatformUnavailableError("no owner of the program's budget answered in time")

    async def _reserve_locally(self, reservation: Reservation, deadline_at: float) -> bool:
        try:
            await self.accounts.reserve(reservation, deadline_at)
        except NotOwnerError:
            return False
        self.turn_owners[reservation.turn] = _LOCAL
        return True

    def _can_ask_owner(self, number: PartitionNumber) -> bool:
        """Return True if another process owns the partition and can probably be reached."""
        ownership = self.owner_table.owners.get(number)
        if ownership is None or ownership.owner in (NO_OWNER, self.owner_table.incarnation):
            return False
        if self.store.is_isolated():
            return False
        return self.silent_until.get(ownership.owner, 0.0) <= anyio.current_time()

    async def _claim(self, number: PartitionNumber, generation: int, deadline_at: float) -> None:
        if self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
            raise PlatformUnavailableError("the store does not answer; no owner can be found")
        if self.owner_table.read_at is None:
            await self.owner_table.refresh(anyio.current_time(), deadline_at)
            return
        if self._is_probably_isolated():
            raise PlatformUnavailableError(
                "most other gateways are silent; their partitions are not claimed"
            )
        await self.accounts.claim(number, generation, deadline_at)

    def _is_probably_isolated(self) -> bool:
        """Return True if most other owners are silent: this process is then probably cut off."""
        now = anyio.current_time()
        other_owners = {ownership.owner for ownership in self.owner_table.owners.values()}
        other_owners -= {NO_OWNER, self.owner_table.incarnation}
        silent = [owner for owner in other_owners if self.silent_until.get(owner, 0.0) > now]
        return len(silent) >= 2 and len(silent) * 2 > len(other_owners)

    async def _reserve_remotely(
        self, number: PartitionNumber, reservation: Reservation, deadline_at: float
    ) -> bool:
        """Reserve at the owner; return False if the reservation is to be tried again.

        Before, a silent owner is marked as such, and the partition of an ended one claimed.
        """
        ownership = self.owner_table.owners[number]
        asked_at = anyio.current_time()
        try:
            reply = await self.peers.reserve(ownership.address, reservation)
        except PeerSilentError as error:
            self._on_silent(ownership.owner, asked_at, error)
            return False
        except PeerDownError as error:
            self._log_owner_failure(number, ownership.owner, error.detail)
            return await self._replace_owner(number, ownership, reservation, deadline_at)
        if reply.verdict is Verdict.GRANTED:
            self.turn_owners[reservation.turn] = ownership.address
            return True
        if reply.verdict is Verdict.SPENT:
            raise TokensSpentError(reply.detail)
        if reply.verdict is Verdict.PENDING:
            if anyio.current_time() + defaults.OWNER_WAIT_S > deadline_at:
                raise AllowancePendingError(reply.detail, retry_after_s=defaults.RETRY_AFTER_S)
            return False  # the owner answers: it is asked again, and its partition not claimed
        if reply.verdict is Verdict.NO_STORE:
            await self._replace_unable_owner(number, ownership, reply.detail, deadline_at)
            return False
        self._log_owner_failure(number, ownership.owner, reply.detail)
        return await self._replace_owner(number, ownership, reservation, deadline_at)

    async def _replace_unable_owner(
        self, number: PartitionNumber, ownership: Ownership, detail: str, deadline_at: float
    ) -> None:
        """Claim the partition of an owner that answers, but that alone does not reach the store.

        Raise ``GrowthUnavailableError`` at once if this process does not reach it either: nobody
        else can grant then, and neither a claim nor a wait would change that.
        """
        self.log.emit(
            EventKind.BUDGET_OWNER_UNABLE,
            owner=ownership.owner,
            partition=number,
            store_lost_ms=round(self.store.unavailable_s() * 1_000),
            detail=detail,
        )
        unable = GrowthUnavailableError(f"the owner of the program's budget answers: {detail}")
        if self.store.unavailable_s() > 0:
            raise unable
        claim_by = min(deadline_at, anyio.current_time() + defaults.OWNER_WAIT_S)
        try:
            await self._claim(number, ownership.generation, claim_by)
        except PlatformUnavailableError as error:
            raise unable from error

    async def _replace_owner(
        self,
        number: PartitionNumber,
        ownership: Ownership,
        reservation: Reservation,
        deadline_at: float,
    ) -> bool:
        """Reserve at a successor of an owner that is gone, or claim its partition to try again."""
        is_lost = self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S
        if is_lost and await self._reserve_at_successor(number, ownership, reservation):
            return True
        await self._claim(number, ownership.generation, deadline_at)
        return False

    async def _reserve_at_successor(
        self, number: PartitionNumber, ownership: Ownership, reservation: Reservation
    ) -> bool:
        for address in self.successors.addresses(number, ownership.address):
            if address == self.owner_table.address:
                continue
            try:
                reply = await self.peers.reserve(address, reservation)
            except (PeerSilentError, PeerDownError) as error:
                self._log_owner_failure(number, ownership.owner, f"successor: {error.detail}")
                continue
            if reply.verdict is Verdict.SPENT:
                raise TokensSpentError(reply.detail)
            if reply.verdict is Verdict.NO_STORE:
                raise GrowthUnavailableError(f"the owner's successor answers: {reply.detail}")
            if reply.verdict is Verdict.GRANTED:
                self.owner_table.on_taken_over(number, address)
                self.turn_owners[reservation.turn] = address
                return True
        return False

    def _on_silent(self, owner: Incarnation, asked_at: float, error: SkylarkferryError) -> None:
        """Mark an owner as silent, unless this process itself was paused during the call."""
        now = anyio.current_time()
        if now - asked_at < 2 * defaults.PEER_TIMEOUT_S:
            self.silent_until[owner] = now + defaults.PEER_BACKOFF_S
        self.log.emit(EventKind.BUDGET_OWNER_SILENT, owner=owner, detail=error.detail)

    def _log_owner_failure(self, number: PartitionNumber, owner: Incarnation, detail: str) -> None:
        self.log.emit(EventKind.BUDGET_OWNER_SILENT, owner=owner, partition=number, detail=detail)

    def settle(self, program_id: ProgramId, turn: TurnId, used: int) -> None:
        """Settle a turn's reservation; a remote owner is notified in the background."""
        address = self.turn_owners.pop(turn, None)
        if address is None:
            return
        if address == _LOCAL:
            self.accounts.settle(program_id, turn, used)
        elif self.tasks is not None:
            self.tasks.start_soon(
                self._settle_remotely, address, Settlement(program_id, turn, used)
            )

    async def _settle_remotely(self, address: str, settlement: Settlement) -> None:
        """Notify the owner; if every attempt fails, the whole reservation still counts as used."""
        for _ in range(_SETTLE_ATTEMPTS):
            try:
                await self.peers.settle(address, settlement)
            except (PeerSilentError, PeerDownError) as error:
                detail = error.detail
                await anyio.sleep(defaults.STORE_RETRY_S)
            else:
                return
        self.log.emit(
            EventKind.BUDGET_OWNER_SILENT,
            settlement.program_id,
            request=settlement.turn,
            detail=detail,
        )
