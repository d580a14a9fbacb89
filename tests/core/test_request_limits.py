from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from skylarkferry_core.request_limits import SLOT_VALID_S, SlotTurn, UpstreamLimit

NOW = 1_790_000_000.0
WINDOW_S = 4.0
RATES = st.floats(0.3, 200.0)
GATEWAYS = st.integers(1, 40)


def slots(turn, rate_per_s, until):
    """Return the starts of a gateway's slots after ``NOW``."""
    found = []
    start = turn.first_slot(rate_per_s, NOW)
    while start <= until:
        found.append(start)
        start = turn.first_slot(rate_per_s, start)
    return found


@given(RATES, GATEWAYS)
def test_slots_of_all_gateways_together_follow_each_other_at_the_limit(rate_per_s, gateways):
    until = NOW + 11 * gateways / rate_per_s
    turns = [SlotTurn(index, gateways) for index in range(gateways)]
    starts = sorted(start for turn in turns for start in slots(turn, rate_per_s, until))
    gaps = [later - earlier for earlier, later in pairwise(starts)]
    assert_that(len(starts), GreaterThan(9 * gateways))
    assert_that(max(abs(gap * rate_per_s - 1.0) for gap in gaps), LessThan(0.01))


@given(RATES, GATEWAYS, st.lists(st.floats(0.0, 2.0), min_size=1, max_size=60), st.randoms())
def test_all_gateways_together_stay_within_the_tolerated_rate(rate_per_s, gateways, pauses, rng):
    """Requests are offered to all gateways at random moments, many at a time."""
    turns = [SlotTurn(index, gateways) for index in range(gateways)]
    limits = [UpstreamLimit(rate_per_s, NOW) for _ in turns]
    now, sent = NOW, []
    for pause in pauses:
        now += pause
        for index in rng.choices(range(gateways), k=3 * gateways):
            if limits[index].allows_request(turns[index], now):
                limits[index].use_slot(turns[index], now)
                sent.append(now)
    busiest = max((sum(at <= other < at + WINDOW_S for other in sent) for at in sent), default=0)
    assert_that(busiest, LessThan(rate_per_s * (WINDOW_S + SLOT_VALID_S) + 2))


@given(RATES, GATEWAYS, st.floats(1.0, 3_600.0))
def test_clock_that_is_set_back_delays_a_gateway_by_one_turn_at_most(rate_per_s, gateways, step_s):
    turn, limit = SlotTurn(0, gateways), UpstreamLimit(rate_per_s, NOW)
    now = NOW - step_s
    limit.allows_request(turn, now)
    steps = int(gateways / rate_per_s / SLOT_VALID_S) + 2
    moments = [now + step * SLOT_VALID_S for step in range(steps)]
    assert_that([limit.allows_request(turn, moment) for moment in moments], Contains(True))


def test_limit_of_zero_is_still_tested_now_and_then():
    turn, limit = SlotTurn(0, 1), UpstreamLimit(0.0, NOW)
    allowed = 0
    for tenth in range(1, 201):
        if limit.allows_request(turn, NOW + tenth / 10):
            limit.use_slot(turn, NOW + tenth / 10)
            allowed += 1
    assert_that(allowed, Equals(5))


def test_slot_cannot_be_used_twice_or_long_after_its_start():
    turn, limit = SlotTurn(0, 1), UpstreamLimit(0.5, NOW)
    start = turn.first_slot(0.5, NOW)
    assert_that(limit.allows_request(turn, start), Equals(True))
    limit.use_slot(turn, start)
    assert_that(limit.allows_request(turn, start + 0.5), Equals(False))
    second = turn.first_slot(0.5, start)
    assert_that(limit.allows_request(turn, second + SLOT_VALID_S + 0.1), Equals(False))
