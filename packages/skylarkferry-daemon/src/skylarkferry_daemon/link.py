"""An entry's stream to one sidecar, across reconnections and restarts."""

import asyncio
from contextlib import AsyncExitStack

import anyio
import grpc
from anyio.abc import TaskGroup

from skylarkferry_core.cache_estimates import CacheEstimates
from skylarkferry_core.errors import ErrorCode, UpstreamLostError
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import (
    Acknowledge,
    Cancel,
    Chunk,
    CrashNotice,
    Dispatch,
    EntryBatch,
    EntryFrame,
    EntryHeartbeat,
    Finished,
    Hello,
    ReleaseProgram,
    SidecarBatch,
    SidecarFrame,
    SidecarHeartbeat,
    StateNotice,
    Welcome,
)
from skylarkferry_core.ids import CallId, Incarnation, NodeId, UpstreamId
from skylarkferry_core.interfaces import Host
from skylarkferry_core.members import Member
from skylarkferry_core.messages import Outcome
from skylarkferry_core.outcomes import not_run_outcome
from skylarkferry_daemon.followed_calls import FollowedCall
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.quarantine import Quarantine
from skylarkferry_daemon.timers import TimerService
from skylarkferry_wire.cancellation import await_rpc
from skylarkferry_wire.clients import open_channel, open_stream
from skylarkferry_wire.methods import SIDECAR_STREAM

CONNECT_TIMEOUT_S = 2.0
INITIAL_RECONNECT_S = 0.1
MAX_RECONNECT_S = 1.0
UNREACHABLE_AFTER_S = 3.0
MAX_UNCONFIRMED_FRAMES = 100_000

ReliableFrame = Acknowledge | ReleaseProgram
# A write to an ended gRPC call raises InvalidStateError, which is not a gRPC error.
STREAM_ERRORS = (
    grpc.aio.AioRpcError,
    grpc.aio.UsageError,
    asyncio.InvalidStateError,
    UpstreamLostError,
)


class Link:
    """Stream to one sidecar; each reconnection opens a new channel."""

    def __init__(
        self,
        host: Host,
        *,
        node: NodeId,
        incarnation: Incarnation,
        heartbeat_s: float,
        quarantine: Quarantine,
        cache_estimates: CacheEstimates,
        timers: TimerService,
        log: EventLog,
    ) -> None:
        self.host = host
        self.node = node
        self.own_incarnation = incarnation
        self.quarantine = quarantine
        self.cache_estimates = cache_estimates
        self.timers = timers
        self.log = log
        self.member = Member(heartbeat_s)
        self.calls: dict[CallId, FollowedCall] = {}
        self.outgoing: list[EntryFrame] = []
        self.has_outgoing = anyio.Event()
        self.unconfirmed: list[tuple[int, ReliableFrame]] = []
        self.document_version = 0
        self.streams_opened = 0
        self.heartbeats_sent = 0
        self.prefill_tokens_since_report = 0
        self.calls_since_report = 0
        self.down_since = timers.now()
        self.stream_scope: anyio.CancelScope | None = None

    @property
    def upstream(self) -> UpstreamId:
        """Return the upstream's name."""
        return UpstreamId(self.host.name)

    async def run(self) -> None:
        """Keep a stream open until cancelled; retry with an exponential delay."""
        delay_s = INITIAL_RECONNECT_S
        while True:
            was_open = await self._serve_stream()
            self._on_closed()
            delay_s = INITIAL_RECONNECT_S if was_open else min(delay_s * 2, MAX_RECONNECT_S)
            await anyio.sleep(delay_s)

    async def _serve_stream(self) -> bool:
        """Open a stream on a new channel and serve it; return False if it did not open."""
        async with AsyncExitStack() as stack:
            channel = open_channel(self.host.address)
            stack.push_async_callback(channel.close)
            stream = open_stream(channel, SIDECAR_STREAM)
            stack.callback(stream.cancel)
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    await self._handshake(stream)
            except (*STREAM_ERRORS, TimeoutError):
                return False
            async with anyio.create_task_group() as tasks:
                self.stream_scope = tasks.cancel_scope
                await self._serve_open_stream(stream, tasks)
        return True

    async def _handshake(self, stream: grpc.aio.StreamStreamCall) -> None:
        """Send ``Hello`` and process the sidecar's first batch."""
        self.streams_opened += 1
        hello = Hello(self.node, self.own_incarnation, self.streams_opened)
        await await_rpc(stream.write(EntryBatch((hello, self._heartbeat()), self.log.stamp())))
        batch = await await_rpc(stream.read())
        if not isinstance(batch, SidecarBatch):
            raise UpstreamLostError("the stream ended before the sidecar's Welcome frame")
        for frame in batch.frames:
            self.handle_frame(frame)

    async def _serve_open_stream(self, stream: grpc.aio.StreamStreamCall, tasks: TaskGroup) -> None:
        """Send and receive until the stream ends or is cancelled."""
        tasks.start_soon(self._write, stream)
        try:
            while isinstance(batch := await await_rpc(stream.read()), SidecarBatch):
                self.member.on_frame(self.timers.now())
                self.log.clock.observe(batch.time)
                for frame in batch.frames:
                    self.handle_frame(frame)
        except STREAM_ERRORS:
            pass
        tasks.cancel_scope.cancel()

    async def _write(self, stream: grpc.aio.StreamStreamCall) -> None:
        """Send outgoing frames, all queued ones in one batch."""
        while True:
            await self.has_outgoing.wait()
            frames, self.outgoing = self.outgoing, []
            self.has_outgoing = anyio.Event()
            self._record_sent(frames)
            try:
                await await_rpc(stream.write(EntryBatch(tuple(frames), self.log.stamp())))
            except STREAM_ERRORS:
                return

    def _record_sent(self, frames: list[EntryFrame]) -> None:
        """Record that the sidecar may receive these calls."""
        for frame in frames:
            if not isinstance(frame, Dispatch):
                continue
            followed = self.calls.get(frame.order.call_id)
            if followed is not None:
                followed.sent_to = self.member.incarnation

    def _push(self, frame: EntryFrame) -> None:
        """Queue a frame if the stream is open."""
        if self.member.connected:
            self.outgoing.append(frame)
            self.has_outgoing.set()

    def handle_frame(self, frame: SidecarFrame) -> None:
        """Process one frame from the sidecar."""
        now = self.timers.now()
        match frame:
            case Welcome():
                self._on_welcome(frame, now)
            case Chunk():
                if followed := self.calls.get(frame.call_id):
                    followed.on_chunk(frame)
            case Finished():
                if followed := self.calls.get(frame.outcome.call_id):
                    followed.finish(frame.outcome)
            case SidecarHeartbeat():
                self._on_heartbeat(frame, now)
            case StateNotice():
                self.member.on_state(frame.state, now)
            case CrashNotice():
                self.quarantine.on_crash(frame)

    def _on_heartbeat(self, frame: SidecarHeartbeat, now: float) -> None:
        """Record a heartbeat's state, load and cache events; drop the frames that it confirms."""
        self.member.on_state(frame.state, now)
        self.member.on_load(frame.load, now)
        self.prefill_tokens_since_report = 0
        self.calls_since_report = 0
        self.unconfirmed = [item for item in self.unconfirmed if item[0] > frame.echo]
        for event in frame.cache_events:
            self.cache_estimates.observe(self.upstream, event)

    def _on_welcome(self, frame: Welcome, now: float) -> None:
        """Resend the calls and unconfirmed frames that the sidecar may have missed."""
        if self.member.incarnation not in ("", frame.incarnation):
            self.log.emit(EventKind.SIDECAR_RESTARTED, upstream=self.upstream)
        self.member.on_welcome(frame.incarnation, frame.state, frame.load, now)
        self.log.emit(EventKind.STREAM_OPENED, upstream=self.upstream)
        for followed in list(self.calls.values()):
            self._send_call(followed)
        for _, unconfirmed_frame in self.unconfirmed:
            self._push(unconfirmed_frame)

    def _send_call(self, followed: FollowedCall) -> None:
        """Send a call, or end it if it belongs to another incarnation of the sidecar."""
        if followed.accepts(self.member.incarnation):
            self._push(followed.frame())
        elif followed.was_sent():
            followed.fail("the sidecar restarted")
        else:
            detail = "the sidecar restarted before the order was sent"
            followed.finish(not_run_outcome(followed.call_id, ErrorCode.UPSTREAM_LOST, detail))

    def _on_closed(self) -> None:
        """Record that no stream is open."""
        self.stream_scope = None
        self.outgoing.clear()
        if self.member.connected:
            self.down_since = self.timers.now()
            self.member.on_disconnected()
            self.log.emit(EventKind.STREAM_LOST, upstream=self.upstream, calls=len(self.calls))

    async def send_heartbeat(self) -> None:
        """Send a heartbeat, close a silent stream and end the calls of an unreachable sidecar."""
        now = self.timers.now()
        if self.member.connected and self.member.is_silent(now) and self.stream_scope:
            self.stream_scope.cancel()
        self._push(self._heartbeat())
        if not self.member.connected and now - self.down_since > UNREACHABLE_AFTER_S:
            self._fail_calls()

    def _heartbeat(self) -> EntryHeartbeat:
        self.heartbeats_sent += 1
        return EntryHeartbeat(
            self.heartbeats_sent, self.document_version, self.quarantine.quarantined_fingerprints()
        )

    def _fail_calls(self) -> None:
        """End the calls of a sidecar that cannot be reached."""
        for followed in list(self.calls.values()):
            if followed.was_sent():
                followed.fail("the sidecar cannot be reached")
            else:
                detail = "the sidecar cannot be reached"
                followed.finish(not_run_outcome(followed.call_id, ErrorCode.NO_UPSTREAM, detail))

    async def follow(self, followed: FollowedCall) -> Outcome:
        """Follow a call until its outcome; raise ``UpstreamLostError`` if it has none."""
        earlier = self.calls.get(followed.call_id)
        if earlier is not None:
            earlier.fail("a newer request follows the call")
        self.calls[followed.call_id] = followed
        if self.member.connected:
            self._send_call(followed)
        try:
            return await followed.wait()
        except anyio.get_cancelled_exc_class():
            if not followed.detached:
                self._push(Cancel(followed.call_id, followed.fence))
            raise
        finally:
            if self.calls.get(followed.call_id) is followed:
                del self.calls[followed.call_id]

    def send_reliably(self, frame: ReliableFrame) -> None:
        """Send a frame, and resend it on each reconnection until a heartbeat confirms it."""
        self.unconfirmed.append((self.heartbeats_sent + 1, frame))
        del self.unconfirmed[:-MAX_UNCONFIRMED_FRAMES]
        self._push(frame)
