"""Default order of the queue before an upstream."""

from collections.abc import Sequence

from skylarkferry_core.interfaces import QueuedOrder

AGEING_S = 10.0


class AgedSlackOrder:
    """Order by priority, then least slack; each ``AGEING_S`` of waiting raises the priority."""

    def next_index(self, queue: Sequence[QueuedOrder], now: float) -> int:
        """Return the index of the order to run next."""
        return min(range(len(queue)), key=lambda index: _rank(queue[index], now))


def _rank(queued: QueuedOrder, now: float) -> tuple[int, float, float]:
    """Return the sort key of a queued order; the smallest runs next."""
    waited_s = now - queued.queued_at
    level = queued.order.priority - int(waited_s / AGEING_S)
    return level, queued.order.slack_s - waited_s, queued.queued_at
