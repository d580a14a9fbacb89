"""Outlier detection: failure rates of upstreams compared with their peers in one service."""

from collections.abc import Mapping
from typing import TypeVar

Key = TypeVar("Key")

HALF_LIFE_S = 4.0
"""Half-life of an outcome's weight; a recovered upstream gets work again within seconds."""
_MIN_FAILURES = 0.7
"""Minimum weight of a suspect's failures: one in the last two seconds, or several older ones."""
_MIN_FAILURE_RATE = 0.15
"""Minimum failure rate of a suspect; random failures stay below it."""
_MIN_PEER_RATIO = 3.0
"""Minimum ratio of a suspect's failure rate to that of its peers.

A lower ratio would let one bad caller make an upstream a suspect.
"""


class OutcomeCounts:
    """Weighted outcomes at one upstream; each weight halves every ``HALF_LIFE_S``."""

    def __init__(self) -> None:
        self.failures = 0.0
        self.outcomes = 0.0
        self.updated_at = 0.0

    def observe(self, now: float, is_failure: bool, weight: float = 1.0) -> None:
        """Record an outcome."""
        self.decay(now)
        self.outcomes += weight
        self.failures += weight if is_failure else 0.0

    def decay(self, now: float) -> None:
        """Decay the counts to ``now``, a monotonic time in seconds."""
        if now > self.updated_at:
            decay_factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
            self.failures *= decay_factor
            self.outcomes *= decay_factor
            self.updated_at = now


def suspects(counts: Mapping[Key, OutcomeCounts], now: float) -> set[Key]:
    """Return the upstreams of a service that fail far more often than their peers.

    Return the empty set if half of the upstreams or more would qualify, because the upstreams are
    then not the cause.
    """
    for item in counts.values():
        item.decay(now)
    failures = sum(item.failures for item in counts.values())
    outcomes = sum(item.outcomes for item in counts.values())
    found = {key for key, item in counts.items() if _is_suspect(item, failures, outcomes)}
    return found if 2 * len(found) < len(counts) else set()


def _is_suspect(item: OutcomeCounts, failures: float, outcomes: float) -> bool:
    if item.failures < _MIN_FAILURES or item.failures < _MIN_FAILURE_RATE * item.outcomes:
        return False
    peer_outcomes = outcomes - item.outcomes
    peer_rate = (failures - item.failures) / peer_outcomes if peer_outcomes > 0 else 0.0
    return item.failures > _MIN_PEER_RATIO * peer_rate * item.outcomes
