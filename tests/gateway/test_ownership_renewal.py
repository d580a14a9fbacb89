"""Proofs of ownership, without which nothing is granted without a row, and forgotten losses."""

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from gateway_rig import wait_until
from skylarkferry_core.accounts import Ownership, budget_partition
from skylarkferry_core.errors import PlatformUnavailableError, TokensSpentError
from skylarkferry_core.ids import ProgramId, TurnId
from skylarkferry_gateway import defaults, ownership_proofs
from skylarkferry_gateway.accounts import GrowthUnavailableError
from skylarkferry_gateway.messages import Reservation
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio

PROGRAM = ProgramId("program")
NUMBER = budget_partition(PROGRAM)
BUDGET = 900
TURN = 100


@pytest.fixture
def clock(monkeypatch):
    """Let the clock of proofs be moved on."""
    passed = [0.0]
    read = ownership_proofs.time.clock_gettime
    monkeypatch.setattr(ownership_proofs.time, "clock_gettime", lambda kind: read(kind) + passed[0])

    def move(seconds):
        passed[0] += seconds

    return move


async def reserve(gateway, turn, tokens=TURN):
    reservation = Reservation(PROGRAM, BUDGET, TurnId(turn), tokens)
    await gateway.accounts.reserve(reservation, anyio.current_time() + 5)


def owner_row(rig):
    return msgspec.msgpack.decode(rig.store.value("accounts", str(NUMBER), "owner"), type=Ownership)


def program_row(rig):
    return rig.store.value("accounts", str(NUMBER), f"program.{PROGRAM}")


async def lose_store(rig, *gateways):
    rig.store.fault = lambda request: StoreFault.REFUSED
    await wait_until(
        lambda: all(item.store.unavailable_s() > defaults.STORE_LOST_AFTER_S for item in gateways)
    )


async def claim(gateway, generation=0):
    await gateway.accounts.claim(NUMBER, generation, anyio.current_time() + 5)


# Guards against tokens beyond the budget by an owner that was replaced unaware long ago.
async def test_owner_without_a_recent_proof_grants_nothing_without_a_row(rig, clock):
    gateway = await rig.add_gateway()
    await claim(gateway)
    clock(defaults.UNRECORDED_GRANTS_S + 1)
    await lose_store(rig, gateway)
    with pytest.raises(GrowthUnavailableError):
        await reserve(gateway, "t1")
    rig.store.fault = lambda request: StoreFault.NONE
    await wait_until(lambda: gateway.store.unavailable_s() == 0)
    await reserve(gateway, "t1")
    assert_that(program_row(rig) is None, Equals(False))


# Guards against a first allowance that was opened in time and is used up later.
async def test_rest_of_a_first_allowance_is_not_granted_without_a_recent_proof(rig, clock):
    gateway = await rig.add_gateway()
    await claim(gateway)
    await lose_store(rig, gateway)
    await reserve(gateway, "t1")
    clock(defaults.UNRECORDED_GRANTS_S + 1)
    with pytest.raises(GrowthUnavailableError):
        await reserve(gateway, "t2")


async def test_idle_partition_is_proven_by_a_read(rig, clock):
    gateway = await rig.add_gateway()
    await claim(gateway)
    for _ in range(3):
        clock(defaults.UNRECORDED_GRANTS_S * 0.6)
        await gateway.renewal.renew_all()
    await lose_store(rig, gateway)
    await reserve(gateway, "t1")
    assert_that(program_row(rig), Equals(None))


async def test_partition_that_another_one_claimed_is_dropped_by_a_renewal(rig, clock):
    first = await rig.add_gateway("g0")
    await claim(first)
    second = await rig.add_gateway("g1")
    await claim(second, 1)
    await first.renewal.renew_all()
    assert_that(first.accounts.owns(NUMBER), Equals(True))  # proven a short time ago
    clock(defaults.UNRECORDED_GRANTS_S * 0.6)
    await first.renewal.renew_all()
    assert_that((first.accounts.owns(NUMBER), second.accounts.owns(NUMBER)), Equals((False, True)))


async def lose_owner(rig):
    """Return an owner whose partition lost another one."""
    first = await rig.add_gateway("g0")
    await claim(first)
    second = await rig.add_gateway("g1")
    first.scope.cancel()
    await first.ended.wait()
    await claim(second, 1)
    assert_that(owner_row(rig).losses, Equals(1))
    return second


# Guards against programs that have a smaller first allowance for ever.
async def test_new_programs_have_their_whole_first_allowance_long_after_a_loss(rig, clock):
    owner = await lose_owner(rig)
    clock(defaults.ACCOUNT_IDLE_S)
    await owner.renewal.renew_all()
    assert_that(owner_row(rig).losses, Equals(1))
    clock(defaults.UNRECORDED_GRANTS_S + 1)
    await owner.renewal.renew_all()
    assert_that(owner_row(rig).losses, Equals(0))
    await lose_store(rig, owner)
    await reserve(owner, "t1", BUDGET // 3)
    assert_that(program_row(rig), Equals(None))


async def test_losses_count_while_a_program_has_tokens_without_a_row(rig, clock):
    owner = await lose_owner(rig)
    await lose_store(rig, owner)
    await reserve(owner, "t1")
    rig.store.fault = lambda request: StoreFault.NONE
    await wait_until(lambda: owner.store.unavailable_s() == 0)
    clock(defaults.ACCOUNT_IDLE_S + defaults.UNRECORDED_GRANTS_S + 1)
    await owner.renewal.renew_all()
    assert_that(owner_row(rig).losses, Equals(1))
    await reserve(owner, "t2")  # writes the row first
    assert_that(program_row(rig) is None, Equals(False))
    await owner.renewal.renew_all()
    assert_that(owner_row(rig).losses, Equals(0))


# Guards against an owner that drops its partition, and claims what it has granted from, after its
# own write whose answer was lost.
async def test_owner_keeps_its_partition_after_an_unanswered_write_that_forgets(rig, clock):
    owner = await lose_owner(rig)
    clock(defaults.ACCOUNT_IDLE_S + defaults.UNRECORDED_GRANTS_S + 1)
    transact = owner.owners.store.transact

    async def unanswered(conditions, writes):
        owner.owners.store.transact = transact
        await transact(conditions, writes)
        raise PlatformUnavailableError("the answer is lost")

    owner.owners.store.transact = unanswered
    await owner.renewal.renew_all()
    owned = owner.accounts.partitions[NUMBER]
    assert_that((owned.partition.ownership.losses, owner_row(rig).losses), Equals((1, 0)))
    await reserve(owner, "t1", 400)
    assert_that(owner.accounts.partitions.get(NUMBER) is owned, Equals(True))
    assert_that(owned.partition.ownership.losses, Equals(0))


async def return_store(rig, *gateways):
    rig.store.fault = lambda request: StoreFault.NONE
    await wait_until(lambda: all(item.store.unavailable_s() == 0 for item in gateways))


# Guards against tokens beyond the budget by a program that was refused before a loss was forgotten,
# and granted tokens without a row after it: the next owner would count one lost owner of two.
async def test_losses_count_while_a_program_that_was_refused_may_get_tokens_without_a_row(
    rig, clock
):
    size, granted = 50, 0
    first = await rig.add_gateway("g0")
    second = await rig.add_gateway("g1")
    await claim(first)
    await lose_store(rig, first, second)
    for turn in range(BUDGET // 3 // size):
        await reserve(first, f"a{turn}", size)
        granted += size
    first.scope.cancel()
    await first.ended.wait()
    await return_store(rig, second)
    await claim(second, 1)
    clock(defaults.UNRECORDED_GRANTS_S + 1)
    await lose_store(rig, second)
    with pytest.raises(GrowthUnavailableError):
        await reserve(second, "b", size)
    await return_store(rig, second)
    clock(defaults.ACCOUNT_IDLE_S)
    await second.renewal.renew_all()
    third = await rig.add_gateway("g2")
    await lose_store(rig, second, third)
    for turn in range(BUDGET // 6 // size):
        try:
            await reserve(second, f"c{turn}", size)
        except GrowthUnavailableError:
            break
        granted += size
    second.scope.cancel()
    await second.ended.wait()
    await return_store(rig, third)
    await claim(third, 2)
    with pytest.raises(TokensSpentError):
        for turn in range(BUDGET // size + 1):
            await reserve(third, f"d{turn}", size)
            granted += size
    assert_that(granted, LessThan(BUDGET + size + 1))
