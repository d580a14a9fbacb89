import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_admission.access import (
    CONFIRMED_WITHIN_S,
    MAX_NAME_CHARS,
    UNCERTAIN_RETRY_AFTER_S,
    Granted,
    RefusalCause,
    decide_access,
    is_sendable,
)
from skylarkferry_admission.decisions import RejectReason
from skylarkferry_core.customers import Customer, CustomerKeys, CustomerTable, key_digest
from skylarkferry_core.ids import CustomerId, ServiceName
from skylarkferry_core.routes import ClientLimits, RequestKind, Route, RoutingTable, ServiceShare

GEARS = Customer(CustomerId("gears"), 1)
FISH = Customer(CustomerId("fish"))
ODD = Customer(CustomerId("na\u00efve"))
FIRST, SECOND, SHARED, ODDS = (key_digest(key) for key in (b"1st", b"2nd", b"both", b"odd"))
UNKNOWN = key_digest(b"unknown")
CUSTOMERS = CustomerTable(
    [
        CustomerKeys(GEARS, (FIRST, SHARED)),
        CustomerKeys(FISH, (SECOND, SHARED)),
        CustomerKeys(ODD, (ODDS,)),
    ]
)
CLOSED, PUBLIC = (
    Route(
        "r",
        "h",
        "/",
        RequestKind.IDEMPOTENT,
        (ServiceShare(ServiceName("s")),),
        1.0,
        1.0,
        is_public=is_public,
    )
    for is_public in (False, True)
)
WITH_CUSTOMERS = RoutingTable(2, (CLOSED,), {}, ClientLimits(), CUSTOMERS)
WITHOUT = RoutingTable(2, (CLOSED,), {}, ClientLimits())
STALE = CONFIRMED_WITHIN_S + 0.1


def decide(key, route=CLOSED, age_s=0.0, table=WITH_CUSTOMERS, **more):
    """Return the customer of a granted request, or the reason and cause of a refusal."""
    decision = decide_access(key, route, table, age_s, **more)
    if isinstance(decision, Granted):
        return decision.customer
    return decision.reject.reason, decision.cause


@pytest.mark.parametrize("key", [None, FIRST, UNKNOWN])
@pytest.mark.parametrize("age_s", [0.0, STALE, math.inf])
def test_without_customers_every_request_is_served_for_nobody(key, age_s):
    assert_that(decide(key, age_s=age_s, table=WITHOUT, key_limit_s=1.0), Equals(None))


def test_a_key_is_served_for_its_holder_on_every_route():
    found = [decide(FIRST), decide(SECOND), decide(FIRST, PUBLIC)]
    assert_that(found, Equals([GEARS, FISH, GEARS]))


# Guards against a request that runs although no customer holds its key.
@pytest.mark.parametrize(
    ("key", "cause"),
    [
        (None, RefusalCause.NO_KEY),
        (UNKNOWN, RefusalCause.UNKNOWN_KEY),
        (SHARED, RefusalCause.SHARED_KEY),
    ],
)
def test_a_key_without_one_holder_is_rejected(key, cause):
    assert_that(decide(key), Equals((RejectReason.UNAUTHENTICATED, cause)))
    assert_that(decide(key, age_s=CONFIRMED_WITHIN_S), Equals(decide(key)))


# Guards against a final 401 for a key that a missed version has added.
@pytest.mark.parametrize("key", [None, UNKNOWN, SHARED])
@pytest.mark.parametrize("age_s", [STALE, math.inf])
def test_an_unknown_key_is_uncertain_where_a_version_may_be_missing(key, age_s):
    refusal = decide_access(key, CLOSED, WITH_CUSTOMERS, age_s)
    assert_that(refusal.cause, Equals(RefusalCause.UNCONFIRMED))
    assert_that(refusal.reject.reason, Equals(RejectReason.UNCERTAIN))
    assert_that(refusal.reject.retry_after_s, Equals(UNCERTAIN_RETRY_AFTER_S))


@pytest.mark.parametrize("key", [None, UNKNOWN, SHARED])
def test_a_public_route_serves_requests_without_a_known_key_for_nobody(key):
    found = [decide(key, PUBLIC, age_s) for age_s in (0.0, STALE)]
    assert_that(found, Equals([None, None]))


def test_a_known_key_is_served_without_contact_unless_that_is_limited():
    assert_that(decide(FIRST, age_s=100.0), Equals(GEARS))


# Guards against a removed key that is served for longer than the platform allows.
@pytest.mark.parametrize("route", [CLOSED, PUBLIC])
def test_no_key_is_served_past_its_limit_without_contact(route):
    expected = (RejectReason.UNCERTAIN, RefusalCause.REVOCATION)
    assert_that(decide(FIRST, route, 5.0, key_limit_s=5.0), Equals(GEARS))
    assert_that(decide(FIRST, route, 5.1, key_limit_s=5.0), Equals(expected))


# Guards against an upstream that reads another name than the configured one, and against headers
# that are split by a name.
@pytest.mark.parametrize("route", [CLOSED, PUBLIC])
def test_a_request_of_a_customer_that_cannot_be_named_does_not_run(route):
    expected = (RejectReason.UNCERTAIN, RefusalCause.UNSENDABLE_NAME)
    assert_that(decide(ODDS, route), Equals(expected))


@pytest.mark.parametrize(
    "name", ["", " a", "a ", "a\r\nb", "a\tb", "\x7f", "na\u00efve", "\u2044", "a" * 101]
)
def test_names_that_upstreams_may_read_differently_are_not_sent(name):
    assert_that(is_sendable(CustomerId(name)), Equals(False))


def test_plain_names_are_sent():
    found = [is_sendable(CustomerId(name)) for name in ("a", "two words", "a" * MAX_NAME_CHARS)]
    assert_that(found, Equals([True] * 3))
