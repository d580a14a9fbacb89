"""Memory of the state that roles keep, and processor time of the decisions on it."""

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
    """Measure rows, programs and decisions."""
    yield from _rows("a tool call's row in the call table", _tool_order, ROWS)
    yield from _rows("a model call's row, 8,000 tokens", _model_order, MODEL_ROWS)
    yield from _queues()
    yield from _programs()
    yield from _candidates()


def _tool_order(number: int) -> Order:
    plain = samples.build_order(number, 0)
    work = ToolWork(ToolName("stock_lookup"), "/stock_lookup", '{"diameter_mm": 110}')
    return Order(
        call_id=plain.call_id,
        program_id=plain.program_id,
        customer=plain.customer,
        fence=plain.fence,
        priority=plain.priority,
        repeatable=False,
        remaining_s=plain.remaining_s,
        slack_s=plain.slack_s,
        timeout_s=plain.timeout_s,
        fingerprint=plain.fingerprint,
        work=work,
    )


def _model_order(number: int) -> Order:
    return samples.build_order(number)


def _received(order: Order) -> Order:
    """Return the order as it comes from the wire, sharing nothing."""
    return _decode_order(encode(order))


def _table(queue_order: str = DEFAULT_QUEUE_ORDER) -> CallTable:
    limits = TableLimits(slots=16, queue_limit=1_000_000, outcomes_kept=1_000_000)
    return CallTable(samples.INCARNATION, limits, QUEUE_ORDERS[queue_order](), FenceGuard())


def _run_one(table: CallTable, order: Order) -> None:
    table.accept(order, 0.0)
    table.start_next(0.0)
    outcome = Outcome(order.call_id, FinalWord.DONE, result=samples.build_text(50), usage=Usage())
    table.finish(order.call_id, outcome, 1.0)


def _rows(name: str, make: Callable[[int], Order], count: int) -> Iterator[Measurement]:
    table = _table()

    def add(number: int) -> None:
        _run_one(table, _received(make(number)))

    with track_allocations() as allocated:
        for number in range(count):
            add(number)
        yield Measurement(f"{name}, ended", allocated() / count, "bytes", f"{count} rows")
        table.acknowledge(list(table.calls))
        yield Measurement(f"{name}, acknowledged", allocated() / count, "bytes", f"{count} rows")
    orders = [_received(make(number + count)) for number in range(OPERATION_REPEATS)]
    supply = iter(orders)
    cpu = cpu_us_per_call(lambda: _run_one(table, next(supply)), len(orders))
    yield Measurement(f"{name}, accept, start and finish", cpu, "us", f"{len(orders)} calls")


def _queues() -> Iterator[Measurement]:
    for length in QUEUE_LENGTHS:
        yield Measurement(f"next of {length} waiting calls", _pick_us(length), "us")


def _pick_us(length: int) -> float:
    table = _table()
    for number in range(length):
        table.accept(_tool_order(number), float(number))
    return cpu_us_per_call(lambda: table.gate.order.next_index(table.queue, 1.0), 100)


def _history(number: int, turns: int) -> list[Record]:
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


def _replayed(record: Record) -> Record:
    entry = PartitionRecord(samples.FENCE.partition, samples.FENCE.epoch, record)
    return _decode_record(encode(entry)).record


def _program(turns: int, number: int) -> Program:
    request = samples.build_program_request(number)
    accepted = ProgramAccepted(samples.build_program_id(number), request, 1.0)
    received = _replayed(accepted)
    assert isinstance(received, ProgramAccepted)
    program = Program(received)
    for record in _history(number, turns):
        program.apply(_replayed(record))
    return program


def _programs() -> Iterator[Measurement]:
    for turns in HISTORY_TURNS:
        tokens = turns * (samples.OUTPUT_TOKENS + 50)
        name = f"a program's state after {turns} turns ({tokens:,} tokens)"
        each = bytes_per_object(partial(_program, turns), PROGRAMS)
        yield Measurement(name, each, "bytes", f"{PROGRAMS} programs")
    program = _program(0, 0)
    records = iter(_history(0, OPERATION_REPEATS // 2))
    cpu = cpu_us_per_call(lambda: program.apply(next(records)), OPERATION_REPEATS // 2 * 2)
    yield Measurement("apply a record to a program", cpu, "us", f"{OPERATION_REPEATS} records")


def _candidate(number: int) -> Candidate:
    load = LoadReport(number % 5, 12, 8_000 * (number % 5), 3_000, 16, 120_000, 0.2)
    return Candidate(
        UpstreamId(f"calc-models-{number:05d}"),
        PoolName("calc-models"),
        PoolKind.MODEL,
        UpstreamState.LIVE,
        FailureDomain(f"domain-{number % 14}"),
        load,
    )


def _request(number: int) -> PlacementRequest:
    domain = FailureDomain("domain-1")
    return PlacementRequest(samples.build_program_id(number), samples.HISTORY_TOKENS, 500, domain)


def _candidates() -> Iterator[Measurement]:
    yield Measurement(
        "a candidate", bytes_per_object(_candidate, ROWS), "bytes", f"{ROWS} candidates"
    )
    cache_estimates = CacheEstimates()
    upstreams = [UpstreamId(f"calc-models-{number:05d}") for number in range(64)]

    def record_placement(number: int) -> None:
        cache_estimates.placed(upstreams[number % 64], _request(number))

    yield Measurement(
        "a cache belief", bytes_per_object(record_placement, ROWS), "bytes", f"{ROWS} beliefs"
    )
    site = SiteSpec(failure_domains=(FailureDomain("domain-1"),))
    for count in CANDIDATES:
        yield Measurement(f"place a call among {count} candidates", _place_us(count, site), "us")


def _place_us(count: int, site: SiteSpec) -> float:
    placement = PLACEMENTS[DEFAULT_PLACEMENT](random.Random(1))
    candidates = [_candidate(number) for number in range(count)]
    numbers = iter(range(PLACE_REPEATS))
    return cpu_us_per_call(
        lambda: placement.place(_request(next(numbers)), candidates, site), PLACE_REPEATS
    )
