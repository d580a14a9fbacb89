"""Calls that an entry follows on a sidecar until their outcome."""

import anyio

from skylarkferry_core.errors import SkylarkferryError, UpstreamLostError
from skylarkferry_core.frames import Attach, Chunk, Dispatch
from skylarkferry_core.ids import CallId, Incarnation
from skylarkferry_core.messages import Fence, Order, Outcome
from skylarkferry_daemon.interfaces import ChunkSink

NOT_SENT = Incarnation("")


class FollowedCall:
    """One call; ``offset`` characters of its output arrived.

    ``sent_to`` is the sidecar's incarnation that may have received it; a ``detached`` call
    goes on at the sidecar when nobody here follows it any longer.
    """

    def __init__(
        self, call_id: CallId, fence: Fence, sink: ChunkSink, order: Order | None = None
    ) -> None:
        self.call_id = call_id
        self.fence = fence
        self.sink = sink
        self.order = order
        self.offset = 0
        self.sent_to = NOT_SENT
        self.detached = False
        self.done = anyio.Event()
        self.outcome: Outcome | None = None
        self.error: SkylarkferryError | None = None

    def frame(self) -> Dispatch | Attach:
        """Return the frame that starts to follow the call, or goes on after a reconnection."""
        if self.order is not None:
            return Dispatch(self.order, self.offset)
        return Attach(self.call_id, self.fence, self.offset)

    def was_sent(self) -> bool:
        """Tell whether a sidecar may have received the call."""
        return self.order is None or self.sent_to != NOT_SENT

    def accepts(self, incarnation: Incarnation) -> bool:
        """Tell whether the call may be sent to a sidecar's incarnation."""
        if self.sent_to not in (NOT_SENT, incarnation):
            return False
        if self.order is None or self.order.repeatable or not self.order.incarnation:
            return True
        return self.order.incarnation == incarnation

    def on_chunk(self, chunk: Chunk) -> None:
        """Pass new output on; drop what arrived before and what leaves a gap."""
        known = self.offset - chunk.offset
        if known < 0 or known >= len(chunk.text):
            return
        text = chunk.text[known:]
        self.sink.on_chunk(Chunk(self.call_id, self.offset, text))
        self.offset += len(text)

    def finish(self, outcome: Outcome) -> None:
        """End with an outcome."""
        self.outcome = outcome
        self.done.set()

    def fail(self, detail: str) -> None:
        """End without an outcome: nobody here can tell whether the call ran."""
        self.error = UpstreamLostError(detail)
        self.error.word = None
        self.done.set()

    async def wait(self) -> Outcome:
        """Return the outcome; raise ``UpstreamLostError`` when none can come."""
        await self.done.wait()
        if self.outcome is None:
            assert self.error is not None
            raise self.error
        return self.outcome
