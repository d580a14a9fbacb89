"""Budget of a program: worst-case reservations against an allotment journaled beforehand."""

import msgspec

from skylarkferry_core.document import ModelSpec
from skylarkferry_core.entry_messages import Budget
from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import CallId
from skylarkferry_core.messages import Usage

ALLOTMENT_DIVISOR = 8
_TOKENS_PER_PRICE = 1_000


class Amount(msgspec.Struct, frozen=True):
    """Tokens and cost, in millionths of a unit."""

    tokens: int = 0
    cost_micros: int = 0

    def plus(self, other: "Amount") -> "Amount":
        """Return the sum."""
        return Amount(self.tokens + other.tokens, self.cost_micros + other.cost_micros)

    def minus(self, other: "Amount") -> "Amount":
        """Return the difference."""
        return Amount(self.tokens - other.tokens, self.cost_micros - other.cost_micros)

    def covers(self, other: "Amount") -> bool:
        """Return whether tokens and cost are both at least those of ``other``."""
        return self.tokens >= other.tokens and self.cost_micros >= other.cost_micros

    def at_most(self, other: "Amount") -> "Amount":
        """Return the minimum of tokens and of cost."""
        return Amount(
            min(self.tokens, other.tokens),
            min(self.cost_micros, other.cost_micros),
        )

    def at_least(self, other: "Amount") -> "Amount":
        """Return the maximum of tokens and of cost."""
        return Amount(
            max(self.tokens, other.tokens),
            max(self.cost_micros, other.cost_micros),
        )


def cost_of(spec: ModelSpec, prompt_tokens: int, output_tokens: int) -> int:
    """Return the price of a model call in millionths of a unit, rounded up."""
    micros = prompt_tokens * spec.prompt_price_micros + output_tokens * spec.output_price_micros
    return -(-micros // _TOKENS_PER_PRICE)


def model_amount(spec: ModelSpec, usage: Usage) -> Amount:
    """Return the tokens and cost of a model call."""
    tokens = usage.prompt_tokens + usage.output_tokens
    return Amount(tokens, cost_of(spec, usage.prompt_tokens, usage.output_tokens))


class BudgetLedger:
    """Account of one program and its sub-agents.

    The record of the program's acceptance implies the first allotment; this record is durable
    before any call. Invariant: spent + reserved <= allotted <= budget, in tokens and in cost.
    """

    def __init__(self, budget: Budget) -> None:
        self.limit = Amount(budget.tokens, budget.cost_micros)
        self.max_turns = budget.turns
        self.allotted = self._allotment_size()
        self.spent = Amount()
        self.turns = 0
        self.reservations: dict[CallId, Amount] = {}
        self.recovered = False

    @property
    def committed(self) -> Amount:
        """Return the amount spent plus the amount reserved."""
        total = self.spent
        for amount in self.reservations.values():
            total = total.plus(amount)
        return total

    @property
    def uncommitted(self) -> Amount:
        """Return the amount of the budget that is neither spent nor reserved."""
        return self.limit.minus(self.committed)

    def next_allotment(self, need: Amount) -> Amount | None:
        """Return the allotment to journal before ``need`` is reserved, or ``None`` if it fits.

        Raise ``BudgetExhaustedError`` if the budget does not cover ``need``.
        """
        required = self.committed.plus(need)
        if not self.limit.covers(required):
            raise BudgetExhaustedError("the budget does not cover the next call")
        if self.allotted.covers(required):
            return None
        return required.at_least(self.allotted.plus(self._allotment_size())).at_most(self.limit)

    def _allotment_size(self) -> Amount:
        """Return the minimum size of one allotment."""
        return Amount(
            self.limit.tokens // ALLOTMENT_DIVISOR,
            self.limit.cost_micros // ALLOTMENT_DIVISOR,
        )

    def allot(self, total: Amount) -> None:
        """Apply a journaled allotment; ``total`` includes all earlier ones."""
        self.allotted = total

    def reserve(self, call_id: CallId, need: Amount) -> None:
        """Reserve a call's worst case; raise ``BudgetExhaustedError`` beyond the allotment."""
        if not self.allotted.covers(self.committed.plus(need)):
            raise BudgetExhaustedError("the allotment does not cover the call")
        self.reservations[call_id] = need

    def release(self, call_id: CallId) -> None:
        """Drop the reservation of a call that did not run."""
        self.reservations.pop(call_id, None)

    def settle(self, call_id: CallId, used: Amount) -> None:
        """Replace a reservation by the amount used, at most the amount reserved.

        During replay no call has a reservation, so the amount counts in full.  After recovery, a
        call without a reservation is already included in the recovered amount.
        """
        reserved = self.reservations.pop(call_id, Amount() if self.recovered else used)
        self.spent = self.spent.plus(used.at_most(reserved))

    def recover(self) -> None:
        """Count the whole allotment as spent: calls of the failed driver may have used it."""
        self.reservations.clear()
        self.recovered = True
        self.spent = self.spent.at_least(self.allotted)
