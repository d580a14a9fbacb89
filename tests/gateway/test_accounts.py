"""Rows of program accounts: allowances that grow late, malformed rows, deletion."""

import json

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from budget_programs import ONE_TURN, is_claim, spend
from gateway_rig import (
    free_address,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.accounts import (
    AccountRow,
    budget_partition,
)
from skylarkferry_core.ids import ProgramId
from skylarkferry_gateway import defaults
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import WireServer

pytestmark = pytest.mark.anyio


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
