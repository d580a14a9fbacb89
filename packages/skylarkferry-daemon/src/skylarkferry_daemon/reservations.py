"""Budget reservations for calls; an allotment is durable before a call uses it."""

import anyio

from skylarkferry_core.budgets import Amount
from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import CallId
from skylarkferry_core.messages import Outcome
from skylarkferry_core.programs import Program
from skylarkferry_core.records import AllotmentTaken
from skylarkferry_core.states import FinalWord
from skylarkferry_daemon.change_signals import ChangeSignal
from skylarkferry_daemon.record_writer import RecordWriter


class Reservations:
    """Reservations for one program's calls, made one at a time."""

    def __init__(self, program: Program, record_writer: RecordWriter) -> None:
        self.program = program
        self.record_writer = record_writer
        self.lock = anyio.Lock()
        self.budget_freed = ChangeSignal()

    async def reserve(self, call_id: CallId, need: Amount) -> None:
        """Reserve a call's worst-case cost; wait for calls in flight to settle if necessary.

        Raise ``BudgetExhaustedError`` if the budget cannot cover the call.
        """
        async with self.lock:
            seen = self.budget_freed.count
            while not await self._try_reserve(call_id, need):
                await self.budget_freed.wait_beyond(seen)
                seen = self.budget_freed.count

    async def _try_reserve(self, call_id: CallId, need: Amount) -> bool:
        ledger = self.program.budget
        try:
            total = ledger.next_allotment(need)
        except BudgetExhaustedError:
            if not ledger.reservations:
                raise
            return False
        if total is not None:
            await self._allot(total)
        ledger.reserve(call_id, need)
        return True

    async def _allot(self, total: Amount) -> None:
        record = AllotmentTaken(self.program.program_id, total.tokens, total.cost_micros)
        await self.record_writer.append_durably(record)

    def close_failed(self, outcome: Outcome) -> None:
        """Release a failed attempt's reservation, or count it as spent if the call may have run."""
        ledger = self.program.budget
        if outcome.word is FinalWord.NOT_RUN:
            ledger.release(outcome.call_id)
        else:
            reserved = ledger.reservations.get(outcome.call_id, Amount())
            ledger.settle(outcome.call_id, reserved)
        self.notify()

    def notify(self) -> None:
        """Wake a call that is waiting for budget."""
        self.budget_freed.notify()
