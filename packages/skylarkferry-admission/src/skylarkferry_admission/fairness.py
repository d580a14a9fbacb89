"""Fairness among customers by work."""

import math
from collections import OrderedDict

from skylarkferry_core.ids import CustomerId

_WINDOW_S = 3.0
"""Time constant of what was asked for and served lately: about a program of a few turns."""
_USUAL_WINDOW_S = 60.0
"""Time constant of a customer's usual demand; several times the longest burst, 8 s."""
_EXCESS = 1.25
"""A customer is over its share beyond this multiple of it; less would react to chance."""
_MAX_CUSTOMERS = 4_000
_MIN_SERVED_SHARE = 0.001
"""Share of all work below which a customer does not count as active."""
_MIN_WEIGHT = 0.1
"""Least weight of a customer, in requests per second."""


class DecayingSum:
    """A sum whose past loses weight exponentially."""

    def __init__(self) -> None:
        self.total = 0.0
        self.updated_at = -math.inf

    def add(self, amount: float, now: float, window_s: float) -> None:
        """Add an amount."""
        self.total = self.value(now, window_s) + amount
        self.updated_at = max(now, self.updated_at)

    def value(self, now: float, window_s: float) -> float:
        """Return the sum as of now."""
        if not self.total:
            return 0.0
        return self.total * math.exp(-max(now - self.updated_at, 0.0) / window_s)


class _CustomerWork:
    def __init__(self) -> None:
        self.served = DecayingSum()
        self.usual = DecayingSum()
        self.quota_per_s = 0.0
        self.first_at = math.inf


class WorkShares:
    """Work that customers were given lately, compared with their shares.

    A customer's share is by its quota, or without one by the rate that it usually sends; so a
    customer that suddenly sends more than usual is over its share, and a large one is not.
    """

    def __init__(self) -> None:
        self.customers: OrderedDict[CustomerId, _CustomerWork] = OrderedDict()

    def on_request(self, customer: CustomerId, quota_per_s: float | None, now: float) -> None:
        """Record a request of a customer."""
        known = self.customers.setdefault(customer, _CustomerWork())
        self.customers.move_to_end(customer)
        known.usual.add(1.0, now, _USUAL_WINDOW_S)
        known.first_at = min(known.first_at, now)
        known.quota_per_s = quota_per_s or 0.0
        if len(self.customers) > _MAX_CUSTOMERS:
            self.customers.popitem(last=False)

    def on_served(self, customer: CustomerId, work_s: float, now: float) -> None:
        """Record work that a customer was given."""
        known = self.customers.get(customer)
        if known is not None:
            known.served.add(work_s, now, _WINDOW_S)

    def over_share(self, now: float) -> set[CustomerId]:
        """Return the customers that were given clearly more than their share lately."""
        served = {name: item.served.value(now, _WINDOW_S) for name, item in self.customers.items()}
        total = sum(served.values())
        weights = {
            name: self._weight(item, now)
            for name, item in self.customers.items()
            if served[name] > _MIN_SERVED_SHARE * total
        }
        if len(weights) < 2:
            return set()
        fair = total / sum(weights.values())
        return {name for name, weight in weights.items() if served[name] > _EXCESS * fair * weight}

    def _weight(self, item: _CustomerWork, now: float) -> float:
        if item.quota_per_s > 0:
            return max(item.quota_per_s, _MIN_WEIGHT)
        known_s = min(max(now - item.first_at, 1.0), _USUAL_WINDOW_S)
        return max(item.usual.value(now, _USUAL_WINDOW_S) / known_s, _MIN_WEIGHT)
