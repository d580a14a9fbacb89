"""Retry-After of requests that are refused because the store does not answer."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import send, turn_headers, wait_until
from skylarkferry_gateway import defaults
from skylarkferry_gateway.outage_retries import OutageRetries
from skylarkferry_standins.row_store import StoreFault


def waits(lost_s, time_left_s, last_outage_s=0.0, count=200):
    """Return the waits of clients that are refused at the same time."""
    retries = OutageRetries(random.Random(1))
    for observed_s in (last_outage_s, 0.0, lost_s):
        retries.observe(observed_s)
    return [retries.retry_after_s(time_left_s) for _ in range(count)]


# Load pattern: programs are refused all along an outage of 7 s, by clients that wait for 3.2 s.
def test_clients_of_one_moment_do_not_come_back_together():
    spread = waits(3.0, 3.2)
    assert_that(max(spread) - min(spread), GreaterThan(0.2))
    assert_that(len(set(spread)), GreaterThan(100))
    assert_that((min(spread) >= 0.799, max(spread) <= 3.2 / 3), Equals((True, True)))


def test_wait_grows_with_the_time_that_the_first_outage_has_lasted():
    early, late = waits(0.45, 30.0), waits(4.0, 30.0)
    assert_that((min(early) >= 0.45, max(early) <= 0.675), Equals((True, True)))
    assert_that((min(late) >= 4.0, max(late) <= 6.0), Equals((True, True)))


def test_wait_leads_to_the_end_of_an_outage_that_takes_as_long_as_the_last_one():
    spread = waits(6.0, 30.0, last_outage_s=7.0)
    assert_that((min(spread) >= 1.0, max(spread) <= 1.5), Equals((True, True)))
    assert_that(min(waits(8.0, 60.0, last_outage_s=7.0)), GreaterThan(7.9))


@given(st.floats(0, 100), st.floats(-5, 600), st.floats(0, 100))
def test_wait_is_never_longer_than_a_client_accepts(lost_s, time_left_s, last_outage_s):
    longest = max(time_left_s, 0.0) / 3
    for wait in waits(lost_s, time_left_s, last_outage_s, count=20):
        assert_that((wait >= 0.0, wait <= longest), Equals((True, True)))


def test_wait_without_a_deadline_is_bounded():
    assert_that(max(waits(50.0, math.inf)), LessThan(defaults.OUTAGE_RETRY_AFTER_S + 0.001))


# Guards against a Retry-After that the client does not accept, and against one for all clients.
@pytest.mark.anyio
async def test_refusals_in_an_outage_say_when_to_come_back(rig):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    rig.store.fault = lambda request: StoreFault.REFUSED
    await wait_until(lambda: gateway.store.unavailable_s() > 1.0)
    waits = []
    for number in range(5):
        fields = turn_headers(f"t-{number}", f"new-{number}", 150, deadline_ms=900)
        response = await send(rig, "/turn/1", fields, b"p")
        assert_that(response.status_code, Equals(503))
        waits.append(float(response.headers["retry-after"]))
    assert_that((max(waits) <= 0.3, len(set(waits)) > 1), Equals((True, True)))
