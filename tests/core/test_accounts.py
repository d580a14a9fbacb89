import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from skylarkferry_core.accounts import (
    NO_OWNER,
    Account,
    AccountRow,
    Ownership,
    first_allowance,
    unrecorded,
)
from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import Incarnation, TurnId

NEED = 100


def test_first_allowance_needs_no_row():
    account = Account(1_000, NEED, 0, None, 0)
    account.reserve(TurnId("a"), NEED)
    account.settle(TurnId("a"), 40)
    account.settle(TurnId("a"), 40)
    assert_that((account.base, account.used, account.allowance), Equals((0, 40, 333)))


def test_row_of_an_earlier_owner_counts_whole():
    account = Account(1_000, NEED, 2, AccountRow(900), 7)
    assert_that((account.base, account.fits(NEED)), Equals((900, False)))
    assert_that(account.grown(NEED), Equals(100))


def test_budget_too_small_for_a_first_allowance_counts_nothing_unrecorded():
    assert_that(first_allowance(900, 572, 0), Equals(0))
    assert_that(unrecorded(900, 572, 5), Equals(0))


def test_exhausted_budget_is_refused():
    account = Account(150, NEED, 0, None, 0)
    account.allowance = account.grown(NEED)
    account.reserve(TurnId("a"), NEED)
    with ExpectedException(BudgetExhaustedError):
        account.grown(NEED)


@pytest.mark.parametrize(
    ("before", "losses"),
    [(Ownership(), 0), (Ownership(Incarnation("dead"), "", 1, 0), 1)],
)
def test_owner_that_did_not_hand_over_counts_as_lost(before, losses):
    claimed = before.claimed(Incarnation("me"), "address")
    assert_that((claimed.losses, claimed.generation), Equals((losses, before.generation + 1)))
    assert_that(claimed.released().claimed(Incarnation("next"), "").losses, Equals(losses))
    assert_that(claimed.claimed(Incarnation("me"), "address").losses, Equals(losses))
    assert_that(claimed.released().owner, Equals(NO_OWNER))


class Owners:
    """One program under successive owners, with a store that holds one row."""

    def __init__(self, limit, need):
        self.limit, self.need = limit, need
        self.ownership = Ownership()
        self.row = None
        self.handed_out = 0
        self.number = 0
        self.account = None
        self.deposed = []
        self.claim()

    def claim(self):
        self.ownership = self.ownership.claimed(Incarnation(f"owner-{self.number}"), "")
        self.number += 1
        if self.account is not None:
            self.deposed.append(self.account)
        version = 1 if self.row else 0
        losses = self.ownership.losses
        self.account = Account(self.limit, self.need, losses, self.row, version)

    def hand_over(self):
        self.row = self.account.final_row()
        self.ownership = self.ownership.released()
        self.account.allowance = 0
        self.claim()

    def turn(self, used, account=None):
        chosen = account or self.account
        if not chosen.fits(self.need):
            if account is not None:
                return
            try:
                allowance = chosen.grown(self.need)
            except BudgetExhaustedError:
                return
            self.row = chosen.row_for(allowance)
            chosen.allowance = allowance
        turn = TurnId(str(self.handed_out))
        chosen.reserve(turn, self.need)
        chosen.settle(turn, min(used, self.need))
        self.handed_out += min(used, self.need)


@given(
    limit=st.integers(50, 5_000),
    steps=st.lists(
        st.one_of(
            st.integers(0, NEED),
            st.sampled_from(["claim", "hand_over", "deposed"]),
        ),
        max_size=80,
    ),
)
def test_budget_holds_whatever_owners_die_or_go_on_unaware(limit, steps):
    owners = Owners(limit, NEED)
    for step in steps:
        if step == "claim":
            owners.claim()
        elif step == "hand_over":
            owners.hand_over()
        elif step == "deposed":
            for account in owners.deposed:
                owners.turn(NEED, account)
        else:
            owners.turn(step)
    assert_that(owners.handed_out, LessThan(limit + 1))
