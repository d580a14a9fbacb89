import random
from collections import Counter

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import MAX_OUTPUT_TOKENS, config, headers, send, turn_headers, wait_until
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_standins.replica import EVENT_COUNT
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio


class SilentServer:
    """Accept connections without ever answering."""

    async def serve(self, stream):
        async with stream:
            await anyio.sleep_forever()


class GatewayPair:
    """Two gateways: one that reaches the store, and one that the store can reject."""

    def __init__(self, rig):
        self.rig = rig
        self.fault = StoreFault.NONE

    async def start(self):
        address = await self.rig.add_store_listener(lambda request: self.fault)
        self.connected = await self.rig.add_gateway("connected")
        self.rejected = await self.rig.add_gateway("rejected", address)
        await self.send_turn("t-1", None, self.connected)
        await self.rejected.owners.refresh(anyio.current_time(), anyio.current_time() + 1)

    async def send_turn(self, turn, previous, gateway):
        fields = turn_headers(turn, budget=100_000)
        if previous:
            fields["Skylarkferry-Previous-Turn"] = previous
        return await send(self.rig, "/kept/1", fields, b"in ", gateway=gateway)

    async def reject(self, fault):
        self.fault = fault
        await wait_until(
            lambda: self.rejected.store.direct.unavailable_s() > defaults.STORE_LOST_AFTER_S
        )


@pytest.fixture
async def pair(rig):
    await rig.add_replica("e1", "engine")
    gateways = GatewayPair(rig)
    await gateways.start()
    return gateways


OUTPUT = b"".join(f"token {n}\n".encode() for n in range(1, EVENT_COUNT + 1))
FAULTS = [StoreFault.REFUSED, StoreFault.THROTTLED, StoreFault.RESET, StoreFault.SILENT]


@pytest.mark.parametrize("fault", FAULTS)
async def test_rejected_gateway_serves_turns_through_a_peer(pair, fault):
    await pair.reject(fault)
    await wait_until(lambda: pair.rejected.store.is_relayed)
    answer = await pair.send_turn("t-2", "t-1", pair.rejected)
    assert_that(answer.status_code, Equals(200))
    assert_that(pair.rig.store.value("turns", "t-2", "0000") is not None, Equals(True))
    assert_that(pair.rig.replicas["e1"].runs[-1].body, Equals(b"in " + OUTPUT + b"in "))
    assert_that(pair.rejected.is_ready(), Equals(True))


async def test_rejected_gateway_follows_configuration_and_upstreams(pair):
    await pair.reject(StoreFault.REFUSED)
    pair.rig.configure(config(version=2))
    await pair.rig.add_replica("e2", "engine")
    await wait_until(lambda: pair.rejected.config.current.version == 2)
    await wait_until(lambda: "e2" in pair.rejected.upstreams.upstreams)


async def test_direct_path_is_used_again_once_the_store_answers(pair):
    await pair.reject(StoreFault.REFUSED)
    await wait_until(lambda: pair.rejected.store.is_relayed)
    pair.fault = StoreFault.NONE
    await wait_until(lambda: not pair.rejected.store.is_relayed)
    assert_that(pair.rejected.store.unavailable_s(), Equals(0.0))


async def test_store_that_is_down_for_all_gateways_counts_as_lost(pair):
    pair.rig.store.fault = lambda request: StoreFault.REFUSED
    await pair.reject(StoreFault.REFUSED)
    await wait_until(lambda: pair.rejected.store.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    answer = await pair.send_turn("t-2", "t-never-seen", pair.rejected)
    assert_that(answer.status_code, Equals(503))


async def test_budget_holds_when_the_store_rejects_one_gateway(pair):
    budget = 6 * MAX_OUTPUT_TOKENS
    await pair.reject(StoreFault.REFUSED)
    await wait_until(lambda: pair.rejected.store.is_relayed)
    statuses = []
    for number in range(40):
        gateway = (pair.connected, pair.rejected)[number % 2]
        fields = turn_headers(f"b-{number}", "spender", budget)
        statuses.append(
            (await send(pair.rig, "/turn/1", fields, b"p", gateway=gateway)).status_code
        )
    assert_that(set(statuses), Equals({200, 402}))
    assert_that(statuses.count(200) * 50, LessThan(budget + 1))
    assert_that(statuses.count(200), GreaterThan(3))


async def test_silent_store_is_detected_before_its_calls_time_out(pair):
    pair.fault = StoreFault.SILENT
    began = anyio.current_time()
    await wait_until(lambda: pair.rejected.store.direct.unavailable_s() > 0)
    waited_s = anyio.current_time() - began
    assert_that(waited_s, LessThan(defaults.UPSTREAMS_POLL_S + defaults.STORE_TIMEOUT_S))
    assert_that((await send(pair.rig, "/none/", headers("x"))).status_code, Equals(404))


async def test_isolated_gateway_refuses_at_once_with_a_short_retry_after(pair):
    connected_address = pair.connected.settings.peer_listen
    pair.connected.scope.cancel()
    await pair.connected.ended.wait()
    await pair.rig.listen(connected_address, SilentServer())
    await pair.reject(StoreFault.SILENT)
    await wait_until(pair.rejected.store.is_isolated)
    fields = turn_headers("t-2", "t-1-program")
    began = anyio.current_time()
    answer = await send(pair.rig, "/turn/1", fields, b"p", gateway=pair.rejected)
    assert_that(anyio.current_time() - began, LessThan(defaults.PEER_TIMEOUT_S))
    assert_that(answer.status_code, Equals(503))
    assert_that(float(answer.headers["Retry-After"]), Equals(defaults.ISOLATED_RETRY_AFTER_S))


def first_peers(shares, calls=2_000):
    """Return how often each of these peers is asked first."""
    addresses = sorted(shares) if shares else ["a", "b", "c"]
    store = FailoverStore(
        None,
        None,
        lambda: addresses,
        lambda: shares,
        rng=random.Random(1),
        log=EventLog("node", 10),
    )
    return Counter(store._candidates()[0] for _ in range(calls))


async def test_peers_are_asked_in_proportion_to_their_hosts():
    """Guards against reads through a host whose link is a twenty-fifth of that of another."""
    counts = first_peers({"narrow": 0.04, "middle": 0.4, "wide": 1.0})
    assert 30 < counts["narrow"] < 110
    assert 1.8 < counts["wide"] / counts["middle"] < 3.2


async def test_peers_count_alike_while_no_link_is_known():
    counts = first_peers({})
    assert max(counts.values()) < 1.2 * min(counts.values())


async def test_order_of_peers_is_that_of_earlier_versions_while_no_link_is_known():
    addresses = [f"peer-{number}" for number in range(9)]
    store = FailoverStore(
        None, None, lambda: addresses, dict, rng=random.Random(3), log=EventLog("node", 10)
    )
    rng = random.Random(3)
    expected = sorted(addresses, key=lambda item: rng.random())[:2]
    assert_that(store._candidates(), Equals(expected))
