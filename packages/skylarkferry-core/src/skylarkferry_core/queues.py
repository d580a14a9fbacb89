"""Order of an upstream's queue."""

from collections.abc import Callable, Mapping, Sequence

from skylarkferry_core.interfaces import QueuedOrder, QueueOrder

_AGEING_S = 60.0


class FifoOrder:
    """First come, first served."""

    def next_index(self, queue: Sequence[QueuedOrder], now: float) -> int:
        """Return the index of the order that has waited longest."""
        return min(range(len(queue)), key=lambda index: queue[index].queued_at)


class SlackOrder:
    """Order by priority, then by least slack of the program, with ageing.

    An order's priority rises one level per ``ageing_s`` seconds of waiting, so that none starves.
    """

    def __init__(self, ageing_s: float = _AGEING_S) -> None:
        self.ageing_s = ageing_s

    def next_index(self, queue: Sequence[QueuedOrder], now: float) -> int:
        """Return the index of the most urgent order."""
        return min(range(len(queue)), key=lambda index: self.urgency(queue[index], now))

    def urgency(self, queued: QueuedOrder, now: float) -> tuple[int, float, float]:
        """Return the sort key of an order; a smaller one runs first."""
        waited_s = now - queued.queued_at
        levels_gained = int(waited_s / self.ageing_s)
        level = max(queued.order.priority - levels_gained, 0)
        slack_s = queued.order.slack_s - waited_s
        return level, slack_s, queued.queued_at


QUEUE_ORDERS: Mapping[str, Callable[[], QueueOrder]] = {"fifo": FifoOrder, "slack": SlackOrder}
DEFAULT_QUEUE_ORDER = "slack"
