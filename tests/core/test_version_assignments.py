from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.version_assignments import Assignment, are_similar

shares = st.dictionaries(st.sampled_from(["v1", "v2", "v3"]), st.integers(1, 50), min_size=1)
keys = st.text(min_size=1, max_size=20)


@given(keys, shares, shares)
def test_only_a_stream_with_one_version_before_and_after_needs_no_row(key, current, following):
    assignment = Assignment(current, following)
    before, after = Assignment(current).version(key), Assignment(following).version(key)
    for version in ("v1", "v2", "v3"):
        needs_row = assignment.needs_row(key, version)
        assert_that(needs_row, Equals(not before == after == version))


@given(keys, shares)
def test_streams_belong_to_a_version_that_has_a_share(key, current):
    assert_that(Assignment(current).version(key) in current, Equals(True))


def test_streams_are_assigned_in_proportion_to_the_shares():
    assignment = Assignment({"v1": 2, "v2": 6})
    versions = [assignment.version(f"stream-{number}") for number in range(4_000)]
    assert_that(0.22 < versions.count("v1") / 4_000 < 0.28, Equals(True))


def test_assignment_is_replaced_only_after_steady_shares_and_a_handover():
    current = Assignment({"v1": 10})
    listed = {"v1": 4, "v2": 6}
    waiting = current.successor(listed, is_steady=False, is_known_everywhere=True)
    announced = current.successor(listed, is_steady=True, is_known_everywhere=False)
    assert_that((waiting, announced), Equals((None, Assignment({"v1": 10}, listed))))
    kept = announced.successor(listed, is_steady=True, is_known_everywhere=False)
    used = announced.successor(listed, is_steady=True, is_known_everywhere=True)
    assert_that((kept, used), Equals((None, Assignment(listed))))


def test_shares_that_change_again_are_announced_anew():
    announced = Assignment({"v1": 10}, {"v1": 4, "v2": 6})
    again = announced.successor({"v2": 10}, is_steady=True, is_known_everywhere=True)
    assert_that(again, Equals(Assignment({"v1": 10}, {"v2": 10})))


def test_small_changes_of_the_shares_replace_no_assignment():
    assignment = Assignment({"v1": 50, "v2": 50})
    listed = {"v1": 45, "v2": 50}
    successor = assignment.successor(listed, is_steady=True, is_known_everywhere=True)
    assert_that(successor, Equals(None))


def test_shares_with_another_version_are_not_similar():
    assert_that(are_similar({"v1": 100}, {"v1": 100, "v2": 1}), Equals(False))
    assert_that(are_similar({}, {}), Equals(True))
