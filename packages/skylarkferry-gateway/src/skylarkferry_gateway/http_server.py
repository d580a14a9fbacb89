"""HTTP/1.1 connections from clients: limits on what they send, answers that are never mixed up."""

from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from http import HTTPStatus

import anyio
import h11
import msgspec
from anyio.abc import SocketStream

from skylarkferry_core.errors import (
    BadRequestError,
    BodyTimeoutError,
    BodyTooLargeError,
    HeaderTooLargeError,
    SkylarkferryError,
)
from skylarkferry_core.http_messages import PROBLEM_TYPE, details_of
from skylarkferry_core.routes import ClientLimits
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import Headers


class ClientLeftError(Exception):
    """The client closed its connection."""


class ResponseState(Enum):
    """How far the answer to the current request has come."""

    NONE = "none"
    STREAMING = "streaming"
    DONE = "done"


class ReceivedRequest:
    """Method, target and headers of a request, with its whole body."""

    def __init__(self, request: h11.Request, body: bytes) -> None:
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.headers: Headers = [(bytes(name), bytes(value)) for name, value in request.headers]
        self.body = body

    def header(self, name: bytes) -> bytes:
        """Return the first field of a name, or nothing."""
        return next((value for key, value in self.headers if key == name), b"")


Handler = Callable[[ReceivedRequest, "ClientConnection"], Awaitable[None]]


class ClientConnection:
    """One client's connection: read requests one after the other and answer each."""

    def __init__(
        self,
        stream: SocketStream,
        limits: Callable[[], ClientLimits],
        handler: Handler,
        is_stopping: Callable[[], bool],
    ) -> None:
        self.stream = stream
        self.limits = limits
        self.handler = handler
        self.is_stopping = is_stopping
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits().header_bytes)
        self.inbox: deque[bytes] = deque()
        self.inbox_bytes = 0
        self.arrived = anyio.Event()
        self.drained = anyio.Event()
        self.is_disconnected = False
        self.requests = 0
        self.response_state = ResponseState.NONE
        self.scope: anyio.CancelScope | None = None
        self.idle_scope: anyio.CancelScope | None = None

    async def serve(self) -> None:
        """Serve until the client leaves, breaks a limit or the process stops."""
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
        """Close after what was sent has left; forcefully when an answer is cut off."""
        if self.response_state is ResponseState.STREAMING:
            await anyio.aclose_forcefully(self.stream)
        else:
            await self.stream.aclose()

    async def _read(self) -> None:
        """Move bytes to the inbox, and cancel the request under way when the client leaves."""
        try:
            while True:
                data = await self.stream.receive(defaults.RECEIVE_BYTES)
                self.inbox.append(data)
                self.inbox_bytes += len(data)
                self.arrived.set()
                while self.inbox_bytes > defaults.PIPELINED_BYTES:
                    self.drained = anyio.Event()
                    await self.drained.wait()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.is_disconnected = True
            self.arrived.set()
            if self.scope is not None:
                self.scope.cancel()

    async def _next_data(self) -> bytes:
        while not self.inbox:
            if self.is_disconnected:
                return b""
            self.arrived = anyio.Event()
            await self.arrived.wait()
        data = self.inbox.popleft()
        self.inbox_bytes -= len(data)
        self.drained.set()
        return data

    async def _serve_one(self) -> bool:
        """Serve one request and return whether another may follow."""
        try:
            head = await self._read_request()
        except SkylarkferryError as error:
            await self.send_error(error, closes=True)
            return False
        if head is None:
            return False
        self.requests += 1
        self.response_state = ResponseState.NONE
        with anyio.CancelScope() as self.scope:
            await self.handler(head, self)
        self.scope = None
        return self._can_go_on()

    def _can_go_on(self) -> bool:
        if self.is_disconnected or self.response_state is not ResponseState.DONE:
            return False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    async def _read_request(self) -> ReceivedRequest | None:
        """Return the next request, or ``None`` at an orderly end; raise for broken limits."""
        if not await self._wait_for_bytes():
            return None
        limits = self.limits()
        with anyio.move_on_after(limits.header_s):
            event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            _check_head(event, limits)
            return ReceivedRequest(event, await self._read_body(event, limits))
        raise BodyTimeoutError(f"the request did not arrive within {limits.header_s:g} s")

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first byte of a request; return ``False`` when the connection ends."""
        if self.inbox or self.http.trailing_data[0]:
            return not self.is_disconnected or bool(self.inbox)
        started = anyio.current_time()
        while not self.is_disconnected:
            left_s = started + self.limits().idle_s - anyio.current_time()
            if left_s <= 0 or (self.is_stopping() and self.requests > 0):
                return False
            with anyio.move_on_after(left_s) as self.idle_scope:
                self.arrived = anyio.Event()
                await self.arrived.wait()
            self.idle_scope = None
            if self.inbox:
                return True
        return False

    def close_if_idle(self) -> None:
        """End the wait for a further request; a new connection still gets to send its first."""
        if self.idle_scope is not None and self.requests > 0:
            self.idle_scope.cancel()

    async def _read_body(self, request: h11.Request, limits: ClientLimits) -> bytes:
        if _content_length(request) > limits.body_bytes:
            raise BodyTooLargeError(f"expected at most {limits.body_bytes} bytes")
        if self.http.they_are_waiting_for_100_continue:
            await self._send(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
        parts: list[bytes] = []
        size = 0
        while isinstance(event := await self._next_event(), h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > limits.body_bytes:
                raise BodyTooLargeError(f"expected at most {limits.body_bytes} bytes")
        if not isinstance(event, h11.EndOfMessage):
            raise ClientLeftError
        return b"".join(parts)

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
                    raise HeaderTooLargeError(str(error)) from error
                if self.is_disconnected:
                    raise ClientLeftError from error
                raise BadRequestError(f"not a request: {error}") from error
            if event is h11.NEED_DATA:
                self.http.receive_data(await self._next_data())
            elif isinstance(event, h11.Event):
                return event
            else:
                raise BadRequestError("more bytes came than the request has")

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        framed = [*headers, (b"content-length", str(len(body)).encode())]
        response = h11.Response(status_code=status, headers=self._with_close(framed))
        parts = [self.http.send(response), self.http.send(h11.Data(data=body))]
        parts.append(self.http.send(h11.EndOfMessage()))
        self.response_state = ResponseState.STREAMING
        await self._send(b"".join(part for part in parts if part))
        self.response_state = ResponseState.DONE

    async def start_response(self, status: int, headers: Headers, data: bytes) -> None:
        """Begin an answer without a length, with its first bytes."""
        response = h11.Response(status_code=status, headers=self._with_close(headers))
        self.response_state = ResponseState.STREAMING
        head = self.http.send(response) or b""
        first = self.http.send(h11.Data(data=data)) if data else b""
        await self._send(head + (first or b""))

    async def send_data(self, data: bytes) -> None:
        """Send further bytes of the answer."""
        await self._send(self.http.send(h11.Data(data=data)))

    async def end_response(self) -> None:
        """End the answer as complete."""
        await self._send(self.http.send(h11.EndOfMessage()))
        self.response_state = ResponseState.DONE

    async def send_error(self, error: SkylarkferryError, closes: bool = False) -> None:
        """Send a typed failure."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers: Headers = [(b"content-type", PROBLEM_TYPE.encode())]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", f"{error.retry_after_s:g}".encode()))
        if closes:
            headers.append((b"connection", b"close"))
        await self.respond(error.status, headers, msgspec.json.encode(details_of(error)))

    def _with_close(self, headers: Headers) -> Headers:
        if not self.is_stopping() or any(name == b"connection" for name, _ in headers):
            return headers
        return [*headers, (b"connection", b"close")]

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
    """Raise ``HeaderTooLargeError``; the parser bounds only a head that is not whole yet."""
    size = len(request.target) + sum(len(name) + len(value) for name, value in request.headers)
    if size > limits.header_bytes:
        raise HeaderTooLargeError(f"expected a head of at most {limits.header_bytes} bytes")


def _content_length(request: h11.Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0
