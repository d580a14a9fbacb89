"""Streams from a sidecar to the entries: one batch of frames each interval."""

from collections.abc import Iterable

import anyio
import msgspec

from skylarkferry_core.calls import Call, CallTable
from skylarkferry_core.frames import (
    Chunk,
    Finished,
    Hello,
    SidecarBatch,
    SidecarFrame,
    SidecarHeartbeat,
    Welcome,
)
from skylarkferry_core.ids import CallId, Fingerprint, Incarnation, NodeId
from skylarkferry_core.states import CallState


class EntryStream:
    """Frames for one entry.

    Output is not queued: a stream remembers the calls that have news and how much of each it
    sent, so that a slow entry costs no memory.  ``ended`` is set when it has to end.
    """

    def __init__(self) -> None:
        self.hello: Hello | None = None
        self.echo = 0
        self.last_frame_at = 0.0
        self.quarantined: tuple[Fingerprint, ...] = ()
        self.frames: list[SidecarFrame] = []
        self.sent_offsets: dict[CallId, int] = {}
        self.changed: dict[CallId, None] = {}
        self.pending = anyio.Event()
        self.urgent = anyio.Event()
        self.ended = anyio.Event()

    def push(self, frame: SidecarFrame) -> None:
        """Send a frame at once."""
        self.frames.append(frame)
        self.pending.set()
        self.urgent.set()

    def follow(self, call: Call, offset: int) -> None:
        """Send a call's output from ``offset`` on, and its outcome."""
        self.sent_offsets[call.order.call_id] = offset
        self.mark_changed(call)

    def mark_changed(self, call: Call) -> None:
        """Note news of a call; the first text and the outcome go out at once."""
        offset = self.sent_offsets.get(call.order.call_id)
        if offset is None:
            return
        self.changed[call.order.call_id] = None
        self.pending.set()
        if offset == 0 or call.state is CallState.ENDED:
            self.urgent.set()

    def has_pending(self) -> bool:
        """Tell whether a batch would not be empty."""
        return bool(self.frames or self.changed)

    def batch(self, table: CallTable, time: int) -> SidecarBatch:
        """Take everything that is to be sent at a hybrid logical time."""
        frames, self.frames = self.frames, []
        changed, self.changed = self.changed, {}
        self.pending = anyio.Event()
        self.urgent = anyio.Event()
        for call_id in changed:
            frames.extend(self._call_frames(table.calls.get(call_id), call_id))
        return SidecarBatch(tuple(frames), time)

    def _call_frames(self, call: Call | None, call_id: CallId) -> Iterable[SidecarFrame]:
        """Yield a call's new output, then its outcome."""
        offset = self.sent_offsets.get(call_id)
        if call is None or offset is None:
            return
        if len(call.text) > offset:
            yield Chunk(call_id, offset, call.text[offset:])
            self.sent_offsets[call_id] = len(call.text)
        if call.outcome is not None:
            del self.sent_offsets[call_id]
            yield Finished(call.outcome)


class StreamHub:
    """All open streams of a sidecar; a process's newer stream replaces its older one."""

    def __init__(self, table: CallTable) -> None:
        self.table = table
        self.streams: set[EntryStream] = set()
        self.latest_streams: dict[tuple[NodeId, Incarnation], int] = {}

    def register(self, stream: EntryStream, hello: Hello, welcome: Welcome) -> bool:
        """Take a stream's first frame; return false when a newer stream exists."""
        key = (hello.node, hello.incarnation)
        if hello.stream < self.latest_streams.get(key, 0):
            stream.ended.set()
            return False
        self._end_older(hello)
        self.latest_streams[key] = hello.stream
        stream.hello = hello
        stream.push(welcome)
        return True

    def _end_older(self, hello: Hello) -> None:
        for stream in self.streams:
            if stream.hello is not None and _same_process(stream.hello, hello):
                stream.ended.set()

    def remove(self, stream: EntryStream) -> None:
        """Forget a stream that ended; its calls go on."""
        self.streams.discard(stream)

    def end_silent(self, oldest: float) -> None:
        """End the streams without a frame since the monotonic time ``oldest``."""
        for stream in self.streams:
            if stream.last_frame_at < oldest:
                stream.ended.set()

    def end_all(self) -> None:
        """End all streams."""
        for stream in self.streams:
            stream.ended.set()

    def mark_changed(self, call: Call) -> None:
        """Tell the followers of a call that it has news."""
        for stream in self.streams:
            stream.mark_changed(call)

    def broadcast(self, frame: SidecarFrame) -> None:
        """Send a frame to all entries at once."""
        for stream in self.streams:
            if stream.hello is not None:
                stream.push(frame)

    def send_heartbeat(self, heartbeat: SidecarHeartbeat) -> None:
        """Send a heartbeat to all entries, with the echo of each."""
        for stream in self.streams:
            if stream.hello is not None:
                stream.push(msgspec.structs.replace(heartbeat, echo=stream.echo))

    def quarantined(self) -> set[Fingerprint]:
        """Return what any connected entry has in quarantine."""
        return {key for stream in self.streams for key in stream.quarantined}

    def is_flushed(self) -> bool:
        """Tell whether nothing waits to be sent."""
        return not any(stream.has_pending() for stream in self.streams)


def _same_process(left: Hello, right: Hello) -> bool:
    return left.node == right.node and left.incarnation == right.incarnation
