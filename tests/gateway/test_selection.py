from functools import partial

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan, Not

from gateway_rig import ROUTES, config, send, turn_headers, wait_until
from skylarkferry_gateway import defaults
from skylarkferry_gateway.placement_messages import Answer
from skylarkferry_standins.replica import Behaviour

pytestmark = pytest.mark.anyio

ENGINES = 6
GATEWAYS = 6
SERVICE = "engine"


@pytest.fixture
async def gateways(rig, monkeypatch):
    """Six gateways that know each other before six engines that all seem equally fast."""
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 0.1)
    for number in range(ENGINES):
        await rig.add_replica(f"e{number}", SERVICE)
    running = [await rig.add_gateway(f"g{number}") for number in range(GATEWAYS)]
    for gateway in running:
        await wait_until(lambda gateway=gateway: len(gateway.gateways.nodes) == GATEWAYS)
        ignore_measured_speeds(gateway, monkeypatch)
    return running


def ignore_measured_speeds(gateway, monkeypatch):
    """Let all engines seem equally fast, however busy the machine is."""
    for placer in (gateway.context.selector.placer, gateway.coordinator.placer):
        monkeypatch.setattr(placer.speeds, "observe", lambda *observed: None)


async def send_turn(rig, gateway, name, parts="", **fields):
    metadata = turn_headers(name, name, **({"Prompt_Prefix": parts} if parts else {}), **fields)
    return await send(rig, "/turn/1", metadata, b"p", gateway=gateway)


def arrivals(rig):
    return {name: len(replica.received_ids) for name, replica in rig.replicas.items()}


def engine_of(rig, request_id):
    """Return the engine that executed a request."""
    found = [
        name
        for name, replica in rig.replicas.items()
        for run in replica.runs
        if run.request_id == request_id
    ]
    assert_that(found, HasLength(1))
    return found[0]


def coordinator_of(gateways, asker):
    """Return the gateway that another one asks for placements."""
    node = asker.context.selector.coordinators.coordinator(SERVICE, 0)
    return next(gateway for gateway in gateways if gateway.settings.node == node)


def other_than(gateways, excluded):
    return next(gateway for gateway in gateways if gateway is not excluded)


async def test_concurrent_turns_of_many_gateways_are_spread_evenly_over_engines(rig, gateways):
    """Each gateway sends too few turns to learn by itself how full the engines are."""
    rig.configure(config(2, {"/turn/": {**ROUTES["/turn/"], "timeoutMs": 60_000}}))
    for gateway in gateways:
        await wait_until(lambda gateway=gateway: gateway.config.current.version == 2)
    for replica in rig.replicas.values():
        replica.work_s = 60.0  # no turn ends before the last one has begun
    turns = 4 * GATEWAYS
    async with anyio.create_task_group() as tasks:
        for number in range(turns):
            gateway = gateways[number % GATEWAYS]
            turn = partial(send_turn, rig, gateway, f"turn-{number}", deadline_ms=60_000)
            tasks.start_soon(turn)
            await wait_until(lambda sent=number + 1: sum(arrivals(rig).values()) == sent)
        tasks.cancel_scope.cancel()
    assert_that(max(arrivals(rig).values()), LessThan(turns // ENGINES + 1))


async def test_session_continues_at_its_engine_through_another_gateway(rig, gateways, monkeypatch):
    """The turns of a session share the beginning of their prompts, whichever gateway gets them."""
    monkeypatch.setattr(defaults, "PLACEMENT_TIMEOUT_S", 1.0)  # all gateways share one event loop
    for replica in rig.replicas.values():
        replica.work_s = 1.5  # the first turns overlap
    parts = [f"shared:1000,own{number}:9000" for number in range(ENGINES)]
    async with anyio.create_task_group() as tasks:
        for number, own in enumerate(parts):
            tasks.start_soon(send_turn, rig, gateways[number], f"first-{number}", own)
            await wait_until(lambda sent=number + 1: sum(arrivals(rig).values()) == sent)
    for replica in rig.replicas.values():
        replica.work_s = 0.05
    for number, own in enumerate(parts):
        gateway = gateways[(number + 1) % GATEWAYS]
        await send_turn(rig, gateway, f"second-{number}", f"{own},next:500")
    firsts = [engine_of(rig, f"first-{number}") for number in range(ENGINES)]
    seconds = [engine_of(rig, f"second-{number}") for number in range(ENGINES)]
    assert_that(set(firsts), HasLength(ENGINES))
    assert_that(seconds, Equals(firsts))


async def test_turns_go_on_when_the_coordinator_is_killed(rig, gateways):
    coordinator = coordinator_of(gateways, gateways[0])
    asker = other_than(gateways, coordinator)
    coordinator.scope.cancel()
    await coordinator.ended.wait()
    responses = [await send_turn(rig, asker, f"turn-{number}") for number in range(4)]
    assert_that({response.status_code for response in responses}, Equals({200}))
    remaining = [gateway for gateway in gateways if gateway is not coordinator]
    following = coordinator_of(remaining, asker)
    await wait_until(lambda: followed_attempts(following) == 3)


def followed_attempts(gateway):
    """Return the number of attempts that a coordinator followed to their end."""
    members = gateway.upstreams.for_service(SERVICE)
    return sum(round(item.shared.outcome_counts.outcomes) for item in members)


async def test_coordinator_that_stops_hands_over_at_once(rig, gateways):
    coordinator = coordinator_of(gateways, gateways[0])
    asker = other_than(gateways, coordinator)
    coordinator.stop.set()
    await wait_until(lambda: coordinator.is_stopping)
    assert_that((await send_turn(rig, asker, "turn-1")).status_code, Equals(200))
    assert_that(coordinator_of(gateways, asker), Not(Equals(coordinator)))
    assert_that(coordinator.coordinator.attempts, HasLength(0))


async def test_late_answer_leaves_no_attempt_at_the_coordinator(rig, gateways, monkeypatch):
    """The coordinator wakes after the asker has decided by itself."""
    coordinator = coordinator_of(gateways, gateways[0])
    asker = other_than(gateways, coordinator)
    held = []
    receive = coordinator.placement_calls._on_message
    monkeypatch.setattr(
        coordinator.placement_calls,
        "_on_message",
        lambda message, sender: held.append((message, sender)),
    )
    assert_that((await send_turn(rig, asker, "turn-1")).status_code, Equals(200))
    await wait_until(lambda: len(held) == 2)
    for message, sender in held:
        receive(message, sender)
    assert_that(coordinator.coordinator.attempts, HasLength(0))


async def test_choice_of_an_upstream_that_is_leaving_here_is_not_followed(
    rig, gateways, monkeypatch
):
    """This gateway knows from a response what the coordinator has not read yet."""
    coordinator = coordinator_of(gateways, gateways[0])
    asker = other_than(gateways, coordinator)
    asker.upstreams.upstreams["e0"].has_announced_leaving = True

    def choose_leaving(sender, number, query, now):
        assert_that(query.excluded, Equals(("e0",)))
        return Answer(number, "e0")

    monkeypatch.setattr(coordinator.coordinator, "place", choose_leaving)
    for number in range(4):
        await send_turn(rig, asker, f"turn-{number}")
    assert_that(arrivals(rig)["e0"], Equals(0))
    assert_that(sum(arrivals(rig).values()), Equals(4))


async def test_coordinator_whose_list_is_old_is_avoided(rig, gateways, monkeypatch):
    """The store turns the coordinator away, so that it does not learn of new upstreams."""
    coordinator = coordinator_of(gateways, gateways[0])
    asker = other_than(gateways, coordinator)

    monkeypatch.setattr(coordinator.upstreams, "update", lambda entries, now: [])
    coordinator.upstreams.read_at -= 10.0
    await send_turn(rig, asker, "turn-1")
    assert_that(coordinator_of(gateways, asker), Not(Equals(coordinator)))


async def test_malformed_datagram_is_dropped(rig, gateways):
    coordinator = coordinator_of(gateways, gateways[0])
    host, _, port = coordinator.settings.peer_listen.rpartition(":")
    async with await anyio.create_connected_udp_socket(host, int(port)) as socket:
        for data in (b"", b"\xc1", b"\x93\xa3ask\x01\x02", b"x" * 9_000):
            await socket.send(data)
    dropped = coordinator.metrics.datagrams_dropped.labels(reason="malformed")
    await wait_until(lambda: dropped._value.get() >= 3)
    asker = other_than(gateways, coordinator)
    await send_turn(rig, asker, "turn-1")
    assert_that(coordinator_of(gateways, asker), Equals(coordinator))


async def test_prompt_too_long_for_a_datagram_is_placed_by_the_gateway_itself(rig, gateways):
    asker = other_than(gateways, coordinator_of(gateways, gateways[0]))
    parts = ",".join(f"part{number:06}:10" for number in range(500))
    assert_that((await send_turn(rig, asker, "turn-1", parts)).status_code, Equals(200))
    too_long = asker.metrics.datagrams_dropped.labels(reason="too_long")
    assert_that(too_long._value.get(), Equals(1.0))


async def test_retry_goes_to_another_upstream(rig, gateways):
    asker = other_than(gateways, coordinator_of(gateways, gateways[0]))
    for replica in rig.replicas.values():
        replica.behaviour = lambda request: Behaviour.SHED
    await send_turn(rig, asker, "turn-1")
    assert_that(sorted(arrivals(rig).values()), Equals([0, 0, 0, 0, 1, 1]))


async def test_service_of_several_shards_uses_all_upstreams(rig, monkeypatch):
    """Shards of three upstreams; requests with different prompts meet in different ones."""
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 0.1)
    monkeypatch.setattr("skylarkferry_core.coordination.MAX_SHARD_UPSTREAMS", 3)
    for number in range(9):
        await rig.add_replica(f"e{number}", SERVICE)
    gateway = await rig.add_gateway("g0")
    ignore_measured_speeds(gateway, monkeypatch)
    for replica in rig.replicas.values():
        replica.work_s = 1.5
    async with anyio.create_task_group() as tasks:
        for number in range(36):
            parts = f"shared{number}:1000,own{number}:10"
            tasks.start_soon(send_turn, rig, gateway, f"turn-{number}", parts)
            await wait_until(lambda sent=number + 1: sum(arrivals(rig).values()) == sent)
    assert_that([count for count in arrivals(rig).values() if not count], HasLength(0))
    assert_that(gateway.upstreams.shards(SERVICE), HasLength(3))
