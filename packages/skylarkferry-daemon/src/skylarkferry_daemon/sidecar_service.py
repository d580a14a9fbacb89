"""gRPC methods of a sidecar."""

from typing import Any

import anyio
import grpc

from skylarkferry_core.calls import Call
from skylarkferry_core.entry_messages import TimelineReply, TimelineRequest
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import (
    Accepted,
    Acknowledge,
    Attach,
    Cancel,
    Dispatch,
    DrainRequest,
    EntryBatch,
    EntryFrame,
    EntryHeartbeat,
    Finished,
    Hello,
    ReleaseProgram,
    SealReply,
    SealRequest,
    Welcome,
)
from skylarkferry_core.ids import program_of
from skylarkferry_core.outcomes import unknown_outcome
from skylarkferry_daemon.call_runner import CallRunner
from skylarkferry_daemon.entry_streams import EntryStream
from skylarkferry_daemon.kv_retention import KvRetention
from skylarkferry_daemon.sidecar_state import SidecarState


class SidecarService:
    """Receives frames and requests from entries and passes them to the sidecar's components."""

    def __init__(
        self, state: SidecarState, runner: CallRunner, kv_retention: KvRetention, stop: anyio.Event
    ) -> None:
        self.state = state
        self.table = state.table
        self.hub = state.hub
        self.timers = state.timers
        self.log = state.log
        self.runner = runner
        self.kv_retention = kv_retention
        self.stop = stop

    async def serve_stream(self, requests: Any, context: grpc.aio.ServicerContext) -> None:
        """Serve one entry's stream until either side closes it."""
        stream = EntryStream()
        stream.last_frame_at = self.timers.now()
        self.hub.streams.add(stream)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, stream, context)
                tasks.start_soon(self._close_when_ended, stream, tasks.cancel_scope)
                await self._read(stream, context)
                tasks.cancel_scope.cancel()
        finally:
            self.hub.remove(stream)
            self.state.notify_progress()

    async def _close_when_ended(self, stream: EntryStream, scope: anyio.CancelScope) -> None:
        """Close a stream that was replaced or went silent, or any stream at a planned stop."""
        await stream.ended.wait()
        self.log.emit(EventKind.STREAM_ENDED, peer=_peer(stream))
        scope.cancel()

    async def _read(self, stream: EntryStream, context: grpc.aio.ServicerContext) -> None:
        """Process the entry's batches until the stream ends."""
        while (batch := await context.read()) is not grpc.aio.EOF:
            assert isinstance(batch, EntryBatch)
            stream.last_frame_at = self.timers.now()
            self.log.clock.observe(batch.time)
            for frame in batch.frames:
                if stream.ended.is_set():
                    return
                self.handle_frame(stream, frame)

    async def _write(self, stream: EntryStream, context: grpc.aio.ServicerContext) -> None:
        """Send pending frames; unless urgent, wait one frame interval after the previous batch."""
        due = self.timers.now()
        while True:
            await stream.pending.wait()
            with anyio.move_on_after(due - self.timers.now()):
                await stream.urgent.wait()
            batch = stream.batch(self.table, self.log.stamp())
            if batch.frames:
                due = self.timers.now() + self.state.settings.frame_interval_s
                await context.write(batch)
                self.state.notify_progress()

    def handle_frame(self, stream: EntryStream, frame: EntryFrame) -> None:
        """Process one frame from an entry."""
        match frame:
            case Hello():
                self._on_hello(stream, frame)
            case Dispatch():
                self._dispatch(stream, frame)
            case Attach():
                self._attach(stream, frame)
            case Cancel():
                self.runner.cancel(frame)
            case Acknowledge():
                self.table.acknowledge(frame.call_ids)
                self.state.notify_progress()
            case ReleaseProgram():
                self.kv_retention.release(frame)
            case EntryHeartbeat():
                stream.echo = frame.sequence
                self._update_quarantine(stream, frame)

    def _update_quarantine(self, stream: EntryStream, frame: EntryHeartbeat) -> None:
        """Store an entry's quarantine list and refuse queued calls that are on it."""
        if stream.quarantined == frame.quarantined:
            return
        stream.quarantined = frame.quarantined
        self.state.crash_registry.share(self.hub.quarantined())
        self.runner.refuse_quarantined()

    def _on_hello(self, stream: EntryStream, hello: Hello) -> None:
        state = self.state
        welcome = Welcome(
            state.settings.upstream,
            state.incarnation,
            state.drain.announced(),
            state.load(),
        )
        if self.hub.register(stream, hello, welcome):
            self.log.emit(EventKind.STREAM_OPENED, peer=_peer(stream))

    def _dispatch(self, stream: EntryStream, frame: Dispatch) -> None:
        self._follow(stream, self.runner.submit(frame.order), frame.offset)

    def _attach(self, stream: EntryStream, frame: Attach) -> None:
        call = self.table.calls.get(frame.call_id)
        if self.table.fences.is_stale_else_record(frame.fence):
            detail = f"epoch {frame.fence.epoch} is stale"
            stream.push(Finished(unknown_outcome(frame.call_id, ErrorCode.STALE_EPOCH, detail)))
            return
        if call is None:
            detail = "the sidecar has no record of the call"
            stream.push(Finished(unknown_outcome(frame.call_id, ErrorCode.OUTCOME_UNKNOWN, detail)))
            return
        self._follow(stream, call, frame.offset)

    def _follow(self, stream: EntryStream, call: Call, offset: int) -> None:
        """Send the call's output and outcome, or only the outcome if it is not in the table."""
        if self.table.calls.get(call.order.call_id) is call:
            stream.follow(call, offset)
            return
        assert call.outcome is not None
        stream.push(Finished(call.outcome))

    async def seal(self, request: SealRequest, _: grpc.aio.ServicerContext) -> SealReply:
        """Determine whether a call ran, or prevent it from running."""
        reply = self.table.seal(request, self.timers.now())
        call = self.table.calls.get(request.call_id)
        if call is not None:
            self.hub.mark_changed(call)
        self.log.emit(
            EventKind.SEAL_ANSWERED,
            program_of(request.call_id),
            call=request.call_id,
            verdict=reply.verdict.value,
        )
        return reply

    async def start_drain(self, _: DrainRequest, __: grpc.aio.ServicerContext) -> Accepted:
        """Begin a planned stop."""
        self.stop.set()
        return Accepted()

    async def timeline(
        self, request: TimelineRequest, _: grpc.aio.ServicerContext
    ) -> TimelineReply:
        """Return the events of this process."""
        return self.log.timeline(request)


def _peer(stream: EntryStream) -> str:
    return stream.hello.node if stream.hello is not None else "unknown"
