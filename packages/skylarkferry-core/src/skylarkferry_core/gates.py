"""Gate before an engine: hold calls back whose prompt would evict cache that is still needed."""

from collections.abc import Sequence

from skylarkferry_core.interfaces import QueuedOrder
from skylarkferry_core.messages import LoadReport

_MAX_HOLD_S = 120.0


class KvGate:
    """Let a call pass when its new tokens fit beside the KV memory that is in use or kept.

    Programs under way then end before new ones evict their cache.  A call that was held for
    ``max_hold_s`` passes in any case, and so does any call of an idle engine.
    """

    def __init__(self, max_hold_s: float = _MAX_HOLD_S) -> None:
        self.max_hold_s = max_hold_s

    def eligible(self, queue: Sequence[QueuedOrder], load: LoadReport, now: float) -> list[int]:
        """Return the indices of the orders that may run now."""
        if load.kv_tokens <= 0 or load.running == 0:
            return list(range(len(queue)))
        room = load.kv_tokens - load.held_kv_tokens
        return [index for index, queued in enumerate(queue) if self._passes(queued, room, now)]

    def _passes(self, queued: QueuedOrder, room: int, now: float) -> bool:
        order = queued.order
        if order.prefill_tokens + order.output_tokens <= room:
            return True
        return now - queued.queued_at >= self.max_hold_s
