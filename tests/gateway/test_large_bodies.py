"""Large request bodies in flight to upstreams that crash if they hold too many."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import ROUTES, config, headers, send, turn_headers, wait_until
from skylarkferry_core.events import EventKind
from skylarkferry_gateway import defaults

pytestmark = pytest.mark.anyio

LARGE = b"x" * 1_000_000
LIMITS = {"maxHeaderBytes": 8_192, "maxBodyBytes": 8_000_000}


@pytest.fixture
async def replica(rig):
    rig.configure(config(1, limits=LIMITS))
    replica = await rig.add_replica("r1")
    replica.work_s = 0.4
    return replica


async def send_all(rig, bodies, path="/once/1"):
    """Send requests with these bodies at the same time, and return the responses."""
    responses = []

    async def send_one(number, body):
        responses.append(await send(rig, path, headers(f"id-{number}"), body))

    async with anyio.create_task_group() as tasks:
        for number, body in enumerate(bodies):
            tasks.start_soon(send_one, number, body)
    return responses


async def test_large_bodies_in_flight_to_an_upstream_are_bounded(rig, replica):
    """Guards against an upstream that ends because it holds more than its memory."""
    gateway = await rig.add_gateway()
    responses = await send_all(rig, [LARGE] * 8)
    statuses = sorted(response.status_code for response in responses)
    assert_that(statuses, Equals([200] * 4 + [503] * 4))
    assert_that({r.headers.get("retry-after") for r in responses}, Equals({None, "0.2"}))
    assert_that((rig.arrivals(), gateway.upstreams.upstreams["r1"].body_bytes), Equals((4, 0)))
    numbers = [event.number for event in gateway.log.ring]
    assert_that(numbers.count(EventKind.GATEWAY_BODIES_FULL.number), Equals(4))
    assert_that((await send(rig, "/once/1", headers("later"), LARGE)).status_code, Equals(200))


async def test_requests_of_ordinary_size_are_not_bounded(rig, replica):
    gateway = await rig.add_gateway()
    gateway.upstreams.upstreams["r1"].body_bytes = 100 * defaults.UPSTREAM_BODY_BYTES
    responses = await send_all(rig, [b"x" * 100_000] * 60)
    assert_that({response.status_code for response in responses}, Equals({200}))


async def test_large_bodies_go_to_upstreams_with_room(rig, replica):
    other = await rig.add_replica("r2")
    other.work_s = 0.4
    await rig.add_gateway()
    responses = await send_all(rig, [LARGE] * 8)
    assert_that({response.status_code for response in responses}, Equals({200}))
    assert_that([len(item.runs) for item in (replica, other)], Equals([4, 4]))


async def test_body_above_the_bound_is_sent_alone(rig, replica):
    await rig.add_gateway()
    body = b"x" * (defaults.UPSTREAM_BODY_BYTES + 1)
    responses = await send_all(rig, [body] * 2)
    assert_that(sorted(item.status_code for item in responses), Equals([200, 503]))


async def test_chain_of_a_retained_turn_counts_with_its_body(rig, monkeypatch):
    """Guards against bodies that are small here and large at the upstream."""
    monkeypatch.setattr(defaults, "COUNTED_BODY_BYTES", 1_000)
    monkeypatch.setattr(defaults, "UPSTREAM_BODY_BYTES", 4_000)
    rig.configure(config(1, {"/kept/": {**ROUTES["/kept/"], "maxAttempts": 1}}))
    engine = await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    await send(rig, "/kept/1", turn_headers("t1"), b"x" * 900)
    upstream = gateway.upstreams.upstreams["e1"]
    engine.work_s = 0.3
    async with anyio.create_task_group() as tasks:
        fields = turn_headers("t2", Previous_Turn="t1")
        tasks.start_soon(send, rig, "/kept/1", fields, b"x" * 900)
        await wait_until(lambda: upstream.body_bytes > 1_800)
    await wait_until(lambda: upstream.body_bytes == 0)


async def test_upstream_that_fills_up_while_a_coordinator_is_asked_is_not_used(rig):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    upstream = gateway.upstreams.upstreams["e1"]
    ask = gateway.context.selector.calls.ask

    async def slow_ask(address, query):
        answer = await ask(address, query)
        upstream.body_bytes = defaults.UPSTREAM_BODY_BYTES
        return answer

    gateway.context.selector.calls.ask = slow_ask
    response = await send(rig, "/turn/1", turn_headers("id-1"), b"x" * 150_000)
    assert_that((response.status_code, rig.arrivals()), Equals((503, 0)))
    assert_that(len(gateway.coordinator.attempts), Equals(0))
