from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from skylarkferry_admission import fairness
from skylarkferry_admission.fairness import WorkShares
from skylarkferry_core.ids import CustomerId

BIG, SMALL = CustomerId("big"), CustomerId("small")


def ask(shares, rates, since, until, quotas=None):
    """Let customers send at their rates, each request with a tenth of a second of work."""
    for tick in range(round(since * 100), round(until * 100)):
        now = tick / 100
        for customer, rate in rates.items():
            if tick % round(100 / rate) == 0:
                shares.on_request(customer, (quotas or {}).get(customer), now)
                shares.on_served(customer, 0.1, now)


# Guards against large customers that are treated as if they sent too much all the time.
def test_large_customer_is_not_over_its_share():
    shares = WorkShares()
    ask(shares, {BIG: 50, SMALL: 5}, 0.0, 20.0)
    assert_that(shares.over_share(20.0), Equals(set()))


# Guards against a customer's flood that takes the others' share.
def test_customer_that_sends_more_than_usual_is_over_its_share():
    shares = WorkShares()
    ask(shares, {BIG: 20, SMALL: 20}, 0.0, 30.0)
    ask(shares, {BIG: 100, SMALL: 20}, 30.0, 33.0)
    assert_that(shares.over_share(33.0), Equals({BIG}))
    ask(shares, {BIG: 20, SMALL: 20}, 33.0, 48.0)
    assert_that(shares.over_share(48.0), Equals(set()))


# Guards against a new coordinator that takes a flood for what is usual.
def test_quota_tells_a_share_before_anything_is_learnt():
    shares = WorkShares()
    ask(shares, {BIG: 100, SMALL: 20}, 0.0, 2.0, {BIG: 32.0, SMALL: 32.0})
    assert_that(shares.over_share(2.0), Equals({BIG}))


# Guards against a deployment with one customer, or none, that is over its share of itself.
def test_single_customer_is_never_over_its_share():
    shares = WorkShares()
    ask(shares, {BIG: 100}, 0.0, 2.0)
    assert_that(shares.over_share(2.0), Equals(set()))


# Guards against memory that grows with names of customers.
def test_number_of_customers_is_bounded(monkeypatch):
    monkeypatch.setattr(fairness, "_MAX_CUSTOMERS", 3)
    shares = WorkShares()
    for number in range(10):
        shares.on_request(CustomerId(str(number)), None, float(number))
    assert_that(len(shares.customers), LessThan(4))
