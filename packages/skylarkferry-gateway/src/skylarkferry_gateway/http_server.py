"""HTTP/1.1 server connections, which enforce the limits on client requests."""

import math
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum
from http import HTTPStatus

import anyio
import h11
import msgspec
from anyio.abc import SocketStream
from anyio.lowlevel import checkpoint

from skylarkferry_core.errors import (
    BadRequestError,
    BodyTimeoutError,
    BodyTooLargeError,
    HeaderTooLargeError,
    OverloadedError,
    SkylarkferryError,
)
from skylarkferry_core.http_messages import PROBLEM_TYPE, details_of
from skylarkferry_core.routes import ClientLimits
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import HeldBytes
from skylarkferry_gateway.messages import Headers
from skylarkferry_gateway.request_memory import RequestMemory
from skylarkferry_gateway.sockets import is_readable, is_writable


class ClientLeftError(Exception):
    """The client closed its connection or stopped reading."""


class ResponseState(Enum):
    """Progress of the response to the current request."""

    NONE = "none"
    STREAMING = "streaming"
    DONE = "done"


class ReceivedRequest:
    """Method, target, headers and whole body of a received request."""

    def __init__(self, request: h11.Request, body: bytes) -> None:
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.headers: Headers = [(bytes(name), bytes(value)) for name, value in request.headers]
        self.body = body

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or empty bytes."""
        return next((value for key, value in self.headers if key == name), b"")


Handler = Callable[[ReceivedRequest, "ClientConnection"], Awaitable[None]]


class ClientConnection:
    """One client's connection; requests are served one at a time, in the order received."""

    def __init__(
        self,
        stream: SocketStream,
        limits: Callable[[], ClientLimits],
        handler: Handler,
        is_stopping: Callable[[], bool],
        memory: RequestMemory | None = None,
    ) -> None:
        self.stream = stream
        self.limits = limits
        self.handler = handler
        self.is_stopping = is_stopping
        self.memory = memory
        self.held_body: HeldBytes | None = None
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits().header_bytes)
        self.input_chunks: deque[bytes] = deque()
        self.input_bytes = 0
        self.received_bytes = 0
        self.answered_until: int | None = None
        self.input_available = anyio.Event()
        self.input_consumed = anyio.Event()
        self.is_disconnected = False
        self.requests = 0
        self.response_state = ResponseState.NONE
        self.request_scope: anyio.CancelScope | None = None
        self.idle_scope: anyio.CancelScope | None = None
        self.first_request_by = math.inf

    async def serve(self) -> None:
        """Serve requests until the client disconnects, violates a limit or the process stops."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read)
                try:
                    while await self._serve_one():
                        pass
                except (ClientLeftError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                    pass
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await self._close()

    async def _close(self) -> None:
        """Close the connection; abort it during a response, so that it does not look complete."""
        if self.response_state is ResponseState.STREAMING:
            await anyio.aclose_forcefully(self.stream)
        else:
            await self.stream.aclose()

    async def _read(self) -> None:
        """Read bytes into the input buffer; cancel the current request on a disconnect."""
        try:
            while True:
                data = await self.stream.receive(defaults.RECEIVE_BYTES)
                self.input_chunks.append(data)
                self.input_bytes += len(data)
                self.received_bytes += len(data)
                self.input_available.set()
                while self.input_bytes > defaults.PIPELINED_BYTES:
                    self.input_consumed = anyio.Event()
                    await self.input_consumed.wait()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.is_disconnected = True
            self.input_available.set()
            if self.request_scope is not None:
                self.request_scope.cancel()

    async def _next_chunk(self) -> bytes:
        while not self.input_chunks:
            if self.is_disconnected:
                return b""
            self.input_available = anyio.Event()
            await self.input_available.wait()
        data = self.input_chunks.popleft()
        self.input_bytes -= len(data)
        self.input_consumed.set()
        return data

    async def _serve_one(self) -> bool:
        """Serve one request and return whether the connection can take another."""
        try:
            return await self._read_and_handle()
        finally:
            if self.held_body is not None:
                self.held_body.release()
                self.held_body = None

    async def _read_and_handle(self) -> bool:
        try:
            received = await self._read_request()
        except OverloadedError as error:
            return await self._refuse(error)
        except SkylarkferryError as error:
            await self.send_error(error, closes_connection=True)
            return False
        if received is None:
            return False
        self.requests += 1
        self.response_state = ResponseState.NONE
        with anyio.CancelScope() as self.request_scope:
            await self.handler(received, self)
        self.request_scope = None
        return self._can_reuse()

    async def _refuse(self, error: OverloadedError) -> bool:
        """Refuse a request whose body was not received; one without a body costs no connection."""
        self.response_state = ResponseState.NONE
        if self.http.their_state is h11.DONE:
            await self.send_error(error)
            return self._can_reuse()
        await self.send_error(error, closes_connection=True)
        with anyio.move_on_after(defaults.REFUSED_BODY_S):
            while await self._next_chunk():
                pass
        return False

    def _can_reuse(self) -> bool:
        if self.is_disconnected or self.response_state is not ResponseState.DONE:
            return False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    async def _read_request(self) -> ReceivedRequest | None:
        """Return the next request, or ``None`` at the end of the connection.

        Raise a ``SkylarkferryError`` for a malformed request or one that exceeds a limit.
        """
        if not await self._wait_for_bytes():
            return None
        limits = self.limits()
        with anyio.move_on_after(limits.header_s):
            event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            _check_head(event, limits)
            return ReceivedRequest(event, await self._read_body(event, limits))
        raise BodyTimeoutError(f"request not received within {limits.header_s:g} s")

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first byte of a request; return ``False`` if the connection ends first."""
        if self.input_chunks or self.http.trailing_data[0]:
            return not self.is_disconnected or bool(self.input_chunks)
        wait_started_at = anyio.current_time()
        while not self.is_disconnected:
            wait_ends_at = self._wait_end(wait_started_at)
            if wait_ends_at <= anyio.current_time():
                return await self._end_wait()
            with anyio.move_on_at(wait_ends_at) as self.idle_scope:
                self.input_available = anyio.Event()
                await self.input_available.wait()
            self.idle_scope = None
            if self.input_chunks:
                return True
        return False

    def _wait_end(self, wait_started_at: float) -> float:
        """Return the monotonic time at which the wait for a request ends."""
        idle_end = wait_started_at + self.limits().idle_s
        if not self.is_stopping():
            return idle_end
        return min(idle_end, wait_started_at if self.requests > 0 else self.first_request_by)

    async def _end_wait(self) -> bool:
        """End the wait for a request; return whether one has arrived in the last moment.

        A client must not lose a request that it sent before it could see the end of the connection,
        also if the event loop was late and has not read the request yet.
        """
        if not self._has_input():
            # The reader passes on what the event loop has already read from the socket.
            await checkpoint()
        if not self._has_input():
            # Nothing is read between this check and the end that the client sees.
            await self.stream.send_eof()
            return False
        while not self.input_chunks and not self.is_disconnected:
            self.input_available = anyio.Event()
            await self.input_available.wait()
        return bool(self.input_chunks)

    def _has_input(self) -> bool:
        return bool(self.input_chunks) or self.is_disconnected or is_readable(self.stream)

    def close_if_idle(self, first_request_by: float = math.inf) -> None:
        """End the wait for another request, and at the given time that for a first one."""
        self.first_request_by = first_request_by
        if self.idle_scope is not None:
            self.idle_scope.cancel()

    async def _read_body(self, request: h11.Request, limits: ClientLimits) -> bytes:
        stated_bytes = _content_length(request)
        if stated_bytes > limits.body_bytes:
            raise BodyTooLargeError(f"request body exceeds {limits.body_bytes} bytes")
        if self.memory is not None:
            self.held_body = self._admit(self.memory, stated_bytes)
        if self.http.they_are_waiting_for_100_continue:
            await self._send(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
        parts: list[bytes] = []
        size = 0
        while isinstance(event := await self._next_event(), h11.Data):
            size += len(event.data)
            if size > limits.body_bytes:
                raise BodyTooLargeError(f"request body exceeds {limits.body_bytes} bytes")
            if self.memory is not None and self.held_body is not None:
                self.memory.grow(self.held_body, size)
            parts.append(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            raise ClientLeftError
        return b"".join(parts)

    def _admit(self, memory: RequestMemory, stated_bytes: int) -> HeldBytes:
        """Return the memory for the body; raise ``OverloadedError`` before any of it is read."""
        try:
            return memory.admit(stated_bytes)
        except OverloadedError:
            if self.http.their_state is not h11.SEND_BODY or stated_bytes:
                raise
            with suppress(h11.RemoteProtocolError):  # a malformed chunk is refused all the same
                self.http.next_event()  # the end of a request without a body
            raise

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
                    raise HeaderTooLargeError(str(error)) from error
                if self.is_disconnected:
                    raise ClientLeftError from error
                # The parser quotes the line after the colon, which may hold the caller's key.
                fault = str(error).partition(":")[0]
                raise BadRequestError(f"malformed HTTP request: {fault}") from error
            if event is h11.NEED_DATA:
                self.http.receive_data(await self._next_chunk())
            elif isinstance(event, h11.Event):
                return event
            else:
                raise BadRequestError("unexpected bytes after the end of the request")

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        sized_headers = [*headers, (b"content-length", str(len(body)).encode())]
        response = h11.Response(
            status_code=status, headers=self._with_connection_header(sized_headers)
        )
        data = self.http.send(response) or b""
        self.response_state = ResponseState.STREAMING
        for start in range(0, len(body), defaults.SEND_BYTES):
            if start:
                await self._send(data)
                data = b""
            part = body[start : start + defaults.SEND_BYTES]
            data += self.http.send(h11.Data(data=part)) or b""
        await self._send(data + (self.http.send(h11.EndOfMessage()) or b""))
        self.response_state = ResponseState.DONE

    async def send_interim(self) -> None:
        """Tell the client that its request is still being processed."""
        await self._send(
            self.http.send(h11.InformationalResponse(status_code=HTTPStatus.PROCESSING, headers=[]))
        )

    async def start_response(self, status: int, headers: Headers, data: bytes) -> None:
        """Start a response of unknown length with its first bytes."""
        response = h11.Response(status_code=status, headers=self._with_connection_header(headers))
        self.response_state = ResponseState.STREAMING
        head = self.http.send(response) or b""
        first = self.http.send(h11.Data(data=data)) if data else b""
        await self._send(head + (first or b""))

    def is_writable(self) -> bool:
        """Return whether the client's socket accepts bytes without a wait."""
        return is_writable(self.stream)

    async def send_data(self, data: bytes) -> None:
        """Send further bytes of the response body."""
        await self._send(self.http.send(h11.Data(data=data)))

    async def end_response(self) -> None:
        """End the response body."""
        await self._send(self.http.send(h11.EndOfMessage()))
        self.response_state = ResponseState.DONE

    async def send_error(self, error: SkylarkferryError, closes_connection: bool = False) -> None:
        """Send an error as a problem details response, unless a response was begun."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers: Headers = [(b"content-type", PROBLEM_TYPE.encode())]
        if error.status == HTTPStatus.UNAUTHORIZED:
            headers.append((b"www-authenticate", b"Bearer"))
        if error.retry_after_s is not None:
            headers.append((b"retry-after", f"{error.retry_after_s:g}".encode()))
        if closes_connection:
            headers.append((b"connection", b"close"))
        await self.respond(error.status, headers, msgspec.json.encode(details_of(error)))

    def _with_connection_header(self, headers: Headers) -> Headers:
        if not self.is_stopping() or any(name == b"connection" for name, _ in headers):
            return headers
        return headers if self._has_next() else [*headers, (b"connection", b"close")]

    def _has_next(self) -> bool:
        """Return whether a request is left that had begun to arrive before the first such call.

        These are answered before a stop closes the connection; later ones do not hold it up.
        """
        if self.answered_until is None:
            self.answered_until = self.received_bytes
        left_bytes = self.input_bytes + len(self.http.trailing_data[0])
        return self.received_bytes - left_bytes < self.answered_until

    async def _send(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            with anyio.fail_after(defaults.CLIENT_SEND_S):
                await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as error:
            self.is_disconnected = True
            raise ClientLeftError from error


def _check_head(request: h11.Request, limits: ClientLimits) -> None:
    """Raise ``HeaderTooLargeError``; the parser itself limits only incomplete heads."""
    size = len(request.target) + sum(len(name) + len(value) for name, value in request.headers)
    if size > limits.header_bytes:
        raise HeaderTooLargeError(f"request head exceeds {limits.header_bytes} bytes")


def _content_length(request: h11.Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0
