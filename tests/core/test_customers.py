from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.customers import Customer, CustomerKeys, CustomerTable, Quota, key_digest
from skylarkferry_core.ids import CustomerId

GEARS = Customer(CustomerId("gears"), 1, Quota(350.0, 350.0))
FISH = Customer(CustomerId("fish"))
FIRST, SECOND, SHARED = (key_digest(key) for key in (b"first", b"second", b"shared"))


def test_a_key_identifies_its_customer():
    table = CustomerTable([CustomerKeys(GEARS, (FIRST, SECOND)), CustomerKeys(FISH)])
    found = [table.holder(digest) for digest in (FIRST, SECOND, key_digest(b"other"))]
    assert_that(found, Equals([GEARS, GEARS, None]))
    assert_that((bool(table), table.by_name[CustomerId("fish")]), Equals((True, FISH)))


# Guards against a request that runs in the name of another holder of its key.
def test_a_key_of_two_customers_identifies_neither():
    table = CustomerTable([CustomerKeys(GEARS, (FIRST, SHARED)), CustomerKeys(FISH, (SHARED,))])
    assert_that((table.holder(SHARED), table.ambiguous), Equals((None, {SHARED})))
    assert_that((table.holder(FIRST), table.sharing), Equals((GEARS, {GEARS.name, FISH.name})))


def test_a_key_listed_twice_by_one_customer_identifies_it():
    table = CustomerTable([CustomerKeys(GEARS, (FIRST, FIRST))])
    assert_that((table.holder(FIRST), table.ambiguous), Equals((GEARS, set())))


def test_a_configuration_without_customers_has_an_empty_table():
    assert_that(bool(CustomerTable()), Equals(False))
