import contextlib
import itertools
import json
from base64 import b64decode

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import (
    MAX_OUTPUT_TOKENS,
    TOKENS_PER_EVENT,
    free_address,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.accounts import (
    BUDGET_PARTITIONS,
    NO_OWNER,
    AccountRow,
    Ownership,
    budget_partition,
)
from skylarkferry_core.errors import NotOwnerError, WriteConflictError
from skylarkferry_core.ids import Incarnation, NodeId, ProgramId, TurnId
from skylarkferry_core.interfaces import Row
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.accounts import AccountManager
from skylarkferry_gateway.messages import Reservation
from skylarkferry_gateway.ownership import OwnedPartition, OwnerTable
from skylarkferry_gateway.partition_accounts import PartitionAccounts
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import WireServer

pytestmark = pytest.mark.anyio

ONE_TURN = EVENT_COUNT * TOKENS_PER_EVENT
REQUEST_NUMBERS = itertools.count()


async def spend(rig, program, budget, turns, gateways):
    """Send turns sequentially, alternating over the gateways, and return the status codes."""
    statuses = []
    for number in range(turns):
        fields = turn_headers(f"{program}-{number}", program, budget)
        gateway = gateways[number % len(gateways)]
        statuses.append((await send(rig, "/turn/1", fields, b"p", gateway=gateway)).status_code)
    return statuses


def generated_tokens(rig):
    """Return the number of tokens that all replicas generated."""
    return sum(len(replica.runs) for replica in rig.replicas.values()) * ONE_TURN


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


async def test_unanswered_allowance_write_is_verified_by_a_read(rig):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    failures = [StoreFault.LOST, StoreFault.LATE, StoreFault.LOST]

    def fault_of(request):
        is_write = "rows-tx" in request.target and b"program." in request.body
        return failures.pop() if is_write and failures else StoreFault.NONE

    rig.store.fault = fault_of
    statuses = await spend(rig, "program", 1_000, 12, [gateway])
    rig.store.perform_late()
    statuses += await spend(rig, "program-2", 1_000, 1, [gateway])
    statuses += await spend(rig, "program", 1_000, 12, [gateway])
    runs = [run for run in rig.replicas["e1"].runs if "program-2" not in run.request_id]
    assert_that(len(runs) * ONE_TURN, LessThan(1_001))
    assert_that(statuses[:6], Equals([200] * 6))


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


async def test_unused_accounts_are_deleted(rig, monkeypatch):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    await spend(rig, "program", 1_000, 8, [gateway])
    number = budget_partition(ProgramId("program"))
    assert_that(rig.store.value("accounts", str(number), "program.program") is None, Equals(False))
    await gateway.accounts.delete_idle_accounts()
    assert_that(len(gateway.accounts.partitions[number].programs), Equals(1))
    monkeypatch.setattr(defaults, "ACCOUNT_IDLE_S", -1.0)
    await gateway.accounts.delete_idle_accounts()
    assert_that(len(gateway.accounts.partitions[number].programs), Equals(0))
    assert_that(rig.store.value("accounts", str(number), "program.program"), Equals(None))


PART_WRITE_S = 0.1
"""Time for which a part is busy with a transaction; twice as long across parts."""


class PartQueues:
    """A store that performs the transactions of each part one after another."""

    def __init__(self, store):
        self.store = store
        self.locks = {}

    async def handle(self, request):
        if request.target == "/api/rows-tx":
            await self.perform(json.loads(request.body))
        return await self.store.handle(request)

    async def perform(self, call):
        entries = [*call["expectedRev"], *call["writes"], *call["remove"]]
        parts = sorted({entry["part"] for entry in entries})
        async with contextlib.AsyncExitStack() as stack:
            for part in parts:
                await stack.enter_async_context(self.locks.setdefault(part, anyio.Lock()))
            await anyio.sleep(PART_WRITE_S * min(len(parts), 2))


def programs_by_partition(count):
    """Return the names of programs in as many different partitions."""
    names = {budget_partition(ProgramId(f"p{n}")): f"p{n}" for n in range(100 * count)}
    return list(names.values())[:count]


async def test_claims_of_partitions_do_not_wait_for_each_other(rig):
    await rig.add_replica("e1", "engine")
    address = free_address()
    await rig.listen(address, WireServer(PartQueues(rig.store).handle))
    gateways = [await rig.add_gateway(f"g{n}", address) for n in range(2)]
    statuses = []

    async def send_turn(program, gateway):
        statuses.extend(await spend(rig, program, 1_000, 1, [gateway]))

    async with anyio.create_task_group() as tasks:
        for number, program in enumerate(programs_by_partition(12)):
            tasks.start_soon(send_turn, program, gateways[number % 2])
    assert_that(statuses, Equals([200] * 12))


async def send_at_once(rig, program, budget, gateways):
    """Send one turn to each of the gateways at the same time; return the status codes."""
    statuses = []

    async def send_turn(gateway):
        fields = turn_headers(f"at-once-{next(REQUEST_NUMBERS)}", program, budget)
        response = await send(rig, "/turn/1", fields, b"p", gateway=gateway)
        statuses.append(response.status_code)

    async with anyio.create_task_group() as tasks:
        for gateway in gateways:
            tasks.start_soon(send_turn, gateway)
    return statuses


class SlowClaims:
    """A store whose answers to claims arrive late."""

    def __init__(self, store):
        self.store = store
        self.claims = 0

    async def handle(self, request):
        reply = await self.store.handle(request)
        if request.target == "/api/rows-tx" and is_claim(request):
            self.claims += 1
            await anyio.sleep(0.2)
        return reply


async def test_partition_is_not_claimed_from_an_owner_whose_claim_is_not_answered_yet(rig):
    await rig.add_replica("e1", "engine")
    claims = SlowClaims(rig.store)
    address = free_address()
    await rig.listen(address, WireServer(claims.handle))
    owner = await rig.add_gateway("g1", address)
    other = await rig.add_gateway("g2", address)
    statuses = []

    async def send_first():
        statuses.extend(await spend(rig, "program", 1_000, 1, [owner]))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_first)
        await wait_until(lambda: claims.claims)
        statuses.extend(await send_at_once(rig, "program", 1_000, [other] * 3))
    assert_that((statuses, claims.claims), Equals(([200] * 4, 1)))
    assert_that(owner.accounts.owns(budget_partition(ProgramId("program"))), Equals(True))


async def test_turns_at_once_do_not_claim_a_partition_whose_owner_one_of_them_finds(rig):
    await rig.add_replica("e1", "engine")
    owner = await rig.add_gateway("g1")
    other = await rig.add_gateway("g2")
    assert_that(await spend(rig, "program", 1_000, 1, [owner]), Equals([200]))
    assert_that(await send_at_once(rig, "program", 1_000, [other] * 4), Equals([200] * 4))
    number = budget_partition(ProgramId("program"))
    assert_that(owner.accounts.owns(number), Equals(True))
    assert_that(other.owners.owners[number].losses, Equals(0))


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


def listed(rig):
    """Return the owners by partition as the list names them."""
    rows = rig.store.get({"table": "account-owners", "part": ""})["rows"]
    return {
        int(row["key"]): msgspec.msgpack.decode(b64decode(row["value"]), type=Ownership)
        for row in rows
    }


async def test_owners_are_listed_again_after_failed_and_late_writes_of_the_list(rig):
    await rig.add_replica("e1", "engine")
    failures = [StoreFault.REFUSED, StoreFault.LOST, StoreFault.LATE]

    def fault_of(request):
        is_list = "rows-tx" in request.target and b"account-owners" in request.body
        return failures.pop() if is_list and failures else StoreFault.NONE

    rig.store.fault = fault_of
    first = await rig.add_gateway("g1")
    number = budget_partition(ProgramId("program"))
    assert_that(await spend(rig, "program", 1_000, 1, [first]), Equals([200]))
    await wait_until(lambda: not failures and not first.owners.unlisted)
    assert_that(listed(rig)[number].owner, Equals(first.settings.incarnation))
    first.scope.cancel()
    await first.ended.wait()
    second = await rig.add_gateway("g2")
    assert_that(await spend(rig, "program", 1_000, 1, [second]), Equals([200]))
    await wait_until(lambda: listed(rig)[number].owner == second.settings.incarnation)
    rig.store.perform_late()
    assert_that(listed(rig)[number].owner, Equals(first.settings.incarnation))
    await wait_until(lambda: listed(rig)[number].owner == second.settings.incarnation)
    assert_that(second.owners.owners[number].owner, Equals(second.settings.incarnation))


async def test_unused_budget_remains_after_a_stop_that_is_not_listed(rig):
    await rig.add_replica("e1", "engine")
    first = await rig.add_gateway("g1")
    assert_that(await spend(rig, "program", 1_000, 2, [first]), Equals([200, 200]))
    number = budget_partition(ProgramId("program"))
    await wait_until(lambda: number in listed(rig))
    rig.store.fault = lambda request: (
        StoreFault.REFUSED if b"account-owners" in request.body else StoreFault.NONE
    )
    first.stop.set()
    await first.ended.wait()
    assert_that(listed(rig)[number].owner, Equals(first.settings.incarnation))
    second = await rig.add_gateway("g2")
    statuses = await spend(rig, "program", 1_000, 30, [second])
    assert_that(generated_tokens(rig), GreaterThan(1_000 - 2 * MAX_OUTPUT_TOKENS))
    assert_that(generated_tokens(rig), LessThan(1_001))
    assert_that(statuses[-1], Equals(402))
    assert_that(second.owners.owners[number].losses, Equals(0))


async def test_release_is_listed_when_the_gateway_ends(rig):
    await rig.add_replica("e1", "engine")
    address = free_address()
    await rig.listen(address, WireServer(PartQueues(rig.store).handle))
    first = await rig.add_gateway("g1", address)
    assert_that(await spend(rig, "program", 1_000, 1, [first]), Equals([200]))
    number = budget_partition(ProgramId("program"))
    await wait_until(lambda: number in listed(rig))
    first.stop.set()
    await first.ended.wait()
    assert_that(listed(rig)[number].owner, Equals(NO_OWNER))


async def test_turn_is_served_although_the_list_names_an_earlier_owner(rig):
    await rig.add_replica("e1", "engine")
    first = await rig.add_gateway("g1")
    number = budget_partition(ProgramId("program"))
    await spend(rig, "program", 1_000, 1, [first])
    await wait_until(lambda: number in listed(rig))
    old = rig.store.value("account-owners", "", f"{number:04d}")
    first.scope.cancel()
    await first.ended.wait()
    second = await rig.add_gateway("g2")
    await spend(rig, "program", 1_000, 1, [second])
    await wait_until(lambda: listed(rig)[number].owner == second.settings.incarnation)
    rig.store.put("account-owners", "", f"{number:04d}", old)
    third = await rig.add_gateway("g3")
    assert_that(await spend(rig, "program", 1_000, 2, [third]), Equals([200, 200]))
    assert_that(second.accounts.owns(number), Equals(True))
    assert_that(third.accounts.owns(number), Equals(False))


@pytest.mark.parametrize("name", ["0001", "not-a-number"])
async def test_gateway_goes_on_after_a_malformed_row_of_the_owner_list(rig, monkeypatch, name):
    monkeypatch.setattr(defaults, "OWNERS_POLL_S", 0.05)
    await rig.add_replica("e1", "engine")
    first = await rig.add_gateway("g1")
    rig.store.put("account-owners", "", name, b"malformed")
    read_at = first.owners.read_at
    await wait_until(lambda: first.ended.is_set() or first.owners.read_at > read_at)
    assert_that(first.ended.is_set(), Equals(False))
    second = await rig.add_gateway("g2")
    assert_that(await spend(rig, "program", 1_000, 2, [first, second]), Equals([200, 200]))


def is_claim(request):
    """Return whether a transaction writes the row that decides who owns a partition."""
    writes = json.loads(request.body)["writes"]
    return any((row["table"], row["key"]) == ("accounts", "owner") for row in writes)


SLOW_WRITE_S = 0.5
"""A store that is sixty times as slow as usual needs this long for an allowance's write."""


class SlowAccounts:
    """A store whose writes of allowances take effect and are answered late."""

    def __init__(self, store):
        self.store = store
        self.writes = 0
        self.claims = 0
        self.delay = lambda: anyio.sleep(SLOW_WRITE_S)

    async def handle(self, request):
        if request.target == "/api/rows-tx":
            if is_claim(request):
                self.claims += 1
            elif b"program." in request.body:
                self.writes += 1
                await self.delay()
        return await self.store.handle(request)


async def slow_store_gateways(rig):
    """Return two gateways at a store with slow allowances; the first owns all that is used."""
    accounts = SlowAccounts(rig.store)
    address = free_address()
    await rig.listen(address, WireServer(accounts.handle))
    owner = await rig.add_gateway("g1", address)
    assert_that(await spend(rig, "program", 1_000, 1, [owner]), Equals([200]))
    other = await rig.add_gateway("g2", address)
    accounts.claims = accounts.writes = 0
    return owner, other, accounts


async def test_turn_is_served_while_a_slow_store_raises_the_allowance(rig, monkeypatch):
    monkeypatch.setattr(defaults, "RESERVE_TIMEOUT_S", 1.5)  # even on a busy machine
    await rig.add_replica("e1", "engine")
    owner, other, accounts = await slow_store_gateways(rig)
    statuses = await spend(rig, "program", 1_000, 5, [other])
    assert_that(statuses, Equals([200] * 5))
    assert_that(accounts.writes, GreaterThan(0))
    assert_that(accounts.claims, Equals(0))
    assert_that(owner.accounts.owns(budget_partition(ProgramId("program"))), Equals(True))


async def test_allowance_grows_for_the_retry_of_a_turn_that_was_refused(rig, monkeypatch):
    monkeypatch.setattr(defaults, "RESERVE_TIMEOUT_S", 0.4)
    replica = await rig.add_replica("e1", "engine")
    owner, other, accounts = await slow_store_gateways(rig)
    answered = anyio.Event()
    accounts.delay = answered.wait
    statuses = await spend(rig, "program", 1_000, 4, [other])
    fields = turn_headers("refused", "program", 1_000)
    response = await send(rig, "/turn/1", fields, b"p", gateway=other)
    assert_that((statuses, response.status_code), Equals(([200] * 4, 503)))
    assert_that(response.headers["retry-after"], Equals(f"{defaults.RETRY_AFTER_S:g}"))
    answered.set()
    partition = owner.accounts.partitions[budget_partition(ProgramId("program"))]
    await wait_until(lambda: partition.programs[ProgramId("program")].account.version > 0)
    fields = turn_headers("again", "program", 1_000)
    response = await send(rig, "/turn/1", fields, b"p", gateway=other)
    assert_that((response.status_code, accounts.writes, accounts.claims), Equals((200, 1, 0)))
    assert_that("refused" in {run.request_id for run in replica.runs}, Equals(False))


async def test_gateway_goes_on_after_a_malformed_row_of_an_account(rig):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    assert_that(await spend(rig, "program", 1_000, 1, [gateway]), Equals([200]))
    number = budget_partition(ProgramId("program"))
    rig.store.put("accounts", str(number), "program.program", b"malformed")
    statuses = await spend(rig, "program", 1_000, 6, [gateway])
    statuses += await spend(rig, "program-2", 1_000, 1, [gateway])
    assert_that(set(statuses), Equals({200}))
    row = rig.store.value("accounts", str(number), "program.program")
    written = msgspec.msgpack.decode(row, type=AccountRow)
    assert_that(written.granted_tokens, GreaterThan(7 * ONE_TURN - 1))
    assert_that(gateway.ended.is_set(), Equals(False))


async def test_program_whose_row_is_malformed_at_a_claim_is_refused(rig):
    replica = await rig.add_replica("e1", "engine")
    first = await rig.add_gateway("g1")
    assert_that(await spend(rig, "program", 1_000, 12, [first]), Equals([200] * 12))
    first.scope.cancel()
    await first.ended.wait()
    number = budget_partition(ProgramId("program"))
    rig.store.put("accounts", str(number), "program.program", b"malformed")
    second = await rig.add_gateway("g2")
    assert_that(await spend(rig, "program", 1_000, 3, [second]), Equals([402] * 3))
    assert_that((len(replica.runs), second.ended.is_set()), Equals((12, False)))


class FencedStore:
    """A store in which the partition was claimed since; reads are answered once ``is_open``."""

    def __init__(self):
        self.is_open = anyio.Event()
        self.reads = 0

    def unavailable_s(self):
        return 0.0

    async def transact(self, conditions, writes):
        raise WriteConflictError("the partition has another version")

    async def read(self, key):
        self.reads += 1
        await self.is_open.wait()
        return Row(key, b"", 2)


async def test_partition_claimed_again_is_kept_when_a_write_of_the_lost_one_ends():
    number = budget_partition(ProgramId("program"))
    store = FencedStore()
    log = EventLog(NodeId("g1"), 100)
    table = OwnerTable(store, Incarnation("g1.0"), "127.0.0.1:9", log)
    manager = AccountManager(store, table, log)
    lost, claimed = (
        PartitionAccounts(OwnedPartition(number, Ownership(), version), [], log)
        for version in (1, 2)
    )
    manager.partitions[number] = lost
    errors = []

    async def reserve():
        try:
            await manager.reserve(
                Reservation(ProgramId("program"), 1_000, TurnId("turn"), 900),
                anyio.current_time() + defaults.RESERVE_TIMEOUT_S,
            )
        except NotOwnerError as error:
            errors.append(error)

    async with anyio.create_task_group() as tasks:
        manager.tasks = tasks
        tasks.start_soon(reserve)
        await wait_until(lambda: store.reads)
        manager.partitions[number] = claimed
        store.is_open.set()
        await wait_until(lambda: errors)
    assert_that(manager.partitions.get(number) is claimed, Equals(True))
    assert_that([event for event in log.ring if event.name == "TASK_FAILED"], Equals([]))


async def test_partition_whose_row_was_replaced_by_a_malformed_one_is_lost_to_its_owner(rig):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    number = budget_partition(ProgramId("program"))
    assert_that(await spend(rig, "program", 1_000, 3, [gateway]), Equals([200] * 3))
    rig.store.put("accounts", str(number), "owner", b"malformed")
    fields = turn_headers("t-1", "program", 1_000, 600)
    response = await send(rig, "/turn/1", fields, b"p")
    assert_that(response.status_code, Equals(503))
    assert_that(gateway.accounts.owns(number), Equals(False))


async def test_turn_is_refused_as_not_run_if_its_partition_cannot_be_claimed(rig):
    await rig.add_replica("e1", "engine")
    number = budget_partition(ProgramId("program"))
    row = msgspec.msgpack.encode(["another", "127.0.0.1:9", (1 << 64) - 1, 0])
    rig.store.put("accounts", str(number), "owner", row)
    await rig.add_gateway()
    answer = await send(rig, "/turn/1", turn_headers("t-1"))
    assert_that(answer.status_code, Equals(503))


async def test_program_returns_while_the_deletion_of_its_row_takes_effect_late(rig, monkeypatch):
    await rig.add_replica("e1", "engine")
    first = await rig.add_gateway("g1")
    await spend(rig, "program", 1_000, 8, [first])
    number = budget_partition(ProgramId("program"))

    def delay_deletions(request):
        is_deletion = "rows-tx" in request.target and json.loads(request.body)["remove"]
        return StoreFault.LATE if is_deletion else StoreFault.NONE

    rig.store.fault = delay_deletions
    with monkeypatch.context() as patch:
        patch.setattr(defaults, "ACCOUNT_IDLE_S", -1.0)
        await first.accounts.delete_idle_accounts()
    runs_before = len(rig.replicas["e1"].runs)
    statuses = await spend(rig, "program", 1_000, 8, [first])
    rig.store.perform_late()
    assert_that(rig.store.value("accounts", str(number), "program.program") is None, Equals(False))
    statuses += await spend(rig, "program", 1_000, 8, [first])
    first.scope.cancel()
    await first.ended.wait()
    second = await rig.add_gateway("g2")
    await spend(rig, "program", 1_000, 30, [second])
    tokens = (len(rig.replicas["e1"].runs) - runs_before) * ONE_TURN
    assert_that((set(statuses), tokens < 1_001), Equals(({200}, True)))
