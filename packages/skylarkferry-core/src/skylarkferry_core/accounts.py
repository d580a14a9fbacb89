"""Token accounts of programs, kept by the owner of their partition.

A program's row in the store is an upper bound on the tokens granted so far.  An owner grants tokens
up to its allowance and writes the row before it raises the allowance.  A program without a row has
a first allowance that needs no write: a third of the budget while its partition has lost no owner,
a sixth after one loss, nothing after more.  It depends only on the budget and the losses, so every
later owner can count it as granted, and the total stays within the budget whichever process fails.
What a lost owner can have granted only by turns shorter than the one at hand is not counted, as far
as it is less than this turn in total: the budget is exceeded by less than one turn.
"""

from typing import Annotated

import msgspec
import xxhash

from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import Incarnation, PartitionNumber, ProgramId, TurnId

BUDGET_PARTITIONS = 128
"""Number of partitions; the loss of an owner affects one program in 128."""
FIRST_ALLOWANCE_DIVISORS = (3, 6)
"""First allowance by the owners lost before: a third and a sixth of the budget, then none.

Together they are half of the budget: the other half is left to programs after any losses, and a
turn of the longest length that a first allowance covers fits beside what is counted for all.
"""
GROWTH_DIVISOR = 3
"""An allowance grows by at least a third of the budget, so that few turns need a write."""
AHEAD_DIVISOR = 2
"""An allowance is raised to half of the budget ahead of need.

It covers half of the turns without the store, and the loss of the owner costs no more than that.
"""
AHEAD_TURNS = 2
"""An allowance grows ahead of need if it does not cover this many more turns.

Programs that use little of their budgets thus need no row.
"""
NO_OWNER = Incarnation("")
_MAX_STORED = 1 << 62
"""Largest number in a row; the next owner adds to it, and the encoding holds up to 64 bits."""

_Stored = Annotated[int, msgspec.Meta(ge=0, le=_MAX_STORED)]


class Ownership(msgspec.Struct, frozen=True, array_like=True):
    """Row of a partition: its owner, and the number of owners lost without a release."""

    owner: Incarnation = NO_OWNER
    address: str = ""
    generation: _Stored = 0
    losses: _Stored = 0

    def claimed(self, owner: Incarnation, address: str) -> "Ownership":
        """Return the row after a claim; a previous owner that did not release counts as lost.

        An owner that claims again is not lost: it never learned that its first claim succeeded, so
        it granted nothing under that claim.
        """
        losses = self.losses if self.owner in (NO_OWNER, owner) else self.losses + 1
        return Ownership(owner, address, self.generation + 1, losses)

    def follows(self, other: "Ownership") -> bool:
        """Return whether this row is another one or a later state; a release ends a generation."""
        if self.generation != other.generation:
            return self.generation > other.generation
        return self.owner == NO_OWNER or other.owner != NO_OWNER

    def taken_over(self, owner: Incarnation, address: str) -> "Ownership":
        """Return the row after the owner handed all accounts to another process."""
        return Ownership(owner, address, self.generation + 1, self.losses)

    def without_losses(self) -> "Ownership":
        """Return the row once no program can be left to which a lost owner granted."""
        return msgspec.structs.replace(self, losses=0)

    def released(self) -> "Ownership":
        """Return the row after the owner wrote all accounts and released the partition."""
        return msgspec.structs.replace(self, owner=NO_OWNER, address="")


class AccountRow(msgspec.Struct, frozen=True, array_like=True):
    """Row of a program: tokens that owners may have granted.

    ``unrecorded_tokens`` is the part that a lost owner may have granted without a row, ``None`` if
    no owner was lost before; ``longest_turn`` is the maximum of the longest turn granted, and
    ``lost_owners`` the number of lost owners for which ``unrecorded_tokens`` counts.
    """

    granted_tokens: _Stored
    unrecorded_tokens: _Stored | None = None
    longest_turn: _Stored = 0
    lost_owners: _Stored = 1

    def recorded_tokens(self) -> int:
        """Return the tokens that owners may have granted under a row."""
        return self.granted_tokens - (self.unrecorded_tokens or 0)


class AccountState(msgspec.Struct, frozen=True, array_like=True):
    """An account that another process goes on with; reservations count as used."""

    limit: _Stored
    base: _Stored
    allowance: _Stored
    used: _Stored
    longest_turn: _Stored
    follows_loss: bool
    version: _Stored
    lost_owners: _Stored = 1


def budget_partition(program_id: ProgramId) -> PartitionNumber:
    """Return the partition of a program."""
    return PartitionNumber(xxhash.xxh64_intdigest(program_id.encode()) % BUDGET_PARTITIONS)


def first_allowance(limit: int, losses: int) -> int:
    """Return the tokens that an owner may grant without a row after other owners were lost."""
    if losses >= len(FIRST_ALLOWANCE_DIVISORS):
        return 0
    return max(limit, 0) // FIRST_ALLOWANCE_DIVISORS[losses]


class Account:
    """Account of one program at its partition's owner.

    ``limit`` is the budget of the first turn at this owner.  ``base`` counts the tokens granted
    under a row before this owner, ``allowance`` is the total this owner may grant, and ``version``
    is the version of the row (0 without a row).
    """

    def __init__(self, limit: int, losses: int, row: AccountRow | None, version: int) -> None:
        self.limit = limit
        self.version = version
        self.used = 0
        self.reserved: dict[TurnId, int] = {}
        if row is None:
            self.base = 0
            self.longest_turn = 0
            self.lost_owners = min(losses, len(FIRST_ALLOWANCE_DIVISORS))
        else:
            self.base = row.recorded_tokens()
            self.longest_turn = row.longest_turn
            self.lost_owners = 0 if row.unrecorded_tokens is None else row.lost_owners
        self.allowance = 0 if row is not None else first_allowance(limit, losses)

    def state(self) -> AccountState:
        """Return what another process needs to go on with the account."""
        return AccountState(
            max(self.limit, 0),
            self.base,
            self.allowance,
            self.committed(),
            self.longest_turn,
            self.lost_owners > 0,
            self.version,
            self.lost_owners,
        )

    @classmethod
    def resumed(cls, state: AccountState) -> "Account":
        """Return the account that another process has handed over."""
        account = cls(state.limit, 0, None, state.version)
        account.base = state.base
        account.allowance = state.allowance
        account.used = state.used
        account.longest_turn = state.longest_turn
        account.lost_owners = state.lost_owners if state.follows_loss else 0
        return account

    def committed(self) -> int:
        """Return the tokens used plus those reserved by turns in progress."""
        return self.used + sum(self.reserved.values())

    def unrecorded(self, need: int) -> int:
        """Return the tokens to count for lost owners beside a turn of at most ``need`` tokens."""
        allowances = self._lost_allowances()
        longest = max(need, self.longest_turn)
        possible = sum(allowance for allowance in allowances if longest <= allowance)
        return max(possible, sum(allowances) - longest)

    def _lost_allowances(self) -> list[int]:
        """Return the tokens that each lost owner may have granted without a row."""
        lost = min(self.lost_owners, len(FIRST_ALLOWANCE_DIVISORS))
        return [first_allowance(self.limit, losses) for losses in range(lost)]

    def covers(self, need: int) -> bool:
        """Return whether the budget covers another turn of at most ``need`` tokens."""
        return self.base + self.unrecorded(need) + self.committed() + need <= self.limit

    def may_be_unknown(self) -> bool:
        """Return whether a later owner may not know of this account, which has no row."""
        return self.version == 0

    def fits(self, need: int) -> bool:
        """Return whether budget and allowance cover another turn of at most ``need`` tokens."""
        return self.covers(need) and self.committed() + need <= self.allowance

    def reserve(self, turn: TurnId, need: int) -> None:
        """Reserve a turn's maximum tokens; raise ``BudgetExhaustedError`` beyond the allowance."""
        if not self.fits(need):
            raise BudgetExhaustedError("the allowance does not cover the turn")
        self.reserved[turn] = need
        self.longest_turn = max(self.longest_turn, need)

    def settle(self, turn: TurnId, used: int) -> None:
        """Replace a reservation by the tokens used; a repeated call has no effect."""
        reserved = self.reserved.pop(turn, None)
        if reserved is not None:
            self.used += used

    def next_allowance(self, need: int) -> int:
        """Return a larger allowance that covers another turn.

        Raise ``BudgetExhaustedError`` if the remaining budget does not cover it.
        """
        if not self.covers(need):
            raise BudgetExhaustedError("the budget does not cover the next turn")
        remaining = self.limit - self.base - self.unrecorded(need)
        needed = self.committed() + need
        if self.base == 0 and needed > self._half():
            return remaining  # one write serves the second half of the program
        grown = self.allowance + self.limit // GROWTH_DIVISOR
        if self.base == 0:
            grown = max(grown, self._half())
        return min(max(needed, grown), remaining)

    def allowance_ahead(self) -> int | None:
        """Return the allowance to write before the next turns need it, ``None`` if none is due.

        It is half of the budget and covers at least one more turn of the longest length so far. The
        account of a program that an earlier owner recorded grows on need only, because what is left
        of its budget may not survive the loss of one more owner.
        """
        if self.base or not self.longest_turn or self.allowance >= self._half():
            return None
        if self.allowance - self.committed() >= AHEAD_TURNS * self.longest_turn:
            return None
        target = max(self._half(), self.committed() + self.longest_turn)
        target = min(target, self.limit - self.unrecorded(self.longest_turn))
        return target if target > self.allowance else None

    def _half(self) -> int:
        return self.limit // AHEAD_DIVISOR

    def row_for(self, allowance: int) -> AccountRow:
        """Return the row that covers an allowance."""
        recorded = max(self.base + allowance, 0)
        if not self.lost_owners:
            return AccountRow(recorded, None, self.longest_turn)
        unrecorded = sum(self._lost_allowances())
        return AccountRow(recorded + unrecorded, unrecorded, self.longest_turn, self.lost_owners)

    def final_row(self) -> AccountRow:
        """Return the row to write at a release, including the reservations of turns in progress."""
        return self.row_for(self.committed())
