"""Relay of event streams; a resumable stream that fails continues from another upstream."""

from http import HTTPStatus
from typing import Protocol

import anyio

from skylarkferry_core.errors import (
    AnswerInvalidError,
    ConnectionLostError,
    SkylarkferryError,
    UpstreamLostError,
)
from skylarkferry_core.states import FinalWord
from skylarkferry_gateway import defaults
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.exchanges import Exchange, Reply, UpstreamFullError
from skylarkferry_gateway.held_memory import MemoryUse
from skylarkferry_gateway.http_server import ClientConnection, ResponseState
from skylarkferry_gateway.messages import StreamOrigin, UpstreamEntry, UpstreamRequestMetadata
from skylarkferry_gateway.placement_messages import SpeedSample
from skylarkferry_gateway.relay_context import RelayContext
from skylarkferry_gateway.selection import Selection
from skylarkferry_gateway.stream_backlog import BacklogFullError, StreamBacklog
from skylarkferry_gateway.stream_events import EventSplitter, StreamEvent
from skylarkferry_gateway.stream_position import StreamPosition


class StreamListener(Protocol):
    """Observer of relayed events, notified of the stream's end before the client is."""

    def on_accepted(self) -> None:
        """Learn that an upstream runs the request and that no other one will get its body."""

    def on_events(self, events: list[StreamEvent]) -> None:
        """Record events about to be sent; raise ``SkylarkferryError`` if they cannot be kept."""

    async def on_complete(self) -> None:
        """Make the completed stream durable; raise ``SkylarkferryError`` if that fails."""


class StreamBrokenError(Exception):
    """A started stream cannot continue; the client's connection has to be aborted."""


class StreamRelay:
    """Relay the stream of one request, over several attempts if allowed."""

    def __init__(
        self,
        context: RelayContext,
        attempts: Attempts,
        client: ClientConnection,
        listener: StreamListener,
        body: tuple[bytes, ...],
    ) -> None:
        self.context = context
        self.attempts = attempts
        self.client = client
        self.listener = listener
        self.body = body
        attempts.body_bytes = sum(map(len, body))
        self.position = StreamPosition(attempts.request.metadata.last_event_id)
        self.backlog = StreamBacklog(
            client, context.tasks, context.memory.shares[MemoryUse.STREAMS], context.metrics
        )
        self.events = 0
        self.first_event_at: float | None = None

    async def relay(self) -> int:
        """Stream the response to the client and return its status.

        Raise ``StreamBrokenError`` if it fails after the first event was sent, and the error to
        respond with if it fails earlier.
        """
        try:
            return await self._relay()
        except BacklogFullError as error:
            raise StreamBrokenError(str(error)) from error
        finally:
            self.backlog.close()
            self.attempts.release_held()
            self.context.resumptions.on_relay_ended(self.attempts)

    async def _relay(self) -> int:
        while True:
            now = anyio.current_time()
            decision = None
            if self.position.can_continue and self.attempts.can_attempt(now):
                decision = await self.context.choose_upstream(self.attempts, now)
            if decision is None:
                return await self._finish_without_upstream(now)
            status = await self._attempt(decision)
            if status is not None:
                return status

    async def _finish_without_upstream(self, now: float) -> int:
        failure = self.attempts.final_error(now)
        if self.client.response_state is ResponseState.STREAMING:
            await self.backlog.flush()
            raise StreamBrokenError(failure.detail) from failure
        if self.attempts.last_reply is not None:
            return await self._respond(*self.attempts.last_reply)
        raise failure

    async def _respond(self, reply: Reply, body: bytes) -> int:
        await self.client.respond(
            reply.status, self.context.codec.client_headers(reply.headers), body
        )
        return reply.status

    async def _attempt(self, decision: Selection) -> int | None:
        """Relay from one upstream; return the status, or ``None`` if another attempt may follow."""
        upstream = decision.upstream
        upstream.local.breaker.begin(anyio.current_time())
        self.attempts.tried_upstreams.add(upstream)
        attempts_before = self.attempts.attempts_made
        try:
            status = await self._exchange(decision)
        except _UnrecordedError as error:
            # Its row may still be written: the client has to begin another stream.
            self.context.count_abandoned(decision)
            self.context.report_failed_attempt(self.attempts, decision, error)
            raise
        except SkylarkferryError as error:
            self._on_failure(decision, error)
            return None
        except BaseException:
            self.context.count_abandoned(decision)
            if self.attempts.attempts_made > attempts_before:
                self.context.check_for_crash(self.attempts, decision)
            raise
        finally:
            self.context.selector.on_attempt_ended(decision)
        return status

    def _on_failure(self, decision: Selection, error: SkylarkferryError) -> None:
        if isinstance(error, UpstreamFullError):
            self.context.count_abandoned(decision)
        elif not isinstance(error, _RefusedError):
            self.context.count_failure(decision, error)
        self.context.report_failed_attempt(self.attempts, decision, error)
        self.attempts.count_failed(error)
        if error.word is not FinalWord.NOT_RUN:
            self.attempts.ambiguous_error = error
            self.context.check_for_crash(self.attempts, decision)

    async def _exchange(self, decision: Selection) -> int | None:
        context, attempts = self.context, self.attempts
        async with context.exchange(attempts, decision) as exchange:
            await exchange.connect(attempts.idle_limit_s, attempts.request)
            decision.alive_at = exchange.alive_at
            await self._check_process(exchange, decision)
            sent_at = anyio.current_time()
            attempts.count_sent()
            if attempts.route.is_resumable:
                context.resumptions.on_attempt(attempts, _origin(decision.upstream.entry))
            request_metadata = context.upstream_request_metadata(
                attempts, decision, sent_at, self.position.last_event_id
            )
            reply_deadline = context.reply_deadline(attempts, decision, sent_at)
            reply = await self._send_request(exchange, request_metadata, reply_deadline)
            context.on_reply(decision, reply)
            rejection = self._rejection(decision, reply)
            if rejection is not None:
                with anyio.move_on_after(1):
                    await exchange.body()
                    await exchange.finish()
                raise rejection
            if reply.status != HTTPStatus.OK:
                return await self._relay_other_status(exchange, decision, reply)
            self._on_accepted()
            self.position.begin_response(reply.metadata.media_type)
            self._record_prompt(decision)
            await self._relay_events(exchange, decision, reply)
            ended_at = anyio.current_time()
            self.context.count_success(decision)
            self.context.crashes.on_completed(attempts.request)
            self._observe_speed(decision, sent_at, ended_at)
            await exchange.finish()
        await self._complete(reply)
        return reply.status

    def _on_accepted(self) -> None:
        """Drop the body if no other upstream can continue the stream."""
        if not self.attempts.route.is_resumable:
            self.body = ()
            self.listener.on_accepted()

    async def _check_process(self, exchange: Exchange, decision: Selection) -> None:
        """Verify that the process which gets the stream has the listed software version.

        An upstream may have restarted under its id with another version since it was listed.
        """
        context, attempts, upstream = self.context, self.attempts, decision.upstream
        listed_ms = upstream.entry.born_ms
        is_checkable = attempts.route.is_resumable and attempts.engine is not None and listed_ms
        if not is_checkable:
            return
        is_begun = attempts.required_version is not None
        if not is_begun and context.is_listed_since(exchange.opened_at):
            return
        born_ms = await exchange.read_born_ms()
        if born_ms in (0, listed_ms):
            context.metrics.start_time_checks.labels(outcome="same" if born_ms else "unknown").inc()
            return
        context.report_other_process(attempts, upstream, born_ms)
        raise _RefusedError("another process has the upstream's id and address")

    async def _send_request(
        self,
        exchange: Exchange,
        request_metadata: UpstreamRequestMetadata,
        reply_deadline: float,
    ) -> Reply:
        with anyio.move_on_at(reply_deadline):
            return await exchange.send(self.attempts.request, self.body, request_metadata)
        raise AnswerInvalidError("no response in time")

    def _rejection(self, decision: Selection, reply: Reply) -> SkylarkferryError | None:
        """Return the error of a refused or untrusted response, else ``None``."""
        if reply.metadata.not_executed or reply.status == HTTPStatus.MISDIRECTED_REQUEST:
            if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
                decision.upstream.is_misdirected = True
            self.context.count_refusal(decision)
            return _RefusedError(f"refused with status {reply.status}")
        if not reply.is_trusted:
            return AnswerInvalidError(f"untrusted response with status {reply.status}")
        return None

    async def _relay_other_status(
        self, exchange: Exchange, decision: Selection, reply: Reply
    ) -> int | None:
        """Pass a non-200 response to the client, or return ``None`` for a failure to retry."""
        with anyio.move_on_at(self.attempts.event_deadline(anyio.current_time())):
            body = await exchange.body()
            self.attempts.held.append(exchange.take_held())
            await exchange.finish()
            is_failure = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            if is_failure:
                self.context.on_failure_status(decision, reply)
            else:
                self.context.count_success(decision)
            if self.client.response_state is ResponseState.STREAMING:
                raise AnswerInvalidError(f"resumption failed with status {reply.status}")
            if is_failure and self.attempts.route.is_repeatable:
                self.attempts.last_reply = (reply, body)
                return None
            return await self._respond(reply, body)
        raise AnswerInvalidError("the response body was not complete in time")

    async def _relay_events(self, exchange: Exchange, decision: Selection, reply: Reply) -> None:
        """Send complete events to the client until the upstream ends the stream."""
        splitter = EventSplitter()
        while (data := await self._read(exchange)) is not None:
            for start in range(0, len(data), defaults.STREAM_PIECE_BYTES):
                events = splitter.feed(data[start : start + defaults.STREAM_PIECE_BYTES])
                exchange.held.grow_to(splitter.partial_bytes)
                await self._send(decision, reply, events)
        if splitter.partial_bytes:
            raise AnswerInvalidError("the stream ended inside an event")
        self.position.end_response()

    async def _read(self, exchange: Exchange) -> bytes | None:
        """Return the next bytes of the stream, or ``None`` at its end.

        Raise ``AnswerInvalidError`` after a silence if the deadline has passed or another upstream
        may be able to continue; until then, a silent upstream is the best one.
        """
        while True:
            deadline = self.attempts.event_deadline(anyio.current_time())
            with anyio.move_on_at(deadline):
                return await exchange.read()
            can_move = self.position.can_continue and self.context.selector.has_untried(
                self.attempts
            )
            if can_move or deadline >= self.attempts.reply_limit:
                raise AnswerInvalidError("the stream was silent for too long")

    async def _send(self, decision: Selection, reply: Reply, events: list[StreamEvent]) -> None:
        if not events:
            return
        await self._fix_version(decision.upstream.entry)
        self.position.accept(events)
        self._record(events)
        self.events += len(events)
        data = b"".join(event.raw for event in events)
        if self.client.response_state is ResponseState.STREAMING:
            await self.backlog.send(data)
            return
        self.first_event_at = anyio.current_time()
        headers = self.context.codec.client_headers(reply.headers)
        await self.client.start_response(reply.status, headers, data)

    def _record(self, events: list[StreamEvent]) -> None:
        try:
            self.listener.on_events(events)
        except SkylarkferryError:
            self.position.can_continue = False  # the client does not get these events
            raise

    async def _fix_version(self, entry: UpstreamEntry) -> None:
        """Require the version that begins the stream of all upstreams that continue it."""
        attempts = self.attempts
        if attempts.required_version is not None:
            if not attempts.is_stream_kept:
                self.context.resumptions.on_first_resumed_event(attempts)
            return
        if attempts.route.is_resumable:
            origin = _origin(entry)
            if not await self.context.resumptions.on_first_event(attempts, origin):
                raise _UnrecordedError("the version that begins the stream cannot be recorded")
        attempts.required_version = entry.software_version

    async def _complete(self, reply: Reply) -> None:
        """End the client's stream after the listener has made it durable."""
        try:
            await self.listener.on_complete()
        except SkylarkferryError as error:
            if self.client.response_state is ResponseState.STREAMING:
                raise StreamBrokenError(error.detail) from error
            raise ConnectionLostError(f"turn executed but not stored: {error.detail}") from error
        if self.client.response_state is not ResponseState.STREAMING:
            headers = self.context.codec.client_headers(reply.headers)
            await self.client.start_response(reply.status, headers, b"")
        await self.backlog.flush()
        await self.client.end_response()

    def _record_prompt(self, decision: Selection) -> None:
        engine = self.attempts.engine
        if engine is not None:
            parts = self.attempts.request.metadata.prompt_parts
            decision.upstream.local.record_prompt(parts, engine.kv_tokens)

    def _observe_speed(self, decision: Selection, sent_at: float, ended_at: float) -> None:
        """Update the engine's speed estimate from a stream that it served from start to end."""
        engine = self.attempts.engine
        if engine is None or self.first_event_at is None or self.first_event_at < sent_at:
            return
        uncached = sum(part.tokens for part in self.attempts.request.metadata.prompt_parts)
        uncached -= decision.cached_tokens
        if decision.requests >= engine.slots:
            uncached = 0
        decision.speed = sample = SpeedSample(
            uncached,
            self.first_event_at - sent_at,
            (self.events - 1) * engine.tokens_per_event,
            ended_at - self.first_event_at,
        )
        self.context.selector.placer.observe_speed(decision.upstream, sample, ended_at)


def _origin(entry: UpstreamEntry) -> StreamOrigin:
    return StreamOrigin(entry.service, entry.software_version)


class _RefusedError(UpstreamLostError):
    """The upstream responded that it did not execute the request."""


class _UnrecordedError(AnswerInvalidError):
    """The upstream began the stream, but its version cannot be recorded in time."""
