"""Streams from a sidecar to the entries, with batched frames."""

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
    """Frames to send to one entry.

    Output is not queued: the stream only tracks which calls changed and the offset up to which
    each call's output was sent, so that a slow entry uses no more memory.  ``pending`` is set
    when there is something to send, ``urgent`` when it must be sent at once and ``ended`` when
    the stream must be closed.
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
        """Queue a frame and send it without waiting for the frame interval."""
        self.frames.append(frame)
        self.pending.set()
        self.urgent.set()

    def follow(self, call: Call, offset: int) -> None:
        """Send a call's output from character ``offset`` on, then its outcome."""
        self.sent_offsets[call.order.call_id] = offset
        self.mark_changed(call)

    def mark_changed(self, call: Call) -> None:
        """Mark a followed call as changed; its first text and its outcome are urgent."""
        offset = self.sent_offsets.get(call.order.call_id)
        if offset is None:
            return
        self.changed[call.order.call_id] = None
        self.pending.set()
        if offset == 0 or call.state is CallState.ENDED:
            self.urgent.set()

    def has_pending(self) -> bool:
        """Return whether there are frames or changed calls to send."""
        return bool(self.frames or self.changed)

    def batch(self, table: CallTable, time: int) -> SidecarBatch:
        """Return a batch of all pending frames, stamped with a hybrid logical time."""
        frames, self.frames = self.frames, []
        changed, self.changed = self.changed, {}
        self.pending = anyio.Event()
        self.urgent = anyio.Event()
        for call_id in changed:
            frames.extend(self._call_frames(table.calls.get(call_id), call_id))
        return SidecarBatch(tuple(frames), time)

    def _call_frames(self, call: Call | None, call_id: CallId) -> Iterable[SidecarFrame]:
        """Yield a call's unsent output, then its outcome if it has one."""
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
    """All open streams of a sidecar; a newer stream of an entry process replaces its older one."""

    def __init__(self, table: CallTable) -> None:
        self.table = table
        self.streams: set[EntryStream] = set()
        self.latest_streams: dict[tuple[NodeId, Incarnation], int] = {}

    def register(self, stream: EntryStream, hello: Hello, welcome: Welcome) -> bool:
        """Register a stream by its first frame; return False if a newer stream exists."""
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
        """Remove a closed stream; its calls continue."""
        self.streams.discard(stream)

    def end_silent(self, oldest: float) -> None:
        """End the streams that received no frame since the monotonic time ``oldest``."""
        for stream in self.streams:
            if stream.last_frame_at < oldest:
                stream.ended.set()

    def end_all(self) -> None:
        """End all streams."""
        for stream in self.streams:
            stream.ended.set()

    def mark_changed(self, call: Call) -> None:
        """Mark a call as changed on all streams that follow it."""
        for stream in self.streams:
            stream.mark_changed(call)

    def broadcast(self, frame: SidecarFrame) -> None:
        """Send a frame to all entries at once."""
        for stream in self.streams:
            if stream.hello is not None:
                stream.push(frame)

    def send_heartbeat(self, heartbeat: SidecarHeartbeat) -> None:
        """Send a heartbeat to all entries, each with the sequence of its own last heartbeat."""
        for stream in self.streams:
            if stream.hello is not None:
                stream.push(msgspec.structs.replace(heartbeat, echo=stream.echo))

    def quarantined(self) -> set[Fingerprint]:
        """Return the fingerprints that any connected entry has quarantined."""
        return {key for stream in self.streams for key in stream.quarantined}

    def is_flushed(self) -> bool:
        """Return whether no stream has anything left to send."""
        return not any(stream.has_pending() for stream in self.streams)


def _same_process(left: Hello, right: Hello) -> bool:
    return left.node == right.node and left.incarnation == right.incarnation
