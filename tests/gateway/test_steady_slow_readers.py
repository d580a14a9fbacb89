import socket
from types import SimpleNamespace

import anyio
import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.routes import ClientLimits
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import MemoryAccount, MemoryUse
from skylarkferry_gateway.http_server import ClientConnection, ClientLeftError

pytestmark = pytest.mark.anyio

PART = b"x" * defaults.SEND_BYTES
WATCHED_S = 5.0
"""Longer than the kernel accepts no further bytes for such a reader."""


# Guards against clients that are cut off although they read steadily, because the kernel accepts
# further bytes only after much of its buffer is free.
async def test_client_that_reads_slowly_and_steadily_is_not_cut_off_while_memory_is_scarce():
    account = MemoryAccount(128_000_000)
    account.shares[MemoryUse.RESPONSES].reserve(int(account.limit_bytes * 0.55))
    cut_off = []

    async def serve(stream):
        memory = SimpleNamespace(account=account)
        client = ClientConnection(stream, ClientLimits, None, lambda: False, memory)
        try:
            while True:
                await client._send(PART)
        except ClientLeftError:
            cut_off.append(True)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = listener.listeners[0].extra(SocketAttribute.local_address)
    with socket.socket() as reader, anyio.move_on_after(WATCHED_S):
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        reader.connect(address)
        reader.setblocking(False)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            while not cut_off:
                await anyio.sleep(0.1)
                reader.recv(5_000)
    assert_that(cut_off, Equals([]))
