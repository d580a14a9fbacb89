import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from sidecar_fakes import fence, model_order
from skylarkferry_core.calls import CallTable, TableLimits
from skylarkferry_core.fences import FenceGuard
from skylarkferry_core.ids import Incarnation, ProgramId
from skylarkferry_core.messages import LoadReport, Outcome, Usage
from skylarkferry_core.queues import FifoOrder
from skylarkferry_core.states import FinalWord, Priority

KV_TOKENS = 1_000
KEEP_S = 10.0


def new_table():
    limits = TableLimits(slots=4, queue_limit=10, outcomes_kept=10)
    table = CallTable(Incarnation("0"), limits, FifoOrder(), FenceGuard())
    table.gate.kv_tokens = KV_TOKENS
    return table


def turn_order(name, tokens, priority=Priority.NORMAL):
    return msgspec.structs.replace(
        model_order(f"{name}/0/0.0.0"),
        program_id=ProgramId(name),
        fence=fence(),
        priority=priority,
        prefill_tokens=tokens,
        keep_kv_s=KEEP_S,
    )


def start_calls(table, now):
    """Start all calls that may start; return their programs."""
    names = []
    while call := table.start_next(now):
        names.append(call.order.program_id)
    return names


def end_call(table, order, now):
    usage = Usage(prompt_tokens=order.prefill_tokens)
    table.finish(order.call_id, Outcome(order.call_id, FinalWord.DONE, usage=usage), now)


def test_a_new_program_waits_for_the_memory_of_a_paused_one_until_its_release():
    table = new_table()
    paused, small, new = turn_order("paused", 500), turn_order("small", 100), turn_order("new", 450)
    for order in (paused, small):
        table.accept(order, 0.0)
    assert_that(start_calls(table, 0.0), Equals(["paused", "small"]))
    end_call(table, paused, 1.0)
    table.accept(new, 1.0)
    assert_that(table.start_next(1.0), Is(None))
    table.gate.released(ProgramId("paused"))
    assert_that(start_calls(table, 1.0), Equals(["new"]))


def test_memory_of_a_paused_program_is_free_after_its_retention():
    table = new_table()
    paused, small, new = turn_order("paused", 500), turn_order("small", 100), turn_order("new", 450)
    for order in (paused, small):
        table.accept(order, 0.0)
    start_calls(table, 0.0)
    end_call(table, paused, 1.0)
    table.accept(new, 1.0)
    assert_that(start_calls(table, 1.0 + KEEP_S / 2), Equals([]))
    assert_that(start_calls(table, 1.0 + KEEP_S), Equals(["new"]))


def test_an_idle_engine_starts_any_call():
    table = new_table()
    table.accept(turn_order("large", 5_000), 0.0)
    assert_that(start_calls(table, 0.0), Equals(["large"]))


def test_the_load_contains_the_held_memory():
    table = new_table()
    table.accept(turn_order("paused", 500), 0.0)
    start_calls(table, 0.0)
    load = table.gate.with_kv_memory(LoadReport(), 0.0)
    assert_that((load.kv_tokens, load.held_kv_tokens), Equals((KV_TOKENS, 500)))
