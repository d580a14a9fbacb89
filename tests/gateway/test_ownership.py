"""Owners of budget partitions: claims, releases and the list that names them."""

from base64 import b64decode

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from budget_programs import PartQueues, generated_tokens, is_claim, send_at_once, spend
from gateway_rig import (
    MAX_OUTPUT_TOKENS,
    free_address,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.accounts import (
    NO_OWNER,
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
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import WireServer

pytestmark = pytest.mark.anyio


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
