"""Requests that wait for an upstream at a coordinator, over real connections and datagrams."""

import time

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from gateway_rig import ENGINE, ROUTES, config, disconnecting_client, send, turn_headers, wait_until
from skylarkferry_core.events import EventKind
from skylarkferry_gateway import defaults
from skylarkferry_gateway.placement_messages import Queued

pytestmark = pytest.mark.anyio

SERVICE = "engine"
ROOM = ENGINE["slots"] + 1
SLOWDOWN = {"Skylarkferry-Server-Load": "1,0,4,120"}


@pytest.fixture
async def gateways(rig, monkeypatch):
    """Three gateways before one engine that reports its slowdown, as all of them know."""
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 0.1)
    rig.configure(config(2, {"/turn/": {**ROUTES["/turn/"], "timeoutMs": 20_000}}))
    replica = await rig.add_replica("e0", SERVICE)
    replica.report = SLOWDOWN
    running = [await rig.add_gateway(f"g{number}") for number in range(3)]
    for gateway in running:
        await wait_until(lambda gateway=gateway: len(gateway.gateways.nodes) == len(running))
    for number, gateway in enumerate(running):
        assert_that((await send_turn(rig, gateway, f"first-{number}")).status_code, Equals(200))
    replica.work_s = 0.3
    return running


async def send_turn(rig, gateway, name, **fields):
    metadata = turn_headers(name, name, deadline_ms=15_000, **fields)
    return await send(rig, "/turn/1", metadata, b"p", gateway=gateway)


def coordinator_of(gateways, asker):
    node = asker.context.selector.coordinators.coordinator(SERVICE, 0)
    return next(gateway for gateway in gateways if gateway.settings.node == node)


def split(gateways):
    """Return the coordinator and another gateway."""
    coordinator = coordinator_of(gateways, gateways[0])
    return coordinator, next(gateway for gateway in gateways if gateway is not coordinator)


def events(gateway, kind):
    return [event for event in gateway.log.ring if event.number == kind.number]


def waiting(gateway):
    return sum(len(shard.waiting) for shard in gateway.queues.shards.values())


async def send_many(rig, gateway, count, statuses, tasks):
    async def send_one(number):
        statuses.append((await send_turn(rig, gateway, f"turn-{number}")).status_code)

    for number in range(count):
        tasks.start_soon(send_one, number)


# Guards against engines that are given everything at once, and against requests that get lost.
@pytest.mark.parametrize("is_local", [True, False])
async def test_turns_wait_at_the_coordinator_and_all_are_served(rig, gateways, is_local):
    coordinator, asker = split(gateways)
    gateway = coordinator if is_local else asker
    statuses = []
    async with anyio.create_task_group() as tasks:
        await send_many(rig, gateway, 3 * ROOM, statuses, tasks)
        await wait_until(lambda: waiting(coordinator) == 2 * ROOM)
        assert_that(rig.arrivals(), Equals(len(gateways) + ROOM))
    assert_that(statuses, Equals([200] * 3 * ROOM))
    assert_that(waiting(coordinator), Equals(0))
    waited = [event.fields["waited_ms"] for event in events(gateway, EventKind.GATEWAY_QUEUED)]
    assert_that(max(map(int, waited)), GreaterThan(400))


# Guards against requests that hang or are lost with the coordinator at which they wait.
@pytest.mark.parametrize("fault", ["killed", "frozen", "stopped"])
async def test_turns_that_wait_go_on_without_their_coordinator(rig, gateways, fault, monkeypatch):
    coordinator, asker = split(gateways)
    rig.replicas["e0"].work_s = 1.0
    statuses = []
    async with anyio.create_task_group() as tasks:
        await send_many(rig, asker, 2 * ROOM, statuses, tasks)
        await wait_until(lambda: waiting(coordinator) == ROOM)
        failed_at = time.monotonic()
        if fault == "killed":
            coordinator.scope.cancel()
        elif fault == "stopped":
            coordinator.stop.set()
        else:
            monkeypatch.setattr(coordinator.placement_calls, "_on_message", lambda *message: None)
            monkeypatch.setattr(coordinator.placement_calls, "_deliver", lambda outgoing: None)
        others = [gateway for gateway in gateways if gateway is not coordinator]
        await wait_until(
            lambda: rig.arrivals() == len(gateways) + 2 * ROOM
            or any(waiting(gateway) for gateway in others)
        )
        assert_that(time.monotonic() - failed_at, LessThan(0.9))
    assert_that(statuses, Equals([200] * 2 * ROOM))


# Guards against places that are kept for clients that have left.
async def test_request_leaves_the_queue_with_its_client(rig, gateways):
    coordinator, asker = coordinator_of(gateways, gateways[0]), rig.gateways[0]
    rig.replicas["e0"].work_s = 1.0
    statuses = []
    async with anyio.create_task_group() as tasks:
        await send_many(rig, asker, ROOM, statuses, tasks)
        await wait_until(lambda: rig.arrivals() == len(gateways) + ROOM)
        fields = turn_headers("leaves", "leaves", deadline_ms=15_000)
        async with disconnecting_client(rig, "/turn/1", fields, b"p"):
            await wait_until(lambda: waiting(coordinator) == 1)
        await wait_until(lambda: waiting(coordinator) == 0)
    assert_that(rig.arrivals(), Equals(len(gateways) + ROOM))


# Guards against a deadline that passes in the queue without an answer, or with a false one.
async def test_deadline_that_passes_in_the_queue_is_answered_as_not_run(rig, gateways):
    asker = split(gateways)[1]
    rig.replicas["e0"].work_s = 2.0
    statuses = []
    async with anyio.create_task_group() as tasks:
        await send_many(rig, asker, ROOM, statuses, tasks)
        await wait_until(lambda: rig.arrivals() == len(gateways) + ROOM)
        metadata = turn_headers("late", "late", deadline_ms=400)
        began = time.monotonic()
        response = await send(rig, "/turn/1", metadata, b"p", gateway=asker)
        assert_that(time.monotonic() - began, LessThan(0.6))
        assert_that(response.status_code, Equals(503))
        assert_that(float(response.headers["retry-after"]), LessThan(2.1))
    assert_that(rig.arrivals(), Equals(len(gateways) + ROOM))
    assert_that(events(asker, EventKind.GATEWAY_REJECTED), HasLength(1))


# Guards against lost or repeated news about what waits.
async def test_lost_news_does_not_end_the_wait(rig, gateways, monkeypatch):
    coordinator, asker = split(gateways)
    enqueue = coordinator.placement_calls._enqueue
    answered, news = set(), []

    def lose_some(address, message):
        """Lose the first reply to each question, and each other message to all that wait."""
        if isinstance(message, Queued) and not answered.issuperset(message.numbers):
            answered.update(message.numbers)
            return True
        if isinstance(message, Queued) and len(message.numbers) > 1:
            news.append(message)
            if len(news) % 2:
                return True
        return enqueue(address, message)

    monkeypatch.setattr(coordinator.placement_calls, "_enqueue", lose_some)
    statuses = []
    async with anyio.create_task_group() as tasks:
        await send_many(rig, asker, 2 * ROOM, statuses, tasks)
    assert_that(statuses, Equals([200] * 2 * ROOM))
    assert_that(events(asker, EventKind.GATEWAY_COORDINATOR_AVOIDED), HasLength(0))


# Guards against new messages and waits in deployments that asked for none of this.
async def test_without_customers_and_reports_nothing_waits_at_a_coordinator(rig, gateways):
    coordinator, asker = split(gateways)
    for gateway in gateways:
        gateway.context.selector.slowdown_services.clear()
    rig.replicas["e0"].report = {}
    rig.replicas["e0"].work_s = 1.0
    statuses = []
    async with anyio.create_task_group() as tasks:
        await send_many(rig, asker, 2 * ROOM, statuses, tasks)
        await wait_until(lambda: rig.arrivals() == len(gateways) + 2 * ROOM)
        assert_that(coordinator.queues.placed, HasLength(0))
    assert_that(statuses, Equals([200] * 2 * ROOM))
