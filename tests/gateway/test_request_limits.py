from itertools import count

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import headers, send, turn_headers, wait_until
from skylarkferry_gateway import defaults
from skylarkferry_gateway.upstreams import Upstream
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
SETTLE_S = 1.0
"""Time in which all gateways learn of a limit; the platform allows 3 s."""
NUMBERS = count()


@pytest.fixture(autouse=True)
def fast_gateway_list(monkeypatch):
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 0.2)


@pytest.fixture(autouse=True)
def choice_without_connections(monkeypatch):
    """Prefer no upstream for an idle connection, whenever requests reach a gateway."""
    monkeypatch.setattr(Upstream, "has_idle_connection", lambda *args: False)


def most_in_window(limit_per_s=LIMIT_PER_S):
    """Return how many requests the platform tolerates in any window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


async def add_limited_replica(rig, name, service="tools", limit_per_s=LIMIT_PER_S):
    """Add a replica that names a request limit."""
    replica = await rig.add_replica(name, service)
    replica.report = {"Server-Limit": f"{limit_per_s:g}"}
    return replica


async def add_gateways(rig, number):
    """Add gateways and wait until each one counts all."""
    for index in range(number):
        await rig.add_gateway(f"g{index}")
    await wait_until(lambda: all(len(item.gateways.nodes) == number for item in rig.gateways))
    await wait_until(lambda: all(has_time_slots(gateway) for gateway in rig.gateways))


def has_time_slots(gateway):
    return gateway.gateways.time_slots("r1", anyio.current_time()) is not None


async def send_for(rig, seconds, path="/once/1", interval_s=0.04):
    """Send requests at a steady rate through all gateways in turn, and return the responses."""
    responses = []
    ends_at = anyio.current_time() + seconds

    async def send_one(fields, gateway):
        responses.append(await send(rig, path, fields, b"p", gateway=gateway))

    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < ends_at:
            for gateway in rig.gateways:
                tasks.start_soon(send_one, request_headers(path), gateway)
                await anyio.sleep(interval_s)
    return responses


def request_headers(path):
    number = next(NUMBERS)
    if path.startswith("/turn"):
        return turn_headers(f"id-{number}", program=f"program-{number}")
    return headers(f"id-{number}")


def busiest_window(times, since):
    """Return the largest number of arrivals in a window that begins at ``since`` or later."""
    starts = [moment for moment in times if moment >= since]
    return max((sum(start <= t < start + WINDOW_S for t in starts) for start in starts), default=0)


def statuses(responses):
    return {response.status_code for response in responses}


@pytest.mark.parametrize(("path", "service"), [("/once/1", "tools"), ("/turn/1", "engine")])
async def test_limited_upstream_gets_no_more_than_its_limit_from_all_gateways(rig, path, service):
    limited = await add_limited_replica(rig, "r1", service)
    await rig.add_replica("r2", service)
    await add_gateways(rig, 3)
    await send_for(rig, SETTLE_S, path)
    settled_at = anyio.current_time()
    responses = await send_for(rig, WINDOW_S + 1, path)
    assert_that(statuses(responses), Equals({200}))
    assert_that(busiest_window(limited.received_at, settled_at), LessThan(most_in_window() + 1))


async def test_limit_holds_while_the_store_is_away(rig):
    limited = await add_limited_replica(rig, "r1")
    await rig.add_replica("r2")
    await add_gateways(rig, 3)
    rig.store.fault = lambda request: StoreFault.REFUSED
    await send_for(rig, SETTLE_S)
    settled_at = anyio.current_time()
    responses = await send_for(rig, WINDOW_S + 1)
    assert_that(statuses(responses), Equals({200}))
    assert_that(busiest_window(limited.received_at, settled_at), LessThan(most_in_window() + 1))
    assert_that(busiest_window(limited.received_at, settled_at), GreaterThan(LIMIT_PER_S))


async def test_requests_beyond_all_limits_are_rejected_and_the_limits_used(rig):
    limit_per_s = 10.0
    limited = await add_limited_replica(rig, "r1", limit_per_s=limit_per_s)
    await add_gateways(rig, 3)
    await send_for(rig, SETTLE_S)
    settled_at = anyio.current_time()
    responses = await send_for(rig, WINDOW_S, interval_s=0.02)
    assert_that(statuses(responses), Equals({200, 503}))
    refused = [response for response in responses if response.status_code == 503]
    assert_that(min(float(item.headers["Retry-After"]) for item in refused), GreaterThan(0.0))
    served = sum(moment >= settled_at for moment in limited.received_at)
    assert_that(served, GreaterThan(0.7 * limit_per_s * WINDOW_S))
    assert_that(served, LessThan(most_in_window(limit_per_s)))


async def test_retry_goes_to_no_upstream_beyond_its_limit(rig):
    limited = await add_limited_replica(rig, "r1", limit_per_s=0.3)
    shedding = await rig.add_replica("r2")
    await add_gateways(rig, 1)
    await send_for(rig, SETTLE_S)
    shedding.behaviour = lambda request: Behaviour.SHED
    before = len(limited.received_at)
    responses = await send_for(rig, SETTLE_S)
    assert_that(statuses(responses) - {200}, Equals({503}))
    assert_that(len(limited.received_at) - before, LessThan(2))


async def test_upstream_whose_limit_ended_gets_requests_from_all_gateways_again(rig):
    limited = await add_limited_replica(rig, "r1")
    await add_gateways(rig, 2)
    await send_for(rig, SETTLE_S)
    limited.report = {}
    upstreams = [gateway.upstreams.upstreams["r1"] for gateway in rig.gateways]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_for, rig, WINDOW_S)
        await wait_until(lambda: not any(upstream.limit for upstream in upstreams))
        tasks.cancel_scope.cancel()
    assert_that(statuses(await send_for(rig, SETTLE_S)), Equals({200}))


async def test_gateway_sends_nothing_to_limited_upstreams_until_others_count_it(rig, monkeypatch):
    limited = await add_limited_replica(rig, "r1", limit_per_s=100.0)
    await add_gateways(rig, 1)
    await send_for(rig, 0.1)
    monkeypatch.setattr(defaults, "GATEWAY_HEARTBEAT_S", 60.0)
    newcomer = await rig.add_gateway("newcomer")
    rig.gateways.remove(newcomer)
    first = await send(rig, "/once/1", headers("new-1"), gateway=newcomer)
    before = len(limited.received_at)
    second = await send(rig, "/once/1", headers("new-2"), gateway=newcomer)
    assert_that((first.status_code, second.status_code), Equals((200, 503)))
    assert_that(len(limited.received_at), Equals(before))
