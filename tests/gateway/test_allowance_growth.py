"""Allowances that grow in the background, before a turn needs them."""

import json

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from gateway_rig import MAX_OUTPUT_TOKENS, TOKENS_PER_EVENT, send, turn_headers, wait_until
from skylarkferry_core.accounts import budget_partition
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ProgramId, TurnId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import Reservation
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio

BUDGET = 8 * MAX_OUTPUT_TOKENS
TURNS_OF_HALF = 4
PAUSE_S = 2 * defaults.AHEAD_GROWTH_DELAY_S
"""Pause between turns in which allowances are written ahead."""


async def add_engine(rig):
    """Add an engine whose responses use up the maximum output of their turns."""
    replica = await rig.add_replica("e1", "engine")
    replica.event_count = MAX_OUTPUT_TOKENS // TOKENS_PER_EVENT
    return replica


async def run_turns(rig, program, numbers, gateway, *, pause_s=0.0, path="/turn/1"):
    """Send the turns of a program one after the other; return their statuses."""
    statuses = []
    for number in numbers:
        fields = turn_headers(f"{program}-{number}", program, BUDGET)
        statuses.append((await send(rig, path, fields, b"p", gateway=gateway)).status_code)
        await anyio.sleep(pause_s)
    return statuses


def account_of(gateway, program):
    owned = gateway.accounts.partitions[budget_partition(ProgramId(program))]
    return owned.programs[ProgramId(program)].account


def programs_of_one_partition(count):
    names = (f"program-{number}" for number in range(100_000))
    number = budget_partition(ProgramId("program-0"))
    same = (name for name in names if budget_partition(ProgramId(name)) == number)
    return [next(same) for _ in range(count)]


def row_writes(request):
    """Return the rows of programs that a store call writes."""
    if request.target != "/api/rows-tx":
        return []
    writes = json.loads(request.body)["writes"]
    return [row for row in writes if row["key"].startswith("program.")]


# Guards against programs that an outage stops although the store answered during their first turn.
async def test_program_runs_half_of_its_turns_in_an_outage_that_begins_after_its_first(rig):
    await add_engine(rig)
    gateway = await rig.add_gateway()
    assert_that(await run_turns(rig, "program", [0], gateway), Equals([200]))
    await wait_until(lambda: account_of(gateway, "program").version > 0)
    rig.store.fault = lambda request: StoreFault.REFUSED
    await wait_until(lambda: gateway.store.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    statuses = await run_turns(rig, "program", range(1, 6), gateway)
    assert_that(statuses, Equals([200] * (TURNS_OF_HALF - 1) + [503, 503]))


CALM_TURNS = (4, 4, 5, 6, 8, 8)
CALLS_ON_NEED = 22
"""Writes of allowances in the same run, measured before allowances grew ahead of need."""


# Guards against growth ahead of need that raises the number of calls at the store.
async def test_growth_ahead_of_need_adds_no_calls_to_a_calm_run(rig):
    await add_engine(rig)
    gateways = [await rig.add_gateway(f"g{n}") for n in range(2)]
    calls = {"allowances": 0, "turns": 0}

    def count(request):
        calls["allowances"] += bool(row_writes(request))
        calls["turns"] += b'"turns"' in request.body
        return StoreFault.NONE

    rig.store.fault = count
    programs = [(f"program-{n}", turns) for n, turns in enumerate(2 * CALM_TURNS)]

    async def run(number, program, turns):
        gateway = gateways[number % 2]
        statuses = await run_turns(
            rig, program, range(turns), gateway, pause_s=PAUSE_S, path="/kept/1"
        )
        assert_that(statuses, Equals([200] * turns))

    async with anyio.create_task_group() as tasks:
        for number, (program, turns) in enumerate(programs):
            tasks.start_soon(run, number, program, turns)
    assert_that(calls["turns"], Equals(2 * sum(CALM_TURNS)))
    assert_that(calls["allowances"], LessThan(CALLS_ON_NEED + 1))


# Guards against growth ahead of need that writes rows of programs that need none.
async def test_programs_that_use_little_of_their_budgets_write_no_row(rig):
    await add_engine(rig)
    gateway = await rig.add_gateway()
    written = []

    def record(request):
        written.extend(row_writes(request))
        return StoreFault.NONE

    rig.store.fault = record
    for number in range(4):
        fields = turn_headers(f"t-{number}", "program", 24 * MAX_OUTPUT_TOKENS)
        assert_that((await send(rig, "/turn/1", fields, b"p")).status_code, Equals(200))
        await anyio.sleep(PAUSE_S)
    assert_that((written, account_of(gateway, "program").version), Equals(([], 0)))


async def test_allowances_of_a_partition_grow_in_one_transaction(rig):
    await add_engine(rig)
    gateway = await rig.add_gateway()
    programs = programs_of_one_partition(6)
    await gateway.accounts.claim(
        budget_partition(ProgramId(programs[0])), 0, anyio.current_time() + 5
    )
    calls = []

    def record(request):
        if rows := row_writes(request):
            calls.append(len(rows))
        return StoreFault.NONE

    rig.store.fault = record
    deadline_at = anyio.current_time() + 5
    for program in programs:
        reservation = Reservation(ProgramId(program), BUDGET, TurnId(program), MAX_OUTPUT_TOKENS)
        await gateway.accounts.reserve(reservation, deadline_at)
    await wait_until(lambda: all(account_of(gateway, item).version for item in programs))
    assert_that(calls, Equals([len(programs)]))
    assert_that({account_of(gateway, item).allowance for item in programs}, Equals({BUDGET // 2}))
    grown = [
        item for item in gateway.log.ring if item.number == EventKind.BUDGET_ALLOWANCES_GROWN.number
    ]
    assert_that([item.fields["programs"] for item in grown], Equals(["6"]))


# Guards against tokens beyond the budget, and against a program that cannot go on, when the outcome
# of a write ahead of need is unknown.
@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.LOST, StoreFault.LATE])
async def test_budget_is_used_up_exactly_after_a_failed_write_ahead_of_need(rig, fault):
    replica = await add_engine(rig)
    gateway = await rig.add_gateway()
    failures = [fault]

    def fault_of(request):
        return failures.pop() if failures and row_writes(request) else StoreFault.NONE

    rig.store.fault = fault_of
    statuses = await run_turns(rig, "program", [0], gateway)
    await wait_until(lambda: not failures)
    statuses += await run_turns(rig, "program", range(1, 3), gateway)
    rig.store.perform_late()
    statuses += await run_turns(rig, "program", range(3, 10), gateway)
    assert_that(statuses, Equals([200] * 8 + [402, 402]))
    assert_that(len(replica.runs), Equals(8))


async def test_owner_that_lost_its_partition_drops_it_at_a_write_ahead_of_need(rig):
    await add_engine(rig)
    number = budget_partition(ProgramId("program"))
    first = await rig.add_gateway("g0")
    await first.accounts.claim(number, 0, anyio.current_time() + 5)
    second = await rig.add_gateway("g1")
    await second.accounts.claim(number, 1, anyio.current_time() + 5)
    reservation = Reservation(ProgramId("program"), BUDGET, TurnId("t"), MAX_OUTPUT_TOKENS)
    await first.accounts.reserve(reservation, anyio.current_time() + 5)
    await wait_until(lambda: not first.accounts.owns(number))
    assert_that(rig.store.value("accounts", str(number), "program.program"), Equals(None))


async def test_turn_that_fits_does_not_wait_for_a_write_ahead_of_need(rig):
    await add_engine(rig)
    gateway = await rig.add_gateway()
    begun = anyio.Event()

    def fault_of(request):
        if row_writes(request):
            begun.set()
            return StoreFault.SILENT
        return StoreFault.NONE

    rig.store.fault = fault_of
    assert_that(await run_turns(rig, "program", [0], gateway), Equals([200]))
    with anyio.fail_after(20):
        await begun.wait()
    assert_that(await run_turns(rig, "program", [1], gateway), Equals([200]))
    assert_that(account_of(gateway, "program").version, Equals(0))


# Guards against programs that cannot begin in an outage because their partition lost an owner once.
async def test_program_begins_without_the_store_after_a_partition_lost_one_owner(rig):
    await add_engine(rig)
    first = await rig.add_gateway("g1")
    programs = programs_of_one_partition(2)
    assert_that(await run_turns(rig, programs[0], [0], first), Equals([200]))
    first.scope.cancel()
    await first.ended.wait()
    second = await rig.add_gateway("g2")
    assert_that(await run_turns(rig, programs[0], [1], second), Equals([200]))
    rig.store.fault = lambda request: StoreFault.REFUSED
    await wait_until(lambda: second.store.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    assert_that(await run_turns(rig, programs[1], range(2), second), Equals([200, 503]))
