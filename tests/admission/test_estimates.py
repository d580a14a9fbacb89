import math
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from skylarkferry_admission.estimates import (
    MIN_OUTCOMES,
    CompletionEstimates,
    ErrorDistribution,
    Outcome,
    Work,
)
from skylarkferry_core.ids import UpstreamId

FAST, SLOW = UpstreamId("fast"), UpstreamId("slow")
SLOTS = 12
PREFILL_S = 1 / 299_000
TOKEN_S = 0.00121


def completion(work, running, factor=1.0):
    """Return first event and completion at a free slot of an engine with these constants."""
    first_s = factor * (0.002 + work.uncached_tokens * PREFILL_S)
    token_s = TOKEN_S * (1 + running / SLOTS)
    return first_s, first_s + factor * work.output_tokens * token_s


def observe(estimates, upstream, work, running, factor=1.0):
    first_s, completion_s = completion(work, running, factor)
    outcome = Outcome(work, running, SLOTS, first_s, completion_s)
    estimates.observe(upstream, outcome, work.output_tokens)


@pytest.fixture
def estimates():
    """Estimates after outcomes of two engines, one at a fifth of the other's speed."""
    known = CompletionEstimates()
    rng = Random(3)
    for _ in range(200):
        work = Work(rng.choice([840, 1_680, 14_280]), 248)
        observe(known, FAST, work, rng.randrange(SLOTS))
        observe(known, SLOW, work, rng.randrange(SLOTS), 5.0)
    return known


# Guards against estimates that ignore the prefill, the requests beside, or the upstream's speed.
@pytest.mark.parametrize(("upstream", "factor"), [(FAST, 1.0), (SLOW, 5.0)])
@pytest.mark.parametrize("running", [0, 11])
@pytest.mark.parametrize("uncached", [840, 14_280])
def test_estimates_follow_work_load_and_speed(estimates, upstream, factor, running, uncached):
    work = Work(uncached, 248)
    first_s, completion_s = completion(work, running, factor)
    found = estimates.estimate(upstream, work, running, SLOTS)
    assert_that(abs(found.first_event_s / first_s - 1), LessThan(0.1))
    assert_that(abs(found.completion_s / completion_s - 1), LessThan(0.1))


# Guards against requests that wait behind a full engine without this showing in the estimate.
def test_queue_ahead_delays_the_first_event(estimates):
    work = Work(840, 248)
    free = estimates.estimate(FAST, work, SLOTS - 1, SLOTS).first_event_s
    behind = estimates.estimate(FAST, work, 2 * SLOTS - 1, SLOTS).first_event_s
    assert_that(abs(behind - free - estimates.service_s(FAST)), LessThan(0.001))


# Guards against a reported slowdown that shows in the estimate only after requests have completed.
def test_reported_slowdown_takes_effect_before_any_outcome(estimates):
    work = Work(840, 248)
    before = estimates.estimate(FAST, work, 4, SLOTS).completion_s
    for _ in range(40):
        estimates.report_slowdown(FAST, 2.5)
    assert_that(
        abs(estimates.estimate(FAST, work, 4, SLOTS).completion_s / before - 2.5), LessThan(0.01)
    )


# Guards against an upstream without outcomes that seems infinitely fast or slow.
def test_unknown_upstream_is_expected_to_be_like_the_others(estimates):
    work = Work(840, 248)
    found = estimates.estimate(UpstreamId("new"), work, 4, SLOTS).completion_s
    fast = estimates.estimate(FAST, work, 4, SLOTS).completion_s
    slow = estimates.estimate(SLOW, work, 4, SLOTS).completion_s
    assert_that(fast < found < slow, Equals(True))


# Guards against a client's maximum output that is taken for its usual output.
def test_output_is_expected_to_be_as_long_as_usual(estimates):
    for _ in range(200):
        outcome = Outcome(Work(840, 1_000), 4, SLOTS, 0.01, 0.2)
        estimates.observe(FAST, outcome, 100)
    assert_that(estimates.output_share, LessThan(0.2))


# Guards against outcomes and reports of other processes that make estimates useless.
@pytest.mark.parametrize("bad", [math.nan, math.inf, -1.0, 1e9])
def test_malformed_outcomes_change_nothing(estimates, bad):
    work = Work(840, 248)
    before = estimates.estimate(FAST, work, 4, SLOTS)
    estimates.observe(FAST, Outcome(work, 4, SLOTS, bad, bad), 248)
    estimates.observe(FAST, Outcome(work, 4, SLOTS, 0.5, bad), 248)
    estimates.errors.observe(bad, 0.3)
    if bad != 1e9:
        estimates.report_slowdown(FAST, bad)
    assert_that(estimates.estimate(FAST, work, 4, SLOTS), Equals(before))
    assert_that(estimates.errors.outcomes, Equals(0))


# Guards against absurd sizes that give an estimate without bound.
def test_absurd_work_is_bounded(estimates):
    for work in (Work(-5, -5), Work(10**18, 10**18)):
        found = estimates.estimate(FAST, work, 10**6, 0)
        assert_that(0 <= found.first_event_s <= found.completion_s <= 60.0, Equals(True))


# Guards against rejections by estimates whose error is not known, or is known to be large.
@pytest.mark.parametrize("factor", [0.1, 1.0, 10.0])
def test_errors_show_how_wrong_estimates_are(factor):
    errors = ErrorDistribution()
    rng = Random(5)
    for number in range(MIN_OUTCOMES + 50):
        assert_that(errors.is_known, Equals(number >= MIN_OUTCOMES))
        errors.observe(0.3, 0.3 * factor * rng.uniform(0.9, 1.1))
    assert_that(abs(errors.median_ratio / factor - 1), LessThan(0.1))
    assert_that(errors.low_ratio, LessThan(errors.median_ratio))
    assert_that(errors.p95_s, GreaterThan(errors.p50_s))


# Guards against upstreams that left and are remembered for ever.
def test_upstreams_that_left_are_forgotten(estimates):
    estimates.report_slowdown(SLOW, 2.0)
    estimates.forget({FAST})
    assert_that((set(estimates.by_upstream), estimates.slowdowns), Equals(({FAST}, {})))
