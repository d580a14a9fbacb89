import msgspec
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
)
from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import Incarnation, TurnId

MAX_TURN_TOKENS = 100


def test_first_allowance_is_granted_without_a_row():
    account = Account(1_000, 0, None, 0)
    account.reserve(TurnId("a"), MAX_TURN_TOKENS)
    account.settle(TurnId("a"), 40)
    account.settle(TurnId("a"), 40)
    assert_that((account.base, account.used, account.allowance), Equals((0, 40, 333)))


def test_row_of_an_earlier_owner_counts_in_full():
    account = Account(1_000, 2, AccountRow(900), 7)
    assert_that((account.base, account.fits(MAX_TURN_TOKENS)), Equals((900, False)))
    assert_that(account.next_allowance(MAX_TURN_TOKENS), Equals(100))


def test_budget_too_small_for_a_first_allowance_has_no_unrecorded_allowances():
    assert_that(Account(900, 0, None, 0).fits(572), Equals(False))
    lost_five_times = Account(900, 5, None, 0)
    assert_that(lost_five_times.unrecorded(572), Equals(0))
    lost_five_times.allowance = lost_five_times.next_allowance(572)
    lost_five_times.reserve(TurnId("a"), 572)
    assert_that(lost_five_times.covers(900 - 572), Equals(True))


def test_half_of_the_first_allowance_is_granted_without_a_row_after_one_loss():
    account = Account(1_000, 1, None, 0)
    assert_that(
        (account.allowance, account.fits(166), account.fits(167)), Equals((166, True, False))
    )
    assert_that((account.unrecorded(333), account.unrecorded(334)), Equals((333, 0)))


@pytest.mark.parametrize("losses", [2, 5])
def test_no_tokens_are_granted_without_a_row_after_two_losses(losses):
    account = Account(1_000, losses, None, 0)
    assert_that((account.allowance, account.fits(1)), Equals((0, False)))
    counted = [account.unrecorded(need) for need in (166, 167, 333, 334, 498, 499)]
    assert_that(counted, Equals([499, 333, 333, 165, 1, 0]))


# Guards against a row after which later owners forget what the second lost owner may have granted.
def test_row_keeps_for_how_many_lost_owners_it_counts():
    account = Account(1_200, 2, None, 0)
    account.allowance = account.next_allowance(100)
    row = account.row_for(account.allowance)
    assert_that(row, Equals(AccountRow(1_200, 600, 0, 2)))
    assert_that(Account(1_200, 3, row, 1).unrecorded(100), Equals(600))
    resumed = Account.resumed(Account(1_200, 2, None, 0).state())
    assert_that(resumed.unrecorded(100), Equals(600))


@pytest.mark.parametrize(
    ("limit", "need", "ahead"),
    [(800, 100, 400), (300, 100, 200), (200, 60, 120), (100, 20, 50)],
)
def test_allowance_grows_ahead_to_half_of_the_budget_and_one_more_turn(limit, need, ahead):
    account = Account(limit, 0, None, 0)
    assert_that(account.allowance_ahead(), Equals(None))
    account.reserve(TurnId("a"), need)
    assert_that(account.allowance_ahead(), Equals(ahead))
    account.allowance = ahead
    assert_that(account.allowance_ahead(), Equals(None))


# Guards against rows of programs that use little of their budgets.
def test_allowance_that_covers_two_more_turns_does_not_grow_ahead():
    account = Account(1_200, 0, None, 0)
    account.reserve(TurnId("a"), 100)
    account.reserve(TurnId("b"), 100)
    assert_that(account.allowance_ahead(), Equals(None))
    account.reserve(TurnId("c"), 100)
    assert_that(account.allowance_ahead(), Equals(600))


def test_allowance_of_a_program_with_an_earlier_row_grows_on_need_only():
    account = Account(800, 1, AccountRow(500, 266, 100), 3)
    account.allowance = account.next_allowance(100)
    account.reserve(TurnId("a"), 100)
    assert_that((account.allowance, account.allowance_ahead()), Equals((266, None)))


def test_second_half_of_the_budget_is_granted_by_one_row():
    account = Account(800, 0, None, 0)
    account.allowance = 400
    for turn in range(4):
        account.reserve(TurnId(str(turn)), 100)
    assert_that(account.next_allowance(100), Equals(800))


def test_row_keeps_what_a_lost_owner_may_have_granted():
    account = Account(1_000, 1, None, 0)
    account.allowance = account.next_allowance(MAX_TURN_TOKENS)
    account.reserve(TurnId("a"), MAX_TURN_TOKENS)
    row = account.final_row()
    assert_that(row, Equals(AccountRow(333 + MAX_TURN_TOKENS, 333, MAX_TURN_TOKENS)))
    following = Account(1_000, 1, row, 3)
    assert_that((following.base, following.unrecorded(MAX_TURN_TOKENS)), Equals((100, 333)))
    assert_that((following.covers(900), following.covers(901)), Equals((True, False)))


def test_long_turn_ends_the_count_of_what_a_lost_owner_may_have_granted():
    account = Account(1_000, 1, AccountRow(333 + 500, 333, MAX_TURN_TOKENS), 3)
    assert_that((account.covers(167), account.covers(168)), Equals((True, False)))
    account.allowance = account.next_allowance(400)
    account.reserve(TurnId("a"), 400)
    assert_that((account.covers(100), account.covers(101)), Equals((True, False)))
    assert_that(Account(1_000, 1, account.final_row(), 4).covers(100), Equals(True))


def test_row_of_an_earlier_version_is_read():
    row = msgspec.msgpack.decode(msgspec.msgpack.encode([900]), type=AccountRow)
    assert_that(row, Equals(AccountRow(900, None, 0)))


def test_allowance_beyond_the_budget_is_refused():
    account = Account(150, 0, None, 0)
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
        self.account = Account(self.limit, losses, self.row, version)

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


@given(limit=st.integers(1, 5_000), losses=st.integers(0, 100), data=st.data())
def test_first_turn_is_granted_after_any_losses_if_the_budget_covers_it(limit, losses, data):
    need = data.draw(st.integers(1, limit))
    account = Account(limit, losses, None, 0)
    account.allowance = max(account.allowance, account.next_allowance(need))
    assert_that(account.fits(need), Equals(True))


@pytest.mark.parametrize("number", [-1, (1 << 64) - 1])
def test_rows_whose_numbers_cannot_be_continued_are_not_decoded(number):
    """The largest number of the encoding plus one could not be written."""
    for kind, fields in (
        (Ownership, ["another", "127.0.0.1:9", number, 0]),
        (Ownership, ["another", "127.0.0.1:9", 1, number]),
        (AccountRow, [number, None, 0]),
        (AccountRow, [1, number, 0]),
        (AccountRow, [1, None, number]),
    ):
        with ExpectedException(msgspec.ValidationError):
            msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=kind)


def test_row_of_a_turn_of_less_than_no_tokens_can_be_read_again():
    account = Account(1_000, 0, None, 0)
    account.reserve(TurnId("t-1"), -5)
    row = msgspec.msgpack.encode(account.final_row())
    assert_that(msgspec.msgpack.decode(row, type=AccountRow).granted_tokens, Equals(0))
