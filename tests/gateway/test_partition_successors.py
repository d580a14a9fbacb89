"""Budget partitions that a stopping gateway hands to another one while the store is away."""

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import send, turn_headers, wait_until
from skylarkferry_core.accounts import BUDGET_PARTITIONS, Ownership, budget_partition
from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ProgramId, TurnId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import HandedPartition, Reservation
from skylarkferry_gateway.peers import PeerSilentError, PeerUnreachableError
from skylarkferry_standins.row_store import StoreFault

pytestmark = [pytest.mark.anyio, pytest.mark.usefixtures("frequent_reads")]

PROGRAMS = 16
TURN_TOKENS = 100
BUDGET = 900
FIRST_ALLOWANCE_TURNS = 3


async def add_owners(rig, count):
    """Start gateways that own all partitions together."""
    replica = await rig.add_replica("e1", "engine")
    replica.event_count = TURN_TOKENS // 10
    gateways = [await rig.add_gateway(f"g{number}") for number in range(count)]
    await wait_until(
        lambda: sum(len(item.accounts.partitions) for item in gateways) == BUDGET_PARTITIONS
        and all(len(item.gateways.nodes) == count for item in gateways)
        and all(len(item.owners.owners) == BUDGET_PARTITIONS for item in gateways)
        and all(not item.owners.unlisted for item in gateways)
    )
    await anyio.sleep(2 * defaults.OWNERS_POLL_S)
    return gateways


async def lose_store(rig, *gateways, fault=StoreFault.REFUSED):
    rig.store.fault = lambda request: fault
    await wait_until(
        lambda: all(item.store.unavailable_s() > defaults.STORE_LOST_AFTER_S for item in gateways)
    )


async def stop(gateway):
    gateway.stop.set()
    await gateway.ended.wait()


async def turns(rig, program, count, gateway, first=0):
    """Send turns of a program one after the other; return their statuses."""
    statuses = []
    for number in range(first, first + count):
        fields = turn_headers(f"{program}-{number}", program, BUDGET, TURN_TOKENS)
        statuses.append((await send(rig, "/turn/1", fields, b"p", gateway=gateway)).status_code)
    return statuses


def owner_of(program, gateways):
    number = budget_partition(ProgramId(program))
    return next(item for item in gateways if item.accounts.owns(number))


def program_of(gateway):
    """Return a program whose partition a gateway owns."""
    names = (f"program-{number}" for number in range(1_000))
    return next(name for name in names if gateway.accounts.owns(budget_partition(ProgramId(name))))


# Load pattern: gateways stop one after the other while the store is away, and programs begin.
@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.SILENT])
async def test_programs_begin_after_owners_have_stopped_while_the_store_is_away(rig, fault):
    first, second, third = await add_owners(rig, 3)
    await lose_store(rig, first, second, third, fault=fault)
    await stop(first)
    await stop(second)
    for number in range(PROGRAMS):
        assert_that(await turns(rig, f"program-{number}", 1, third), Equals([200]))


async def test_handed_account_grants_no_more_than_its_owner_could(rig):
    first, second, third = await add_owners(rig, 3)
    program = program_of(first)
    assert_that(await turns(rig, program, 1, second), Equals([200]))
    await lose_store(rig, first, second, third)
    await stop(first)
    rest = await turns(rig, program, FIRST_ALLOWANCE_TURNS, third, first=1)
    assert_that(rest, Equals([200] * (FIRST_ALLOWANCE_TURNS - 1) + [503]))


@pytest.mark.parametrize("is_claimed", [False, True])
async def test_budget_holds_over_a_handover_and_the_return_of_the_store(rig, is_claimed):
    first, second, third = await add_owners(rig, 3)
    program = program_of(first)
    number = budget_partition(ProgramId(program))
    statuses = await turns(rig, program, 1, second)
    await lose_store(rig, first, second, third)
    await stop(first)
    statuses += await turns(rig, program, 1, third, first=1)
    successor = owner_of(program, [second, third])
    rig.store.fault = lambda request: StoreFault.NONE
    await wait_until(lambda: successor.store.unavailable_s() == 0)
    if is_claimed:
        other = third if successor is second else second
        await other.accounts.claim(number, 1, anyio.current_time() + 1)
    await wait_until(
        lambda: not successor.accounts.owns(number)
        or successor.accounts.partitions[number].partition.ownership.owner
        == successor.owners.incarnation
    )
    statuses += await turns(rig, program, 12, second, first=2)
    served = statuses.count(200)
    assert_that(served * TURN_TOKENS <= BUDGET, Equals(True))
    assert_that(statuses[-1], Equals(402))


async def test_successor_becomes_the_owner_without_a_loss_once_the_store_is_back(rig):
    first, second, third = await add_owners(rig, 3)
    numbers = list(first.accounts.partitions)
    await lose_store(rig, first, second, third)
    await stop(first)
    taken = [item for item in numbers if second.accounts.owns(item) or third.accounts.owns(item)]
    assert_that(sorted(taken), Equals(sorted(numbers)))
    rig.store.fault = lambda request: StoreFault.NONE

    def rows():
        values = [rig.store.value("accounts", str(number), "owner") for number in numbers]
        return [msgspec.msgpack.decode(value, type=Ownership) for value in values]

    await wait_until(lambda: all(row.generation == 2 for row in rows()))
    assert_that({row.losses for row in rows()}, Equals({0}))
    lost = [event for event in first.log.ring if event.number == 881]
    assert_that(lost, Equals([]))


class Peers:
    """Peers whose answers to a handed partition are set by address."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    async def hand_partition(self, address, handed):
        self.asked.append(address)
        answer = self.answers[address]
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.mark.parametrize(
    ("answers", "is_taken", "asked"),
    [
        ([True, True], True, 1),
        ([False, True], True, 2),
        ([False, False], False, 2),
        ([PeerUnreachableError("refused"), True], True, 2),
        ([PeerSilentError("silent"), True], False, 1),
    ],
)
async def test_partition_is_handed_to_one_successor_only(rig, answers, is_taken, asked):
    gateways = [await rig.add_gateway(f"g{number}") for number in range(3)]
    await wait_until(lambda: len(gateways[0].gateways.nodes) == 3)
    successors = gateways[0].accounts.successors
    own_address = gateways[0].settings.peer_listen
    addresses = successors.addresses(7, own_address)
    successors.peers = Peers(dict(zip(addresses, answers, strict=True)))
    handed = HandedPartition(7, Ownership(), 1, [], [])
    assert_that(await successors.hand_over(handed, own_address), Equals(is_taken))
    assert_that(successors.peers.asked, Equals(addresses[:asked]))


async def test_partition_that_is_owned_already_is_not_taken_again(rig):
    (gateway,) = await add_owners(rig, 1)
    number = next(iter(gateway.accounts.partitions))
    before = gateway.accounts.partitions[number]
    assert_that(gateway.accounts.take(before.handed()), Equals(False))
    assert_that(gateway.accounts.partitions[number] is before, Equals(True))


async def test_malformed_partition_is_refused(rig):
    gateway = await rig.add_gateway()
    peers = gateway.store.peers
    address = gateway.settings.peer_listen
    for body in (b"", b"{}", b"[" * 10_000, b'{"number":1}'):
        with pytest.raises(Exception, match="status 400"):
            await peers._call(address, b"/partition", body)
    taken = [item for item in gateway.log.ring if item.number == EventKind.BUDGET_PARTITION_TAKEN]
    assert_that(taken, Equals([]))


def lose_next_answer(monkeypatch, table):
    """Let the next write of an owner table take effect without an answer."""
    transact = table.store.transact

    async def unanswered(conditions, writes):
        monkeypatch.setattr(table.store, "transact", transact)
        await transact(conditions, writes)
        raise PlatformUnavailableError("the answer is lost")

    monkeypatch.setattr(table.store, "transact", unanswered)


class FollowsNoList:
    """A list of gateways that has not been read."""

    known_from = None


async def hand_over_without_store(rig, gateways):
    """Let the first gateway stop while the store is away; return a successor and its partition."""
    numbers = list(gateways[0].accounts.partitions)
    for gateway in gateways:
        gateway.claims.gateways = FollowsNoList()  # so that nothing is claimed or confirmed
    await lose_store(rig, *gateways)
    await stop(gateways[0])
    successor = next(item for item in gateways[1:] if set(numbers) & set(item.accounts.partitions))
    rig.store.fault = lambda request: StoreFault.NONE
    await wait_until(lambda: successor.store.unavailable_s() == 0)
    return successor, next(number for number in numbers if successor.accounts.owns(number))


# Guards against tokens beyond the budget by a successor that claims what it has granted from.
@pytest.mark.parametrize("is_growth", [False, True])
async def test_successor_keeps_a_partition_whose_confirmation_was_not_answered(
    rig, monkeypatch, is_growth
):
    gateways = await add_owners(rig, 3)
    successor, number = await hand_over_without_store(rig, gateways)
    owned = successor.accounts.partitions[number]
    lose_next_answer(monkeypatch, successor.owners)
    with pytest.raises(PlatformUnavailableError):
        await successor.owners.confirm(owned.partition)
    if is_growth:
        programs = (ProgramId(f"program-{item}") for item in range(10_000))
        program = next(item for item in programs if budget_partition(item) == number)
        deadline_at = anyio.current_time() + 5
        for turn in ("t1", "t2", "t3", "t4"):
            reservation = Reservation(program, BUDGET, TurnId(turn), TURN_TOKENS)
            await successor.accounts.reserve(reservation, deadline_at)
    else:
        await successor.owners.confirm(owned.partition)
    assert_that(successor.accounts.partitions.get(number) is owned, Equals(True))
    row = rig.store.value("accounts", str(number), "owner")
    assert_that(msgspec.msgpack.decode(row, type=Ownership), Equals(owned.partition.ownership))
    assert_that(owned.partition.ownership.owner, Equals(successor.owners.incarnation))


async def test_successor_drops_a_partition_that_was_claimed_meanwhile(rig):
    gateways = await add_owners(rig, 3)
    successor, number = await hand_over_without_store(rig, gateways)
    other = next(item for item in gateways[1:] if item is not successor)
    await other.accounts.claim(number, 1, anyio.current_time() + 5)
    assert_that(other.accounts.partitions[number].partition.ownership.losses, Equals(1))
    assert_that(number in successor.accounts.unconfirmed(), Equals(True))
    await successor.accounts.confirm(number)
    assert_that(successor.accounts.owns(number), Equals(False))


async def test_partition_that_another_one_has_claimed_is_not_taken(rig):
    (gateway,) = await add_owners(rig, 1)
    number = next(iter(gateway.accounts.partitions))
    handed = gateway.accounts.partitions.pop(number).handed()
    gateway.owners.owners[number] = Ownership("another", "127.0.0.1:9", 2, 1)
    assert_that(gateway.accounts.take(handed), Equals(False))
