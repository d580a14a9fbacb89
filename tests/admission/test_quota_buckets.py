import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_admission.quota_buckets import BurstOwner, Demand, Grant, QuotaBucket, ShareClock
from skylarkferry_admission.quota_limits import MAX_SHARE_S, QuotaMargin
from skylarkferry_core.customers import Quota

MARGIN = QuotaMargin(5.0, 0.1, 20.0)
QUOTA = Quota(100.0, 100.0)


def test_share_that_is_deposited_is_gone_here():
    """Guards against accrual that is deposited twice when a question is lost."""
    share = ShareClock(0.0)
    share.advance(0.1, is_counted=True)
    assert_that((round(share.take(), 6), share.take()), Equals((0.1, 0.0)))


def test_share_is_bounded_after_a_pause():
    share = ShareClock(0.0)
    share.advance(100.0, is_counted=True)
    assert_that(share.take(), Equals(MAX_SHARE_S))


def test_gateway_that_others_do_not_count_accrues_nothing():
    """Guards against a share that the others have divided among themselves."""
    share = ShareClock(0.0)
    share.advance(0.1, is_counted=False)
    assert_that(share.take(), Equals(0.0))


def test_change_of_owner_moves_the_burst_share_without_the_former_owners_time():
    burst_owner = BurstOwner(0.0)
    burst_owner.use("g1", 0.0)
    burst_owner.on_answer((1, 5.0), 0.5)
    assert_that(
        (burst_owner.current_echo(1.0), burst_owner.counts_burst(2.0)), Equals(((1, 5.0), True))
    )
    burst_owner.use("g2", 2.0)
    assert_that(
        (burst_owner.current_echo(2.0), burst_owner.counts_burst(2.5)), Equals((None, False))
    )


def test_old_time_of_an_owner_is_not_named():
    burst_owner = BurstOwner(0.0)
    burst_owner.use("g1", 0.0)
    burst_owner.on_answer((1, 5.0), 0.5)
    assert_that(burst_owner.current_echo(1.6), Equals(None))


def test_requests_take_stock_and_then_ask():
    bucket = QuotaBucket(1, QUOTA, 0.0)
    bucket.on_grant(Grant(1, stock=1), 0.0, 0.1)
    found = [bucket.take(0.01, is_begun=True) for _ in range(2)]
    assert_that((found, bucket.refusal_s(0.01, is_begun=True)), Equals(([True, False], None)))


def test_new_programs_ask_although_there_is_stock_while_the_quota_is_scarce():
    bucket = QuotaBucket(1, QUOTA, 0.0)
    bucket.on_grant(Grant(1, stock=1, is_scarce=True), 0.0, 0.1)
    found = [bucket.take(0.01, is_begun=False), bucket.take(0.01, is_begun=True)]
    assert_that(found, Equals([False, True]))


def test_refusals_by_the_owners_word_need_no_question_and_follow_each_other():
    """Guards against a datagram for each request of a flood, and clients that return together."""
    bucket = QuotaBucket(1, QUOTA, 0.0)
    bucket.on_grant(Grant(1, begun_s=0.05, begun_gap_s=0.02), 0.0, 0.1)
    found = [bucket.refusal_s(0.01, is_begun=True) for _ in range(3)]
    assert_that([round(item, 3) for item in found], Equals([0.04, 0.06, 0.08]))
    assert_that(bucket.refusal_s(0.06, is_begun=True), Equals(None))


def test_owner_is_asked_again_at_the_next_exchange_at_the_latest():
    bucket = QuotaBucket(1, QUOTA, 0.0)
    bucket.on_grant(Grant(1, begun_s=5.0), 0.0, 0.1)
    assert_that(bucket.refusal_s(0.11, is_begun=True), Equals(None))


def test_lowered_quota_applies_to_stock():
    bucket = QuotaBucket(1, QUOTA, 0.0)
    bucket.tokens = 10
    bucket.set_quota(Quota(1.0, 1.0), MARGIN, 1 / 27)
    assert_that(bucket.tokens, Equals(0))


def test_raised_quota_is_asked_for_at_once():
    """Guards against refusals by what the owner said of the lower quota."""
    bucket = QuotaBucket(1, QUOTA, 0.0)
    bucket.on_grant(Grant(1, begun_s=5.0), 0.0, 0.1)
    bucket.set_quota(Quota(200.0, 200.0), MARGIN, 1 / 27)
    assert_that(bucket.refusal_s(0.01, is_begun=True), Equals(None))


def test_stock_that_is_not_used_goes_back():
    """Guards against tokens that stay at a gateway which gets no requests."""
    bucket = QuotaBucket(1, QUOTA, 0.0)
    bucket.tokens = 1
    demand = bucket.demand(MARGIN, 1.0, 0.6, begun=0, new=0)
    assert_that((demand.returned, bucket.tokens), Equals((1, 0)))


def test_tokens_of_requests_that_did_not_run_go_back_beyond_the_stock():
    bucket = QuotaBucket(1, Quota(2.5, 2.5), 0.0)
    bucket.give_back()
    demand = bucket.demand(MARGIN, 1 / 27, 0.1, begun=0, new=0)
    assert_that((demand.returned, bucket.tokens), Equals((1, 0)))


@pytest.mark.parametrize("quota", [Quota(1_000.0, 1e9), Quota(1e11, 1e12)])
def test_demand_of_a_very_large_quota_can_be_decoded(quota):
    """Guards against a question that its owner drops, with the demands of all other customers."""
    bucket = QuotaBucket(1, quota, 0.0)
    bucket.take(0.0, is_begun=True)
    demand = bucket.demand(MARGIN, 1 / 27, 0.0, begun=1, new=0)
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(demand), type=Demand)
    assert_that(decoded, Equals(demand))
