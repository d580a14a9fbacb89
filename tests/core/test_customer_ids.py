import itertools

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from skylarkferry_core.customer_ids import (
    SEPARATOR,
    customer_scope,
    id_as_sent,
    is_qualified,
    qualified_key_part,
    within_customer,
)
from skylarkferry_core.ids import CustomerId, ProgramId, TurnId

LATIN = "".join(map(chr, range(0x100)))
"""All characters that an id from a header can have."""


# Guards against two customers that share a budget, a turn or a stream by a crafted name or id.
def test_no_two_pairs_of_customer_and_id_are_equal():
    texts = ["a", "b", "a/b", "/", "b/a", "ab", " ", LATIN]
    names = [*texts, f"a{SEPARATOR}b", f"a{SEPARATOR}"]
    pairs = list(itertools.product(names, texts))
    qualified = {within_customer(CustomerId(name), TurnId(text)) for name, text in pairs}
    assert_that(qualified, HasLength(len(pairs)))
    assert_that(qualified & set(texts), Equals(set()))
    assert_that({qualified_key_part(text) for text in qualified}, HasLength(len(pairs)))


# Guards against an absent program or previous turn that becomes a present one.
def test_an_absent_id_stays_absent():
    assert_that(within_customer(CustomerId("gears"), ProgramId("")), Equals(""))


def test_an_id_can_be_shown_as_it_was_sent():
    sent = TurnId("t-1")
    text = within_customer(CustomerId("gears"), sent)
    assert_that([id_as_sent(text), id_as_sent(sent)], Equals([sent, sent]))
    assert_that([is_qualified(text), is_qualified(sent)], Equals([True, False]))


def test_key_parts_and_scopes_have_a_fixed_length():
    long = within_customer(CustomerId("n" * 100), TurnId(LATIN * 60))
    assert_that(qualified_key_part(long), HasLength(66))
    assert_that(customer_scope(CustomerId("n" * 100)), HasLength(32))
