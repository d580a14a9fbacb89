import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from skylarkferry_admission.quota_buckets import Demand
from skylarkferry_admission.quota_limits import MAX_SHARE_S, QuotaMargin, stock_limits
from skylarkferry_admission.quota_pools import Deposit, QuotaPools
from skylarkferry_core.customers import Quota

MARGIN = QuotaMargin(5.0, 0.1, 20.0)
NONCE = 7
RATE = 100.0


class Asker:
    """A gateway's questions to one owner; ``now`` is the time of both."""

    def __init__(self, pools, node="g1", weight=1.0, sole_owner_s=10.0):
        self.pools = pools
        self.node = node
        self.weight = weight
        self.sole_owner_s = sole_owner_s
        self.number = 0

    def ask(self, now, share_s=0.1, version=1, rate=RATE, burst=RATE, *, echo=None, **needs):
        self.number += 1
        named = (NONCE, now - 0.01) if echo is None else echo
        deposit = Deposit(self.node, self.weight, share_s, self.sole_owner_s, True, named)
        is_current = self.pools.deposit(self.number, deposit, now)
        demand = Demand(1, rate, burst, **needs)
        return self.pools.grant(self.node, version, [demand], now, is_current=is_current)[0]

    def fill(self, now, seconds=2.0):
        """Deposit for a while and return the time after it."""
        end = now + seconds
        while now < end:
            now += 0.1
            self.ask(now)
        return now


def pools(margin=MARGIN):
    return QuotaPools(NONCE, margin, 0.0)


def test_deposits_fill_a_pool_up_to_its_limit():
    owner = pools()
    now = Asker(owner).fill(0.0, 5.0)
    granted = Asker(owner).ask(now, share_s=0.0, begun=1_000).begun
    limits = stock_limits(Quota(RATE, RATE), MARGIN)
    assert_that(granted, Equals(int(limits.pool + limits.passing)))


@pytest.mark.parametrize("echo", [(NONCE, -5.0), (NONCE + 1, 1.99), (NONCE, 3.0)])
def test_late_question_deposits_nothing(echo):
    """Guards against questions that a frozen owner, or one before it, finds in its socket."""
    owner = pools()
    Asker(owner).ask(2.0, echo=echo)
    assert_that((owner.shares, owner.heard), Equals((0.0, 0)))


def test_repeated_question_deposits_once():
    """Guards against a datagram that the network delivers twice."""
    owner = pools()
    deposit = Deposit("g1", 1.0, 0.1, 10.0, True, (NONCE, 1.0))
    found = [owner.deposit(5, deposit, 1.1), owner.deposit(5, deposit, 1.2)]
    assert_that((found, owner.shares), Equals(([True, False], 0.1)))


def test_share_is_bounded_whatever_a_gateway_says():
    owner = pools()
    owner.deposit(1, Deposit("g1", 5.0, 1_000.0, 10.0, True, (NONCE, 1.0)), 1.1)
    assert_that(owner.shares, Equals(MAX_SHARE_S))


def test_pool_lapses_with_the_burst_shares_of_its_gateways():
    """Guards against an owner that is cut off, or wakes up, with a full pool."""
    owner = pools()
    asker = Asker(owner)
    now = asker.fill(0.0) + 3.0
    granted = asker.ask(now, begun=1_000).begun
    assert_that(granted, LessThan(int(MAX_SHARE_S * RATE) + 1))


def test_pool_holds_as_much_of_the_burst_as_gateways_ask_here():
    """Guards against two owners with a full pool each while gateways are divided between them."""
    owner = pools()
    first, second = Asker(owner, "g1", 0.5), Asker(owner, "g2", 0.5)
    now = 0.0
    while now < 5.0:
        now += 0.1
        first.ask(now)
        second.ask(now)
    now += 1.2  # only the first goes on
    first.ask(now - 0.6)
    granted = first.ask(now, share_s=0.0, begun=1_000).begun
    limits = stock_limits(Quota(RATE, RATE), MARGIN)
    assert_that(granted, Equals(int(0.5 * limits.pool + 0.5 * limits.passing)))


def test_share_of_the_burst_of_a_gateway_that_just_came_does_not_count():
    """Guards against a burst share that still counts at the owner that the gateway asked before."""
    owner = pools()
    asker = Asker(owner, sole_owner_s=0.5)
    now = asker.fill(0.0, 3.0)
    granted = asker.ask(now, share_s=0.0, begun=1_000).begun
    assert_that(granted, Equals(int(stock_limits(Quota(RATE, RATE), MARGIN).passing)))


def test_lower_limit_applies_to_tokens_in_the_pool():
    owner = pools()
    asker = Asker(owner)
    now = asker.fill(0.0, 3.0)
    granted = asker.ask(now, share_s=0.0, version=2, rate=1.0, burst=2.0, begun=1_000).begun
    assert_that(granted, LessThan(4))


def test_older_configuration_does_not_raise_a_lowered_limit():
    """Guards against a gateway that has not read the new configuration yet."""
    owner = pools()
    asker = Asker(owner)
    now = asker.fill(0.0, 3.0)
    asker.ask(now, version=2, rate=1.0, burst=2.0)
    granted = Asker(owner, "g2").ask(now, version=1, begun=1_000).begun
    assert_that(granted, LessThan(4))


def test_begun_programs_go_first_and_new_ones_wait_while_these_need_the_rate():
    """Guards against new programs that take the tokens of running ones, so that all fail."""
    owner = pools()
    asker = Asker(owner)
    now = asker.fill(0.0, 3.0)
    begun = new = 0
    for _ in range(50):
        now += 0.1
        grant = asker.ask(now, begun=9, new=20, arrived_begun=9, arrived_new=20)
        begun, new = begun + grant.begun, new + grant.new
    assert_that(begun, Equals(50 * 9))
    assert_that(new, LessThan(50 * 10 // 4 + 60))


def test_new_programs_start_as_often_as_their_requests_fit():
    """Guards against starts that the rate cannot finish: a program needs about four requests."""
    owner = pools()
    asker = Asker(owner)
    now = asker.fill(0.0, 3.0)
    new = 0
    for _ in range(100):
        now += 0.1
        new += asker.ask(now, new=30, arrived_new=30).new
    # 10 s at a quarter of the rate, or faster as the programs turn out to be single requests.
    assert_that(new, GreaterThan(10 * RATE / 4))


def test_refusal_names_the_time_at_which_there_is_room_behind_others():
    owner = pools()
    first, second = Asker(owner, "g1", 0.5), Asker(owner, "g2", 0.5)
    grant = first.ask(1.0, share_s=0.0, begun=10)
    assert_that((grant.begun, round(grant.begun_s, 3)), Equals((0, 0.11)))
    grant = second.ask(1.01, share_s=0.0, begun=10)
    found = (round(grant.begun_s, 3), round(grant.begun_gap_s, 3))
    assert_that(found, Equals((0.21, 0.02)))  # 20 requests wait; every other token comes here


def test_silent_gateways_are_counted_within_the_margin():
    """Guards against a rate that falls with the death of a host until the list shows it."""
    owner = pools()
    asker = Asker(owner, weight=26 / 27)
    asker.ask(1.0, share_s=0.0)
    before = owner.shares
    asker.ask(1.5, share_s=0.0)
    assert_that(owner.shares - before, GreaterThan(0.5 / 27 * 0.99))
    assert_that(owner.shares - before, LessThan(0.5 * MARGIN.silent))


def ask_as(owner, node, number, *, gateways, is_settled=True):
    deposit = Deposit(node, 1 / gateways, 0.0, 10.0, is_settled, (NONCE, 1.0))
    owner.deposit(number, deposit, 1.1)


def test_whole_list_is_heard_once_all_of_it_ask_here():
    owner = pools()
    found = []
    for number in range(3):
        ask_as(owner, f"g{number}", number, gateways=3)
        found.append(owner.is_whole)
    assert_that(found, Equals([False, False, True]))


def test_gateways_with_different_lists_are_not_the_whole():
    """Guards against gateways that start at once and each take themselves for the only one."""
    owner = pools()
    ask_as(owner, "g1", 1, gateways=2)
    ask_as(owner, "g2", 2, gateways=4)
    ask_as(owner, "g3", 3, gateways=4)
    assert_that((owner.heard, owner.is_whole), Equals((1.0, False)))


def test_gateway_that_has_not_read_the_list_since_it_joined_is_not_the_whole():
    """Guards against a gateway that joined before another's row was written."""
    owner = pools()
    ask_as(owner, "g1", 1, gateways=1, is_settled=False)
    assert_that(owner.is_whole, Equals(False))


def test_minority_does_not_count_silent_gateways():
    """Guards against two halves that both count each other's accrual."""
    owner = pools()
    asker = Asker(owner, weight=0.5)
    asker.ask(1.0, share_s=0.0)
    asker.ask(1.5, share_s=0.0)
    assert_that(owner.shares, Equals(0.0))


def test_restarted_gateway_whose_wall_clock_is_behind_deposits_again():
    """Guards against a share that is lost for as long as the clock of a new host is behind."""
    owner = pools()
    former, others = Asker(owner, "g1", 0.5), Asker(owner, "g2", 0.5)
    former.number = 1_000
    former.ask(1.0)
    restarted = Asker(owner, "g1", 0.5)
    for step in range(40):
        now = 1.5 + step * 0.1
        restarted.ask(now)
        others.ask(now)
    assert_that(owner.heard, Equals(1.0))
