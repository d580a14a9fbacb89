from enum import Enum
from typing import NamedTuple

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

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


@pytest.mark.parametrize("losses", [1, 2, 5])
def test_no_tokens_are_granted_without_a_row_after_a_loss(losses):
    account = Account(1_000, losses, None, 0)
    assert_that((account.allowance, account.fits(1)), Equals((0, False)))
    assert_that((account.unrecorded(333), account.unrecorded(334)), Equals((333, 0)))


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


class Outcome(Enum):
    """What becomes of a write that raises an allowance."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    """It takes effect, but its answer is lost."""
    LATE = "late"
    """Its answer is lost, and it takes effect later if its conditions still hold."""


class Answer(Enum):
    """What an owner answers a turn."""

    GRANTED = "granted"
    SPENT = "spent"
    UNAVAILABLE = "unavailable"


class Owner:
    """One owner of a partition; it opens the program's account at the first turn."""

    def __init__(self, losses, fence, row, version):
        self.losses, self.fence = losses, fence
        self.row, self.version = row, version
        self.account = None
        self.can_grant = True

    def open_account(self, limit, need):
        if self.account is None:
            self.account = Account(limit, self.losses, self.row, self.version)
        return self.account


class Ledger:
    """One program under successive owners, a store of one row, and the tokens handed out.

    A turn counts with its maximum until it is settled.
    """

    def __init__(self):
        self.ownership, self.fence = Ownership(), 0
        self.row, self.version = None, 0
        self.late_writes = []
        self.owners = []
        self.turns = []
        self.tokens = self.longest_turn = self.largest_limit = 0
        self.claim()

    def claim(self):
        """Let a new owner claim the partition; the earlier ones may grant on."""
        self._add_owner(Incarnation(f"owner-{len(self.owners)}"))

    def claim_again(self):
        """Let an owner claim twice that did not learn that its first claim succeeded."""
        if self.owners[-1].account is None:
            self.owners[-1].can_grant = False
            self._add_owner(self.ownership.owner)

    def _add_owner(self, incarnation):
        self.ownership = self.ownership.claimed(incarnation, "")
        self.fence += 1
        self.owners.append(Owner(self.ownership.losses, self.fence, self.row, self.version))

    def release(self):
        owner = self.owners[-1]
        owner.can_grant = False
        if owner.account is not None:
            self.row, self.version = owner.account.final_row(), self.version + 1
        self.ownership, self.fence = self.ownership.released(), self.fence + 1
        self.claim()

    def hand_over(self, owner):
        """Let another process go on for an owner, under the same claim."""
        if not owner.can_grant:
            return
        owner.can_grant = False
        heir = Owner(owner.losses, owner.fence, owner.row, owner.version)
        if owner.account is not None:
            heir.account = Account.resumed(owner.account.state())
        self.owners[self.owners.index(owner)] = heir

    def confirm(self, owner):
        """Let a process that goes on for an owner replace the claim, if it is still in force."""
        if owner.fence != self.fence:
            owner.can_grant = False
            return
        self.ownership = self.ownership.taken_over(Incarnation(f"heir-{self.fence}"), "")
        self.fence += 1
        owner.fence = self.fence

    def perform_late_writes(self):
        for write in self.late_writes:
            self._write(*write)
        self.late_writes.clear()

    def _write(self, fence, version, row):
        if (fence, version) == (self.fence, self.version):
            self.row, self.version = row, self.version + 1
            return True
        return False

    def _grow(self, owner, allowance, outcome):
        """Write a larger allowance; return whether the owner learned what became of it."""
        account = owner.account
        write = (owner.fence, account.version, account.row_for(allowance))
        if outcome is Outcome.LATE:
            self.late_writes.append(write)
        if outcome in (Outcome.LATE, Outcome.REFUSED):
            return False
        was_written = self._write(*write)
        if outcome is Outcome.LOST:
            return False
        if was_written:
            account.version, account.allowance = self.version, allowance
        elif owner.fence != self.fence:
            owner.can_grant = False
        else:
            account.version = self.version
        return owner.can_grant

    def run_turn(self, owner, limit, need, outcome):
        """Grant a turn if its owner may."""
        if not owner.can_grant:
            return Answer.UNAVAILABLE
        account = owner.open_account(limit, need)
        self.largest_limit = max(self.largest_limit, limit)
        while not account.fits(need):
            try:
                allowance = account.next_allowance(need)
            except BudgetExhaustedError:
                return Answer.SPENT
            if not self._grow(owner, allowance, outcome):
                return Answer.UNAVAILABLE
            outcome = Outcome.ANSWERED
        turn = TurnId(str(len(self.turns)))
        account.reserve(turn, need)
        self.turns.append((owner, turn, need))
        self.longest_turn = max(self.longest_turn, need)
        self.tokens += need
        return Answer.GRANTED

    def settle(self, turn, unused):
        owner, turn_id, need = turn
        if owner.can_grant and turn_id in owner.account.reserved:
            owner.account.settle(turn_id, max(need - unused, 0))
            self.tokens -= min(unused, need)


LIMITS = st.integers(-3, 60)
TOKENS = st.integers(1, 30)
LENGTHS = st.tuples(st.integers(1, 5), TOKENS)
CHANGES = st.sampled_from(
    ["claim"] * 3 + ["none", "claim again", "release", "late writes", "hand over", "confirm"]
)


class Round(NamedTuple):
    """A change of owners, settlements of the last turns, then turns of one length at one owner."""

    change: str
    owner: int
    is_long: bool
    outcome: Outcome
    count: int
    unused: tuple[int, ...]


ROUNDS = st.builds(
    Round,
    CHANGES,
    st.sampled_from([0, 0, 0, 1, 2]),  # how many owners came after the one that is asked
    st.booleans(),
    st.sampled_from(Outcome),
    st.sampled_from([1, 30, 30]),
    st.one_of(st.just(()), st.just(()), st.lists(TOKENS, max_size=3).map(tuple)),
)
STEPS = st.lists(ROUNDS, max_size=12)


def perform(ledger, step, limit, lengths):
    """Perform one round; return the length of a turn that was refused as beyond the budget."""
    match step.change:
        case "claim":
            ledger.claim()
        case "claim again":
            ledger.claim_again()
        case "release":
            ledger.release()
        case "late writes":
            ledger.perform_late_writes()
        case "hand over":
            ledger.hand_over(ledger.owners[-1 - step.owner % len(ledger.owners)])
        case "confirm":
            ledger.confirm(ledger.owners[-1 - step.owner % len(ledger.owners)])
    for turn, unused in zip(ledger.turns[::-1], step.unused, strict=False):
        ledger.settle(turn, unused)
    owner = ledger.owners[-1 - step.owner % len(ledger.owners)]
    need = lengths[step.is_long]
    answer, count = Answer.GRANTED, step.count
    while answer is Answer.GRANTED and count:
        answer = ledger.run_turn(owner, limit, need, step.outcome)
        count -= 1
    return need if answer is Answer.SPENT else None


# Guards against tokens beyond the budget after the loss of several owners.
@settings(max_examples=1_500)
@given(LIMITS, LENGTHS, STEPS)
def test_turns_of_different_lengths_stay_within_the_budget_and_one_turn(limit, lengths, steps):
    ledger = Ledger()
    for step in steps:
        perform(ledger, step, limit, lengths)
        assert_that(ledger.tokens, LessThan(max(limit, 0) + ledger.longest_turn + 1))


@given(LIMITS, TOKENS, STEPS)
def test_turns_of_one_length_stay_within_the_budget(limit, length, steps):
    ledger = Ledger()
    for step in steps:
        perform(ledger, step, limit, (length, length))
        assert_that(ledger.tokens, LessThan(max(limit, 0) + 1))


# Guards against tokens beyond the largest budget that a program named.
@settings(max_examples=1_500)
@given(LENGTHS, st.lists(st.tuples(LIMITS, ROUNDS), max_size=12))
def test_budget_that_changes_keeps_within_its_largest_value_and_one_turn(lengths, steps):
    ledger = Ledger()
    for limit, step in steps:
        perform(ledger, step, limit, lengths)
        bound = ledger.largest_limit + ledger.longest_turn
        assert_that(ledger.tokens, LessThan(bound + 1))


@given(LIMITS, LENGTHS, STEPS)
def test_turn_is_refused_without_a_loss_only_if_the_budget_does_not_cover_it(limit, lengths, steps):
    ledger = Ledger()
    for step in steps:
        kept = ("claim again", "release", "none", "hand over", "confirm")
        change = step.change if step.change in kept else "none"
        need = perform(ledger, step._replace(change=change), limit, lengths)
        if need is not None:
            assert_that(ledger.tokens + need, GreaterThan(limit))


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
