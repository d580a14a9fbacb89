from enum import Enum

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.budgets import Amount, BudgetLedger
from skylarkferry_core.entry_messages import Budget
from skylarkferry_core.errors import BudgetExhaustedError
from skylarkferry_core.ids import CallId

LIMIT = Budget(tokens=1_000, cost_micros=500, turns=10)


class Step(Enum):
    RESERVE = "reserve"
    SETTLE = "settle"
    RELEASE = "release"
    CRASH = "crash"


class ReferenceCounter:
    """Amounts the upstreams spent; a call lost in a crash may have spent its worst case."""

    def __init__(self) -> None:
        self.spent = Amount()
        self.in_flight: dict[CallId, Amount] = {}

    def crash(self) -> None:
        for worst in self.in_flight.values():
            self.spent = self.spent.plus(worst)
        self.in_flight.clear()


def within_limit(amount: Amount) -> bool:
    return Amount(LIMIT.tokens, LIMIT.cost_micros).covers(amount)


STEPS = st.lists(
    st.tuples(st.sampled_from(Step), st.integers(0, 400), st.integers(0, 250), st.integers(0, 900)),
    max_size=40,
)


@given(STEPS)
def test_no_sequence_of_calls_and_crashes_spends_more_than_the_budget(steps):
    ledger = BudgetLedger(LIMIT)
    counter = ReferenceCounter()
    journaled = ledger.allotted
    settled = Amount()
    for number, (step, tokens, cost, used) in enumerate(steps):
        call_id = CallId(str(number))
        oldest = next(iter(ledger.reservations), None)
        if step is Step.RESERVE:
            need = Amount(tokens, cost)
            try:
                total = ledger.next_allotment(need)
            except BudgetExhaustedError:
                continue
            if total is not None:
                journaled = total
                ledger.allot(total)
            ledger.reserve(call_id, need)
            counter.in_flight[call_id] = need
        elif step is Step.SETTLE and oldest is not None:
            actual = Amount(used, used).at_most(counter.in_flight.pop(oldest))
            counter.spent = counter.spent.plus(actual)
            ledger.settle(oldest, Amount(used, used))
            settled = ledger.spent
        elif step is Step.RELEASE and oldest is not None:
            counter.in_flight.pop(oldest)
            ledger.release(oldest)
        elif step is Step.CRASH:
            counter.crash()
            ledger = BudgetLedger(LIMIT)
            ledger.allot(journaled)
            ledger.spent = settled
            ledger.recover()
            settled = ledger.spent
        worst = counter.spent
        for amount in counter.in_flight.values():
            worst = worst.plus(amount)
        assert_that(within_limit(worst), Equals(True))
        assert_that(ledger.spent.covers(counter.spent), Equals(True))


def test_a_call_that_ran_during_a_recovery_is_not_counted_twice():
    ledger = BudgetLedger(LIMIT)
    ledger.allot(Amount(1_000, 500))
    ledger.recover()
    ledger.settle(CallId("attached"), Amount(900, 400))
    assert_that(ledger.spent, Equals(Amount(1_000, 500)))


def test_a_settlement_above_its_reservation_counts_as_the_reservation():
    ledger = BudgetLedger(LIMIT)
    ledger.allot(Amount(100, 100))
    ledger.reserve(CallId("1"), Amount(100, 10))
    ledger.settle(CallId("1"), Amount(900, 90))
    assert_that(ledger.spent, Equals(Amount(100, 10)))
