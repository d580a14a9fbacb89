import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from sidecar_fakes import RecordingSink, fence, open_sidecar, tool_order, wait_until
from skylarkferry_core.calls import CallTable, TableLimits
from skylarkferry_core.fences import FenceGuard
from skylarkferry_core.frames import Chunk, Dispatch, EntryBatch, Finished, Hello
from skylarkferry_core.ids import Incarnation, NodeId
from skylarkferry_core.messages import Outcome
from skylarkferry_core.queues import FifoOrder
from skylarkferry_core.states import FinalWord
from skylarkferry_daemon.entry_streams import EntryStream
from skylarkferry_daemon.followed_calls import FollowedCall
from skylarkferry_wire.clients import open_channel, open_stream
from skylarkferry_wire.methods import SIDECAR_STREAM


@pytest.fixture
def table():
    limits = TableLimits(slots=4, queue_limit=10, outcomes_kept=10)
    return CallTable(Incarnation("incarnation-1"), limits, FifoOrder(), FenceGuard())


def start(table, name):
    table.accept(tool_order(name), now=0.0)
    return table.start_next(now=0.0)


def test_a_batch_contains_the_unsent_output_of_all_calls_once(table):
    stream = EntryStream()
    calls = [start(table, name) for name in "ab"]
    for call in calls:
        stream.follow(call, 0)
    for text in ("one ", "two"):
        for call in calls:
            table.append(call.order.call_id, text)
            stream.mark_changed(call)
    first = stream.batch(table, 0).frames
    assert_that(first, Equals(tuple(Chunk(call.order.call_id, 0, "one two") for call in calls)))
    assert_that(stream.batch(table, 0).frames, Equals(()))
    call = calls[0]
    table.append(call.order.call_id, "!")
    outcome = Outcome(call.order.call_id, FinalWord.DONE)
    table.finish(call.order.call_id, outcome, now=0.0)
    stream.mark_changed(call)
    last = stream.batch(table, 0).frames
    assert_that(last, Equals((Chunk(call.order.call_id, 7, "!"), Finished(outcome))))


def test_only_the_first_text_and_the_outcome_are_urgent(table):
    stream = EntryStream()
    call = start(table, "a")
    stream.follow(call, 0)
    urgent = []
    for text in ("first", "second"):
        table.append(call.order.call_id, text)
        stream.mark_changed(call)
        urgent.append(stream.urgent.is_set())
        stream.batch(table, 0)
    table.finish(call.order.call_id, Outcome(call.order.call_id, FinalWord.DONE), now=0.0)
    stream.mark_changed(call)
    urgent.append(stream.urgent.is_set())
    assert_that(urgent, Equals([True, False, True]))


def test_the_sink_receives_overlapping_chunks_once_and_no_chunk_after_a_gap():
    sink = RecordingSink()
    order = tool_order("a")
    followed = FollowedCall(order.call_id, fence(), sink, order)
    for offset, text in [(0, "one "), (0, "one two "), (12, "gap"), (4, "two "), (6, "o three")]:
        followed.on_chunk(Chunk(order.call_id, offset, text))
    assert_that(sink.text, Equals("one two three"))


@pytest.mark.anyio
async def test_a_dispatch_on_a_replaced_stream_is_not_run():
    node, incarnation = NodeId("entry-9"), Incarnation("entry-9-incarnation")
    async with open_sidecar() as (upstream, sidecar, _):
        channel = open_channel(sidecar.settings.rpc_listen)
        newer, older = (open_stream(channel, SIDECAR_STREAM) for _ in range(2))
        await newer.write(EntryBatch((Hello(node, incarnation, stream=2),)))
        await newer.read()
        stale = tool_order("stale")
        await older.write(EntryBatch((Hello(node, incarnation, stream=1), Dispatch(stale))))
        current = tool_order("current", repeatable=True)
        await newer.write(EntryBatch((Dispatch(current),)))
        await wait_until(lambda: upstream.calls)
        await older.read()
        assert_that(upstream.calls, HasLength(1))
        assert_that(upstream.calls, Equals([current.call_id]))
        newer.cancel()
        await channel.close()
