"""Choice of a sidecar's next call by queue order and the engine's KV memory."""

from collections.abc import Sequence

import msgspec

from skylarkferry_core.gates import KvGate
from skylarkferry_core.ids import ProgramId
from skylarkferry_core.interfaces import QueuedOrder, QueueOrder
from skylarkferry_core.kv_claims import KvClaims
from skylarkferry_core.messages import LoadReport, Order, Outcome


class EngineGate:
    """Hold back calls whose prompts would evict cache that running or paused programs need.

    ``kv_tokens`` is the size of the engine's KV memory; if it is 0, as for tools and services, only
    the queue order decides.
    """

    def __init__(self, order: QueueOrder) -> None:
        self.order = order
        self.gate = KvGate()
        self.claims = KvClaims()
        self.kv_tokens = 0

    def next_index(self, queue: Sequence[QueuedOrder], running: int, now: float) -> int | None:
        """Return the index of the call to start, or ``None`` if none may start."""
        load = self.with_kv_memory(LoadReport(running=running), now)
        return self.gate.next_index(queue, load, self.order, now)

    def with_kv_memory(self, load: LoadReport, now: float) -> LoadReport:
        """Return a copy of ``load`` with the KV memory that programs hold and reserve."""
        if not self.kv_tokens:
            return load
        held, reserved = self.claims.totals(now)
        return msgspec.structs.replace(
            load, kv_tokens=self.kv_tokens, held_kv_tokens=held, reserved_kv_tokens=reserved
        )

    def started(self, order: Order) -> None:
        """Claim KV memory for a call that starts."""
        if self.kv_tokens:
            self.claims.started(order)

    def ended(self, order: Order, outcome: Outcome, now: float) -> None:
        """Keep an ended call's KV memory claimed for the ``keep_kv_s`` seconds of its order."""
        usage = outcome.usage
        self.claims.ended(order, usage.prompt_tokens + usage.output_tokens, now)

    def released(self, program_id: ProgramId) -> None:
        """Drop the KV memory claims of a program that ended."""
        self.claims.released(program_id)
