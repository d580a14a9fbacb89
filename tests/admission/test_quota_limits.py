from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from skylarkferry_admission.quota_limits import (
    BURST_HELD_S,
    BURST_MOVED_AFTER_S,
    MAX_SHARE_S,
    QuotaMargin,
    local_limit,
    stock_limits,
)
from skylarkferry_core.customers import Quota

MARGIN = QuotaMargin(5.0, 0.1, 20.0)
TRANSIT_S = 0.05


@given(
    rate=st.floats(0.1, 10_000),
    burst_s=st.floats(0.5, 10),
    over=st.floats(0, 0.5),
    slack=st.floats(0, 100),
    window_s=st.floats(1, 60),
)
def test_all_that_may_be_stored_fits_into_the_bound_of_a_window(
    rate, burst_s, over, slack, window_s
):
    """Guards against a sum of stores above what rule 4 allows at the beginning of a window."""
    margin = QuotaMargin(window_s, over, slack)
    burst = max(rate * burst_s, 3.0)  # below, a pool of one token is not covered
    limits = stock_limits(Quota(rate, burst), margin)
    stored = limits.pool + 3 * limits.passing + limits.local + (MAX_SHARE_S + TRANSIT_S) * rate
    accrued = rate * window_s * (1 + margin.silent)
    bound = (rate * window_s + burst) * (1 + over) + slack
    assert_that(stored + accrued, LessThan(bound * (1 + 1e-9) + 1e-6))


def test_pool_of_the_usual_settings_holds_the_burst():
    """Guards against refusals of a burst that the exact bucket would admit."""
    for rate in (2.5, 20.0, 350.0):
        assert_that(stock_limits(Quota(rate, rate), MARGIN).pool, GreaterThan(rate))


def test_pool_without_a_margin_leaves_room_for_what_gateways_keep():
    limits = stock_limits(Quota(100.0, 100.0), QuotaMargin())
    assert_that((limits.pool, limits.local > 0), Equals((62.0, True)))


def test_gateways_keep_whole_tokens_only():
    """Guards against 27 fractions that are each rounded up to a token of a small customer."""
    assert_that(local_limit(Quota(2.5, 2.5), MARGIN, 1 / 27), Equals(0))
    assert_that(local_limit(Quota(350.0, 350.0), MARGIN, 1 / 27), Equals(1))


def test_share_of_the_burst_counts_only_after_it_ended_elsewhere():
    """Guards against a share that two owners count at the same time."""
    assert_that(BURST_MOVED_AFTER_S, GreaterThan(BURST_HELD_S))
