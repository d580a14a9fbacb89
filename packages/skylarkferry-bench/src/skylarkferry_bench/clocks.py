"""Virtual clock: events in order of time, without waiting."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class VirtualClock:
    """Run actions at their virtual time, in seconds; equal times keep their order."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Action]] = []
        self.order = itertools.count()

    def call_at(self, time_s: float, action: Action) -> None:
        """Run ``action`` at ``time_s``, or now if that has passed."""
        heapq.heappush(self.heap, (max(time_s, self.now), next(self.order), action))

    def call_later(self, delay_s: float, action: Action) -> None:
        """Run ``action`` ``delay_s`` seconds from now."""
        self.call_at(self.now + delay_s, action)

    def run(self, until_s: float) -> None:
        """Run all actions up to ``until_s``."""
        while self.heap and self.heap[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = until_s
