import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from sidecar_fakes import model_order, tool_order
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import ServiceName, ToolName
from skylarkferry_core.messages import ServiceWork, ToolRequest
from skylarkferry_core.states import FinalWord, PoolKind
from skylarkferry_daemon.upstream_adapters import BrokenConnectionError, adapter_for

pytestmark = pytest.mark.anyio

SSE = {"content-type": "text/event-stream"}
CALL_EVENTS = """\
data: {"choices":[{"delta":{"content":"I look. "}}]}

data: {"choices":[{"delta":{"tool_calls":[{"index":0,"id":"t1","function":{"name":"stock","arguments":"{\\"d\\":"}}]}}]}

data: {"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"110}"}}]}}]}

data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":7}}}

"""  # noqa: E501
DONE = "data: [DONE]\n\n"


async def run(kind, order, handler):
    """Run an order against a handler; return the outcome and the emitted text."""
    texts = []
    transport = httpx.MockTransport(handler)
    async with httpx.AsyncClient(transport=transport, base_url="http://10.0.0.1") as client:
        outcome = await adapter_for(kind, client).run(order, texts.append)
    return outcome, "".join(texts)


async def test_a_message_with_a_tool_call_is_assembled_from_stream_events():
    outcome, text = await run(
        PoolKind.MODEL,
        model_order(),
        lambda _: httpx.Response(200, headers=SSE, text=CALL_EVENTS + DONE),
    )
    assert_that(text, Equals("I look. "))
    request = ToolRequest("t1", ToolName("stock"), '{"d":110}')
    assert_that(outcome.message.tool_requests, Equals((request,)))
    assert_that(outcome.usage.cached_tokens, Equals(7))


async def test_a_stream_that_ends_early_is_a_broken_connection():
    with pytest.raises(BrokenConnectionError):
        await run(
            PoolKind.MODEL,
            model_order(),
            lambda _: httpx.Response(200, headers=SSE, text=CALL_EVENTS),
        )


async def test_a_conflict_status_from_the_engine_means_the_turn_did_not_run():
    outcome, _ = await run(PoolKind.MODEL, model_order(), lambda _: httpx.Response(409))
    assert_that((outcome.word, outcome.error), Equals((FinalWord.NOT_RUN, ErrorCode.STALE_EPOCH)))


@pytest.mark.parametrize("status", [409, 500, 503])
async def test_an_error_status_from_a_tool_is_an_outcome(status):
    outcome, _ = await run(PoolKind.TOOL, tool_order(), lambda _: httpx.Response(status, text="no"))
    assert_that((outcome.word, outcome.result), Equals((FinalWord.DONE, "no")))
    assert_that(outcome.error, Is(ErrorCode.UPSTREAM_FAILED))
    assert_that(outcome.detail, Contains(str(status)))


@pytest.mark.parametrize("path", ["/x", "x", "//evil.example/x", "http://evil.example/x"])
async def test_a_path_does_not_change_the_request_host(path):
    hosts = []

    def handler(request):
        hosts.append(request.url.host)
        return httpx.Response(204)

    work = ServiceWork(ServiceName("s"), "GET", path, "", b"")
    outcome, _ = await run(PoolKind.SERVICE, tool_order(work=work), handler)
    assert_that(hosts, Equals(["10.0.0.1"]))
    assert_that(outcome.reply.status, Equals(204))


@pytest.mark.parametrize(
    ("failure", "word"),
    [
        (httpx.ConnectError("refused"), FinalWord.NOT_RUN),
        (httpx.ConnectTimeout("slow"), FinalWord.NOT_RUN),
        (httpx.ReadError("reset"), None),
        (httpx.WriteError("reset"), None),
        (httpx.RemoteProtocolError("cut"), None),
    ],
)
async def test_only_an_unsent_call_is_reported_as_not_run(failure, word):
    def handler(request):
        raise failure

    if word is None:
        with pytest.raises(BrokenConnectionError):
            await run(PoolKind.TOOL, tool_order(), handler)
        return
    outcome, _ = await run(PoolKind.TOOL, tool_order(), handler)
    assert_that(outcome.word, Is(word))
