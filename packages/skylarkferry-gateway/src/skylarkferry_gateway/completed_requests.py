"""Requests that upstreams completed lately, which therefore do not crash what runs them."""

from collections import OrderedDict

from skylarkferry_core.ids import Fingerprint

_MAX_REQUESTS = 4_096
_KEEP_S = 60.0
"""Time for which a completion clears a request of crashes; hosts of one rack end together."""


class CompletedRequests:
    """Fingerprints of completed requests with the monotonic time of their last completion."""

    def __init__(self) -> None:
        self.completed_at: OrderedDict[Fingerprint, float] = OrderedDict()

    def add(self, fingerprint: Fingerprint, now: float) -> None:
        """Record a completion; forget the oldest one if there are too many."""
        self.completed_at[fingerprint] = now
        self.completed_at.move_to_end(fingerprint)
        if len(self.completed_at) > _MAX_REQUESTS:
            self.completed_at.popitem(last=False)

    def is_recent(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether the request was completed within the last minute."""
        completed_at = self.completed_at.get(fingerprint)
        return completed_at is not None and now - completed_at <= _KEEP_S
