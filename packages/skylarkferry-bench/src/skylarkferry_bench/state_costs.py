"""Memory of the state of entries and sidecars, and CPU time of the operations on it."""

import random
from collections.abc import Callable, Iterator
from functools import partial

from skylarkferry_bench import samples
from skylarkferry_bench.resources import (
    Measurement,
    bytes_per_object,
    cpu_us_per_call,
    track_allocations,
)
from skylarkferry_core.cache_estimates import CacheEstimates
from skylarkferry_core.calls import CallTable, TableLimits
from skylarkferry_core.document import SiteSpec
from skylarkferry_core.fences import FenceGuard
from skylarkferry_core.ids import FailureDomain, PoolName, ToolName, UpstreamId
from skylarkferry_core.interfaces import Candidate, PlacementRequest
from skylarkferry_core.messages import LoadReport, Order, Outcome, ToolWork, Usage
from skylarkferry_core.placements import DEFAULT_PLACEMENT, PLACEMENTS
from skylarkferry_core.programs import Program
from skylarkferry_core.queues import DEFAULT_QUEUE_ORDER, QUEUE_ORDERS
from skylarkferry_core.records import (
    CallCompleted,
    PartitionRecord,
    ProgramAccepted,
    Record,
    SlotKey,
    TurnCompleted,
)
from skylarkferry_core.states import FinalWord, PoolKind, UpstreamState
from skylarkferry_wire.codec import decoder, encode

ROWS = 20_000
MODEL_ROWS = 1_000
PROGRAMS = 1_000
QUEUE_LENGTHS = (10, 100, 1_000)
CANDIDATES = (16, 64)
PLACE_REPEATS = 500
OPERATION_REPEATS = 2_000
HISTORY_TURNS = (0, 8, 32)

_decode_order = decoder(Order)
_decode_record = decoder(PartitionRecord)


def measure_state() -> Iterator[Measurement]:
    """Measure call tables, queues, programs and placements."""
    yield from _measure_call_table("a tool call's row in the call table", _build_tool_order, ROWS)
    yield from _measure_call_table(
        "a model call's row, 8,000 tokens", _build_model_order, MODEL_ROWS
    )
    yield from _measure_queues()
    yield from _measure_programs()
    yield from _measure_placement()


def _build_tool_order(number: int) -> Order:
    model_order = samples.build_order(number, 0)
    work = ToolWork(ToolName("stock_lookup"), "/stock_lookup", '{"diameter_mm": 110}')
    return Order(
        call_id=model_order.call_id,
        program_id=model_order.program_id,
        customer=model_order.customer,
        fence=model_order.fence,
        priority=model_order.priority,
        repeatable=False,
        remaining_s=model_order.remaining_s,
        slack_s=model_order.slack_s,
        timeout_s=model_order.timeout_s,
        fingerprint=model_order.fingerprint,
        work=work,
    )


def _build_model_order(number: int) -> Order:
    return samples.build_order(number)


def _decode_copy(order: Order) -> Order:
    """Return a decoded copy of an order, which shares no objects with it."""
    return _decode_order(encode(order))


def _build_table(queue_order: str = DEFAULT_QUEUE_ORDER) -> CallTable:
    limits = TableLimits(slots=16, queue_limit=1_000_000, outcomes_kept=1_000_000)
    return CallTable(samples.INCARNATION, limits, QUEUE_ORDERS[queue_order](), FenceGuard())


def _run_call(table: CallTable, order: Order) -> None:
    table.accept(order, 0.0)
    table.start_next(0.0)
    outcome = Outcome(order.call_id, FinalWord.DONE, result=samples.build_text(50), usage=Usage())
    table.finish(order.call_id, outcome, 1.0)


def _measure_call_table(
    name: str, make: Callable[[int], Order], count: int
) -> Iterator[Measurement]:
    table = _build_table()

    def add(number: int) -> None:
        _run_call(table, _decode_copy(make(number)))

    with track_allocations() as allocated:
        for number in range(count):
            add(number)
        yield Measurement(f"{name}, ended", allocated() / count, "bytes", f"{count} rows")
        table.acknowledge(list(table.calls))
        yield Measurement(f"{name}, acknowledged", allocated() / count, "bytes", f"{count} rows")
    orders = [_decode_copy(make(number + count)) for number in range(OPERATION_REPEATS)]
    remaining_orders = iter(orders)
    cpu_us = cpu_us_per_call(lambda: _run_call(table, next(remaining_orders)), len(orders))
    yield Measurement(f"{name}, accept, start and finish", cpu_us, "us", f"{len(orders)} calls")


def _measure_queues() -> Iterator[Measurement]:
    for length in QUEUE_LENGTHS:
        yield Measurement(f"next of {length} waiting calls", _next_call_us(length), "us")


def _next_call_us(length: int) -> float:
    table = _build_table()
    for number in range(length):
        table.accept(_build_tool_order(number), float(number))
    return cpu_us_per_call(lambda: table.gate.order.next_index(table.queue, 1.0), 100)


def _build_history(number: int, turns: int) -> list[Record]:
    records: list[Record] = []
    for turn in range(turns):
        slot = SlotKey(samples.ROOT_RUN, turn, 0)
        call_id = samples.build_call_id(number, turn)
        message = samples.build_assistant_message(number + turn)
        usage = Usage(1_000, 900, samples.OUTPUT_TOKENS)
        records.append(
            TurnCompleted(samples.build_program_id(number), slot, call_id, message, usage)
        )
        tool_slot = SlotKey(samples.ROOT_RUN, turn, 1)
        outcome = Outcome(call_id, FinalWord.DONE, result=samples.build_text(50, number))
        records.append(
            CallCompleted(samples.build_program_id(number), tool_slot, "stock_lookup", outcome)
        )
    return records


def _decode_record_copy(record: Record) -> Record:
    entry = PartitionRecord(samples.FENCE.partition, samples.FENCE.epoch, record)
    return _decode_record(encode(entry)).record


def _build_program(turns: int, number: int) -> Program:
    request = samples.build_program_request(number)
    accepted = ProgramAccepted(samples.build_program_id(number), request, 1.0)
    decoded = _decode_record_copy(accepted)
    assert isinstance(decoded, ProgramAccepted)
    program = Program(decoded)
    for record in _build_history(number, turns):
        program.apply(_decode_record_copy(record))
    return program


def _measure_programs() -> Iterator[Measurement]:
    for turns in HISTORY_TURNS:
        tokens = turns * (samples.OUTPUT_TOKENS + 50)
        name = f"a program's state after {turns} turns ({tokens:,} tokens)"
        bytes_each = bytes_per_object(partial(_build_program, turns), PROGRAMS)
        yield Measurement(name, bytes_each, "bytes", f"{PROGRAMS} programs")
    program = _build_program(0, 0)
    records = iter(_build_history(0, OPERATION_REPEATS // 2))
    cpu_us = cpu_us_per_call(lambda: program.apply(next(records)), OPERATION_REPEATS // 2 * 2)
    yield Measurement("apply a record to a program", cpu_us, "us", f"{OPERATION_REPEATS} records")


def _build_candidate(number: int) -> Candidate:
    load = LoadReport(number % 5, 12, 8_000 * (number % 5), 3_000, 16, 120_000, 0.2)
    return Candidate(
        UpstreamId(f"calc-models-{number:05d}"),
        PoolName("calc-models"),
        PoolKind.MODEL,
        UpstreamState.LIVE,
        FailureDomain(f"domain-{number % 14}"),
        load,
    )


def _build_request(number: int) -> PlacementRequest:
    domain = FailureDomain("domain-1")
    return PlacementRequest(samples.build_program_id(number), samples.HISTORY_TOKENS, 500, domain)


def _measure_placement() -> Iterator[Measurement]:
    yield Measurement(
        "a candidate", bytes_per_object(_build_candidate, ROWS), "bytes", f"{ROWS} candidates"
    )
    cache_estimates = CacheEstimates()
    upstreams = [UpstreamId(f"calc-models-{number:05d}") for number in range(64)]

    def record_placement(number: int) -> None:
        cache_estimates.placed(upstreams[number % 64], _build_request(number))

    yield Measurement(
        "a cache belief", bytes_per_object(record_placement, ROWS), "bytes", f"{ROWS} beliefs"
    )
    site = SiteSpec(failure_domains=(FailureDomain("domain-1"),))
    for count in CANDIDATES:
        yield Measurement(
            f"place a call among {count} candidates", _placement_us(count, site), "us"
        )


def _placement_us(count: int, site: SiteSpec) -> float:
    placement = PLACEMENTS[DEFAULT_PLACEMENT](random.Random(1))
    candidates = [_build_candidate(number) for number in range(count)]
    numbers = iter(range(PLACE_REPEATS))
    return cpu_us_per_call(
        lambda: placement.place(_build_request(next(numbers)), candidates, site), PLACE_REPEATS
    )
