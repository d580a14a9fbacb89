"""When clients should come back that were refused because the store does not answer."""

import math
import random

from skylarkferry_gateway import defaults

_CLIENT_SHARE = 1 / 3
"""Share of the time it has left for which a client waits as told."""
_EARLIEST_SHARE = 0.75
"""Share of the longest wait from which waits are spread, if the outage may outlast them."""
_SPREAD = 1.5
"""Ratio of the longest to the shortest wait of clients that are refused at the same time."""


class OutageRetries:
    """Expected end of an outage, and waits spread around it.

    An outage is expected to end after the time that the last one took. One that has lasted longer,
    or the first one, is expected to last as long again.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.lost_s = 0.0
        self.last_outage_s = 0.0

    def observe(self, lost_s: float) -> None:
        """Take in for how long the store has not answered; 0 if it does."""
        if lost_s < self.lost_s:
            self.last_outage_s = self.lost_s
        self.lost_s = lost_s

    def remaining_s(self) -> float:
        """Return the expected rest of the outage, in seconds."""
        rest_s = self.last_outage_s - self.lost_s
        return max(rest_s if rest_s > 0 else self.lost_s, defaults.RETRY_AFTER_S)

    def retry_after_s(self, time_left_s: float) -> float:
        """Return the wait of one client, at most what a client accepts of the time it has left."""
        longest_s = defaults.OUTAGE_RETRY_AFTER_S
        if math.isfinite(time_left_s):
            longest_s = max(time_left_s, 0.0) * _CLIENT_SHARE
        earliest_s = min(self.remaining_s(), longest_s * _EARLIEST_SHARE)
        wait_s = self.rng.uniform(earliest_s, min(earliest_s * _SPREAD, longest_s))
        return math.floor(wait_s * 1_000) / 1_000
