import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from skylarkferry_core.ids import Incarnation
from skylarkferry_core.members import HOST_LIST_LAG_S, Member
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.states import UpstreamState

FIRST, SECOND = Incarnation("first"), Incarnation("second")
LIVE, LEAVING = UpstreamState.LIVE, UpstreamState.LEAVING


@pytest.fixture
def member():
    member = Member(heartbeat_s=1.0)
    member.on_listed(False, now=0.0)
    member.on_welcome(FIRST, LIVE, LoadReport(), now=0.0)
    return member


def test_leaving_is_final_within_an_incarnation(member):
    member.on_state(LEAVING, now=1.0)
    member.on_state(LIVE, now=1.1)
    member.on_listed(False, now=1.2)
    assert_that(member.state(1.2), Is(LEAVING))
    member.on_disconnected()
    member.on_welcome(FIRST, LIVE, LoadReport(), now=2.0)
    assert_that(member.state(2.0), Is(LEAVING))


def test_a_new_incarnation_is_live_while_the_list_still_marks_the_old_one(member):
    member.on_listed(True, now=1.0)
    assert_that(member.state(1.0), Is(LEAVING))
    member.on_welcome(SECOND, LIVE, LoadReport(), now=2.0)
    member.on_listed(True, now=3.0)
    assert_that(member.state(3.0), Is(LIVE))


def test_host_list_leaving_state_applies_to_a_new_incarnation_after_the_list_lag(member):
    member.on_listed(True, now=1.0)
    member.on_welcome(SECOND, LIVE, LoadReport(), now=2.0)
    late = 2.0 + HOST_LIST_LAG_S + 0.1
    member.on_state(LIVE, late)
    assert_that(member.state(late), Is(LEAVING))


def test_the_host_list_replaces_a_lost_leaving_notice(member):
    member.on_listed(True, now=1.0)
    member.on_state(LIVE, now=1.5)
    assert_that(member.state(1.5), Is(LEAVING))


def test_a_silent_upstream_is_suspect_and_an_unlisted_disconnected_one_is_gone(member):
    assert_that(member.state(2.9), Is(LIVE))
    assert_that(member.state(3.1), Is(UpstreamState.SUSPECT))
    member.on_disconnected()
    assert_that(member.state(3.1), Is(UpstreamState.SUSPECT))
    member.on_unlisted()
    assert_that(member.state(3.1), Is(UpstreamState.GONE))


def test_a_load_report_has_its_age(member):
    assert_that(member.aged_load(2.5).age_s, Equals(2.5))
