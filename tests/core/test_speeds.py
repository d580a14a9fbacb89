import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.speeds import SpeedEstimates


@pytest.mark.parametrize("duration_s", [math.nan, math.inf, -math.inf, -1.0])
def test_sample_that_is_no_duration_does_not_change_the_estimates(duration_s):
    """Not a number, once averaged in, would stay, and pass to the mean of all others."""
    estimates = SpeedEstimates()
    estimates.observe(UpstreamId("e1"), 1_000, 0.5, 100, 2.0)
    before = estimates.speed(UpstreamId("e1")), estimates.speed(UpstreamId("e2"))
    estimates.observe(UpstreamId("e1"), 1_000, duration_s, 0, 2.0)
    estimates.observe(UpstreamId("e1"), 0, 0.5, 100, duration_s)
    after = estimates.speed(UpstreamId("e1")), estimates.speed(UpstreamId("e2"))
    assert_that(after, Equals(before))
