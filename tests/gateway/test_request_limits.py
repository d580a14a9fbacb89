from itertools import count

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import headers, send, turn_headers
from skylarkferry_gateway import defaults

pytestmark = pytest.mark.anyio

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
SETTLE_S = 1.0
"""Time in which all gateways learn of a limit; the platform allows 3 s."""
MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests in any window that the platform tolerates."""
NUMBERS = count()


@pytest.fixture(autouse=True)
def fast_member_list(monkeypatch):
    monkeypatch.setattr(defaults, "MEMBERS_BEAT_S", 0.2, raising=False)


async def add_limited_replica(rig, name, service="tools", limit_per_s=LIMIT_PER_S):
    """Add a replica that names a request limit."""
    replica = await rig.add_replica(name, service)
    replica.report = {"Server-Limit": f"{limit_per_s:g}"}
    return replica


async def send_for(rig, seconds, path="/once/1", gateways=None, interval_s=0.04):
    """Send requests at a steady rate through all gateways in turn, and return the responses."""
    responses = []
    ends_at = anyio.current_time() + seconds
    make_headers = turn_headers if path == "/turn/1" else headers

    async def send_one(fields, gateway):
        responses.append(await send(rig, path, fields, b"p", gateway=gateway))

    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < ends_at:
            for gateway in gateways or rig.gateways:
                number = next(NUMBERS)
                fields = make_headers(f"id-{number}", **_program(path, number))
                tasks.start_soon(send_one, fields, gateway)
                await anyio.sleep(interval_s)
    return responses


def _program(path, number):
    return {"program": f"program-{number}"} if path == "/turn/1" else {}


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
    for number in range(3):
        await rig.add_gateway(f"g{number}")
    await send_for(rig, SETTLE_S, path)
    settled_at = anyio.current_time()
    responses = await send_for(rig, WINDOW_S + 1, path)
    assert_that(statuses(responses), Equals({200}))
    assert_that(busiest_window(limited.received_at, settled_at), LessThan(MOST_IN_WINDOW + 1))
    assert_that(busiest_window(limited.received_at, settled_at), GreaterThan(1))
