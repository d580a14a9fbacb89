import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from sidecar_fakes import (
    POOL,
    UPSTREAM,
    RecordingSink,
    model_order,
    open_pair,
    tool_order,
    wait_until,
)
from skylarkferry_core.states import FinalWord, PoolKind

pytestmark = pytest.mark.anyio


async def test_a_tool_call_runs_once_and_carries_its_fence():
    async with open_pair() as (upstream, _, links):
        order = tool_order(incarnation=links.incarnation(UPSTREAM))
        first = await links.dispatch(UPSTREAM, order, RecordingSink())
        repeat = await links.dispatch(UPSTREAM, order, RecordingSink())
        assert_that(first.word, Is(FinalWord.DONE))
        assert_that(first.result, Equals('{"ordered":1}'))
        assert_that(repeat, Equals(first))
        links.acknowledge(UPSTREAM, order.call_id)
        assert_that(upstream.calls, Equals([order.call_id]))
        assert_that(upstream.headers[0]["fencing-epoch"], Equals("1"))
        assert_that([c.upstream for c in links.candidates(POOL)], Equals([UPSTREAM]))


async def test_a_model_call_streams_its_text_and_usage():
    async with open_pair(PoolKind.MODEL) as (upstream, _, links):
        upstream.hold()
        sink = RecordingSink()
        outcomes = []

        async def dispatch():
            outcomes.append(await links.dispatch(UPSTREAM, model_order(), sink))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(dispatch)
            await wait_until(lambda: sink.text == "Module")
            upstream.gate.set()
        assert_that(sink.text, Equals("Module two fits"))
        assert_that(outcomes[0].message.content, Equals(sink.text))
        assert_that(outcomes[0].usage.output_tokens, Equals(2))
