from contextlib import suppress

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from gateway_rig import TIMEOUT_S, disconnecting_client, send, turn_headers, wait_until
from skylarkferry_gateway import attempts
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour, Replica
from skylarkferry_standins.wire_server import WireRequest, encode_reply

pytestmark = pytest.mark.anyio

COMPLETE_STREAM = b"".join(
    f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENT_COUNT + 1)
)


async def test_stream_is_relayed_complete(rig):
    await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    response = await send(rig, "/turn/1", turn_headers("t-1"), b"prompt")
    assert_that((response.status_code, response.content), Equals((200, COMPLETE_STREAM)))
    run = rig.replicas["e1"].runs[0]
    assert_that(run.headers["skylarkferry-request-priority"], Equals("4"))


async def test_resumable_stream_continues_on_another_upstream_without_gap_or_repeat(rig):
    for name in ("e1", "e2"):
        replica = await rig.add_replica(name, "engine")
        replica.behaviour = lambda request: (
            Behaviour.SERVE if "last-event-id" in request.headers else Behaviour.CUT_IN_EVENT
        )
    await rig.add_gateway()
    response = await send(rig, "/resume/1", turn_headers("t-1"), b"prompt")
    assert_that((response.status_code, response.content), Equals((200, COMPLETE_STREAM)))
    assert_that(sum(len(replica.runs) for replica in rig.replicas.values()), Equals(2))


async def test_resuming_client_gets_only_later_events(rig):
    await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    fields = {**turn_headers("t-1"), "Last-Event-Id": "3"}
    response = await send(rig, "/resume/1", fields, b"prompt")
    assert_that(response.content, Equals(b"id: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n"))


@pytest.mark.parametrize(
    "failure", [Behaviour.CUT_IN_EVENT, Behaviour.REPEAT_EVENT, Behaviour.BUSY_AFTER_ALL]
)
async def test_failed_stream_never_looks_complete(rig, failure):
    for name in ("e1", "e2"):
        (await rig.add_replica(name, "engine")).behaviour = lambda request: failure
    await rig.add_gateway()
    received = b""
    is_complete = False
    async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
        try:
            async with client.stream(
                "POST", rig.url("/turn/1"), headers=turn_headers("t-1"), content=b"prompt"
            ) as response:
                async for data in response.aiter_raw():
                    received += data if response.status_code == httpx.codes.OK else b""
                is_complete = response.status_code == httpx.codes.OK
        except httpx.RemoteProtocolError:
            is_complete = False
    assert_that(is_complete, Equals(False))
    assert_that(response.status_code in (200, 502), Equals(True))
    assert_that(COMPLETE_STREAM.startswith(received), Equals(True))
    assert_that(sum(len(replica.runs) for replica in rig.replicas.values()), Equals(1))


async def test_non_resumable_stream_is_retried_only_if_not_executed(rig):
    for name in ("e1", "e2"):
        replica = await rig.add_replica(name, "engine")
        replica.behaviour = lambda request, name=name: (
            Behaviour.SHED if name == "e1" else Behaviour.SERVE
        )
    await rig.add_gateway()
    responses = [await send(rig, "/turn/1", turn_headers(f"t-{n}"), b"p") for n in range(4)]
    assert_that({response.status_code for response in responses}, Equals({200}))
    rig.replicas["e2"].behaviour = lambda request: Behaviour.LOSE_ANSWER
    rig.replicas["e1"].behaviour = lambda request: Behaviour.LOSE_ANSWER
    failed = await send(rig, "/turn/1", turn_headers("t-9"), b"p")
    runs = [run for replica in rig.replicas.values() for run in replica.runs]
    assert_that(failed.status_code, Equals(502))
    assert_that([run for run in runs if run.request_id == "t-9"], HasLength(1))


async def test_upstream_request_is_cancelled_when_the_client_disconnects(rig):
    replica = await rig.add_replica("e1", "engine")
    replica.behaviour = lambda request: Behaviour.SILENT
    await rig.add_gateway()
    async with disconnecting_client(rig, "/turn/1", turn_headers("t-1"), b"prompt"):
        await wait_until(lambda: replica.runs)
    upstream = rig.gateways[0].upstreams.upstreams["e1"]
    await wait_until(lambda: upstream.local.in_flight == 0)
    assert_that(upstream.idle, HasLength(0))


async def test_engine_with_cached_prompt_is_preferred(rig):
    for name in ("e1", "e2", "e3"):
        await rig.add_replica(name, "engine")
    await rig.add_gateway()
    for number in range(6):
        fields = turn_headers(f"t-{number}", Prompt_Prefix="aa:9000,bb:500")
        await send(rig, "/turn/1", fields, b"prompt")
    used = [name for name, replica in rig.replicas.items() if replica.runs]
    assert_that(used, HasLength(1))


async def test_reserved_headers_from_clients_are_dropped(rig):
    await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    forged = {"Kv-From": "1.2.3.4:5/x", "Skylarkferry-Pin-Ms": "9", "Kv-Fetch": "1.2.3.4:5"}
    await send(rig, "/turn/1", {**turn_headers("t-1"), **forged}, b"prompt")
    run = rig.replicas["e1"].runs[0]
    for name in ("kv-from", "skylarkferry-pin-ms", "kv-fetch"):
        assert_that(run.headers, Not(Contains(name)))


class PausingEngine:
    """An engine that pauses after the first event of each stream."""

    def __init__(self, replica, pause_s):
        self.replica = replica
        self.pause_s = pause_s

    async def serve(self, stream):
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            request = await read_request(stream)
            data = encode_reply(await self.replica.handle(request))
            head, separator, rest = data.partition(b"token 1\n\n")
            await stream.send(head + separator)
            await anyio.sleep(self.pause_s)
            await stream.send(rest)
            await anyio.sleep_forever()


async def read_request(stream):
    """Read a request and return it with its headers only."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    lines = data.partition(b"\r\n\r\n")[0].decode().split("\r\n")
    method, target, _ = lines[0].split(" ")
    fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:])}
    return WireRequest(method, target, fields, b"")


async def add_pausing_engine(rig, name, pause_s):
    """Add an engine that pauses after the first event, and return its replica."""
    replica = rig.replicas[name] = Replica(name)
    rig.addresses[name] = free_address()
    await rig.listen(rig.addresses[name], PausingEngine(replica, pause_s))
    rig.register_replica(name, "engine")
    return replica


async def test_silent_stream_is_not_broken_off_if_no_other_upstream_can_continue_it(
    rig, monkeypatch
):
    monkeypatch.setattr(attempts, "_STREAM_SILENCE_S", 0.2)
    replica = await add_pausing_engine(rig, "e1", 0.7)
    await rig.add_replica("e2", "engine", version="v2")
    gateway = await rig.add_gateway()
    rig.register_replica("e2", "engine", version="v2", state="draining")
    await wait_until(lambda: gateway.upstreams.upstreams["e2"].entry.is_leaving)
    response = await send(rig, "/resume/1", turn_headers("t-1"), b"prompt")
    assert_that((response.status_code, response.content), Equals((200, COMPLETE_STREAM)))
    assert_that(replica.runs, HasLength(1))


async def test_silent_stream_moves_to_an_upstream_that_can_continue_it(rig, monkeypatch):
    monkeypatch.setattr(attempts, "_STREAM_SILENCE_S", 0.2)
    replica = await add_pausing_engine(rig, "e1", TIMEOUT_S)
    await rig.add_gateway()
    other = None

    async def add_other():
        nonlocal other
        await wait_until(lambda: replica.runs)
        other = await rig.add_replica("e2", "engine")

    rig.tasks.start_soon(add_other)
    response = await send(rig, "/resume/1", turn_headers("t-1"), b"prompt")
    assert_that((response.status_code, response.content), Equals((200, COMPLETE_STREAM)))
    assert_that((len(replica.runs), len(other.runs)), Equals((1, 1)))
