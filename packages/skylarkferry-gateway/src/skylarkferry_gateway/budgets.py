"""Token budgets of programs: each reservation goes to the owner of the program's partition."""

import anyio
from anyio.abc import TaskGroup

from skylarkferry_core.accounts import NO_OWNER, budget_partition
from skylarkferry_core.errors import (
    NotOwnerError,
    PlatformUnavailableError,
    SkylarkferryError,
    TokensSpentError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import Incarnation, PartitionNumber, ProgramId, TurnId
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.accounts import AccountBook
from skylarkferry_gateway.messages import Reservation
from skylarkferry_gateway.ownership import OwnerTable
from skylarkferry_gateway.peers import (
    PeerDownError,
    PeerSilentError,
    Settlement,
    Verdict,
)
from skylarkferry_gateway.store_paths import StorePaths

_LOCAL = ""
_SETTLE_TRIES = 3


class ProgramBudgets:
    """Reserve a turn's most before it runs, and settle what it handed out when it ended."""

    def __init__(
        self,
        table: OwnerTable,
        book: AccountBook,
        store: StorePaths,
        log: EventLog,
    ) -> None:
        self.table = table
        self.book = book
        self.store = store
        self.peers = store.peers
        self.log = log
        self.owners_of_turns: dict[TurnId, str] = {}
        self.silent: dict[Incarnation, float] = {}
        self.tasks: TaskGroup | None = None

    async def reserve(self, wanted: Reservation) -> None:
        """Reserve tokens for a turn.

        Raise ``TokensSpentError`` when the budget does not cover them and
        ``PlatformUnavailableError`` when nobody can tell.
        """
        by = anyio.current_time() + defaults.BUDGET_WAIT_S
        number = budget_partition(wanted.program_id)
        while anyio.current_time() < by:
            if self.book.owns(number):
                if await self._reserve_here(wanted, by):
                    return
            elif not self._may_ask(number):
                await self._claim(number, by)
            elif await self._ask(number, wanted, by):
                return
        raise PlatformUnavailableError("no owner of the program's budget answered in time")

    async def _reserve_here(self, wanted: Reservation, by: float) -> bool:
        try:
            await self.book.reserve(wanted, by)
        except NotOwnerError:
            return False
        self.owners_of_turns[wanted.turn] = _LOCAL
        return True

    def _may_ask(self, number: PartitionNumber) -> bool:
        """Tell whether another process owns the partition and has answered of late."""
        owner = self.table.owners.get(number)
        if owner is None or owner.owner in (NO_OWNER, self.table.incarnation):
            return False
        if self.store.is_isolated():
            return False
        return self.silent.get(owner.owner, 0.0) <= anyio.current_time()

    async def _claim(self, number: PartitionNumber, by: float) -> None:
        if self.store.lost_s() > defaults.STORE_LOST_S:
            raise PlatformUnavailableError("the store does not answer; no owner can be found")
        if self.table.read_at is None:
            await self.table.refresh(anyio.current_time(), by)
            return
        if self._is_alone():
            raise PlatformUnavailableError("most other gateways are silent; not claiming theirs")
        await self.book.claim(number, by)

    def _is_alone(self) -> bool:
        """Tell whether this process is rather the one that is cut off."""
        now = anyio.current_time()
        others = {owner.owner for owner in self.table.owners.values()}
        others -= {NO_OWNER, self.table.incarnation}
        silent = [owner for owner in others if self.silent.get(owner, 0.0) > now]
        return len(silent) >= 2 and len(silent) * 2 > len(others)

    async def _ask(self, number: PartitionNumber, wanted: Reservation, by: float) -> bool:
        """Ask the owner; return whether it granted, after noting why it did not."""
        owner = self.table.owners[number]
        asked_at = anyio.current_time()
        try:
            reply = await self.peers.reserve(owner.address, wanted)
        except PeerSilentError as error:
            self._on_silent(owner.owner, asked_at, error)
            return False
        except PeerDownError as error:
            self._log_owner(number, owner.owner, error.detail)
            await self._claim(number, by)
            return False
        if reply.verdict is Verdict.GRANTED:
            self.owners_of_turns[wanted.turn] = owner.address
            return True
        if reply.verdict is Verdict.SPENT:
            raise TokensSpentError(reply.detail)
        self._log_owner(number, owner.owner, reply.detail)
        await self._claim(number, by)
        return False

    def _on_silent(self, owner: Incarnation, asked_at: float, error: SkylarkferryError) -> None:
        """Take an owner as lost, unless this process itself stood still meanwhile."""
        now = anyio.current_time()
        if now - asked_at < 2 * defaults.PEER_CALL_S:
            self.silent[owner] = now + defaults.PEER_SILENT_S
        self.log.emit(EventKind.BUDGET_OWNER_SILENT, owner=owner, detail=error.detail)

    def _log_owner(self, number: PartitionNumber, owner: Incarnation, detail: str) -> None:
        self.log.emit(EventKind.BUDGET_OWNER_SILENT, owner=owner, partition=number, detail=detail)

    def settle(self, program_id: ProgramId, turn: TurnId, used: int) -> None:
        """Count what a turn handed out; the owner hears of it in the background."""
        address = self.owners_of_turns.pop(turn, None)
        if address is None:
            return
        if address == _LOCAL:
            self.book.settle(program_id, turn, used)
        elif self.tasks is not None:
            self.tasks.start_soon(self._settle, address, Settlement(program_id, turn, used))

    async def _settle(self, address: str, settled: Settlement) -> None:
        """Tell the owner; when it does not hear of it the turn counts with its most."""
        for _ in range(_SETTLE_TRIES):
            try:
                await self.peers.settle(address, settled)
            except (PeerSilentError, PeerDownError) as error:
                detail = error.detail
                await anyio.sleep(defaults.STORE_RETRY_S)
            else:
                return
        self.log.emit(
            EventKind.BUDGET_OWNER_SILENT, settled.program_id, request=settled.turn, detail=detail
        )
