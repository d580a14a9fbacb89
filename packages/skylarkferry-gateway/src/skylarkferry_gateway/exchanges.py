"""One send of a request to an upstream, from the connection to the end of its answer."""

from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from types import TracebackType

import anyio
import msgspec

from skylarkferry_core.errors import (
    AnswerInvalidError,
    ConnectionLostError,
    SkylarkferryError,
)
from skylarkferry_gateway import defaults
from skylarkferry_gateway.http_client import HttpConnection
from skylarkferry_gateway.interfaces import HeaderCodec
from skylarkferry_gateway.messages import (
    ClientRequest,
    Headers,
    ReplyMetadata,
    UpstreamRequestMetadata,
)
from skylarkferry_gateway.upstreams import Upstream

_PROMISES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
_MAX_SKIPPED = 3
"""Answers of earlier requests skipped on one connection before it is given up."""


class Reply(msgspec.Struct, frozen=True):
    """Head of an upstream's answer."""

    status: int
    headers: Headers
    metadata: ReplyMetadata

    @property
    def is_success(self) -> bool:
        """Tell whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_trusted(self) -> bool:
        """Tell whether the answer may reach a client as it is.

        A success counts with its signature and without an encoding.  A status that promises that
        nothing ran counts only where the upstream says so itself.
        """
        if self.is_success:
            return self.metadata.is_signed and not self.metadata.is_encoded
        return self.status not in _PROMISES


class Exchange:
    """One send; leaving it before ``finish`` closes the connection, which ends the work there."""

    def __init__(self, upstream: Upstream, codec: HeaderCodec) -> None:
        self.upstream = upstream
        self.codec = codec
        self.connection: HttpConnection | None = None
        self.idle_s: float | None = None

    async def __aenter__(self) -> "Exchange":
        """Count the request at its upstream."""
        self.upstream.in_flight += 1
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Count the request out, and close a connection that was not given back."""
        self.upstream.in_flight -= 1
        if self.connection is not None:
            await self.connection.abort()

    async def connect(self, idle_limit_s: float) -> None:
        """Take a connection; raise ``UpstreamLostError``: nothing was sent."""
        now = anyio.current_time()
        self.connection = await self.upstream.acquire_connection(now, idle_limit_s)

    async def send(
        self, request: ClientRequest, body: bytes, request_metadata: UpstreamRequestMetadata
    ) -> Reply:
        """Send the request and return the head of its own answer.

        Raise ``ConnectionLostError`` or ``AnswerInvalidError``: it may have run.
        """
        assert self.connection is not None
        headers = [
            *self.codec.forwarded_headers(request.headers),
            *self.codec.upstream_headers(request_metadata),
        ]
        send = partial(self.connection.send, request.method, request.target, headers, body)
        if len(body) <= defaults.LARGE_BODY_BYTES:
            await send()
            return await self._own_reply(request)
        return await self._send_large(request, send)

    async def _send_large(
        self, request: ClientRequest, send: Callable[[], Awaitable[None]]
    ) -> Reply:
        """Send a body while the answer is read; an upstream may answer before it has read it."""
        results: list[Reply] = []
        failures: list[SkylarkferryError] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send_quietly, send)
            try:
                results.append(await self._own_reply(request))
            except SkylarkferryError as error:
                failures.append(error)
            if failures or not results[0].is_success:
                tasks.cancel_scope.cancel()
        if failures:
            raise failures[0]
        return results[0]

    async def _own_reply(self, request: ClientRequest) -> Reply:
        """Skip answers of earlier requests that come late on this connection."""
        assert self.connection is not None
        for _ in range(_MAX_SKIPPED):
            response = await self.connection.read_head()
            headers = [(bytes(name), bytes(value)) for name, value in response.headers]
            metadata = self.codec.decode_reply(headers)
            if _is_answer_to(request, metadata, response.status_code):
                self.idle_s = metadata.idle_s
                return Reply(response.status_code, headers, metadata)
            await self.connection.body(defaults.MAX_ANSWER_BYTES)
            self.connection.discard_reply()
        raise AnswerInvalidError("only answers of other requests came")

    async def read(self) -> bytes | None:
        """Return the next bytes of the answer, or ``None`` at its end."""
        assert self.connection is not None
        return await self.connection.read()

    async def body(self) -> bytes:
        """Return the whole body."""
        assert self.connection is not None
        return await self.connection.body(defaults.MAX_ANSWER_BYTES)

    async def finish(self) -> None:
        """Give the connection back after the answer's end."""
        assert self.connection is not None
        connection, self.connection = self.connection, None
        await self.upstream.release_connection(connection, self.idle_s)


def _is_answer_to(request: ClientRequest, metadata: ReplyMetadata, status: int) -> bool:
    """Tell whether an answer is this request's; only a refusal may come without its id."""
    if metadata.request_id:
        return metadata.request_id == request.metadata.request_id
    return metadata.not_executed or status >= 400


async def _send_quietly(send: Callable[[], Awaitable[None]]) -> None:
    """Send a body; when that breaks off, reading the answer fails too and says so."""
    try:
        await send()
    except ConnectionLostError:
        return
