"""Budget partitions that are claimed before a program needs them."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import send, turn_headers, wait_until
from skylarkferry_core.accounts import BUDGET_PARTITIONS, NO_OWNER
from skylarkferry_standins.row_store import StoreFault
from stream_clients import fault_in_part

pytestmark = [pytest.mark.anyio, pytest.mark.usefixtures("frequent_reads")]

PROGRAMS = 16


def owned(*gateways):
    return [len(gateway.accounts.partitions) for gateway in gateways]


async def begin_programs(rig, **options):
    """Return the statuses of the first turns of new programs."""
    statuses = []
    for number in range(PROGRAMS):
        fields = turn_headers(f"id-{number}", program=f"program-{number}")
        statuses.append((await send(rig, "/turn/1", fields, b"p", **options)).status_code)
    return statuses


# Load pattern: programs begin while the store is away, also at partitions without a program so far.
async def test_programs_begin_while_the_store_is_away(rig):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    await wait_until(lambda: owned(gateway) == [BUDGET_PARTITIONS])
    rig.store.fault = lambda request: StoreFault.REFUSED
    assert_that(await begin_programs(rig), Equals([200] * PROGRAMS))


async def test_gateways_divide_the_partitions(rig):
    gateways = [await rig.add_gateway(f"g{number}") for number in range(3)]
    await wait_until(lambda: sum(owned(*gateways)) == BUDGET_PARTITIONS)


# Load pattern: gateways stop one after the other, and then the store is away.
async def test_partitions_of_a_gateway_that_stops_are_claimed_without_a_program(rig):
    await rig.add_replica("e1", "engine")
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await wait_until(lambda: sum(owned(first, second)) == BUDGET_PARTITIONS)
    first.stop.set()
    await first.ended.wait()
    await wait_until(lambda: owned(second) == [BUDGET_PARTITIONS])
    rig.store.fault = lambda request: StoreFault.REFUSED
    assert_that(await begin_programs(rig, gateway=second), Equals([200] * PROGRAMS))


async def test_partitions_of_an_owner_that_does_not_answer_are_left_to_it(rig):
    first = await rig.add_gateway("g1")
    await wait_until(lambda: owned(first) == [BUDGET_PARTITIONS])
    first.scope.cancel()
    await first.ended.wait()
    second = await rig.add_gateway("g2")
    await wait_until(lambda: second.gateways.nodes == ("g2",))
    assert_that(owned(second), Equals([0]))


# Guards against a list that names a gateway as the owner of a partition which it has released.
async def test_list_that_was_read_before_a_release_does_not_undo_it(rig):
    gateway = await rig.add_gateway()
    await wait_until(lambda: owned(gateway) == [BUDGET_PARTITIONS])
    table, accounts = gateway.owners, gateway.accounts
    number = next(iter(accounts.partitions))
    listed = table.owners[number]
    await table.release(accounts.partitions.pop(number).partition, [])
    table._add_listed(number, listed)
    assert_that(table.owner(number), Equals(NO_OWNER))


# Load pattern: a part of the store is away while partitions are claimed.
@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.LOST])
async def test_partitions_are_claimed_while_the_parts_of_others_are_away(rig, fault):
    rig.store.fault = fault_in_part("0", fault)
    gateway = await rig.add_gateway()
    await wait_until(lambda: owned(gateway) == [BUDGET_PARTITIONS - 1])
