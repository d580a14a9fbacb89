"""Token accounts of programs, kept by the owner of their partition.

A program's row in the store says how many tokens owners may have handed out so far.  An owner
hands out tokens within its allowance; it writes the row before the allowance grows.  A program
without a row gets a first allowance without a write: every later owner counts the allowances that
earlier owners may have given without a row, so that the sum stays within the budget whatever dies.
"""

import msgspec
import xxhash

from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import Incarnation, PartitionNumber, ProgramId, TurnId

BUDGET_PARTITIONS = 128
"""Partitions of all programs; a lost owner costs one program in 128 its first allowance."""
FIRST_PARTS = 3
"""A first allowance is a third of the budget, and half of the one before after each lost owner."""
GROWTH_PARTS = 3
"""An allowance grows by a third of the budget at least, so that few turns need a write."""
NO_OWNER = Incarnation("")


class Ownership(msgspec.Struct, frozen=True, array_like=True):
    """Row of a partition: its owner, and how many owners were lost without handing over."""

    owner: Incarnation = NO_OWNER
    address: str = ""
    generation: int = 0
    losses: int = 0

    def claimed(self, owner: Incarnation, address: str) -> "Ownership":
        """Return the row after a claim; an owner that did not hand over counts as lost.

        A claim that its own process never knew to have succeeded handed nothing out.
        """
        losses = self.losses if self.owner in (NO_OWNER, owner) else self.losses + 1
        return Ownership(owner, address, self.generation + 1, losses)

    def released(self) -> "Ownership":
        """Return the row after the owner wrote all accounts and handed over."""
        return msgspec.structs.replace(self, owner=NO_OWNER, address="")


class AccountRow(msgspec.Struct, frozen=True, array_like=True):
    """Row of a program: tokens that owners may have handed out."""

    counted: int


def budget_partition(program_id: ProgramId) -> PartitionNumber:
    """Return the partition of a program."""
    return PartitionNumber(xxhash.xxh64_intdigest(program_id.encode()) % BUDGET_PARTITIONS)


def unrecorded(limit: int, need: int, losses: int) -> int:
    """Return the tokens that ``losses`` lost owners may have handed out without a row."""
    return sum(first_allowance(limit, need, loss) for loss in range(losses))


def first_allowance(limit: int, need: int, losses: int) -> int:
    """Return what an owner may hand out without a row: nothing where no turn fits."""
    allowance = (limit // FIRST_PARTS) >> losses
    return allowance if allowance >= need else 0


class Account:
    """One program at its partition's owner.

    ``base`` is what counts as handed out before this owner, ``allowance`` what this owner may hand
    out in all; ``version`` is that of the row, 0 while there is none; ``need`` is a turn's most.
    """

    def __init__(
        self, limit: int, need: int, losses: int, row: AccountRow | None, version: int
    ) -> None:
        self.limit = limit
        self.version = version
        self.used = 0
        self.reserved: dict[TurnId, int] = {}
        if row is None:
            self.base = unrecorded(limit, need, losses)
            self.allowance = first_allowance(limit, need, losses)
        else:
            self.base = row.counted
            self.allowance = 0

    def committed(self) -> int:
        """Return the tokens used, and those reserved by turns under way."""
        return self.used + sum(self.reserved.values())

    def fits(self, need: int) -> bool:
        """Tell whether the allowance covers another turn of at most ``need`` tokens."""
        return self.committed() + need <= self.allowance

    def reserve(self, turn: TurnId, need: int) -> None:
        """Reserve a turn's most; raise ``BudgetExhaustedError`` beyond the allowance."""
        if not self.fits(need):
            raise BudgetExhaustedError("the allowance does not cover the turn")
        self.reserved[turn] = need

    def settle(self, turn: TurnId, used: int) -> None:
        """Turn a reservation into what was handed out; a repeated call changes nothing."""
        reserved = self.reserved.pop(turn, None)
        if reserved is not None:
            self.used += used

    def grown(self, need: int) -> int:
        """Return an allowance that covers another turn.

        Raise ``BudgetExhaustedError`` when the rest of the budget does not.
        """
        wanted = self.committed() + need
        if self.base + wanted > self.limit:
            raise BudgetExhaustedError("the budget does not cover the next turn")
        ahead = self.allowance + self.limit // GROWTH_PARTS
        return min(max(wanted, ahead), self.limit - self.base)

    def row_for(self, allowance: int) -> AccountRow:
        """Return the row that covers an allowance."""
        return AccountRow(self.base + allowance)

    def final_row(self) -> AccountRow:
        """Return the row to hand over: turns under way count with their most."""
        return AccountRow(self.base + self.committed())
