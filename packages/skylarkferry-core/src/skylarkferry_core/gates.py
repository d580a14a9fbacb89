"""Gate before an engine: holds back calls whose prompts would evict cache still in use."""

from collections.abc import Sequence

from skylarkferry_core.interfaces import QueuedOrder, QueueOrder
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.states import Priority

_MAX_HOLD_S = 120.0
_MAX_EXAMINED = 16


class KvGate:
    """Choose the most urgent call that fits beside the KV memory in use or retained.

    Memory of running calls and paused programs is never taken. Cached memory of a queued program is
    protected from less urgent programs but not from more urgent ones; otherwise a full engine would
    run one call at a time. A new program starts only if the typical sizes of all programs leave
    room, because programs grow; an urgent new program needs room for its first call only. A call
    that was held back for ``max_hold_s`` may always start, as may any call on an idle engine.
    """

    def __init__(self, max_hold_s: float = _MAX_HOLD_S) -> None:
        self.max_hold_s = max_hold_s

    def next_index(
        self, queue: Sequence[QueuedOrder], load: LoadReport, order: QueueOrder, now: float
    ) -> int | None:
        """Return the index of the order to run next, or ``None`` if none may run."""
        if load.kv_tokens <= 0 or load.running == 0:
            return order.next_index(queue, now)
        room = load.kv_tokens - load.held_kv_tokens
        queued_tokens = sum(
            _reserved_tokens(queued) for queued in queue if queued.order.cached_tokens
        )
        new_program_room = load.kv_tokens - load.reserved_kv_tokens - queued_tokens
        unexamined = list(range(len(queue)))
        for _ in range(min(len(queue), _MAX_EXAMINED)):
            index = unexamined.pop(order.next_index([queue[item] for item in unexamined], now))
            queued = queue[index]
            if self._exceeds_max_hold(queued, now) or _fits(queued, room, new_program_room):
                return index
            room -= queued.order.cached_tokens
        return None

    def _exceeds_max_hold(self, queued: QueuedOrder, now: float) -> bool:
        return now - queued.queued_at >= self.max_hold_s


def _fits(queued: QueuedOrder, room: int, new_program_room: int) -> bool:
    order = queued.order
    if order.cached_tokens or order.priority is Priority.URGENT:
        return order.prefill_tokens + order.output_tokens <= room
    return _reserved_tokens(queued) <= new_program_room


def _reserved_tokens(queued: QueuedOrder) -> int:
    order = queued.order
    tokens = order.cached_tokens + order.prefill_tokens + order.output_tokens
    return max(tokens, order.typical_tokens)
