from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.outcome_counts import HALF_LIFE_S, OutcomeCounts, suspects


def service(outcomes):
    """Return evidence by name from (successes, failures) at time 0."""
    found = {}
    for name, (successes, failures) in outcomes.items():
        found[name] = OutcomeCounts()
        for _ in range(successes):
            found[name].observe(0.0, False)
        for _ in range(failures):
            found[name].observe(0.0, True)
    return found


def test_upstream_that_fails_part_of_its_requests_is_a_suspect():
    evidence = service({"a": (6, 4), "b": (10, 0), "c": (10, 0)})
    assert_that(suspects(evidence, 0.0), Equals({"a"}))


def test_suspect_gets_work_again_within_seconds():
    evidence = service({"a": (3, 1), "b": (10, 0), "c": (10, 0)})
    assert_that(suspects(evidence, 1.0), Equals({"a"}))
    assert_that(suspects(evidence, HALF_LIFE_S), Equals(set()))


def test_failures_that_all_upstreams_share_condemn_none():
    evidence = service({"a": (6, 4), "b": (6, 4), "c": (7, 3), "d": (6, 3)})
    assert_that(suspects(evidence, 0.0), Equals(set()))


def test_one_failure_among_many_answers_condemns_none():
    evidence = service({"a": (20, 1), "b": (20, 0), "c": (20, 0)})
    assert_that(suspects(evidence, 0.0), Equals(set()))


def test_half_of_a_service_is_never_suspected():
    evidence = service({"a": (0, 3), "b": (0, 3), "c": (30, 0), "d": (30, 0)})
    assert_that(suspects(evidence, 0.0), Equals(set()))


def test_lone_upstream_is_never_suspected():
    assert_that(suspects(service({"a": (0, 5)}), 0.0), Equals(set()))
