import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from budget_programs import REQUEST_NUMBERS, generated_tokens, send_at_once, spend
from gateway_rig import (
    MAX_OUTPUT_TOKENS,
    TOKENS_PER_EVENT,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.accounts import (
    BUDGET_PARTITIONS,
    budget_partition,
)
from skylarkferry_core.ids import ProgramId
from skylarkferry_gateway import defaults
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio


async def test_budget_is_shared_by_gateways_and_used_up(rig):
    await rig.add_replica("e1", "engine")
    gateways = [await rig.add_gateway(f"g{n}") for n in range(3)]
    budget = 1_000
    statuses = await spend(rig, "program", budget, 30, gateways)
    assert_that(generated_tokens(rig), LessThan(budget + 1))
    assert_that(generated_tokens(rig), GreaterThan(budget - 2 * MAX_OUTPUT_TOKENS))
    assert_that(set(statuses), Equals({200, 402}))
    assert_that(statuses[-1], Equals(402))


async def test_refused_turn_never_runs(rig):
    replica = await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    statuses = await spend(rig, "program", MAX_OUTPUT_TOKENS - 1, 1, rig.gateways)
    assert_that((statuses, replica.runs), Equals(([402], [])))


@pytest.mark.parametrize("budget", [250, 1_000])
async def test_budget_holds_across_repeated_gateway_crashes(rig, budget):
    await rig.add_replica("e1", "engine")
    for number in range(6):
        gateway = await rig.add_gateway(f"g{number}")
        await spend(rig, "program", budget, 4, [gateway])
        gateway.scope.cancel()
        await gateway.ended.wait()
    assert_that(generated_tokens(rig), LessThan(budget + MAX_OUTPUT_TOKENS + 1))


async def spend_until_refused(rig, budget, length, gateway):
    """Send turns that generate ``length`` tokens until one is refused; return their tokens."""
    rig.replicas["e1"].event_count = length // TOKENS_PER_EVENT
    tokens = 0
    for _ in range(budget // length + 1):
        fields = turn_headers(f"t-{next(REQUEST_NUMBERS)}", "program", budget, length)
        response = await send(rig, "/turn/1", fields, b"p", gateway=gateway)
        if response.status_code != 200:
            break
        tokens += response.content.count(b"data:") * TOKENS_PER_EVENT
    return tokens


def refuse_allowances(request):
    """Refuse the writes that raise an allowance."""
    is_write = "rows-tx" in request.target and b"program." in request.body
    return StoreFault.REFUSED if is_write else StoreFault.NONE


# Guards against tokens beyond the budget after the loss of several gateways.
@pytest.mark.parametrize("crashes", [1, 2, 3])
async def test_turns_of_different_lengths_stay_within_the_budget_across_crashes(rig, crashes):
    await rig.add_replica("e1", "engine")
    budget, short, long = 600, 50, 210
    tokens = 0
    for number in range(crashes):
        gateway = await rig.add_gateway(f"g{number}")
        rig.store.fault = refuse_allowances
        tokens += await spend_until_refused(rig, budget, short, gateway)
        gateway.scope.cancel()
        await gateway.ended.wait()
        rig.store.fault = lambda request: StoreFault.NONE
    gateway = await rig.add_gateway("last")
    tokens += await spend_until_refused(rig, budget, long, gateway)
    tokens += await spend_until_refused(rig, budget, short, gateway)
    assert_that(tokens, LessThan(budget + long + 1))


async def test_unused_budget_remains_after_a_graceful_stop(rig):
    await rig.add_replica("e1", "engine")
    first = await rig.add_gateway("g1")
    assert_that(await spend(rig, "program", 1_000, 2, [first]), Equals([200, 200]))
    first.stop.set()
    await first.ended.wait()
    second = await rig.add_gateway("g2")
    statuses = await spend(rig, "program", 1_000, 30, [second])
    assert_that(generated_tokens(rig), GreaterThan(1_000 - 2 * MAX_OUTPUT_TOKENS))
    assert_that(generated_tokens(rig), LessThan(1_001))
    assert_that(statuses[-1], Equals(402))


async def test_concurrent_turns_over_gateways_stay_within_the_budget(rig):
    (await rig.add_replica("e1", "engine")).work_s = 0.05
    gateways = [await rig.add_gateway(f"g{n}") for n in range(3)]
    budget = 800
    async with anyio.create_task_group() as tasks:
        for number in range(24):
            fields = turn_headers(f"t-{number}", "program", budget)
            gateway = gateways[number % 3]

            async def send_turn(fields=fields, gateway=gateway):
                await send(rig, "/turn/1", fields, b"p", gateway=gateway)

            tasks.start_soon(send_turn)
    assert_that(generated_tokens(rig), LessThan(budget + 1))


async def test_new_programs_are_served_while_the_store_is_unavailable(rig):
    await rig.add_replica("e1", "engine")
    gateways = [await rig.add_gateway(f"g{n}") for n in range(2)]
    await spend(rig, "warm", 1_000, 2, gateways)
    number = budget_partition(ProgramId("warm"))
    same_partition_program = next(
        name
        for name in (f"p{n}" for n in range(100 * BUDGET_PARTITIONS))
        if budget_partition(ProgramId(name)) == number
    )
    rig.store.fault = lambda request: StoreFault.REFUSED
    await wait_until(lambda: gateways[0].store.unavailable_s() > 0.5)
    for gateway in gateways:
        gateway.owners.read_at = gateway.owners.read_at or 0.0
        gateway.owners.owners.update(gateways[0].owners.owners)
    statuses = await spend(rig, same_partition_program, 1_000, 3, gateways)
    assert_that(statuses, Equals([200, 200, 200]))


async def test_interrupted_turns_count_only_what_the_client_received(rig):
    replica = await rig.add_replica("e1", "engine")
    replica.behaviour = lambda request: Behaviour.CUT_IN_EVENT
    gateway = await rig.add_gateway()
    for number in range(3):
        fields = turn_headers(f"t-{number}", "program", 1_000)
        try:
            await send(rig, "/turn/1", fields, b"p")
        except Exception as error:
            assert_that(type(error).__name__, Equals("RemoteProtocolError"))
    owned = gateway.accounts.partitions[budget_partition(ProgramId("program"))]
    account = owned.programs[ProgramId("program")].account
    assert_that(account.used, Equals(3 * (EVENT_COUNT - 1) * TOKENS_PER_EVENT))


@pytest.mark.parametrize("budget", [250, 400, 800])
async def test_turns_at_once_through_several_gateways_use_up_the_budget(rig, budget):
    replica = await rig.add_replica("e1", "engine")
    replica.work_s = 0.05
    gateways = [await rig.add_gateway(f"g{n}") for n in range(3)]
    for _ in range(4):
        await send_at_once(rig, "program", budget, gateways * 2)
    status = 200
    while status == 200:
        await wait_until(lambda: all(not reserved_turns(gateway) for gateway in gateways))
        fields = turn_headers(f"t-{next(REQUEST_NUMBERS)}", "program", budget)
        status = (await send(rig, "/turn/1", fields, b"p", gateway=gateways[0])).status_code
    assert_that(status, Equals(402))
    assert_that(generated_tokens(rig), LessThan(budget + 1))
    assert_that(generated_tokens(rig), GreaterThan(budget - MAX_OUTPUT_TOKENS))


def reserved_turns(gateway):
    """Return the turns that a gateway has reserved and not settled."""
    partitions = gateway.accounts.partitions.values()
    programs = [program for owned in partitions for program in owned.programs.values()]
    return [turn for program in programs for turn in program.account.reserved]


# Guards against a wrong reason, and against calls that wait, while the store is away for all.
@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.SILENT])
async def test_turn_beyond_its_allowance_is_refused_at_once_with_the_true_reason(rig, fault):
    replica = await rig.add_replica("e1", "engine")
    owner = await rig.add_gateway("g0")
    assert_that(await spend(rig, "program", 600, 1, [owner]), Equals([200]))
    other = await rig.add_gateway("g1")
    assert_that(await spend(rig, "program", 600, 1, [other]), Equals([200]))
    number = budget_partition(ProgramId("program"))
    assert_that((owner.accounts.owns(number), other.accounts.owns(number)), Equals((True, False)))
    account = owner.accounts.partitions[number].programs[ProgramId("program")].account
    await wait_until(lambda: account.version > 0)
    account.reserve("rest", account.allowance - account.committed())
    rig.store.fault = lambda request: fault
    await wait_until(
        lambda: all(
            gateway.store.unavailable_s() > defaults.STORE_LOST_AFTER_S for gateway in rig.gateways
        )
    )
    asked = []
    reserve_at = other.store.peers.reserve

    async def reserve(address, reservation):
        asked.append(address)
        return await reserve_at(address, reservation)

    other.store.peers.reserve = reserve
    fields = turn_headers("refused", "program", 600)
    response = await send(rig, "/turn/1", fields, b"p", gateway=other)
    assert_that(response.status_code, Equals(503))
    assert_that(response.json()["detail"], Contains("the allowance cannot grow"))
    assert_that(asked, Equals([owner.settings.peer_listen]))
    events = {event.number for event in other.log.ring}
    assert_that((885 in events, 882 in events), Equals((True, False)))
    assert_that(len(replica.runs), Equals(2))


# Guards against refusals by an owner that alone does not reach the store.
async def test_partition_of_an_owner_without_the_store_is_claimed_by_one_that_reaches_it(rig):
    await rig.add_replica("e1", "engine")
    faults = {"owner": StoreFault.NONE}
    address = await rig.add_store_listener(lambda request: faults["owner"])
    owner = await rig.add_gateway("g0", address)
    assert_that(await spend(rig, "program", 1_000, 1, [owner]), Equals([200]))
    other = await rig.add_gateway("g1")
    owner.store.peer_addresses = set
    faults["owner"] = StoreFault.REFUSED
    await wait_until(lambda: owner.store.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    assert_that(await spend(rig, "program", 1_000, 6, [other]), Equals([200] * 6))
    assert_that(other.accounts.owns(budget_partition(ProgramId("program"))), Equals(True))
    assert_that(885 in {event.number for event in other.log.ring}, Equals(True))
