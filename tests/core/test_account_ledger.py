"""Accounts of a program under successive owners, generated, against a ledger of all tokens."""

from enum import Enum
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from skylarkferry_core.accounts import (
    Account,
    Ownership,
)
from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import Incarnation, TurnId

PROOF_TIME = 2
"""Time for which an owner may grant without a row after it proved to be the owner."""
IDLE_TIME = 2
"""Time after which an unused account is deleted; the program does not return later."""


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
    """One owner of a partition; it opens the program's account at the first turn.

    ``proven_at`` is when it last proved to be the owner.
    """

    def __init__(self, losses, fence, row, version, now):
        self.losses, self.fence = losses, fence
        self.row, self.version = row, version
        self.proven_at = self.claimed_at = now
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
        self.now = self.granted_at = 0
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
        losses = self.ownership.losses
        self.owners.append(Owner(losses, self.fence, self.row, self.version, self.now))

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
        successor = Owner(owner.losses, owner.fence, owner.row, owner.version, self.now)
        successor.proven_at = owner.proven_at
        if owner.account is not None:
            successor.account = Account.resumed(owner.account.state())
        self.owners[self.owners.index(owner)] = successor

    def confirm(self, owner):
        """Let a process that goes on for an owner replace the claim, if it is still in force."""
        if owner.fence != self.fence:
            owner.can_grant = False
            return
        self.ownership = self.ownership.taken_over(Incarnation(f"successor-{self.fence}"), "")
        self.fence += 1
        owner.fence = self.fence

    def may_grant(self, owner, need):
        """Return whether an owner may grant a turn without writing a row first."""
        is_proven = self.now - owner.proven_at <= PROOF_TIME
        return owner.account.fits(need) and (is_proven or not owner.account.may_be_unknown())

    def pass_time(self, time):
        """Let time pass, but let the program return before its account is deleted as unused."""
        self.now = min(self.now + time, self.granted_at + IDLE_TIME)

    def renew(self, owner):
        if owner.fence == self.fence:
            owner.proven_at = self.now

    def forget_losses(self):
        """Let the current owner forget lost owners, if what they granted was unused for long."""
        owner = self.owners[-1]
        account = owner.account
        is_open = account is not None and account.lost_owners and account.may_be_unknown()
        if is_open and account.longest_turn:
            return
        if self.now - owner.claimed_at > PROOF_TIME + IDLE_TIME:
            self.ownership, self.fence = self.ownership.without_losses(), self.fence + 1
            owner.fence, owner.losses, owner.proven_at = self.fence, 0, self.now

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
            owner.proven_at = self.now
            account.version, account.allowance = self.version, allowance
        elif owner.fence != self.fence:
            owner.can_grant = False
        else:
            account.version = self.version
        return owner.can_grant

    def grow_ahead(self, owner, outcome):
        """Write a larger allowance after a turn was granted, if one is due."""
        allowance = owner.account.allowance_ahead()
        if allowance is not None:
            self._grow(owner, allowance, outcome)

    def run_turn(self, owner, limit, need, outcome, ahead=None):
        """Grant a turn if its owner may; ``ahead`` is what becomes of the growth ahead of need."""
        if not owner.can_grant:
            return Answer.UNAVAILABLE
        account = owner.open_account(limit, need)
        self.largest_limit = max(self.largest_limit, limit)
        while not self.may_grant(owner, need):
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
        self.granted_at = self.now
        if ahead is not None:
            self.grow_ahead(owner, ahead)
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
    """A change of owners, settlements of the last turns, then turns of one length at one owner.

    ``ahead`` is what becomes of writes ahead of need, ``None`` if there are none.
    """

    change: str
    owner: int
    is_long: bool
    outcome: Outcome
    count: int
    unused: tuple[int, ...]
    ahead: Outcome | None


ROUNDS = st.builds(
    Round,
    CHANGES,
    st.sampled_from([0, 0, 0, 1, 2]),  # how many owners came after the one that is asked
    st.booleans(),
    st.sampled_from(Outcome),
    st.sampled_from([1, 30, 30]),
    st.one_of(st.just(()), st.just(()), st.lists(TOKENS, max_size=3).map(tuple)),
    st.sampled_from([None, *Outcome]),
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
        answer = ledger.run_turn(owner, limit, need, step.outcome, step.ahead)
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


SPENDING = st.lists(TOKENS, min_size=1, max_size=3)


def spend(ledger, owner, limit, lengths, outcome):
    """Grant turns of each length until one is refused."""
    for length in lengths:
        while ledger.run_turn(owner, limit, length, outcome) is Answer.GRANTED:
            pass


# Guards against tokens beyond the budget if several owners were lost that granted without a row:
# also if one of them goes on after others claimed, and if later owners know them by a row only.
@settings(max_examples=3_000)
@given(
    st.integers(1, 60),
    st.lists(SPENDING, min_size=1, max_size=3),
    st.lists(SPENDING, min_size=1, max_size=2),
    st.booleans(),
)
def test_first_allowances_of_all_lost_owners_count(limit, without_row, with_row, is_reversed):
    ledger = Ledger()
    for _ in without_row[1:]:
        ledger.claim()
    owners = list(zip(ledger.owners, without_row, strict=True))
    for owner, lengths in reversed(owners) if is_reversed else owners:
        spend(ledger, owner, limit, lengths, Outcome.REFUSED)
    for lengths in with_row:
        ledger.claim()
        spend(ledger, ledger.owners[-1], limit, lengths, Outcome.ANSWERED)
    assert_that(ledger.tokens, LessThan(limit + ledger.longest_turn + 1))
    if len({need for _, _, need in ledger.turns}) == 1:
        assert_that(ledger.tokens, LessThan(limit + 1))


class TimedRound(NamedTuple):
    """Time that passes, what becomes of the ownership, and turns at one of the owners."""

    time: int
    change: str
    owner: int
    turns: tuple[int, ...]
    outcome: Outcome


SHORT_TURNS = st.integers(1, 8)

TIMED_ROUNDS = st.builds(
    TimedRound,
    st.integers(0, 2),
    st.sampled_from(["none", "none", "none", "none", "claim", "renew"]),
    st.sampled_from([0, 1, 1, 1, 2]),
    st.lists(SHORT_TURNS, min_size=1, max_size=4).map(tuple),
    st.sampled_from([Outcome.REFUSED, Outcome.REFUSED, Outcome.REFUSED, Outcome.ANSWERED]),
)


# Guards against an owner that forgets what an earlier one granted, or still grants, without a row.
@settings(max_examples=4_000)
@given(st.integers(12, 60), st.lists(TIMED_ROUNDS, min_size=2, max_size=9), SHORT_TURNS)
def test_losses_are_forgotten_only_when_their_grants_are_over(limit, rounds, rest):
    ledger = Ledger()
    ledger.claim()
    for step in rounds:
        ledger.pass_time(step.time)
        ledger.forget_losses()
        owner = ledger.owners[-1 - step.owner % len(ledger.owners)]
        if step.change == "claim":
            ledger.claim()
        elif step.change == "renew":
            ledger.renew(owner)
        for need in step.turns:
            ledger.run_turn(owner, limit, need, step.outcome)
    spend(ledger, ledger.owners[-1], limit, [rest], Outcome.ANSWERED)
    assert_that(ledger.tokens, LessThan(limit + ledger.longest_turn + 1))


# Guards against programs that cannot begin although their budget covers the turn.
@given(st.integers(1, 60), TOKENS, st.integers(0, 4))
def test_new_program_is_served_after_any_losses(limit, need, losses):
    ledger = Ledger()
    for _ in range(losses):
        ledger.claim()
    answer = ledger.run_turn(ledger.owners[-1], limit, need, Outcome.ANSWERED)
    assert_that(answer is Answer.GRANTED, Equals(need <= limit))


@given(LIMITS, LENGTHS, STEPS)
def test_turn_is_refused_without_a_loss_only_if_the_budget_does_not_cover_it(limit, lengths, steps):
    ledger = Ledger()
    for step in steps:
        kept = ("claim again", "release", "none", "hand over", "confirm")
        change = step.change if step.change in kept else "none"
        need = perform(ledger, step._replace(change=change), limit, lengths)
        if need is not None:
            assert_that(ledger.tokens + need, GreaterThan(limit))
