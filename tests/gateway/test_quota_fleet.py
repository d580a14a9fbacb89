"""Quotas of a fleet under failures, in virtual time, against one exact bucket."""

from functools import partial

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from quota_fleet import (
    MARGIN,
    ExactBucket,
    most_in_window,
    simulate,
    window_bound,
)
from skylarkferry_admission.quota_limits import QuotaMargin
from skylarkferry_core.customers import Customer, CustomerKeys, CustomerTable
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CustomerId
from skylarkferry_core.routes import ClientLimits, RoutingTable
from skylarkferry_gateway.quota_exchange import shard_for
from skylarkferry_gateway.quota_owners import OwnedPools

GATEWAYS = 27
WARM_UP_S = 4.0
"""Time after which the pools are full; all gateways begin with none."""


def ranked(fleet):
    ranks = fleet.processes["g0"].exchanges[0].ranks
    return {shard: ranks._ranked(shard) for shard in range(2)}


async def no_fault(fleet):
    pass


async def kill_owner(fleet):
    fleet.kill(fleet.owner("c"))


async def freeze_owner(fleet):
    fleet.processes[fleet.owner("c")].frozen_until = anyio.current_time() + 3.0


async def cut_answers(fleet):
    """Let no answer of the owner reach half of the gateways."""
    owner = fleet.owner("c")
    fleet.cut = {(owner, node) for node in list(fleet.members)[:13]}


async def replace_owner(fleet):
    owner = fleet.owner("c")
    fleet.kill(owner)
    await anyio.sleep(1.0)
    fleet.start(owner)


async def kill_two_owners(fleet):
    for owners in ranked(fleet).values():
        for node in owners[:2]:
            fleet.kill(node)


async def kill_all(fleet):
    for node in fleet.members:
        fleet.kill(node)
    await anyio.sleep(0.5)
    for node in fleet.members:
        fleet.start(node)


async def divide(fleet):
    nodes = list(fleet.members)
    halves = nodes[:13], nodes[13:]
    fleet.cut = {(a, b) for a in halves[0] for b in halves[1]}
    fleet.cut |= {(b, a) for a, b in fleet.cut}
    await anyio.sleep(4.0)
    fleet.cut = set()


async def lose_datagrams(fleet):
    fleet.loss = 0.02


async def flap(fleet):
    """Cut the owner off and connect it again, each time after its share of the burst ended."""
    owner = fleet.owner("c")
    for _ in range(6):
        fleet.cut = {(owner, node) for node in fleet.members}
        await anyio.sleep(1.2)
        fleet.cut = set()
        await anyio.sleep(1.2)


FAULTS = [
    no_fault,
    kill_owner,
    freeze_owner,
    cut_answers,
    replace_owner,
    kill_two_owners,
    kill_all,
    divide,
    lose_datagrams,
    flap,
]


def run(fault, rate, use, seconds=11.0):
    """Return the fleet and the times, since the fault, of refusals that one bucket would not make.

    ``use`` requests per second go to random gateways; the fault begins after 4 s.
    """
    refused = []

    async def work(fleet):
        fleet.add_customer("c", rate, rate)
        await anyio.sleep(WARM_UP_S)
        began = anyio.current_time()
        bucket = ExactBucket(rate, rate, began)

        async def request(has_room):
            at = anyio.current_time() - began - 4.0
            admitted = await fleet.request("c", fleet.rng.choice(list(fleet.members)))
            if has_room and admitted is False:
                refused.append(at)

        async def break_later():
            await anyio.sleep(4.0)
            await fault(fleet)

        fleet.tasks.start_soon(break_later)
        while anyio.current_time() < began + seconds:
            await anyio.sleep(fleet.rng.expovariate(use))
            fleet.tasks.start_soon(request, bucket.take(anyio.current_time()))

    return simulate(GATEWAYS, 1, work), refused


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("rate", [2.5, 350.0])
def test_flood_stays_within_the_bound(fault, rate):
    """Guards against tokens that two hold, or that come back after a failure (rule 4)."""
    fleet, _ = run(fault, rate, rate * 5)
    bound = window_bound(rate, rate)
    assert_that(most_in_window(fleet.runs["c"]), LessThan(bound + 1e-9))


@pytest.mark.parametrize("rate", [2.5, 30.0, 350.0])
def test_customer_within_its_quota_is_never_refused_in_calm(rate):
    """Guards against fixed shares, whose small customers have no whole token at any gateway."""
    fleet, refused = run(no_fault, rate, rate / 1.6)
    assert_that((refused, len(fleet.runs["c"]) > rate), Equals(([], True)))


@pytest.mark.parametrize(
    "fault", [kill_owner, kill_all, kill_two_owners], ids=lambda fault: fault.__name__
)
def test_customer_within_its_quota_is_refused_for_a_second_at_most(fault):
    """Guards against tokens that stay unreachable after an owner's end."""
    _, refused = run(fault, 350.0, 350.0 / 1.6)
    late = [at for at in refused if at > 1.5]
    assert_that(late, Equals([]))


def test_flood_gets_what_the_exact_bucket_gives():
    """Guards against a limit that is kept by serving less than it allows."""
    fleet, _ = run(no_fault, 350.0, 1_750.0)
    assert_that(len(fleet.runs["c"]), GreaterThan((11 * 350 + 350) * 0.97))


def test_flood_of_one_customer_costs_no_datagram_for_each_request():
    """Guards against a flood that fills the owner's socket, and with it the others' questions."""
    calm, _ = run(no_fault, 100.0, 60.0)
    flooded, _ = run(no_fault, 100.0, 1_000.0)
    requests = len(flooded.runs["c"]) + len(flooded.refusals["c"])
    assert_that(flooded.messages - calm.messages, LessThan(requests * 0.4))


def test_without_customers_with_a_quota_nothing_is_sent():
    async def work(fleet):
        await anyio.sleep(3.0)

    assert_that(simulate(5, 1, work).messages, Equals(0))


def test_lowered_limit_binds_tokens_already_granted():
    """Guards against pools and stock that go on under the former limit."""
    times = []

    async def work(fleet):
        fleet.add_customer("c", 350.0, 350.0)
        await anyio.sleep(WARM_UP_S)
        fleet.tasks.start_soon(partial(fleet.load, "c", 500.0, 10.0))
        await anyio.sleep(3.0)
        fleet.add_customer("c", 20.0, 20.0)
        times.append(anyio.current_time())
        await anyio.sleep(7.0)

    fleet = simulate(GATEWAYS, 1, work)
    later = [at for at in fleet.runs["c"] if at > times[0]]
    assert_that(most_in_window(later), LessThan(window_bound(20.0, 20.0)))


def test_raised_limit_takes_effect_at_once():
    times = []

    async def work(fleet):
        fleet.add_customer("c", 5.0, 5.0)
        await anyio.sleep(WARM_UP_S)
        fleet.tasks.start_soon(partial(fleet.load, "c", 200.0, 6.0))
        await anyio.sleep(2.0)
        fleet.add_customer("c", 350.0, 350.0)
        times.append(anyio.current_time())
        await anyio.sleep(4.0)

    fleet = simulate(GATEWAYS, 1, work)
    late = [at for at, _ in fleet.refusals["c"] if at > times[0] + 1.0]
    assert_that(late, Equals([]))


def test_gateway_without_the_list_uses_its_share_only_while_all_are_heard():
    """Guards against a side that accrues for gateways which have taken it off their lists."""

    async def work(fleet):
        fleet.add_customer("c", 350.0, 350.0)
        nodes = list(fleet.members)
        side, rest = nodes[:9], nodes[9:]
        await anyio.sleep(WARM_UP_S)
        fleet.cut = {(a, b) for a in side for b in rest} | {(b, a) for a in side for b in rest}
        for node in side:  # they cannot read the list, and the others have taken them off it
            fleet.processes[node].has_store = False
        for node in rest:
            lists = fleet.processes[node].lists
            lists.members = {name: lists.members[name] for name in rest}
            lists.nodes = tuple(sorted(rest))
        fleet.tasks.start_soon(partial(fleet.load, "c", 1_500.0, 10.0))
        await anyio.sleep(11.0)

    fleet = simulate(GATEWAYS, 1, work)
    assert_that(most_in_window(fleet.runs["c"]), LessThan(window_bound(350.0, 350.0)))


@pytest.mark.parametrize("heals", [False, True])
def test_divided_fleet_holds_one_burst(heals):
    """Guards against two owners with a full pool each, which a flood then finds."""

    async def work(fleet):
        fleet.add_customer("c", 350.0, 350.0)
        await anyio.sleep(WARM_UP_S)
        nodes = list(fleet.members)
        side, rest = nodes[:13], nodes[13:]
        fleet.cut = {(a, b) for a in side for b in rest} | {(b, a) for a in side for b in rest}
        await anyio.sleep(3.0)  # both pools would be full by now
        fleet.tasks.start_soon(partial(fleet.load, "c", 3_000.0, 6.0))
        await anyio.sleep(0.8)
        if heals:
            fleet.cut = set()
        await anyio.sleep(5.2)

    fleet = simulate(GATEWAYS, 1, work)
    assert_that(most_in_window(fleet.runs["c"]), LessThan(window_bound(350.0, 350.0)))


def test_store_that_is_away_for_all_changes_nothing_while_all_are_heard():
    async def away(fleet):
        for process in fleet.processes.values():
            process.has_store = False

    _, refused = run(away, 350.0, 350.0 / 1.6)
    assert_that(refused, Equals([]))


def test_paused_gateway_drops_its_stock():
    """Guards against tokens that have been accrued again elsewhere meanwhile."""

    async def work(fleet):
        fleet.add_customer("c", 350.0, 350.0)
        await anyio.sleep(WARM_UP_S)
        await fleet.load("c", 200.0, 2.0)
        fleet.processes["g3"].frozen_until = anyio.current_time() + 2.0
        await anyio.sleep(3.0)

    fleet = simulate(GATEWAYS, 1, work)
    kinds = {kind for kind, _ in fleet.processes["g3"].log.events}
    assert_that(EventKind.GATEWAY_QUOTA_DROPPED in kinds, Equals(True))


def test_refusal_names_a_time_and_clients_that_wait_so_long_are_served():
    """Guards against constant times, after which all clients return together in vain."""
    outcomes = []

    async def work(fleet):
        fleet.add_customer("c", 20.0, 20.0)
        await anyio.sleep(WARM_UP_S)

        async def client():
            await fleet.request("c", "g1")
            if fleet.refusals["c"]:
                at, room_s = fleet.refusals["c"][-1]
                if at == anyio.current_time():
                    await anyio.sleep(room_s)
                    outcomes.append(await fleet.request("c", "g1"))

        for _ in range(60):
            fleet.tasks.start_soon(client)
        await anyio.sleep(5.0)

    simulate(3, 1, work)
    assert_that(len(outcomes), GreaterThan(25))
    assert_that(sum(outcomes) / len(outcomes), GreaterThan(0.7))


def test_begun_programs_are_served_while_new_ones_flood():
    """Guards against a flood of new programs after which every third turn of all fails."""

    async def work(fleet):
        fleet.add_customer("c", 100.0, 100.0)
        await anyio.sleep(WARM_UP_S)
        fleet.tasks.start_soon(partial(fleet.load, "c", 500.0, 6.0, is_begun=False))
        refused = 0
        for _ in range(360):
            await anyio.sleep(fleet.rng.expovariate(60.0))
            admitted = await fleet.request("c", fleet.rng.choice(list(fleet.members)))
            refused += admitted is False
        assert_that(refused, LessThan(36))

    simulate(GATEWAYS, 1, work)


STEPS = st.sampled_from(
    ["kill", "start", "freeze", "cut", "one_way", "heal", "lose", "delay", "flood", "flood"]
)


@settings(max_examples=settings().max_examples // 8)
@given(
    seed=st.integers(0, 1_000_000),
    count=st.integers(1, 7),
    rate=st.sampled_from([2.5, 30.0, 200.0]),
    margin=st.sampled_from([MARGIN, QuotaMargin()]),
    steps=st.lists(st.tuples(STEPS, st.floats(0.05, 2.0)), max_size=10),
)
def test_no_sequence_of_failures_exceeds_the_bound(seed, count, rate, margin, steps):
    """Guards against any order of pauses, losses, cuts and takeovers that makes tokens."""
    burst = max(rate, 5.0)

    async def apply(fleet, step):
        nodes = list(fleet.members)
        node = fleet.rng.choice([*nodes, fleet.owner("c")])
        others = [fleet.rng.choice(nodes) for _ in range(count)]
        if step == "kill":
            fleet.kill(node)
        elif step == "start":
            fleet.kill(node)
            fleet.start(node)
        elif step == "freeze":
            fleet.processes[node].frozen_until = anyio.current_time() + fleet.rng.uniform(0.1, 4)
        elif step == "cut":
            fleet.cut |= {(node, other) for other in others}
            fleet.cut |= {(other, node) for other in others}
        elif step == "one_way":
            fleet.cut |= {(node, other) for other in others}
        elif step == "heal":
            fleet.cut, fleet.loss, fleet.delay_s = set(), 0.0, 0.001
        elif step == "lose":
            fleet.loss = fleet.rng.uniform(0, 0.5)
        elif step == "flood":
            fleet.tasks.start_soon(partial(fleet.load, "c", rate * 6, 3.0))
        else:
            fleet.delay_s = fleet.rng.uniform(0.001, 0.06)

    async def work(fleet):
        fleet.add_customer("c", rate, burst)
        fleet.tasks.start_soon(partial(fleet.load, "c", 10.0, 30.0))
        await anyio.sleep(fleet.rng.uniform(0, 4))
        for step, pause_s in steps:
            await apply(fleet, step)
            await anyio.sleep(pause_s)
        await apply(fleet, "flood")
        await anyio.sleep(3.0)

    fleet = simulate(count, seed, work, margin)
    bound = window_bound(rate, burst, margin)
    assert_that(most_in_window(fleet.runs["c"]), LessThan(bound + 1e-9))


def test_tokens_given_back_to_a_silent_owner_are_not_given_to_the_next():
    """Guards against a token that two owners take back."""
    held, found = [], []

    async def work(fleet):
        fleet.add_customer("c", 30.0, 30.0)
        await anyio.sleep(WARM_UP_S)
        owner = fleet.owner("c")
        node = next(node for node in fleet.members if node != owner)
        await fleet.request("c", node)
        exchange = fleet.processes[node].exchanges[shard_for("c")]
        bucket = exchange.customers["c"].bucket
        bucket.tokens += 5
        held.append(bucket.tokens)
        fleet.cut = {(owner, node)}
        answer = OwnedPools.answer

        def record(self, ask):
            found.extend(demand.returned for demand in ask.demands if ask.deposit.node == node)
            return answer(self, ask)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(OwnedPools, "answer", record)
            await anyio.sleep(1.0)

    simulate(5, 1, work)
    assert_that(sum(found), Equals(held[0]))


def test_request_that_waits_when_the_last_quota_is_removed_runs():
    """Guards against a refusal by a quota that no configuration has any more."""
    found = []

    async def work(fleet):
        fleet.add_customer("c", 30.0, 30.0)
        await anyio.sleep(WARM_UP_S)
        node = next(item for item in fleet.members if item != fleet.owner("c"))
        exchange = fleet.processes[node].exchanges[shard_for("c")]
        while not exchange.needed.is_set():
            fleet.tasks.start_soon(fleet.request, "c", node)
            await anyio.sleep(0.0)
        fleet.customers["c"] = Customer(CustomerId("c"), None, None)
        table = CustomerTable(CustomerKeys(customer) for customer in fleet.customers.values())
        fleet.config.current = RoutingTable(9, (), {}, ClientLimits(), table)
        await anyio.sleep(1.0)
        found.append(fleet.refusals["c"])

    simulate(GATEWAYS, 1, work)
    assert_that(found, Equals([[]]))
