"""Health of an upstream by what requests saw there, held against its peers of one service."""

from collections.abc import Mapping
from typing import TypeVar

Key = TypeVar("Key")

HALF_LIFE_S = 4.0
"""Time after which an outcome counts half: a recovered upstream gets work again within seconds."""
_MIN_FAILURES = 0.7
"""Failures that make a suspect: one of the last two seconds, or several older ones."""
_MIN_RATE = 0.15
"""Least share of failures of a suspect; answers spoiled by chance are fewer."""
_TIMES_PEERS = 3.0
"""A suspect fails this many times as often as its peers: one bad caller condemns nobody."""


class OutcomeCounts:
    """Outcomes at one upstream, each counting half as much after ``HALF_LIFE_S``."""

    def __init__(self) -> None:
        self.failures = 0.0
        self.outcomes = 0.0
        self.at = 0.0

    def observe(self, now: float, is_failure: bool, weight: float = 1.0) -> None:
        """Note an outcome."""
        self.decay(now)
        self.outcomes += weight
        self.failures += weight if is_failure else 0.0

    def decay(self, now: float) -> None:
        """Bring the counts to ``now``, a monotonic time in seconds."""
        if now > self.at:
            share = 0.5 ** ((now - self.at) / HALF_LIFE_S)
            self.failures *= share
            self.outcomes *= share
            self.at = now


def suspects(evidence: Mapping[Key, OutcomeCounts], now: float) -> set[Key]:
    """Return the upstreams of a service that fail far more often than the others there.

    Return none when that would be half of them or more: the fault is not theirs, then.
    """
    for item in evidence.values():
        item.decay(now)
    failures = sum(item.failures for item in evidence.values())
    outcomes = sum(item.outcomes for item in evidence.values())
    found = {key for key, item in evidence.items() if _is_suspect(item, failures, outcomes)}
    return found if 2 * len(found) < len(evidence) else set()


def _is_suspect(item: OutcomeCounts, failures: float, outcomes: float) -> bool:
    if item.failures < _MIN_FAILURES or item.failures < _MIN_RATE * item.outcomes:
        return False
    peer_outcomes = outcomes - item.outcomes
    peer_rate = (failures - item.failures) / peer_outcomes if peer_outcomes > 0 else 0.0
    return item.failures > _TIMES_PEERS * peer_rate * item.outcomes
