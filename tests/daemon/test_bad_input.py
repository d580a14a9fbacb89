"""Malformed, oversized, slow and unauthorized requests against a real HTTP server."""

import json
from contextlib import asynccontextmanager

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not, StartsWith

from edge_fakes import GEARS, SIZING, running_edge
from skylarkferry_core.errors import OverloadedError
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.settings import LimitSettings

HANG_S = 30
LIMITS = LimitSettings(body_bytes=2_000, body_s=0.3)

BAD_BODIES = {
    "broken": b'{"request_key": ',
    "not utf-8": b'{"request_key": "\xff\xfe"}',
    "not an object": b"[1, 2]",
    "deep": b"[" * 1_500,
    "empty": b"",
    "wrong type": json.dumps(SIZING | {"deadline_s": "soon"}).encode(),
    "missing key": json.dumps({"request_key": "k"}).encode(),
    "unknown key": json.dumps(SIZING | {"color": "red"}).encode(),
    "negative deadline": json.dumps(SIZING | {"deadline_s": -1}).encode(),
    "not a number": json.dumps(SIZING | {"deadline_s": float("nan")}).encode(),
    "empty request key": json.dumps(SIZING | {"request_key": ""}).encode(),
    "budget above the customer's": json.dumps(SIZING | {"budget": {"tokens": 10**9}}).encode(),
    "huge number": json.dumps(SIZING | {"budget": {"tokens": 10**400}}).encode(),
}


async def assert_serves(edge):
    """Check that another program still starts and that no request failed internally."""
    async with edge.client() as client:
        started = await client.post("/v1/programs", json=SIZING | {"request_key": "innocent"})
    assert_that(started.status_code, Equals(201))
    assert_that(edge.numbers(), Not(Contains(EventKind.REQUEST_FAILED.number)))


@asynccontextmanager
async def connection(edge):
    with anyio.fail_after(HANG_S):
        async with await anyio.connect_tcp("127.0.0.1", edge.port) as stream:
            yield stream


def head(length, path="/v1/programs"):
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {GEARS}",
        f"Content-Length: {length}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_all(stream):
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


@pytest.mark.anyio
@pytest.mark.parametrize("body", BAD_BODIES.values(), ids=BAD_BODIES)
async def test_a_malformed_body_is_a_bad_request(body):
    async with running_edge(LIMITS) as edge:
        async with edge.client() as client:
            refused = await client.post("/v1/programs", content=body)
        await assert_serves(edge)
    assert_that((refused.status_code, refused.json()["code"]), Equals((400, "bad_request")))
    assert_that(refused.json()["word"], Equals("not_run"))


@pytest.mark.anyio
async def test_an_oversized_body_is_refused_with_and_without_content_length():
    async def chunks():
        for _ in range(10):
            yield b"x" * 500

    async with running_edge(LIMITS) as edge:
        async with edge.client() as client:
            declared = await client.post("/v1/programs", content=b"x" * 5_000)
            chunked = await client.post("/v1/programs", content=chunks())
        await assert_serves(edge)
    assert_that((declared.status_code, chunked.status_code), Equals((413, 413)))


@pytest.mark.anyio
async def test_a_slow_body_times_out():
    async with running_edge(LIMITS) as edge:
        async with connection(edge) as stream:
            await stream.send(head(100) + b"{")
            answer = await read_all(stream)
        await assert_serves(edge)
    assert_that(answer, StartsWith(b"HTTP/1.1 408"))


@pytest.mark.anyio
async def test_a_body_shorter_than_content_length_is_no_server_error():
    async with running_edge() as edge:
        async with connection(edge) as stream:
            await stream.send(head(5_000) + b'{"request_key": "k"}')
            await stream.send_eof()
            answer = await read_all(stream)
        await assert_serves(edge)
    assert_that(answer, Not(Contains(b"HTTP/1.1 5")))
    assert_that(edge.numbers(), Contains(EventKind.CALLER_LEFT.number))


@pytest.mark.anyio
async def test_bytes_after_content_length_are_not_a_request():
    body = json.dumps(SIZING).encode()
    async with running_edge() as edge:
        async with connection(edge) as stream:
            await stream.send(head(len(body)) + body + b"\x00garbage\r\n\r\n")
            answer = await read_all(stream)
        await assert_serves(edge)
    assert_that(answer, StartsWith(b"HTTP/1.1 201"))
    assert_that(answer.count(b"HTTP/1.1 201"), Equals(1))
    assert_that(answer, Not(Contains(b"HTTP/1.1 5")))


@pytest.mark.anyio
async def test_a_disconnect_during_a_stream_ends_the_watch():
    async with running_edge() as edge:
        async with edge.client() as client:
            started = await client.post("/v1/programs", json=SIZING)
            path = f"/v1/programs/{started.json()['program_id']}/events"
            async with client.stream("GET", path) as stream:
                await anext(stream.aiter_lines())
                await edge.programs.watched.wait()
        with anyio.fail_after(HANG_S):
            await edge.programs.unwatched.wait()
        await assert_serves(edge)
    assert_that(edge.programs.watchers, Equals(0))


@pytest.mark.anyio
async def test_a_disconnect_while_waiting_for_an_answer_ends_the_watch():
    async with running_edge() as edge:
        async with edge.client() as client:
            started = await client.post("/v1/programs", json=SIZING)
        path = f"/v1/programs/{started.json()['program_id']}/answer?wait_s=300"
        async with connection(edge) as stream:
            await stream.send(head(0, path).replace(b"POST", b"GET"))
            await edge.programs.watched.wait()
        with anyio.fail_after(HANG_S):
            await edge.programs.unwatched.wait()
        await assert_serves(edge)


@pytest.mark.anyio
async def test_requests_without_a_valid_token_are_unauthorized():
    paths = ("/v1/programs", "/v1/config", "/v1/hosts", "/v1/timeline", "/v1/services/catalogue/x")
    async with running_edge() as edge:
        statuses = set()
        for token in ("", "wrong", "bootstrap-token"):
            async with edge.client(token) as client:
                for path in paths:
                    statuses.add((await client.get(path)).status_code)
    assert_that(statuses, Equals({401}))
    assert_that(edge.numbers(), Contains(EventKind.ACCESS_REFUSED.number))


@pytest.mark.anyio
async def test_a_customer_token_is_forbidden_on_operator_paths():
    async with running_edge() as edge, edge.client(GEARS) as client:
        answers = [
            await client.get("/v1/config"),
            await client.put("/v1/config/models", content=b"{}", headers={"If-Match": '"1"'}),
            await client.get("/v1/hosts"),
            await client.post("/v1/hosts/calc-1/drain", json={}),
            await client.get("/v1/timeline"),
        ]
    assert_that({answer.status_code for answer in answers}, Equals({403}))
    assert_that(edge.drained, Equals([]))


@pytest.mark.anyio
async def test_unknown_paths_methods_and_ids_return_error_codes():
    async with running_edge() as edge, edge.client() as client:
        codes = [
            (await client.get("/v2/none")).json()["code"],
            (await client.put("/v1/programs")).json()["code"],
            (await client.get("/v1/programs/nonsense")).json()["code"],
            (await client.get("/v1/programs/0001-ffff/answer?wait_s=long")).json()["code"],
            (await client.get("/v1/services/catalogue/%2e%2e/x")).json()["code"],
        ]
        await assert_serves(edge)
    expected = ["not_found", "method_not_allowed", "not_found", "bad_request", "bad_request"]
    assert_that(codes, Equals(expected))


@pytest.mark.anyio
async def test_a_refusal_has_a_retry_after_header():
    async with running_edge() as edge, edge.client() as client:
        edge.programs.failure = OverloadedError("full", retry_after_s=2.5)
        refused = await client.post("/v1/programs", json=SIZING)
    assert_that((refused.status_code, refused.headers["retry-after"]), Equals((503, "3")))
    assert_that((refused.json()["code"], refused.json()["word"]), Equals(("overloaded", "not_run")))


@pytest.mark.anyio
async def test_an_unexpected_exception_has_an_unknown_outcome():
    async with running_edge() as edge, edge.client() as client:
        edge.programs.failure = ZeroDivisionError("bug")
        failed = await client.post("/v1/programs", json=SIZING)
    assert_that((failed.status_code, failed.json()["word"]), Equals((500, "unknown")))
    assert_that(edge.numbers(), Contains(EventKind.REQUEST_FAILED.number))


@pytest.mark.anyio
async def test_before_the_document_is_loaded_a_refusal_has_retry_after():
    async with running_edge(loaded=False) as edge, edge.client() as client:
        edge.documents.loaded = False
        refused = await client.post("/v1/programs", json=SIZING)
    assert_that(refused.json()["code"], Equals("platform_unavailable"))
    assert_that(refused.headers, Contains("retry-after"))
