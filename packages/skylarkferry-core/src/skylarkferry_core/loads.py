"""Load of an upstream, computed from its call table."""

from skylarkferry_core.calls import Call, CallTable
from skylarkferry_core.messages import LoadReport, ModelWork, Order

CHARS_PER_TOKEN = 4


class EngineMemory:
    """KV memory last reported by the engine, in tokens; 0 if unknown."""

    def __init__(self) -> None:
        self.free_tokens = 0
        self.tokens = 0


def load_report(table: CallTable, memory: EngineMemory) -> LoadReport:
    """Return the load; call counts are exact, prefill tokens estimated from prompt lengths."""
    return LoadReport(
        queued=len(table.queue),
        running=len(table.running),
        queued_prefill_tokens=sum(prompt_tokens(queued.order) for queued in table.queue),
        running_output_tokens=sum(_output_tokens_left(call) for call in table.running.values()),
        slots=table.limits.slots,
        free_kv_tokens=memory.free_tokens,
        kv_tokens=memory.tokens,
    )


def prompt_tokens(order: Order) -> int:
    """Return an estimate of the tokens in an order's prompt."""
    if not isinstance(order.work, ModelWork):
        return 0
    return sum(len(message.content) for message in order.work.messages) // CHARS_PER_TOKEN


def _output_tokens_left(call: Call) -> int:
    """Return an estimate of the tokens that a running call has yet to generate."""
    if not isinstance(call.order.work, ModelWork):
        return 0
    return max(call.order.work.max_tokens - len(call.text) // CHARS_PER_TOKEN, 0)
