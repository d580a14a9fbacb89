from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from policy import KV_TOKENS, queued
from skylarkferry_core.gates import KvGate
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.queues import FifoOrder, SlackOrder
from skylarkferry_core.states import Priority

NOW = 100.0


@st.composite
def queues(draw):
    entry = st.builds(
        queued,
        name=st.sampled_from(["0000-a", "0000-b"]),
        slack=st.floats(-50, 50),
        at=st.floats(0, NOW),
        priority=st.sampled_from(Priority),
        cached_tokens=st.sampled_from([0, 500, 3_000]),
        prefill_tokens=st.sampled_from([10, 900, 2_500]),
        typical_tokens=st.integers(0, 4_000),
    )
    return draw(st.lists(entry, min_size=1, max_size=8))


def reference_key(item):
    level = item.order.priority - int((NOW - item.queued_at) / 60.0)
    return max(level, 0), item.order.slack_s - (NOW - item.queued_at), item.queued_at


@given(queues())
def test_slack_order_agrees_with_sorting(queue):
    chosen = queue[SlackOrder().next_index(queue, NOW)]
    assert_that(reference_key(chosen), Equals(min(reference_key(item) for item in queue)))


@given(queues())
def test_fifo_chooses_the_oldest(queue):
    chosen = queue[FifoOrder().next_index(queue, NOW)]
    assert_that(chosen.queued_at, Equals(min(item.queued_at for item in queue)))


def call_tokens(item):
    return item.order.prefill_tokens + item.order.output_tokens


def reserved_tokens(item):
    return max(item.order.cached_tokens + call_tokens(item), item.order.typical_tokens)


def reference_fits(item, queue, held, total_reserved):
    if item.order.cached_tokens or item.order.priority is Priority.URGENT:
        more_urgent = [other for other in queue if reference_key(other) < reference_key(item)]
        kept = sum(other.order.cached_tokens for other in more_urgent)
        return call_tokens(item) <= KV_TOKENS - held - kept
    kept = sum(reserved_tokens(other) for other in queue if other.order.cached_tokens)
    return reserved_tokens(item) <= KV_TOKENS - total_reserved - kept


@given(queues(), st.sampled_from([0, 5_000, 8_000, 9_000]), st.sampled_from([0, 900, 3_000]))
def test_gate_chooses_the_most_urgent_that_fits(queue, held, growth):
    queue = list({reference_key(item): item for item in queue}.values())
    load = LoadReport(
        running=1,
        kv_tokens=KV_TOKENS,
        held_kv_tokens=held,
        reserved_kv_tokens=held + growth,
    )
    fitting = [item for item in queue if reference_fits(item, queue, held, held + growth)]
    index = KvGate(max_hold_s=1_000.0).next_index(queue, load, SlackOrder(), NOW)
    if not fitting:
        assert_that(index, Is(None))
    else:
        assert_that(queue[index], Is(min(fitting, key=reference_key)))


def test_gate_admits_any_call_on_an_idle_engine_and_after_a_long_wait():
    queue = [queued(prefill_tokens=2 * KV_TOKENS, at=50.0)]
    busy = LoadReport(running=1, kv_tokens=KV_TOKENS)
    idle = LoadReport(running=0, kv_tokens=KV_TOKENS)
    assert_that(KvGate(60.0).next_index(queue, busy, SlackOrder(), NOW), Is(None))
    assert_that(KvGate(50.0).next_index(queue, busy, SlackOrder(), NOW), Equals(0))
    assert_that(KvGate(60.0).next_index(queue, idle, SlackOrder(), NOW), Equals(0))
