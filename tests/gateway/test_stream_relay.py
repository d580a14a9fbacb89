import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from gateway_rig import TIMEOUT_S, disconnecting_client, send, turn_headers, wait_until
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour

pytestmark = pytest.mark.anyio

WHOLE = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENT_COUNT + 1))


async def test_stream_passes_through_whole(rig):
    await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    answer = await send(rig, "/turn/1", turn_headers("t-1"), b"prompt")
    assert_that((answer.status_code, answer.content), Equals((200, WHOLE)))
    run = rig.replicas["e1"].runs[0]
    assert_that(run.headers["skylarkferry-request-priority"], Equals("4"))


async def test_resumable_stream_goes_on_elsewhere_without_gap_or_repeat(rig):
    for name in ("e1", "e2"):
        replica = await rig.add_replica(name, "engine")
        replica.behaviour = lambda request: (
            Behaviour.SERVE if "last-event-id" in request.headers else Behaviour.CUT_IN_EVENT
        )
    await rig.add_gateway()
    answer = await send(rig, "/resume/1", turn_headers("t-1"), b"prompt")
    assert_that((answer.status_code, answer.content), Equals((200, WHOLE)))
    assert_that(sum(len(replica.runs) for replica in rig.replicas.values()), Equals(2))


async def test_client_that_resumes_gets_only_what_follows(rig):
    await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    fields = {**turn_headers("t-1"), "Last-Event-Id": "3"}
    answer = await send(rig, "/resume/1", fields, b"prompt")
    assert_that(answer.content, Equals(b"id: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n"))


@pytest.mark.parametrize(
    "failure", [Behaviour.CUT_IN_EVENT, Behaviour.REPEAT_EVENT, Behaviour.BUSY_AFTER_ALL]
)
async def test_stream_that_cannot_go_on_never_looks_complete(rig, failure):
    for name in ("e1", "e2"):
        (await rig.add_replica(name, "engine")).behaviour = lambda request: failure
    await rig.add_gateway()
    received = b""
    ends_whole = False
    async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
        try:
            async with client.stream(
                "POST", rig.url("/turn/1"), headers=turn_headers("t-1"), content=b"prompt"
            ) as answer:
                async for data in answer.aiter_raw():
                    received += data if answer.status_code == httpx.codes.OK else b""
                ends_whole = answer.status_code == httpx.codes.OK
        except httpx.RemoteProtocolError:
            ends_whole = False
    assert_that(ends_whole, Equals(False))
    assert_that(answer.status_code in (200, 502), Equals(True))
    assert_that(WHOLE.startswith(received), Equals(True))
    assert_that(sum(len(replica.runs) for replica in rig.replicas.values()), Equals(1))


async def test_stream_that_may_not_repeat_is_retried_only_if_not_run(rig):
    for name in ("e1", "e2"):
        replica = await rig.add_replica(name, "engine")
        replica.behaviour = lambda request, name=name: (
            Behaviour.SHED if name == "e1" else Behaviour.SERVE
        )
    await rig.add_gateway()
    answers = [await send(rig, "/turn/1", turn_headers(f"t-{n}"), b"p") for n in range(4)]
    assert_that({answer.status_code for answer in answers}, Equals({200}))
    rig.replicas["e2"].behaviour = lambda request: Behaviour.LOSE_ANSWER
    rig.replicas["e1"].behaviour = lambda request: Behaviour.LOSE_ANSWER
    failed = await send(rig, "/turn/1", turn_headers("t-9"), b"p")
    runs = [run for replica in rig.replicas.values() for run in replica.runs]
    assert_that(failed.status_code, Equals(502))
    assert_that([run for run in runs if run.request_id == "t-9"], HasLength(1))


async def test_work_ends_upstream_when_the_client_leaves(rig):
    replica = await rig.add_replica("e1", "engine")
    replica.behaviour = lambda request: Behaviour.SILENT
    await rig.add_gateway()
    async with disconnecting_client(rig, "/turn/1", turn_headers("t-1"), b"prompt"):
        await wait_until(lambda: replica.runs)
    upstream = rig.gateways[0].upstreams.upstreams["e1"]
    await wait_until(lambda: upstream.in_flight == 0)
    assert_that(upstream.idle, HasLength(0))


async def test_engine_with_the_prompt_in_its_cache_is_preferred(rig):
    for name in ("e1", "e2", "e3"):
        await rig.add_replica(name, "engine")
    await rig.add_gateway()
    for number in range(6):
        fields = turn_headers(f"t-{number}", Prompt_Prefix="aa:9000,bb:500")
        await send(rig, "/turn/1", fields, b"prompt")
    used = [name for name, replica in rig.replicas.items() if replica.runs]
    assert_that(used, HasLength(1))


async def test_headers_only_the_system_may_set_are_dropped(rig):
    await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    forged = {"Kv-From": "1.2.3.4:5/x", "Skylarkferry-Pin-Ms": "9", "Kv-Fetch": "1.2.3.4:5"}
    await send(rig, "/turn/1", {**turn_headers("t-1"), **forged}, b"prompt")
    run = rig.replicas["e1"].runs[0]
    for name in ("kv-from", "skylarkferry-pin-ms", "kv-fetch"):
        assert_that(run.headers, Not(Contains(name)))
