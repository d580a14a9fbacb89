"""Virtual clock that runs scheduled actions by time without waiting."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class VirtualClock:
    """Runs actions at their virtual time in seconds; at equal times, in scheduling order."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Action]] = []
        self.sequence = itertools.count()

    def call_at(self, time_s: float, action: Action) -> None:
        """Schedule ``action`` at ``time_s``, or now if that time has passed."""
        heapq.heappush(self.heap, (max(time_s, self.now), next(self.sequence), action))

    def call_later(self, delay_s: float, action: Action) -> None:
        """Schedule ``action`` in ``delay_s`` seconds."""
        self.call_at(self.now + delay_s, action)

    def run(self, until_s: float) -> None:
        """Run all actions scheduled up to ``until_s``."""
        while self.heap and self.heap[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = until_s
