import anyio
import httpx
import pytest
from httpx_sse import aconnect_sse
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, MatchesDict, StartsWith

from edge_fakes import FISH, MODELS_TEAM, SIZING, running_edge

HANG_S = 30


async def start(client, **changes):
    return await client.post("/v1/programs", json=SIZING | changes)


@pytest.mark.anyio
async def test_a_program_runs_from_start_to_answer():
    async with running_edge() as edge, edge.client() as client:
        started = await start(client)
        program_id = started.json()["program_id"]
        unfinished = await client.get(f"/v1/programs/{program_id}/answer")
        edge.programs.end(program_id, "module 4")
        answer = await client.get(f"/v1/programs/{program_id}/answer?wait_s=5")
    assert_that(started.status_code, Equals(201))
    assert_that(started.headers["location"], Equals(f"/v1/programs/{program_id}"))
    assert_that(unfinished.status_code, Equals(202))
    assert_that(answer.status_code, Equals(200))
    assert_that(answer.json()["answer"], Equals("module 4"))


@pytest.mark.anyio
async def test_answer_waits_until_the_program_ends():
    async with running_edge() as edge, edge.client() as client:
        program_id = (await start(client)).json()["program_id"]
        answers = []

        async def wait():
            answers.append(await client.get(f"/v1/programs/{program_id}/answer?wait_s=60"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            with anyio.fail_after(HANG_S):
                await edge.programs.watched.wait()
            edge.programs.end(program_id, "module 4")
    assert_that(answers[0].json()["answer"], Equals("module 4"))


@pytest.mark.anyio
async def test_step_events_have_ids_and_output_events_do_not():
    async with running_edge() as edge, edge.client() as client:
        program_id = (await start(client)).json()["program_id"]
        seen = []
        async with aconnect_sse(client, "GET", f"/v1/programs/{program_id}/events") as source:
            async for event in source.aiter_sse():
                seen.append((event.event, event.id))
                if event.event == "delta":
                    edge.programs.end(program_id, "module 4")
        resumed = await client.get(
            f"/v1/programs/{program_id}/events", headers={"Last-Event-ID": "1"}
        )
    assert_that(seen, Equals([("accepted", "1"), ("delta", "1"), ("ended", "2")]))
    assert_that(resumed.text, Contains("id: 2\n"))
    assert_that("id: 1\n" in resumed.text, Equals(False))


@pytest.mark.anyio
async def test_a_planned_stop_does_not_abort_open_streams():
    async with running_edge() as edge, edge.client() as client:
        program_id = (await start(client)).json()["program_id"]
        kinds = []
        async with aconnect_sse(client, "GET", f"/v1/programs/{program_id}/events") as source:
            async for event in source.aiter_sse():
                kinds.append(event.event)
                if event.event == "delta":
                    edge.stop.set()
                    await anyio.sleep(0.2)
                    edge.programs.end(program_id, "module 4")
        with pytest.raises(httpx.ConnectError):
            async with edge.client() as late:
                await late.get("/healthz")
    assert_that(kinds, Equals(["accepted", "delta", "ended"]))


@pytest.mark.anyio
async def test_http2_without_tls_is_served():
    async with running_edge() as edge, edge.client(http1=False, http2=True) as client:
        health = await client.get("/healthz")
    assert_that(health.http_version, Equals("HTTP/2"))
    assert_that(health.status_code, Equals(200))


@pytest.mark.anyio
async def test_a_caller_sees_only_its_own_customer():
    async with running_edge() as edge, edge.client() as gears, edge.client(FISH) as fish:
        program_id = (await start(gears)).json()["program_id"]
        shown = await fish.get(f"/v1/programs/{program_id}")
        cancelled = await fish.delete(f"/v1/programs/{program_id}")
        watched = await fish.get(f"/v1/programs/{program_id}/events")
        listed = await fish.get("/v1/programs")
        for_other = await start(fish)
        async with edge.client(MODELS_TEAM) as operator:
            seen_by_operator = await operator.get(f"/v1/programs/{program_id}")
    statuses = [answer.status_code for answer in (shown, cancelled, watched, for_other)]
    assert_that(statuses, Equals([404, 404, 404, 403]))
    assert_that(listed.json()["programs"], Equals([]))
    assert_that(seen_by_operator.status_code, Equals(200))
    assert_that(edge.numbers(), Contains(502))


@pytest.mark.anyio
async def test_a_service_request_is_relayed_unchanged():
    async with running_edge() as edge, edge.client() as client:
        reply = await client.put(
            "/v1/services/catalogue/parts/a%2Fb?size=3",
            content=b"bolt",
            headers={"Idempotency-Key": "k-9", "Content-Type": "text/plain"},
        )
        unknown = await client.get("/v1/services/none/x")
    request = edge.programs.requests[0]
    assert_that(reply.text, Equals("/parts/a%2Fb?size=3"))
    assert_that(reply.headers["skylarkferry-word"], Equals("done"))
    assert_that((request.work.method, request.work.body), Equals(("PUT", b"bolt")))
    assert_that((request.customer, request.idempotency_key), Equals(("gears", "k-9")))
    assert_that(unknown.json()["code"], Equals("unknown_service"))


@pytest.mark.anyio
async def test_problem_details_of_a_refusal_are_complete():
    async with running_edge() as edge, edge.client() as client:
        refused = await start(client, agent="nobody")
    assert_that(refused.headers["content-type"], StartsWith("application/problem+json"))
    assert_that(
        refused.json(),
        MatchesDict(
            {
                "type": Equals("urn:skylarkferry:error:unknown_agent"),
                "title": StartsWith("Unprocessable"),
                "status": Equals(422),
                "code": Equals("unknown_agent"),
                "detail": Contains("nobody"),
                "word": Equals("not_run"),
            }
        ),
    )
