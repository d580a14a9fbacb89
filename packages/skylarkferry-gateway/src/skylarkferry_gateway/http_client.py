"""HTTP/1.1 client connections: one exchange at a time, with a distinct error for each failure."""

import socket
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from http import HTTPStatus

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from skylarkferry_core.errors import (
    AnswerInvalidError,
    ConnectionLostError,
    MalformedDataError,
    UpstreamLostError,
)
from skylarkferry_core.ids import CustomerId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.decoding import check_address
from skylarkferry_gateway.messages import ClientRequest, Headers
from skylarkferry_gateway.sockets import is_readable, is_reset

_MAX_HEAD_BYTES = 65_536
_ZEROS = bytes(65_536)
_MAX_RECENT_REQUESTS = 64
"""Requests of a connection whose customers are kept; a response comes late by a few requests."""
_MAX_STATUS = 599
_RESET_WAIT_S = 0.02
"""Time in which a reset arrives that was sent right after the end of a response."""
_MAX_INTERIM_RESPONSES = 8
"""Interim (1xx) responses accepted before a response; servers send one or two."""


def enable_keepalive(stream: SocketStream) -> None:
    """Enable TCP keep-alive and the user timeout, so that the kernel resets dead connections."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, defaults.KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, defaults.KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, defaults.KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, defaults.TCP_USER_TIMEOUT_MS)


async def connect(address: str, timeout_s: float = defaults.CONNECT_TIMEOUT_S) -> "HttpConnection":
    """Open a connection to ``ip:port``; raise ``UpstreamLostError`` on failure.

    The address may be anything that another process wrote.
    """
    host, _, port = address.rpartition(":")
    try:
        check_address(address)
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError, MalformedDataError) as error:
        raise UpstreamLostError(f"cannot connect to {address}: {error!r}") from error
    enable_keepalive(stream)
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, defaults.UNSENT_BYTES)
    return HttpConnection(stream)


class RecentCallers:
    """Customers of the latest requests on a connection, by request id."""

    def __init__(self) -> None:
        self.by_request_id: dict[str, CustomerId | None] = {}

    def add(self, request: ClientRequest) -> None:
        """Record a request that is sent; forget the oldest one if there are too many."""
        request_id = request.metadata.request_id
        self.by_request_id.pop(request_id, None)
        self.by_request_id[request_id] = _customer_name(request)
        if len(self.by_request_id) > _MAX_RECENT_REQUESTS:
            del self.by_request_id[next(iter(self.by_request_id))]

    def has_other(self, request: ClientRequest) -> bool:
        """Return whether another customer, or nobody, has sent a request with this id."""
        name = _customer_name(request)
        return self.by_request_id.get(request.metadata.request_id, name) != name


def _customer_name(request: ClientRequest) -> CustomerId | None:
    return request.customer.name if request.customer is not None else None


class HttpConnection:
    """One connection; ``idle_since`` is the monotonic time at which the last exchange ended."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.is_request_sent = False
        self.ends_with_connection = False
        self.opened_at = self.idle_since = anyio.current_time()
        self.idle_s = defaults.POOL_IDLE_S
        self.exchanges = 0
        self.callers = RecentCallers()

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: Sequence[bytes]
    ) -> None:
        """Send a request with its body in parts, which are not joined.

        Raise ``ConnectionLostError`` if the connection breaks.
        """
        size = sum(map(len, body))
        sized_headers = [*headers, (b"content-length", str(size).encode())]
        self.request = h11.Request(method=method, target=target, headers=sized_headers)
        self.is_request_sent = False
        head = self._pass_to_parser(self.request, size)
        try:
            for data in _batches(head, body):
                await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise ConnectionLostError(f"connection lost while sending: {error!r}") from error
        self.is_request_sent = True

    def _pass_to_parser(self, request: h11.Request, size: int) -> bytes:
        """Tell the parser that a request with a body of this size is sent; return its head.

        The parser only counts the bytes of a body.
        """
        head = self.http.send(request) or b""
        for start in range(0, size, len(_ZEROS)):
            self.http.send_with_data_passthrough(h11.Data(data=_ZEROS[: size - start]))
        self.http.send(h11.EndOfMessage())
        return head

    async def read_head(
        self,
        max_interim: int = _MAX_INTERIM_RESPONSES,
        on_interim: Callable[[], None] = lambda: None,
    ) -> h11.Response:
        """Return the response head; raise ``ConnectionLostError`` or ``AnswerInvalidError``.

        ``on_interim`` is called for each interim response before it.
        """
        for _ in range(max_interim + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > _MAX_STATUS:
                    raise AnswerInvalidError(f"invalid status {event.status_code}")
                self.ends_with_connection = _ends_with_connection(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise AnswerInvalidError(f"expected a response head, got {event!r}")
            on_interim()
        raise AnswerInvalidError(f"more than {max_interim} interim responses")

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, or ``None`` at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self.ends_with_connection:
                await self._check_end()
            return None
        raise AnswerInvalidError(f"expected a response body, got {event!r}")

    async def _check_end(self) -> None:
        """Raise ``ConnectionLostError`` if the connection was not ended in order.

        An upstream that ends a connection before it has read the request resets it, at times right
        after the end of its own direction, which then looks like the end of the response.
        """
        if self._request_body_bytes() > defaults.LARGE_BODY_BYTES:
            await anyio.sleep(_RESET_WAIT_S)
        if not self.is_request_sent or is_reset(self.stream):
            raise ConnectionLostError("connection reset at the end of a response without a length")

    async def body(
        self, limit_bytes: int, on_growth: Callable[[int], None] = lambda size: None
    ) -> bytes:
        """Return the whole body; raise ``AnswerInvalidError`` if it exceeds ``limit_bytes``.

        ``on_growth`` is called with the size so far before each part is kept.
        """
        parts: list[bytes] = []
        size = 0
        while (data := await self.read()) is not None:
            size += len(data)
            if size > limit_bytes:
                raise AnswerInvalidError(f"the response body exceeds {limit_bytes} bytes")
            on_growth(size)
            parts.append(data)
        return b"".join(parts)

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerInvalidError(f"malformed response: {error}") from error
            if event is h11.NEED_DATA:
                self.http.receive_data(await self._receive())
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("the connection was closed before a response")
            elif isinstance(event, h11.Event):
                return event
            else:
                raise AnswerInvalidError("unexpected bytes after the end of the response")

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive(defaults.RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise ConnectionLostError(f"connection reset: {error!r}") from error

    def discard_reply(self) -> None:
        """Prepare to read another response: the one just read belongs to an earlier request."""
        trailing, has_ended = self.http.trailing_data
        if self.request is None or has_ended:
            raise ConnectionLostError(
                "the connection was closed after the response to another request"
            )
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._pass_to_parser(self.request, self._request_body_bytes())
        if trailing:
            self.http.receive_data(trailing)

    def _request_body_bytes(self) -> int:
        assert self.request is not None
        return int(dict(self.request.headers)[b"content-length"])

    def finish(self, idle_s: float | None) -> bool:
        """End the exchange and return whether the connection can be reused."""
        self.exchanges += 1
        if not self.is_request_sent or self.http.trailing_data[0]:
            return False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        self.idle_since = anyio.current_time()
        if idle_s is not None:
            self.idle_s = max(idle_s - defaults.POOL_IDLE_MARGIN_S, 0.0)
        return True

    def is_within_limits(self, now: float, limit_s: float) -> bool:
        """Return whether an idle connection has not rested for too long."""
        return now - self.idle_since <= min(self.idle_s, limit_s)

    def is_reusable(self, now: float, limit_s: float) -> bool:
        """Return whether an idle connection is open, without unread bytes and within its limits."""
        if not self.is_within_limits(now, limit_s):
            return False
        return not is_readable(self.stream)

    async def abort(self) -> None:
        """Close at once, which makes the server stop the current request."""
        with suppress(OSError):
            await anyio.aclose_forcefully(self.stream)


def _ends_with_connection(response: h11.Response) -> bool:
    """Return whether the end of the connection is that of the response's body."""
    has_body = response.status_code not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
    names = {name for name, _ in response.headers}
    return has_body and not names & {b"content-length", b"transfer-encoding"}


def _batches(head: bytes, body: Sequence[bytes]) -> Iterator[bytes]:
    """Yield a request in batches of at most ``BODY_SEND_BYTES``, so that only one is copied."""
    batch = [head]
    size = len(head)
    for part in body:
        for start in range(0, len(part), defaults.BODY_SEND_BYTES):
            piece = part[start : start + defaults.BODY_SEND_BYTES]
            if size + len(piece) > defaults.BODY_SEND_BYTES:
                yield b"".join(batch)
                batch, size = [], 0
            batch.append(piece)
            size += len(piece)
    if batch:
        yield b"".join(batch)
