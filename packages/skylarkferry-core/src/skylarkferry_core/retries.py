"""Retries: full jitter, a budget per pool, and the deadline carried along."""

from random import Random

import msgspec

_BASE_S = 0.1
_MAX_S = 10.0
_BUDGET_RATIO = 0.1
_BUDGET_RESERVE = 10.0
_BUDGET_CAPACITY = 100.0
_MAX_ATTEMPTS = 6
_MAX_DOUBLINGS = 16


class RetryBudget:
    """Allowance of retries of one pool: each first attempt adds a fraction of a retry."""

    def __init__(
        self,
        ratio: float = _BUDGET_RATIO,
        reserve: float = _BUDGET_RESERVE,
        capacity: float = _BUDGET_CAPACITY,
    ) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.balance = reserve

    def deposit(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.balance + self.ratio, self.capacity)

    def withdraw(self) -> bool:
        """Take one retry; return whether the budget allowed it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class RetryRequest(msgspec.Struct, frozen=True):
    """A failed call: its attempts so far, seconds to its deadline and the time it needs.

    ``retry_after_s`` is what the refusing side asked for.
    """

    attempts: int
    remaining_s: float
    expected_s: float = 0.0
    retry_after_s: float = 0.0


class RetryPolicy:
    """Decide whether and when a call that did not run is tried again."""

    def __init__(
        self,
        random: Random,
        budget: RetryBudget,
        base_s: float = _BASE_S,
        max_s: float = _MAX_S,
        max_attempts: int = _MAX_ATTEMPTS,
    ) -> None:
        self.random = random
        self.budget = budget
        self.base_s = base_s
        self.max_s = max_s
        self.max_attempts = max_attempts

    def record_first_attempt(self) -> None:
        """Count a first attempt towards the budget."""
        self.budget.deposit()

    def delay_s(self, request: RetryRequest) -> float | None:
        """Return the seconds to wait before the next attempt, or ``None`` to give up at once."""
        if request.attempts >= self.max_attempts:
            return None
        delay_s = request.retry_after_s + self._jitter_s(request.attempts)
        if delay_s + request.expected_s > request.remaining_s:
            return None
        return delay_s if self.budget.withdraw() else None

    def outage_delay_s(self, tries: int, remaining_s: float) -> float | None:
        """Return the seconds to the next try while no upstream is live, or ``None`` past the end.

        Nothing is sent to an upstream that could be overloaded by it, so neither the attempts nor
        the budget bound these tries; the deadline does.
        """
        delay_s = self._jitter_s(tries)
        return delay_s if delay_s < remaining_s else None

    def _jitter_s(self, attempts: int) -> float:
        ceiling_s = min(self.base_s * 2 ** min(attempts - 1, _MAX_DOUBLINGS), self.max_s)
        return self.random.uniform(0.0, ceiling_s)
