"""A program's budget: worst-case reservations against an allotment that was journaled before."""

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
        """Tell whether both parts are at least those of ``other``."""
        return self.tokens >= other.tokens and self.cost_micros >= other.cost_micros

    def at_most(self, other: "Amount") -> "Amount":
        """Return the smaller of each part."""
        return Amount(
            min(self.tokens, other.tokens),
            min(self.cost_micros, other.cost_micros),
        )

    def at_least(self, other: "Amount") -> "Amount":
        """Return the larger of each part."""
        return Amount(
            max(self.tokens, other.tokens),
            max(self.cost_micros, other.cost_micros),
        )


def cost_of(spec: ModelSpec, prompt_tokens: int, output_tokens: int) -> int:
    """Return the price of a model call in millionths of a unit, rounded up."""
    micros = prompt_tokens * spec.prompt_price_micros + output_tokens * spec.output_price_micros
    return -(-micros // _TOKENS_PER_PRICE)


def model_amount(spec: ModelSpec, usage: Usage) -> Amount:
    """Return what a model call used."""
    tokens = usage.prompt_tokens + usage.output_tokens
    return Amount(tokens, cost_of(spec, usage.prompt_tokens, usage.output_tokens))


class BudgetLedger:
    """Account of one program and its sub-agents.

    The first allotment comes with the program's acceptance, which is durable before any call.
    Invariant: spent + reserved <= allotted <= budget, in tokens and in cost.
    """

    def __init__(self, budget: Budget) -> None:
        self.limit = Amount(budget.tokens, budget.cost_micros)
        self.max_turns = budget.turns
        self.allotted = self._part()
        self.spent = Amount()
        self.turns = 0
        self.reservations: dict[CallId, Amount] = {}
        self.recovered = False

    @property
    def committed(self) -> Amount:
        """Return what is spent or reserved."""
        total = self.spent
        for amount in self.reservations.values():
            total = total.plus(amount)
        return total

    @property
    def uncommitted(self) -> Amount:
        """Return what a new reservation may take of the whole budget."""
        return self.limit.minus(self.committed)

    def next_allotment(self, need: Amount) -> Amount | None:
        """Return the allotment to journal before ``need`` is reserved, or ``None`` if it fits.

        Raise ``BudgetExhaustedError`` when the budget does not cover it.
        """
        wanted = self.committed.plus(need)
        if not self.limit.covers(wanted):
            raise BudgetExhaustedError("the budget does not cover the next call")
        if self.allotted.covers(wanted):
            return None
        return wanted.at_least(self.allotted.plus(self._part())).at_most(self.limit)

    def _part(self) -> Amount:
        """Return what one allotment adds at least."""
        return Amount(
            self.limit.tokens // ALLOTMENT_DIVISOR,
            self.limit.cost_micros // ALLOTMENT_DIVISOR,
        )

    def allot(self, total: Amount) -> None:
        """Take a journaled allotment."""
        self.allotted = total

    def reserve(self, call_id: CallId, need: Amount) -> None:
        """Reserve a call's worst case; the allotment covers it."""
        if not self.allotted.covers(self.committed.plus(need)):
            raise BudgetExhaustedError("the allotment does not cover the call")
        self.reservations[call_id] = need

    def release(self, call_id: CallId) -> None:
        """Return the reservation of a call that did not run."""
        self.reservations.pop(call_id, None)

    def settle(self, call_id: CallId, used: Amount) -> None:
        """Turn a reservation into what was used, but never more than was reserved.

        In replay no call has a reservation; after it, one without was counted by the recovery.
        """
        reserved = self.reservations.pop(call_id, Amount() if self.recovered else used)
        self.spent = self.spent.plus(used.at_most(reserved))

    def recover(self) -> None:
        """Count the whole allotment as spent: calls of a driver that died may have used it."""
        self.reservations.clear()
        self.recovered = True
        self.spent = self.spent.at_least(self.allotted)
