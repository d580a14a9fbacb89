from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from skylarkferry_core.clocks import HybridClock, wall_time_s

YEAR_2200_S = 7_258_118_400
INT64_END = 1 << 63


def test_stamps_fit_in_a_signed_64_bit_integer():
    assert_that(HybridClock().stamp(YEAR_2200_S), LessThan(INT64_END))


def test_stamps_increase_if_the_wall_clock_stops_or_goes_back():
    clock = HybridClock()
    first = clock.stamp(100.0)
    second = clock.stamp(100.0)
    third = clock.stamp(99.0)
    assert_that(second, GreaterThan(first))
    assert_that(third, GreaterThan(second))


def test_a_stamp_is_greater_than_every_observed_one():
    clock = HybridClock()
    clock.observe(HybridClock().stamp(200.0))
    assert_that(wall_time_s(clock.stamp(100.0)), Equals(200.0))
