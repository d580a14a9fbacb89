from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.outcome_counts import HALF_LIFE_S, OutcomeCounts, suspects


def service(outcomes):
    """Return the outcome counts of each name from (successes, failures) at time 0."""
    by_name = {}
    for name, (successes, failures) in outcomes.items():
        by_name[name] = OutcomeCounts()
        for _ in range(successes):
            by_name[name].observe(0.0, False)
        for _ in range(failures):
            by_name[name].observe(0.0, True)
    return by_name


def test_upstream_that_fails_part_of_its_requests_is_a_suspect():
    counts = service({"a": (6, 4), "b": (10, 0), "c": (10, 0)})
    assert_that(suspects(counts, 0.0), Equals({"a"}))


def test_suspect_gets_work_again_within_seconds():
    counts = service({"a": (3, 1), "b": (10, 0), "c": (10, 0)})
    assert_that(suspects(counts, 1.0), Equals({"a"}))
    assert_that(suspects(counts, HALF_LIFE_S), Equals(set()))


def test_equal_failure_rates_make_no_suspect():
    counts = service({"a": (6, 4), "b": (6, 4), "c": (7, 3), "d": (6, 3)})
    assert_that(suspects(counts, 0.0), Equals(set()))


def test_one_failure_among_many_successes_makes_no_suspect():
    counts = service({"a": (20, 1), "b": (20, 0), "c": (20, 0)})
    assert_that(suspects(counts, 0.0), Equals(set()))


def test_half_of_a_service_is_never_suspect():
    counts = service({"a": (0, 3), "b": (0, 3), "c": (30, 0), "d": (30, 0)})
    assert_that(suspects(counts, 0.0), Equals(set()))


def test_single_upstream_is_never_suspect():
    assert_that(suspects(service({"a": (0, 5)}), 0.0), Equals(set()))
