"""Calls to an upstream over HTTP; a failed call is classified as not run or as unknown."""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Protocol

import httpx
import msgspec
from httpx_sse import EventSource, SSEError

from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.messages import (
    Fence,
    ModelWork,
    Order,
    Outcome,
    ServiceReply,
    ServiceWork,
    ToolWork,
)
from skylarkferry_core.outcomes import not_run_outcome, unknown_outcome
from skylarkferry_core.states import FinalWord, PoolKind
from skylarkferry_daemon.completions import CompletionReader, completion_body

CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
RETRY_AFTER_S = 1.0
END_OF_STREAM = "[DONE]"
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

Emit = Callable[[str], None]


class BrokenConnectionError(Exception):
    """The connection broke after the request may have been sent."""


class Adapter(Protocol):
    """Runs orders on one kind of upstream."""

    async def run(self, order: Order, emit: Emit) -> Outcome:
        """Run an order, emit its output and return its outcome.

        Raise ``BrokenConnectionError`` if the upstream may have run the order but did not answer.
        """


def fence_headers(fence: Fence) -> dict[str, str]:
    """Return the HTTP headers that carry the fencing number of an order."""
    return {
        "Fencing-Partition": str(fence.partition),
        "Fencing-Epoch": str(fence.epoch),
    }


def new_client(
    upstream_url: str, *, silence_s: float | None = None, idle_connections: int = 0
) -> httpx.AsyncClient:
    """Return a client for the upstream.

    A client for orders keeps no idle connections: the upstream could close one just as an order is
    sent on it.  An upstream that sends nothing for ``silence_s`` seconds counts as a broken
    connection.
    """
    return httpx.AsyncClient(
        base_url=upstream_url,
        timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S, read=silence_s),
        limits=httpx.Limits(max_connections=None, max_keepalive_connections=idle_connections),
        trust_env=False,
    )


@asynccontextmanager
async def _response(
    client: httpx.AsyncClient, request: httpx.Request
) -> AsyncIterator[httpx.Response]:
    """Send a request, yield its streamed response and close it."""
    response = await client.send(request, stream=True)
    try:
        yield response
    finally:
        await response.aclose()


async def _body(response: httpx.Response) -> bytes:
    """Return a response's body; raise ``BrokenConnectionError`` if it is too large."""
    body = bytearray()
    async for piece in response.aiter_bytes():
        body += piece
        if len(body) > MAX_ANSWER_BYTES:
            raise BrokenConnectionError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    return bytes(body)


def _origin_path(path: str) -> str:
    """Return the path with one leading slash, so that it cannot name another host."""
    return "/" + path.lstrip("/")


def _failure_outcome(order: Order, response: httpx.Response) -> Outcome:
    """Return the outcome of a call that the upstream answered with an error status."""
    detail = f"the upstream answered {response.status_code}"
    return Outcome(order.call_id, FinalWord.DONE, error=ErrorCode.UPSTREAM_FAILED, detail=detail)


class ModelAdapter:
    """Streams chat completions from a model engine."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client

    async def run(self, order: Order, emit: Emit) -> Outcome:
        """Stream a chat completion; closing the response cancels it at the engine."""
        assert isinstance(order.work, ModelWork)
        headers = {
            **fence_headers(order.fence),
            "X-Request-Id": order.call_id,
            "Accept": "text/event-stream",
            "Content-Type": "application/json",
        }
        request = self.client.build_request(
            "POST",
            "/v1/chat/completions",
            content=completion_body(order, order.work),
            headers=headers,
        )
        async with _response(self.client, request) as response:
            if response.status_code == HTTPStatus.CONFLICT:
                detail = "the engine saw a higher epoch"
                return not_run_outcome(order.call_id, ErrorCode.STALE_EPOCH, detail)
            if response.status_code != HTTPStatus.OK:
                return _failure_outcome(order, response)
            return await self._read(order, response, emit)

    async def _read(self, order: Order, response: httpx.Response, emit: Emit) -> Outcome:
        reader = CompletionReader()
        async for event in EventSource(response).aiter_sse():
            if event.data == END_OF_STREAM:
                return Outcome(
                    order.call_id, FinalWord.DONE, message=reader.message(), usage=reader.usage
                )
            text = reader.add_event(event.data)
            if text:
                emit(text)
        raise BrokenConnectionError("the stream ended early")


class ToolAdapter:
    """Calls a tool service with JSON arguments."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client

    async def run(self, order: Order, emit: Emit) -> Outcome:
        """Call a tool without retries; the call's id is the idempotency key."""
        assert isinstance(order.work, ToolWork)
        headers = {
            **fence_headers(order.fence),
            "Idempotency-Key": order.call_id,
            "Content-Type": "application/json",
        }
        request = self.client.build_request(
            "POST",
            _origin_path(order.work.path),
            content=order.work.arguments.encode(),
            headers=headers,
        )
        async with _response(self.client, request) as response:
            body = await _body(response)
        result = body.decode(errors="replace")
        if response.is_success:
            return Outcome(order.call_id, FinalWord.DONE, result=result)
        return msgspec.structs.replace(_failure_outcome(order, response), result=result)


class ServiceAdapter:
    """Relays HTTP requests to a service."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client

    async def run(self, order: Order, emit: Emit) -> Outcome:
        """Relay a request without retries; any response status is an answer."""
        work = order.work
        assert isinstance(work, ServiceWork)
        headers = fence_headers(order.fence)
        if work.content_type:
            headers["Content-Type"] = work.content_type
        if not order.repeatable:
            headers["Idempotency-Key"] = order.call_id
        request = self.client.build_request(
            work.method, _origin_path(work.path), content=work.body, headers=headers
        )
        async with _response(self.client, request) as response:
            body = await _body(response)
        content_type = response.headers.get("content-type", "")
        reply = ServiceReply(response.status_code, content_type, body)
        return Outcome(order.call_id, FinalWord.DONE, reply=reply)


class ErrorMappingAdapter:
    """Maps connection errors to outcomes: a call was either not sent or may have run."""

    def __init__(self, adapter: Adapter) -> None:
        self.adapter = adapter

    async def run(self, order: Order, emit: Emit) -> Outcome:
        """Run an order; connection errors become outcomes or ``BrokenConnectionError``."""
        try:
            return await self.adapter.run(order, emit)
        except NOT_SENT_ERRORS as error:
            detail = f"the upstream refused the connection: {type(error).__name__}"
            return not_run_outcome(order.call_id, ErrorCode.NO_UPSTREAM, detail, RETRY_AFTER_S)
        except (httpx.InvalidURL, httpx.UnsupportedProtocol, httpx.LocalProtocolError) as error:
            return not_run_outcome(order.call_id, ErrorCode.BAD_REQUEST, str(error))
        except (httpx.TransportError, SSEError) as error:
            raise BrokenConnectionError(type(error).__name__) from error
        except msgspec.DecodeError as error:
            return unknown_outcome(
                order.call_id, ErrorCode.UPSTREAM_FAILED, f"unreadable answer: {error}"
            )


ADAPTERS: Mapping[PoolKind, Callable[[httpx.AsyncClient], Adapter]] = {
    PoolKind.MODEL: ModelAdapter,
    PoolKind.TOOL: ToolAdapter,
    PoolKind.SERVICE: ServiceAdapter,
}


def adapter_for(kind: PoolKind, client: httpx.AsyncClient) -> Adapter:
    """Return the adapter for a kind of upstream."""
    return ErrorMappingAdapter(ADAPTERS[kind](client))
