"""One HTTP exchange with an upstream: connection, request and response."""

import math
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from http import HTTPStatus
from types import TracebackType

import anyio
import msgspec

from skylarkferry_core.errors import (
    AnswerInvalidError,
    ConnectionLostError,
    SkylarkferryError,
    UpstreamLostError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.body_window import BodyInWindow
from skylarkferry_gateway.held_memory import HeldBytes, MemoryShare
from skylarkferry_gateway.http_client import HttpConnection
from skylarkferry_gateway.interfaces import HeaderCodec
from skylarkferry_gateway.messages import (
    ClientRequest,
    Headers,
    ReplyMetadata,
    UpstreamRequestMetadata,
)
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.upstreams import Upstream

_NOT_EXECUTED_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
_MAX_REPORT_BYTES = 262_144
"""Longest report of an engine about its process; it lists all requests that run there."""
_MAX_RESPONSES = 3
"""Responses read for one request before the exchange fails."""


class Reply(msgspec.Struct, frozen=True):
    """Status and headers of an upstream's response."""

    status: int
    headers: Headers
    metadata: ReplyMetadata

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_trusted(self) -> bool:
        """Return whether the response may be passed to the client unchanged.

        A success must be signed and not content-encoded.  A status that implies that the request
        was not executed is trusted only with the header by which the upstream confirms it.
        """
        if self.is_success:
            return self.metadata.is_signed and not self.metadata.is_encoded
        return self.status not in _NOT_EXECUTED_STATUSES


class UpstreamFullError(UpstreamLostError):
    """The upstream does not read the large bodies that were sent to it; nothing more was sent."""


class Exchange:
    """Context of one exchange.

    Leaving it before ``finish`` closes the connection, to stop the upstream's work.
    ``body_in_window`` counts the request's body until the upstream has it.  ``alive_at`` is a
    monotonic time at which the process at the connection's end was alive.
    """

    def __init__(
        self,
        upstream: Upstream,
        codec: HeaderCodec,
        memory: MemoryShare,
        *,
        body: BodyInWindow,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.upstream = upstream
        self.codec = codec
        self.log = log
        self.metrics = metrics
        self.held = HeldBytes(memory)
        self.body_in_window = body
        self.connection: HttpConnection | None = None
        self.idle_s: float | None = None
        self.alive_at = -math.inf

    async def __aenter__(self) -> "Exchange":
        """Add the request to the upstream's requests in flight."""
        self.upstream.local.in_flight += 1
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Remove the request from those in flight and close a connection that was not released."""
        self.upstream.local.in_flight -= 1
        self.held.release()
        if self.connection is not None:
            await self.connection.abort()

    async def connect(self, idle_limit_s: float, request: ClientRequest) -> None:
        """Acquire a connection for a request; raise ``UpstreamLostError`` with nothing sent."""
        now = anyio.current_time()
        self.connection = await self.upstream.acquire_connection(now, idle_limit_s, request)
        self.alive_at = min(now, self.connection.idle_since)
        state = "reused" if self.connection.exchanges else "new"
        self.metrics.upstream_connections.labels(state=state).inc()

    @property
    def opened_at(self) -> float:
        """Return the monotonic time at which the connection was established."""
        assert self.connection is not None
        return self.connection.opened_at

    async def read_born_ms(self) -> int:
        """Return when the process at the connection's end started, in Unix ms; 0 if unknown.

        What is sent next on the connection reaches the same process. Raise ``UpstreamLostError`` if
        nothing can be sent on it.
        """
        assert self.connection is not None
        try:
            with anyio.fail_after(defaults.PROCESS_REPORT_TIMEOUT_S):
                return await self._process_report(self.connection)
        except (TimeoutError, SkylarkferryError) as error:
            raise UpstreamLostError(f"no report about the process: {error!r}") from error

    async def _process_report(self, connection: HttpConnection) -> int:
        headers = [(b"host", self.upstream.entry.address.encode())]
        await connection.send(b"GET", self.codec.process_report_target(), headers, ())
        head = await connection.read_head()
        body = await connection.body(_MAX_REPORT_BYTES)
        if not connection.finish(None):
            raise UpstreamLostError("the connection ends after the report")
        if head.status_code != HTTPStatus.OK:
            return 0
        return self.codec.decode_process_report(body)

    async def send(
        self,
        request: ClientRequest,
        body: Sequence[bytes],
        request_metadata: UpstreamRequestMetadata,
    ) -> Reply:
        """Send the request, with its body in parts, and return the head of its response.

        Raise ``ConnectionLostError`` or ``AnswerInvalidError``: the request may have been executed.
        """
        assert self.connection is not None
        self.connection.callers.add(request)
        headers = [
            *self.codec.forwarded_headers(request.headers),
            *self.codec.upstream_headers(request_metadata),
        ]
        send = partial(self.connection.send, request.method, request.target, headers, body)
        if sum(map(len, body)) <= defaults.LARGE_BODY_BYTES:
            await send()
            return await self._matching_reply(request)
        reply = await self._send_large(request, send)
        self.body_in_window.on_answered()
        return reply

    async def _send_large(
        self, request: ClientRequest, send: Callable[[], Awaitable[None]]
    ) -> Reply:
        """Send the body while reading the response, which may arrive before the body is sent."""
        results: list[Reply] = []
        failures: list[SkylarkferryError] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_ignoring_loss, send)
            try:
                results.append(await self._matching_reply(request))
            except SkylarkferryError as error:
                failures.append(error)
            if failures or not results[0].is_success:
                tasks.cancel_scope.cancel()
        if failures:
            raise failures[0]
        return results[0]

    async def _send_ignoring_loss(self, send: Callable[[], Awaitable[None]]) -> None:
        """Send a body and ignore a lost connection, which the reader of the response reports."""
        try:
            await send()
        except ConnectionLostError:
            return
        self.body_in_window.on_sent()

    async def _matching_reply(self, request: ClientRequest) -> Reply:
        """Return the response to this request; skip those that may belong to earlier ones."""
        assert self.connection is not None
        for skipped in range(_MAX_RESPONSES):
            response = await self.connection.read_head()
            headers = [(bytes(name), bytes(value)) for name, value in response.headers]
            metadata = self.codec.decode_reply(headers)
            is_first = not (self.connection.exchanges or skipped)
            if _is_response_to(request, metadata, response.status_code, is_first=is_first):
                self.idle_s = metadata.idle_s
                return Reply(response.status_code, headers, metadata)
            self._report_skipped(request, response.status_code, metadata)
            await self.body()
            self.connection.discard_reply()
        raise AnswerInvalidError("received no response with the id of the request")

    def _report_skipped(self, request: ClientRequest, status: int, metadata: ReplyMetadata) -> None:
        """Log a response that is not the request's."""
        reason = "other_request" if metadata.request_id else "no_request_id"
        self.metrics.skipped_responses.labels(reason=reason).inc()
        self.log.emit(
            EventKind.GATEWAY_RESPONSE_SKIPPED,
            request.metadata.program_id,
            request=request.metadata.request_id,
            upstream=self.upstream.entry.upstream,
            status=status,
            reason=reason,
        )

    async def read(self) -> bytes | None:
        """Return the next bytes of the response body, or ``None`` at its end."""
        assert self.connection is not None
        return await self.connection.read()

    async def body(self) -> bytes:
        """Return the whole response body; raise ``AnswerInvalidError`` if it is too large."""
        assert self.connection is not None
        return await self.connection.body(defaults.MAX_ANSWER_BYTES, self.held.grow_to)

    def take_held(self) -> HeldBytes:
        """Return the memory of the response, which the caller releases."""
        held, self.held = self.held, HeldBytes(self.held.share)
        return held

    async def finish(self) -> None:
        """Release the connection for reuse after the end of the response."""
        assert self.connection is not None
        connection, self.connection = self.connection, None
        await self.upstream.release_connection(connection, self.idle_s)


def _is_response_to(
    request: ClientRequest, metadata: ReplyMetadata, status: int, *, is_first: bool
) -> bool:
    """Return whether the response is for this request.

    Only an error may omit the request id, and only as the first response of a connection: any
    other may have been caused by an earlier request.
    """
    if metadata.request_id:
        return metadata.request_id == request.metadata.request_id
    return is_first and (metadata.not_executed or status >= 400)
