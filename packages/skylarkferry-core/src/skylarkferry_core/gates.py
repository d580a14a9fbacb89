"""Gate before an engine: hold calls back whose prompt would evict cache that is still needed."""

from collections.abc import Sequence

from skylarkferry_core.interfaces import QueuedOrder, QueueOrder
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.states import Priority

_MAX_HOLD_S = 120.0
_LOOKED_AT = 16


class KvGate:
    """Choose the most urgent call that fits beside KV memory that is in use or kept.

    Running calls and paused programs keep theirs.  A queued program keeps its memory from less
    urgent ones, not from more urgent ones: otherwise a full engine would run one call at a time.
    A newcomer starts only where the typical size of all programs leaves room, for they grow;
    an urgent one needs just room for its first call.  A call that was held for ``max_hold_s``
    passes in any case, and so does any call of an idle engine.
    """

    def __init__(self, max_hold_s: float = _MAX_HOLD_S) -> None:
        self.max_hold_s = max_hold_s

    def next_index(
        self, queue: Sequence[QueuedOrder], load: LoadReport, order: QueueOrder, now: float
    ) -> int | None:
        """Return the index of the order to run next, or ``None`` while none may run."""
        if load.kv_tokens <= 0 or load.running == 0:
            return order.next_index(queue, now)
        room = load.kv_tokens - load.held_kv_tokens
        queued_tokens = sum(_reserved(queued) for queued in queue if queued.order.cached_tokens)
        newcomer_room = load.kv_tokens - load.reserved_kv_tokens - queued_tokens
        left = list(range(len(queue)))
        for _ in range(min(len(queue), _LOOKED_AT)):
            index = left.pop(order.next_index([queue[item] for item in left], now))
            queued = queue[index]
            if self._waited_long(queued, now) or _fits(queued, room, newcomer_room):
                return index
            room -= queued.order.cached_tokens
        return None

    def _waited_long(self, queued: QueuedOrder, now: float) -> bool:
        return now - queued.queued_at >= self.max_hold_s


def _fits(queued: QueuedOrder, room: int, newcomer_room: int) -> bool:
    order = queued.order
    if order.cached_tokens or order.priority is Priority.URGENT:
        return order.prefill_tokens + order.output_tokens <= room
    return _reserved(queued) <= newcomer_room


def _reserved(queued: QueuedOrder) -> int:
    order = queued.order
    tokens = order.cached_tokens + order.prefill_tokens + order.output_tokens
    return max(tokens, order.typical_tokens)
