"""Token budget of a program whose turns arrive at several processes.

The shared row of a program holds what ended turns used and what each process was granted.  A
process hands out tokens only from its own grant, so that the sum over all processes stays within
the budget, whatever dies or is cut off; the grant of a process that died counts as used.
"""

from collections.abc import Mapping

import msgspec

from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import Incarnation, TurnId

GRANT_PARTS = 4
GRANT_TURNS = 3
"""A grant is at most a quarter of the budget and three turns: several processes hold one each."""


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that one process may hand out; ``sequence`` counts its writes of the row."""

    tokens: int
    sequence: int


class BudgetRow(msgspec.Struct, frozen=True, array_like=True):
    """Shared row of a program: tokens used, and the open grant of each process."""

    used: int = 0
    grants: Mapping[Incarnation, Grant] = {}

    def granted(self) -> int:
        """Return the tokens of all open grants."""
        return sum(grant.tokens for grant in self.grants.values())


class RowChange(msgspec.Struct, frozen=True):
    """A row to write and what of the holder's own use is folded into it."""

    row: BudgetRow
    folded: int
    grant: Grant


class Allotment:
    """One process's part of one program's budget."""

    def __init__(self, holder: Incarnation) -> None:
        self.holder = holder
        self.granted = 0
        self.used = 0
        self.sequence = 0
        self.reserved: dict[TurnId, int] = {}
        self.pending: list[RowChange] = []

    def fits(self, need: int) -> bool:
        """Tell whether the grant covers another turn of at most ``need`` tokens."""
        return self.used + self.committed() + need <= self.granted

    def committed(self) -> int:
        """Return the tokens reserved by turns under way."""
        return sum(self.reserved.values())

    def reserve(self, turn: TurnId, need: int) -> None:
        """Reserve a turn's most; raise ``BudgetExhaustedError`` when the grant is too small."""
        if not self.fits(need):
            raise BudgetExhaustedError("the grant does not cover the turn")
        self.reserved[turn] = need

    def settle(self, turn: TurnId, used: int) -> None:
        """Turn a reservation into what was handed out."""
        if self.reserved.pop(turn, None) is not None:
            self.used += used

    def grow(self, row: BudgetRow, limit: int, need: int) -> RowChange:
        """Return the row that grants enough for another ``need`` tokens.

        Raise ``BudgetExhaustedError`` when the rest of the budget does not cover them.
        """
        others = {key: grant for key, grant in row.grants.items() if key != self.holder}
        used = row.used + self.used
        free = limit - used - sum(grant.tokens for grant in others.values())
        wanted = self.committed() + need
        if wanted > free:
            raise BudgetExhaustedError("the budget does not cover the next turn")
        ahead = min(limit // GRANT_PARTS, GRANT_TURNS * need)
        tokens = min(max(wanted, ahead), free)
        return self._change(others, used, tokens)

    def release(self, row: BudgetRow) -> RowChange:
        """Return the row with this process's grant cut down to the turns under way."""
        others = {key: grant for key, grant in row.grants.items() if key != self.holder}
        return self._change(others, row.used + self.used, self.committed())

    def _change(self, others: dict[Incarnation, Grant], used: int, tokens: int) -> RowChange:
        self.sequence += 1
        grant = Grant(tokens, self.sequence)
        change = RowChange(BudgetRow(used, {**others, self.holder: grant}), self.used, grant)
        self.pending.append(change)
        return change

    def wrote(self, change: RowChange) -> None:
        """Take a change that is certainly written; all others from the same row are void."""
        self.granted = change.grant.tokens
        self.used -= change.folded
        self.pending.clear()

    def observe(self, row: BudgetRow) -> None:
        """Take a newer row: one of the changes without an answer may be what it shows."""
        grant = row.grants.get(self.holder)
        for change in self.pending:
            if grant is not None and grant.sequence == change.grant.sequence:
                self.wrote(change)
                return
        self.pending.clear()
