"""Streams that are relayed for longer than a stream can be resumed after its end."""

from contextlib import asynccontextmanager, suppress

import anyio
import httpx
import msgspec
import pytest

from gateway_rig import GRACE_S, ROUTES, config, send, wait_until
from skylarkferry_gateway import defaults
from skylarkferry_standins.replica import process_report
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import Ending, encode_reply
from stream_clients import (
    ONE_ATTEMPT,
    STREAMS,
    add_versions,
    assert_resumed_at_their_versions,
    assign_streams,
    fail_store,
    ids,
    stop_abruptly,
    stop_in_order,
    stored_streams,
    stream_headers,
)

pytestmark = pytest.mark.anyio

KEEP_S = 1.0
LONG_S = 4 * KEEP_S
DEADLINE_MS = 20_000


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(defaults, "STREAM_KEEP_S", KEEP_S)
    monkeypatch.setattr(defaults, "STREAM_KEEP_MARGIN_S", 0.1)
    monkeypatch.setattr(defaults, "STREAM_RENEW_S", KEEP_S / 4, raising=False)
    monkeypatch.setattr(defaults, "STREAMS_SWEEP_S", KEEP_S / 4)


def silent_after_four_events(handle):
    """Return a handler whose streams stop before the fifth event; resumed ones do not stop."""

    async def handler(request):
        reply = await handle(request)
        if process_report(request, born_ms=1) is not None:
            return reply
        if "last-event-id" in request.headers and "hold" not in request.headers:
            return reply
        if reply.raw is None:
            reply = msgspec.structs.replace(reply, raw=encode_reply(reply)[:-3])
        return msgspec.structs.replace(reply, ending=Ending.SILENT)

    return handler


async def add_long_engines(rig, versions=None):
    route = {**ROUTES["/resume-once/"], "timeoutMs": DEADLINE_MS}
    rig.configure(config(version=2, routes={"/resume-once/": route}))
    await add_versions(rig, versions)
    for name, replica in rig.replicas.items():
        rig.servers[name].handler = silent_after_four_events(replica.handle)


@asynccontextmanager
async def long_streams(rig, gateway, resumed=None):
    """Relay streams for longer than they are kept, until the context exits; yield their ids."""
    started = resumed or [next(ids) for _ in range(STREAMS)]
    before = rig.arrivals()

    async def receive(stream):
        fields = stream_headers(stream, deadline_ms=DEADLINE_MS)
        if resumed:
            fields = stream_headers(next(ids), deadline_ms=DEADLINE_MS)
            fields |= {"Last-Event-Id": "2", "Resumes": stream, "Hold": "1"}
        with suppress(httpx.HTTPError):
            await send(rig, ONE_ATTEMPT, fields, b"prompt", gateway=gateway)

    async with anyio.create_task_group() as tasks:
        for stream in started:
            tasks.start_soon(receive, stream)
        await wait_until(lambda: rig.arrivals() - before >= len(started))
        await anyio.sleep(LONG_S)
        yield started
        tasks.cancel_scope.cancel()


async def test_long_stream_is_not_mixed_after_its_gateway_ended(rig):
    assign_streams(rig, {"v1": 1})
    await add_long_engines(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    async with long_streams(rig, first) as started:
        await stop_abruptly(first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_long_stream_goes_on_without_the_store_after_a_planned_stop(rig, monkeypatch):
    monkeypatch.setattr(defaults, "STREAM_KEEP_S", GRACE_S + KEEP_S)  # the stop takes part of it
    await add_long_engines(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await wait_until(lambda: len(first.gateways.nodes) == len(second.gateways.nodes) == 2)
    async with long_streams(rig, first) as started:
        fail_store(rig, StoreFault.REFUSED)
        await stop_in_order(first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_long_stream_is_not_mixed_after_its_assignment_was_replaced(rig):
    assign_streams(rig, {"v1": 1})
    await add_long_engines(rig, {"a1": "v1", "a2": "v1", "a3": "v1", "a4": "v1"})
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    async with long_streams(rig, first) as started:
        await add_versions(rig, {"b1": "v2", "b2": "v2"})
        await wait_until(lambda: len(second.upstreams.upstreams) == len(rig.replicas))
        assign_streams(rig, {"v2": 1})
        await stop_abruptly(first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


@pytest.mark.parametrize("renew_s", [KEEP_S / 4, 20 * LONG_S])
async def test_long_resumed_stream_is_not_mixed_after_its_first_gateway_forgot_it(
    rig, monkeypatch, renew_s
):
    monkeypatch.setattr(defaults, "STREAM_RENEW_S", renew_s, raising=False)
    assign_streams(rig, {"v1": 1})
    await add_long_engines(rig)
    names = ("g1", "g2", "g3")
    first, second, third = [await rig.add_gateway(name) for name in names]
    async with long_streams(rig, first) as started:
        pass
    async with long_streams(rig, second, resumed=started):
        await stop_abruptly(second)
    await assert_resumed_at_their_versions(rig, started, gateway=third)


async def test_rows_of_long_streams_are_deleted_after_their_end(rig):
    assign_streams(rig, {"v1": 1})
    await add_long_engines(rig)
    gateway = await rig.add_gateway("g1")
    async with long_streams(rig, gateway) as started:
        await wait_until(lambda: stored_streams(rig) == len(started))
    await wait_until(lambda: stored_streams(rig) == 0)
    await wait_until(lambda: not gateway.origins.versions)
