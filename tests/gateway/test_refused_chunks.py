"""Requests with malformed chunks that arrive while the memory for requests is in use."""

from unittest.mock import MagicMock

import anyio
import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import StartsWith

from skylarkferry_core.routes import ClientLimits
from skylarkferry_gateway.held_memory import MemoryAccount
from skylarkferry_gateway.http_server import ClientConnection
from skylarkferry_gateway.request_memory import RequestMemory

pytestmark = pytest.mark.anyio


async def test_malformed_chunk_is_refused_while_memory_is_full():
    """Guards against a parser error that ends the connection without a response."""
    account = MemoryAccount(128_000_000)
    for share in account.shares.values():
        share.reserve(min(share.limit_bytes, account.limit_bytes - account.used))
    memory = RequestMemory(account, MagicMock(), MagicMock())

    async def serve(stream):
        await ClientConnection(stream, ClientLimits, None, lambda: False, memory).serve()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = listener.extra(SocketAttribute.local_address)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        async with await anyio.connect_tcp(*address) as client:
            head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            await client.send(head + b"zz\r\n")
            with anyio.fail_after(2):
                assert_that(await client.receive(), StartsWith(b"HTTP/1.1 503"))
        tasks.cancel_scope.cancel()
