"""Token accounts of programs, kept by the owner of their partition.

A program's row in the store is an upper bound on the tokens granted so far.  An owner grants tokens
up to its allowance and writes the row before it raises the allowance.  A program without a row has
a first allowance that needs no write: each later owner counts the first allowances of all lost
owners as granted, so the total stays within the budget whichever process fails.
"""

import msgspec
import xxhash

from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import Incarnation, PartitionNumber, ProgramId, TurnId

BUDGET_PARTITIONS = 128
"""Number of partitions; the loss of an owner costs one program in 128 its first allowance."""
FIRST_ALLOWANCE_DIVISOR = 3
"""The first allowance is a third of the budget, halved for each lost owner."""
GROWTH_DIVISOR = 3
"""An allowance grows by at least a third of the budget, so that few turns need a write."""
NO_OWNER = Incarnation("")


class Ownership(msgspec.Struct, frozen=True, array_like=True):
    """Row of a partition: its owner, and the number of owners lost without a release."""

    owner: Incarnation = NO_OWNER
    address: str = ""
    generation: int = 0
    losses: int = 0

    def claimed(self, owner: Incarnation, address: str) -> "Ownership":
        """Return the row after a claim; a previous owner that did not release counts as lost.

        An owner that claims again is not lost: it never learned that its first claim succeeded, so
        it granted nothing under that claim.
        """
        losses = self.losses if self.owner in (NO_OWNER, owner) else self.losses + 1
        return Ownership(owner, address, self.generation + 1, losses)

    def released(self) -> "Ownership":
        """Return the row after the owner wrote all accounts and released the partition."""
        return msgspec.structs.replace(self, owner=NO_OWNER, address="")


class AccountRow(msgspec.Struct, frozen=True, array_like=True):
    """Row of a program: tokens that owners may have granted."""

    granted_tokens: int


def budget_partition(program_id: ProgramId) -> PartitionNumber:
    """Return the partition of a program."""
    return PartitionNumber(xxhash.xxh64_intdigest(program_id.encode()) % BUDGET_PARTITIONS)


def unrecorded_allowances(limit: int, need: int, losses: int) -> int:
    """Return the tokens that ``losses`` lost owners may have granted without a row."""
    return sum(first_allowance(limit, need, loss) for loss in range(losses))


def first_allowance(limit: int, need: int, losses: int) -> int:
    """Return the tokens an owner may grant without a row: 0 if they do not cover one turn."""
    allowance = (limit // FIRST_ALLOWANCE_DIVISOR) >> losses
    return allowance if allowance >= need else 0


class Account:
    """Account of one program at its partition's owner.

    ``base`` counts the tokens granted before this owner, ``allowance`` is the total this owner may
    grant, ``version`` is the version of the row (0 without a row), and ``need`` is the maximum
    number of tokens of a turn.
    """

    def __init__(
        self, limit: int, need: int, losses: int, row: AccountRow | None, version: int
    ) -> None:
        self.limit = limit
        self.version = version
        self.used = 0
        self.reserved: dict[TurnId, int] = {}
        if row is None:
            self.base = unrecorded_allowances(limit, need, losses)
            self.allowance = first_allowance(limit, need, losses)
        else:
            self.base = row.granted_tokens
            self.allowance = 0

    def committed(self) -> int:
        """Return the tokens used plus those reserved by turns in progress."""
        return self.used + sum(self.reserved.values())

    def fits(self, need: int) -> bool:
        """Return whether the allowance covers another turn of at most ``need`` tokens."""
        return self.committed() + need <= self.allowance

    def reserve(self, turn: TurnId, need: int) -> None:
        """Reserve a turn's maximum tokens; raise ``BudgetExhaustedError`` beyond the allowance."""
        if not self.fits(need):
            raise BudgetExhaustedError("the allowance does not cover the turn")
        self.reserved[turn] = need

    def settle(self, turn: TurnId, used: int) -> None:
        """Replace a reservation by the tokens used; a repeated call has no effect."""
        reserved = self.reserved.pop(turn, None)
        if reserved is not None:
            self.used += used

    def next_allowance(self, need: int) -> int:
        """Return a larger allowance that covers another turn.

        Raise ``BudgetExhaustedError`` if the remaining budget does not cover it.
        """
        required = self.committed() + need
        if self.base + required > self.limit:
            raise BudgetExhaustedError("the budget does not cover the next turn")
        grown = self.allowance + self.limit // GROWTH_DIVISOR
        return min(max(required, grown), self.limit - self.base)

    def row_for(self, allowance: int) -> AccountRow:
        """Return the row that covers an allowance."""
        return AccountRow(self.base + allowance)

    def final_row(self) -> AccountRow:
        """Return the row to write at a release, including the reservations of turns in progress."""
        return AccountRow(self.base + self.committed())
