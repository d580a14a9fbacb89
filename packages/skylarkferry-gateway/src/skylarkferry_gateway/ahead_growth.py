"""Growth of allowances in the background, before the turns of their programs need it."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec

from skylarkferry_core.errors import SkylarkferryError, WriteConflictError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import PartitionNumber
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_daemon.background_tasks import TaskStarter
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.ownership_proofs import proof_time
from skylarkferry_gateway.partition_accounts import Growth, PartitionAccounts, ProgramAccount

_ROWS_PER_CALL = 45
"""Rows written per call, each with a condition; the store accepts 100 entries per call."""

ConflictResolver = Callable[[PartitionAccounts, ProgramAccount, float], Awaitable[None]]
"""Find out by the given time why a write met a conflict; raise if the partition is lost."""


class AheadGrowth:
    """Raise allowances that are due, those of one partition in one transaction.

    Turns that fit into the present allowance do not wait for it, and no write begins while the
    store does not answer. What fails is tried again at the program's next turn.
    """

    def __init__(
        self,
        store: Store,
        log: EventLog,
        owns: Callable[[PartitionAccounts], bool],
        resolve_conflict: ConflictResolver,
    ) -> None:
        self.store = store
        self.log = log
        self.owns = owns
        self.resolve_conflict = resolve_conflict
        self.queued: dict[PartitionNumber, dict[str, ProgramAccount]] = {}

    def consider(
        self, owned: PartitionAccounts, program: ProgramAccount, tasks: TaskStarter | None
    ) -> None:
        """Queue a program whose allowance should grow, and start the write of its partition."""
        is_due = program.growth is None and program.account.allowance_ahead() is not None
        if tasks is None or not is_due or self.store.unavailable_s() > 0:
            return
        number = owned.partition.number
        if number not in self.queued:
            self.queued[number] = {}
            tasks.start_soon(self._write_queued, owned)
        self.queued[number][program.key] = program

    async def _write_queued(self, owned: PartitionAccounts) -> None:
        """Write the allowances of all programs of a partition that are queued by then."""
        try:
            await anyio.sleep(defaults.AHEAD_GROWTH_DELAY_S)
        finally:
            programs = list(self.queued.pop(owned.partition.number).values())
        for first in range(0, len(programs), _ROWS_PER_CALL):
            await self._write(owned, programs[first : first + _ROWS_PER_CALL])

    async def _write(self, owned: PartitionAccounts, programs: list[ProgramAccount]) -> None:
        """Write the allowances that are still due; a turn that needs one waits for this write."""
        due = [(item, item.account.allowance_ahead()) for item in programs if item.growth is None]
        allowances = [(program, allowance) for program, allowance in due if allowance is not None]
        if not allowances or not self.owns(owned) or self.store.unavailable_s() > 0:
            return
        growth = Growth()
        for program, _ in allowances:
            program.growth = growth
        try:
            await self._transact(owned, allowances)
        except SkylarkferryError as error:
            growth.error = error
            self.log.emit(EventKind.GATEWAY_STORE_RETRY, call="allowances", detail=error.detail)
        finally:
            for program, _ in allowances:
                program.growth = None
            growth.ended.set()

    async def _transact(
        self, owned: PartitionAccounts, allowances: list[tuple[ProgramAccount, int]]
    ) -> None:
        conditions = [owned.partition.fence()]
        writes = []
        for program, allowance in allowances:
            conditions.append(Condition(program.key, program.account.version))
            row = program.account.row_for(allowance)
            writes.append(Write(program.key, msgspec.msgpack.encode(row)))
        proven_at = proof_time()
        try:
            version = await self.store.transact(conditions, writes)
        except WriteConflictError:
            deadline_at = anyio.current_time() + defaults.RESERVE_TIMEOUT_S
            for program, _ in allowances:
                await self.resolve_conflict(owned, program, deadline_at)
            return
        owned.partition.proven_at = proven_at
        for program, allowance in allowances:
            program.account.version, program.account.allowance = version, allowance
        self.log.emit(
            EventKind.BUDGET_ALLOWANCES_GROWN,
            partition=owned.partition.number,
            programs=len(allowances),
            tokens=sum(allowance for _, allowance in allowances),
            version=version,
        )
