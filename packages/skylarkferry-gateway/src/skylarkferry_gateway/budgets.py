"""Token budgets of programs over all processes, through one row a program in the store."""

import anyio
import msgspec
import xxhash

from skylarkferry_core.allotments import Allotment, BudgetRow, RowChange
from skylarkferry_core.errors import (
    BudgetExhaustedError,
    PlatformUnavailableError,
    TokensSpentError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import Incarnation, ProgramId, TurnId
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.store_calls import key_of, retried

TABLE = "budgets"
_ROW = "budget"
_MAX_PART = 120
"""Longest program id used as a part; the store takes 200 bytes."""


class ProgramBudget:
    """One program as this process knows it: its own part and the row as last seen."""

    def __init__(self, key: str, holder: Incarnation, now: float) -> None:
        self.key = key
        self.allotment = Allotment(holder)
        self.row = BudgetRow()
        self.version = 0
        self.lock = anyio.Lock()
        self.used_at = now


class ProgramBudgets:
    """Reserve a turn's most before it runs, and settle what it used when it ended."""

    def __init__(self, store: Store, holder: Incarnation, log: EventLog) -> None:
        self.store = store
        self.holder = holder
        self.log = log
        self.programs: dict[ProgramId, ProgramBudget] = {}

    async def reserve(self, program_id: ProgramId, limit: int, turn: TurnId, need: int) -> None:
        """Reserve ``need`` tokens for a turn.

        Raise ``TokensSpentError`` when the budget does not cover them and
        ``PlatformUnavailableError`` when the store is needed and does not answer.
        """
        now = anyio.current_time()
        program = self.programs.get(program_id)
        if program is None:
            key = key_of(TABLE, part_of(program_id), _ROW)
            program = self.programs[program_id] = ProgramBudget(key, self.holder, now)
        program.used_at = now
        async with program.lock:
            if not program.allotment.fits(need):
                await self._grow(program_id, program, limit, turn, need)
            program.allotment.reserve(turn, need)

    def settle(self, program_id: ProgramId, turn: TurnId, used: int) -> None:
        """Count what a turn handed out; nothing happens for one without a reservation."""
        program = self.programs.get(program_id)
        if program is not None:
            program.allotment.settle(turn, used)

    async def _grow(
        self, program_id: ProgramId, program: ProgramBudget, limit: int, turn: TurnId, need: int
    ) -> None:
        """Get a grant that covers the turn; several tries may be needed beside other processes."""
        by = anyio.current_time() + defaults.BUDGET_WAIT_S
        if self.store.lost_s() > defaults.STORE_LOST_S:
            raise PlatformUnavailableError("the store does not answer; no grant of tokens")
        is_read = False
        while not program.allotment.fits(need):
            try:
                change = program.allotment.grow(program.row, limit, need)
            except BudgetExhaustedError as error:
                if is_read:
                    self._log_spent(program_id, turn, program, limit, need)
                    raise TokensSpentError(error.detail) from error
                await self._refresh(program, by)
                is_read = True
                continue
            is_read = await self._write(program, change, by)
        self.log.emit(
            EventKind.GATEWAY_GRANTED,
            program_id,
            request=turn,
            tokens=program.allotment.granted,
            used=program.row.used,
            limit=limit,
            version=program.version,
        )

    async def _refresh(self, program: ProgramBudget, by: float) -> None:
        """Read the row; a newer version settles which change without an answer took effect."""
        row = await retried(lambda: self.store.read(program.key), by)
        if row.version != program.version:
            program.row, program.version = _decoded(row), row.version
            program.allotment.observe(program.row)

    async def _write(self, program: ProgramBudget, change: RowChange, by: float) -> bool:
        """Write a change; return ``True`` when the row was read instead: another was before."""
        write = Write(program.key, msgspec.msgpack.encode(change.row))
        condition = Condition(program.key, program.version)
        while True:
            try:
                with anyio.fail_after(max(by - anyio.current_time(), 0)):
                    program.version = await self.store.transact([condition], [write])
            except WriteConflictError:
                await self._refresh(program, by)
                return True
            except TimeoutError as error:
                raise PlatformUnavailableError("the store did not answer in time") from error
            except PlatformUnavailableError:
                if anyio.current_time() + defaults.STORE_RETRY_S >= by:
                    raise
                await anyio.sleep(defaults.STORE_RETRY_S)
                continue
            program.row = change.row
            program.allotment.wrote(change)
            return False

    def _log_spent(
        self, program_id: ProgramId, turn: TurnId, program: ProgramBudget, limit: int, need: int
    ) -> None:
        row = program.row
        self.log.emit(
            EventKind.GATEWAY_BUDGET_SPENT,
            program_id,
            request=turn,
            limit=limit,
            need=need,
            used=row.used + program.allotment.used,
            granted=row.granted(),
            version=program.version,
        )

    async def release_all(self, by: float) -> None:
        """Give back what this process was granted and did not use, before it ends."""
        async with anyio.create_task_group() as tasks:
            for program in self.programs.values():
                if program.allotment.granted > program.allotment.committed():
                    tasks.start_soon(self._release, program, by)

    async def _release(self, program: ProgramBudget, by: float) -> None:
        try:
            async with program.lock:
                change = program.allotment.release(program.row)
                if await self._write(program, change, by):
                    await self._write(program, program.allotment.release(program.row), by)
        except PlatformUnavailableError as error:
            self.log.emit(EventKind.GATEWAY_STORE_RETRY, call="release", detail=error.detail)

    def forget_idle(self, now: float, idle_s: float) -> None:
        """Forget programs without turns under way that were not used for ``idle_s`` seconds."""
        for program_id, program in list(self.programs.items()):
            if now - program.used_at > idle_s and not program.allotment.reserved:
                del self.programs[program_id]


def part_of(text: str) -> str:
    """Return a text from a client as part of a row's key: as it is where that is safe."""
    if len(text) <= _MAX_PART and text.isascii() and text.replace("-", "").isalnum():
        return text
    return "x" + xxhash.xxh128_hexdigest(text.encode("utf-8", "surrogateescape"))


def _decoded(row: Row) -> BudgetRow:
    return msgspec.msgpack.decode(row.value, type=BudgetRow) if row.version else BudgetRow()
