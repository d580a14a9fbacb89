import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import MAX_OUTPUT_TOKENS, config, headers, send, turn_headers, wait_until
from skylarkferry_gateway import defaults
from skylarkferry_standins.replica import EVENTS
from skylarkferry_standins.rows import StoreFault

pytestmark = pytest.mark.anyio


class SilentServer:
    """Accept connections and never answer."""

    async def serve(self, stream):
        async with stream:
            await anyio.sleep_forever()


class Pair:
    """Two gateways; the store may turn the second one away."""

    def __init__(self, rig):
        self.rig = rig
        self.fault = StoreFault.NONE

    async def start(self):
        address = await self.rig.add_store_listener(lambda request: self.fault)
        self.near = await self.rig.add_gateway("near")
        self.far = await self.rig.add_gateway("far", address)
        await self.turn("t-1", None, self.near)
        await self.far.owners.refresh(anyio.current_time(), anyio.current_time() + 1)

    async def turn(self, turn, previous, gateway):
        fields = turn_headers(turn, budget=100_000)
        if previous:
            fields["Skylarkferry-Previous-Turn"] = previous
        return await send(self.rig, "/kept/1", fields, b"in ", gateway=gateway)

    async def turn_away(self, fault):
        self.fault = fault
        await wait_until(lambda: self.far.store.direct.lost_s() > defaults.STORE_LOST_AFTER_S)


@pytest.fixture
async def pair(rig):
    await rig.add_replica("e1", "engine")
    found = Pair(rig)
    await found.start()
    return found


OUTPUT = b"".join(f"token {n}\n".encode() for n in range(1, EVENTS + 1))
FAULTS = [StoreFault.REFUSED, StoreFault.THROTTLED, StoreFault.RESET, StoreFault.SILENT]


@pytest.mark.parametrize("fault", FAULTS)
async def test_turned_away_gateway_serves_turns_through_a_peer(pair, fault):
    await pair.turn_away(fault)
    await wait_until(lambda: pair.far.store.is_relayed)
    answer = await pair.turn("t-2", "t-1", pair.far)
    assert_that(answer.status_code, Equals(200))
    assert_that(pair.rig.store.value("turns", "t-2", "0000") is not None, Equals(True))
    assert_that(pair.rig.replicas["e1"].runs[-1].body, Equals(b"in " + OUTPUT + b"in "))
    assert_that(pair.far.is_ready(), Equals(True))


async def test_turned_away_gateway_follows_configuration_and_upstreams(pair):
    await pair.turn_away(StoreFault.REFUSED)
    pair.rig.configure(config(version=2))
    await pair.rig.add_replica("e2", "engine")
    await wait_until(lambda: pair.far.config.current.version == 2)
    await wait_until(lambda: "e2" in pair.far.upstreams.upstreams)


async def test_own_way_is_taken_again_once_the_store_answers(pair):
    await pair.turn_away(StoreFault.REFUSED)
    await wait_until(lambda: pair.far.store.is_relayed)
    pair.fault = StoreFault.NONE
    await wait_until(lambda: not pair.far.store.is_relayed)
    assert_that(pair.far.store.lost_s(), Equals(0.0))


async def test_store_that_is_down_for_all_is_lost_soon(pair):
    pair.rig.store.fault = lambda request: StoreFault.REFUSED
    await pair.turn_away(StoreFault.REFUSED)
    await wait_until(lambda: pair.far.store.lost_s() > defaults.STORE_LOST_AFTER_S)
    answer = await pair.turn("t-2", "t-never-seen", pair.far)
    assert_that(answer.status_code, Equals(503))


async def test_budget_holds_when_the_owner_is_turned_away(pair):
    budget = 6 * MAX_OUTPUT_TOKENS
    await pair.turn_away(StoreFault.REFUSED)
    await wait_until(lambda: pair.far.store.is_relayed)
    statuses = []
    for number in range(40):
        gateway = (pair.near, pair.far)[number % 2]
        fields = turn_headers(f"b-{number}", "spender", budget)
        statuses.append(
            (await send(pair.rig, "/turn/1", fields, b"p", gateway=gateway)).status_code
        )
    assert_that(set(statuses), Equals({200, 402}))
    assert_that(statuses.count(200) * 50, LessThan(budget + 1))
    assert_that(statuses.count(200), GreaterThan(3))


async def test_silent_store_is_noticed_before_its_calls_time_out(pair):
    pair.fault = StoreFault.SILENT
    began = anyio.current_time()
    await wait_until(lambda: pair.far.store.direct.lost_s() > 0)
    waited_s = anyio.current_time() - began
    assert_that(waited_s, LessThan(defaults.UPSTREAMS_POLL_S + defaults.STORE_TIMEOUT_S))
    assert_that((await send(pair.rig, "/none/", headers("x"))).status_code, Equals(404))


async def test_gateway_that_is_cut_off_refuses_at_once_and_sends_its_clients_elsewhere(pair):
    near_address = pair.near.settings.peer_listen
    pair.near.scope.cancel()
    await pair.near.ended.wait()
    await pair.rig.listen(near_address, SilentServer())
    await pair.turn_away(StoreFault.SILENT)
    await wait_until(pair.far.store.is_isolated)
    fields = turn_headers("t-2", "t-1-program")
    began = anyio.current_time()
    answer = await send(pair.rig, "/turn/1", fields, b"p", gateway=pair.far)
    assert_that(anyio.current_time() - began, LessThan(defaults.PEER_TIMEOUT_S))
    assert_that(answer.status_code, Equals(503))
    assert_that(float(answer.headers["Retry-After"]), Equals(defaults.ISOLATED_RETRY_AFTER_S))
