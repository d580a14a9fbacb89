import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.slowdowns import USUAL, SlowdownEstimate


def test_slowdown_is_usual_until_one_is_reported():
    estimate = SlowdownEstimate()
    assert_that((estimate.is_reported, estimate.value(1.0)), Equals((False, USUAL)))


def test_single_figure_of_a_burst_hardly_counts():
    """Guards against an upstream that is avoided for one outlier among many reports."""
    estimate = SlowdownEstimate()
    for number in range(20):
        estimate.report(1.0, number * 0.005)
    estimate.report(2.5, 0.1)
    assert estimate.value(0.1) < 1.15


def test_figure_that_stays_is_used_within_a_fraction_of_its_duration():
    estimate = SlowdownEstimate()
    estimate.report(1.0, 0.0)
    for number in range(1, 41):
        estimate.report(2.5, 10.0 + number * 0.005)
    assert 2.3 < estimate.value(10.2) <= 2.5


def test_old_figure_approaches_the_mean_of_the_earlier_ones():
    """Guards against a host that is avoided long after it was slow, and so reports nothing new."""
    estimate = SlowdownEstimate()
    for number in range(50):
        estimate.report(1.0, number * 0.1)
    estimate.report(2.5, 5.0)
    at_once, after_600_ms, later = (estimate.value(now) for now in (5.0, 5.6, 15.0))
    assert at_once > 1.9
    assert after_600_ms < 1.4
    assert abs(later - estimate.mean) < 0.01


@pytest.mark.parametrize("figure", [0.0, -1.0, math.nan, math.inf, -math.inf])
def test_figure_that_is_no_slowdown_is_not_used(figure):
    estimate = SlowdownEstimate()
    estimate.report(figure, 1.0)
    assert_that(estimate.is_reported, Equals(False))
    estimate.report(1.2, 1.0)
    estimate.report(figure, 2.0)
    assert_that(estimate.value(1.0), Equals(1.2))


@pytest.mark.parametrize(("figure", "used"), [(1_000_000.0, 4.0), (1e-9, 0.25)])
def test_effect_of_an_absurd_figure_is_bounded(figure, used):
    estimate = SlowdownEstimate()
    estimate.report(figure, 1.0)
    assert_that(estimate.value(1.0), Equals(used))


def test_figure_that_arrives_late_does_not_replace_a_newer_one():
    estimate = SlowdownEstimate()
    estimate.report(2.0, 5.0)
    estimate.report(1.0, 4.0)
    assert_that(estimate.value(5.0), Equals(2.0))


def changing(estimate, *, is_true):
    """Report a figure that changes between 1 and 2.5; the speed follows only if that is true."""
    for number in range(100):
        now = number * 0.7
        slowdown = 2.5 if number % 5 == 0 else 1.0
        estimate.report(slowdown, now)
        work_s = (0.014, 0.057, 0.038)[number % 3]
        estimate.check(1.0 / (work_s * (slowdown if is_true else 1.0)), now)
    return estimate


def test_true_figures_are_not_doubted_though_calls_differ_in_length():
    assert_that(changing(SlowdownEstimate(), is_true=True).is_doubted, Equals(False))


def test_figures_that_change_while_the_speed_does_not_are_doubted():
    """Guards against requests that follow figures which tell nothing."""
    estimate = changing(SlowdownEstimate(), is_true=False)
    assert_that((estimate.is_doubted, estimate.value(70.0)), Equals((True, estimate.mean)))


def test_small_jitter_of_the_figure_is_not_doubted():
    """A doubted figure is replaced by its mean, by which speeds measured before are wrong."""
    estimate = SlowdownEstimate()
    for number in range(100):
        estimate.report(1.8 * (0.9 + 0.05 * (number % 5)), number * 0.1)
        estimate.check(600.0, number * 0.1)
    assert_that(estimate.is_doubted, Equals(False))
