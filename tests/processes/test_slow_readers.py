"""A gateway process with the memory of the smallest host, before many clients that read slowly."""

import asyncio
import contextlib
import json
import socket

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_process import SMALLEST_MEMORY_MB, GatewayProcess, listening
from gateway_rig import config, entry, headers, turn_headers
from skylarkferry_standins.replica import Replica
from skylarkferry_standins.row_store import RowStore
from skylarkferry_standins.wire_server import WireReply

pytestmark = pytest.mark.anyio

RESPONSE_BYTES = 6_000_000
"""Size of a response and of a stream; the buffers of a socket on loopback take some 3 MB."""
STREAM = b"".join(
    f"id: {number}\ndata: ".encode().ljust(998, b"x") + b"\n\n"
    for number in range(1, RESPONSE_BYTES // 1_000 + 1)
)
READERS = 50
"""Slow readers of each kind; what they ask for is 600 MB."""


class LargeResponses(Replica):
    """Replica with responses and streams of some MB for the paths of the slow readers."""

    async def handle(self, request):
        reply = await super().handle(request)
        if "slow" not in request.target or reply.status != 200:
            return reply
        is_stream = "skylarkferry-token-usage" in request.headers
        body = STREAM if is_stream else b"y" * RESPONSE_BYTES
        return WireReply(200, reply.headers, body)


@contextlib.asynccontextmanager
async def gateway_before_upstreams(directory):
    """Run a gateway process before one plain service and one engine."""
    store = RowStore()
    document = config(
        1,
        {
            "/once/": {"kind": "non_idempotent", "service": "tools", "maxAttempts": 1},
            "/turn/": {
                "kind": "streaming",
                "service": "engine",
                "retentionS": 60.0,
                "maxAttempts": 1,
            },
        },
    )
    store.put("op", "", "config", json.dumps(document).encode())
    async with anyio.create_task_group() as tasks, contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(listening(tasks, store.handle))
        for name, service in (("r1", "tools"), ("e1", "engine")):
            replica = LargeResponses(name)
            address = await stack.enter_async_context(listening(tasks, replica.handle))
            row = entry(replica, service, address)
            store.put("servers", "", name, json.dumps(row).encode())
        gateway = GatewayProcess(directory, store_address)
        stack.push_async_callback(gateway.end)
        await gateway.wait_until_ready()
        yield gateway


async def begin_slowly(gateway, stack, path, fields):
    """Send a request without reading its response."""
    client = stack.enter_context(socket.socket())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        await loop.sock_connect(client, (gateway.ip, 8149))
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = [f"POST {path} HTTP/1.1", *lines, "Content-Length: 1", "", ""]
        await loop.sock_sendall(client, "\r\n".join(head).encode() + b"p")


async def test_slow_readers_cost_neither_the_process_nor_other_clients(tmp_path):
    """Guards against a process that is ended because slow readers made it exceed its memory."""
    served, refused = [], 0
    async with gateway_before_upstreams(tmp_path) as gateway, httpx.AsyncClient() as client:
        with contextlib.ExitStack() as stack:
            for number in range(READERS):
                fields = headers(f"r-{number}", 60_000)
                await begin_slowly(gateway, stack, "/once/slow", fields)
                fields = turn_headers(f"s-{number}", f"p-{number}", deadline_ms=60_000)
                await begin_slowly(gateway, stack, "/turn/slow", fields)
                for kind in ("small", "after"):
                    fields = headers(f"{kind}-{number}")
                    response = await gateway.send(client, "/once/1", fields, b"x" * 1_000)
                    served.append(response.status_code)
                    refused += response.status_code != 200
                await anyio.sleep(0.05)
        is_running = gateway.process.poll() is None
        peak_mb = gateway.peak_mb()
    print(f"peak {peak_mb:.1f} MB, {refused} of {len(served)} other requests refused")
    assert_that(is_running, Equals(True))
    assert peak_mb < SMALLEST_MEMORY_MB
    assert_that(set(served), Equals({200}))
