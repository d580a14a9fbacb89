from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from skylarkferry_core.request_limits import SLOT_VALID_S, TimeSlots, UpstreamLimit

NOW = 1_790_000_000.0
WINDOW_S = 4.0
RATES = st.floats(0.3, 200.0)
GATEWAYS = st.integers(1, 40)


def starts_until(until, slots, rate_per_s):
    """Return the starts of a gateway's slots after ``NOW``."""
    found = []
    start = slots.first_after(NOW, rate_per_s)
    while start <= until:
        found.append(start)
        start = slots.first_after(start, rate_per_s)
    return found


@given(RATES, GATEWAYS)
def test_slots_of_all_gateways_together_follow_each_other_at_the_limit(rate_per_s, gateways):
    until = NOW + 11 * gateways / rate_per_s
    all_slots = [TimeSlots(index, gateways) for index in range(gateways)]
    starts = sorted(
        start for slots in all_slots for start in starts_until(until, slots, rate_per_s)
    )
    gaps = [later - earlier for earlier, later in pairwise(starts)]
    assert_that(len(starts), GreaterThan(9 * gateways))
    assert_that(max(abs(gap * rate_per_s - 1.0) for gap in gaps), LessThan(0.01))


@given(RATES, GATEWAYS, st.lists(st.floats(0.0, 2.0), min_size=1, max_size=60), st.randoms())
def test_all_gateways_together_stay_within_the_tolerated_rate(rate_per_s, gateways, pauses, rng):
    """Requests are offered to all gateways at random moments, many at a time."""
    all_slots = [TimeSlots(index, gateways) for index in range(gateways)]
    limits = [UpstreamLimit(rate_per_s, NOW) for _ in all_slots]
    now, sent = NOW, []
    for pause in pauses:
        now += pause
        for index in rng.choices(range(gateways), k=3 * gateways):
            if limits[index].allows_request(all_slots[index], now):
                limits[index].use_slot(all_slots[index], now)
                sent.append(now)
    busiest = max((sum(at <= other < at + WINDOW_S for other in sent) for at in sent), default=0)
    assert_that(busiest, LessThan(rate_per_s * (WINDOW_S + SLOT_VALID_S) + 2))


@given(RATES, GATEWAYS, st.floats(1.0, 3_600.0))
def test_clock_that_is_set_back_delays_a_gateway_by_one_round_at_most(rate_per_s, gateways, step_s):
    slots, limit = TimeSlots(0, gateways), UpstreamLimit(rate_per_s, NOW)
    now = NOW - step_s
    limit.allows_request(slots, now)
    steps = int(gateways / rate_per_s / SLOT_VALID_S) + 2
    moments = [now + step * SLOT_VALID_S for step in range(steps)]
    assert_that([limit.allows_request(slots, moment) for moment in moments], Contains(True))


def test_limit_of_zero_is_still_tested_now_and_then():
    slots, limit = TimeSlots(0, 1), UpstreamLimit(0.0, NOW)
    allowed = 0
    for tenth in range(1, 201):
        if limit.allows_request(slots, NOW + tenth / 10):
            limit.use_slot(slots, NOW + tenth / 10)
            allowed += 1
    assert_that(allowed, Equals(5))


def test_slot_cannot_be_used_twice_or_long_after_its_start():
    slots, limit = TimeSlots(0, 1), UpstreamLimit(0.5, NOW)
    start = slots.first_after(NOW, 0.5)
    assert_that(limit.allows_request(slots, start), Equals(True))
    limit.use_slot(slots, start)
    assert_that(limit.allows_request(slots, start + 0.5), Equals(False))
    second = slots.first_after(start, 0.5)
    assert_that(limit.allows_request(slots, second + SLOT_VALID_S + 0.1), Equals(False))
