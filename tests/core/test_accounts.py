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
    unrecorded_allowances,
)
from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import Incarnation, TurnId

MAX_TURN_TOKENS = 100


def test_first_allowance_is_granted_without_a_row():
    account = Account(1_000, MAX_TURN_TOKENS, 0, None, 0)
    account.reserve(TurnId("a"), MAX_TURN_TOKENS)
    account.settle(TurnId("a"), 40)
    account.settle(TurnId("a"), 40)
    assert_that((account.base, account.used, account.allowance), Equals((0, 40, 333)))


def test_row_of_an_earlier_owner_counts_in_full():
    account = Account(1_000, MAX_TURN_TOKENS, 2, AccountRow(900), 7)
    assert_that((account.base, account.fits(MAX_TURN_TOKENS)), Equals((900, False)))
    assert_that(account.next_allowance(MAX_TURN_TOKENS), Equals(100))


def test_budget_too_small_for_a_first_allowance_has_no_unrecorded_allowances():
    assert_that(first_allowance(900, 572, 0), Equals(0))
    assert_that(unrecorded_allowances(900, 572, 5), Equals(0))


def test_allowance_beyond_the_budget_is_refused():
    account = Account(150, MAX_TURN_TOKENS, 0, None, 0)
    account.allowance = account.next_allowance(MAX_TURN_TOKENS)
    account.reserve(TurnId("a"), MAX_TURN_TOKENS)
    with ExpectedException(BudgetExhaustedError):
        account.next_allowance(MAX_TURN_TOKENS)


@pytest.mark.parametrize(
    ("before", "losses"),
    [(Ownership(), 0), (Ownership(Incarnation("failed"), "", 1, 0), 1)],
)
def test_owner_that_did_not_release_counts_as_lost(before, losses):
    claimed = before.claimed(Incarnation("me"), "address")
    assert_that((claimed.losses, claimed.generation), Equals((losses, before.generation + 1)))
    assert_that(claimed.released().claimed(Incarnation("next"), "").losses, Equals(losses))
    assert_that(claimed.claimed(Incarnation("me"), "address").losses, Equals(losses))
    assert_that(claimed.released().owner, Equals(NO_OWNER))


class SuccessiveOwners:
    """One program under successive owners, with a store of one row."""

    def __init__(self, limit, need):
        self.limit, self.need = limit, need
        self.ownership = Ownership()
        self.row = None
        self.granted = 0
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

    def release(self):
        self.row = self.account.final_row()
        self.ownership = self.ownership.released()
        self.account.allowance = 0
        self.claim()

    def run_turn(self, used, account=None):
        chosen = account or self.account
        if not chosen.fits(self.need):
            if account is not None:
                return
            try:
                allowance = chosen.next_allowance(self.need)
            except BudgetExhaustedError:
                return
            self.row = chosen.row_for(allowance)
            chosen.allowance = allowance
        turn = TurnId(str(self.granted))
        chosen.reserve(turn, self.need)
        chosen.settle(turn, min(used, self.need))
        self.granted += min(used, self.need)


@given(
    limit=st.integers(50, 5_000),
    steps=st.lists(
        st.one_of(
            st.integers(0, MAX_TURN_TOKENS),
            st.sampled_from(["claim", "release", "deposed"]),
        ),
        max_size=80,
    ),
)
def test_budget_holds_if_owners_fail_or_continue_after_losing_the_partition(limit, steps):
    owners = SuccessiveOwners(limit, MAX_TURN_TOKENS)
    for step in steps:
        if step == "claim":
            owners.claim()
        elif step == "release":
            owners.release()
        elif step == "deposed":
            for account in owners.deposed:
                owners.run_turn(MAX_TURN_TOKENS, account)
        else:
            owners.run_turn(step)
    assert_that(owners.granted, LessThan(limit + 1))
