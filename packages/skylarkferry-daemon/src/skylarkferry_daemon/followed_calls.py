"""Calls that an entry follows on a sidecar until they have an outcome."""

import anyio

from skylarkferry_core.errors import SkylarkferryError, UpstreamLostError
from skylarkferry_core.frames import Attach, Chunk, Dispatch
from skylarkferry_core.ids import CallId, Incarnation
from skylarkferry_core.messages import Fence, Order, Outcome
from skylarkferry_daemon.interfaces import ChunkSink

NOT_SENT = Incarnation("")


class FollowedCall:
    """A call that this process follows, and the number of output characters received so far.

    ``sent_to`` is the incarnation of the sidecar that may have received the call.  A ``detached``
    call continues on the sidecar when this process stops following it.
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
        """Return the frame that starts or resumes following the call."""
        if self.order is not None:
            return Dispatch(self.order, self.offset)
        return Attach(self.call_id, self.fence, self.offset)

    def was_sent(self) -> bool:
        """Return whether a sidecar may have received the call."""
        return self.order is None or self.sent_to != NOT_SENT

    def accepts(self, incarnation: Incarnation) -> bool:
        """Return whether the call may be sent to this incarnation of the sidecar."""
        if self.sent_to not in (NOT_SENT, incarnation):
            return False
        if self.order is None or self.order.repeatable or not self.order.incarnation:
            return True
        return self.order.incarnation == incarnation

    def on_chunk(self, chunk: Chunk) -> None:
        """Pass new output to the sink; drop text already received and chunks that follow a gap."""
        received = self.offset - chunk.offset
        if received < 0 or received >= len(chunk.text):
            return
        text = chunk.text[received:]
        self.sink.on_chunk(Chunk(self.call_id, self.offset, text))
        self.offset += len(text)

    def finish(self, outcome: Outcome) -> None:
        """Complete the call with an outcome."""
        self.outcome = outcome
        self.done.set()

    def fail(self, detail: str) -> None:
        """Fail the call without an outcome: the call may or may not have run."""
        self.error = UpstreamLostError(detail)
        self.error.word = None
        self.done.set()

    async def wait(self) -> Outcome:
        """Return the outcome; raise ``UpstreamLostError`` if the call failed without one."""
        await self.done.wait()
        if self.outcome is None:
            assert self.error is not None
            raise self.error
        return self.outcome
