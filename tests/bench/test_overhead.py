from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_bench.callers import TokenArrivals
from skylarkferry_bench.overhead import percentile


def test_percentile_uses_nearest_rank():
    values = [float(number) for number in range(100, 0, -1)]
    assert_that([percentile(values, share) for share in (50, 95, 99)], Equals([50.0, 95.0, 99.0]))
    assert_that(percentile([7.0], 99), Equals(7.0))


def test_gap_between_tokens_of_one_frame_is_zero():
    arrivals = TokenArrivals(1.0, [1.5, 1.5, 2.0])
    assert_that(arrivals.first_token_s, Equals(0.5))
    assert_that(arrivals.gaps_s(), Equals([0.0, 0.5]))
