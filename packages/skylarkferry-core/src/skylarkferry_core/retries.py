"""Retry policy with full jitter, a budget per pool, and the call's deadline."""

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
    """Retry budget of one pool: each first attempt adds a fraction of a retry."""

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
        """Add the fraction of a retry that a first attempt earns."""
        self.balance = min(self.balance + self.ratio, self.capacity)

    def withdraw(self) -> bool:
        """Take one retry; return whether the budget allowed it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class RetryRequest(msgspec.Struct, frozen=True):
    """A failed call: attempts so far, seconds to its deadline, and expected duration.

    ``retry_after_s`` is the delay that the refusing side requested.
    """

    attempts: int
    remaining_s: float
    expected_s: float = 0.0
    retry_after_s: float = 0.0


class RetryPolicy:
    """Decide whether and when to retry a call that did not run."""

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
        """Return the seconds until the next attempt, or ``None`` if there is none."""
        if request.attempts >= self.max_attempts:
            return None
        delay_s = request.retry_after_s + self._jitter_s(request.attempts)
        if delay_s + request.expected_s > request.remaining_s:
            return None
        return delay_s if self.budget.withdraw() else None

    def outage_delay_s(self, tries: int, remaining_s: float) -> float | None:
        """Return the seconds until the next attempt while no upstream is live, else ``None``.

        These attempts cannot overload an upstream, since nothing is sent; only the deadline limits
        them, not the number of attempts or the budget.
        """
        delay_s = self._jitter_s(tries)
        return delay_s if delay_s < remaining_s else None

    def _jitter_s(self, attempts: int) -> float:
        ceiling_s = min(self.base_s * 2 ** min(attempts - 1, _MAX_DOUBLINGS), self.max_s)
        return self.random.uniform(0.0, ceiling_s)
