from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from skylarkferry_core.admissions import AdmissionRequest, CustomerBucket, DeadlineAdmission
from skylarkferry_core.capacities import CapacityEstimate
from skylarkferry_core.demands import DemandSchedule
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import CustomerId, ProgramId
from skylarkferry_core.retries import RetryBudget, RetryPolicy, RetryRequest

programs = st.lists(st.tuples(st.integers(1, 60), st.integers(0, 40)), max_size=8)


@given(programs=programs, deadline=st.integers(1, 60), work=st.integers(1, 40))
def test_demand_agrees_with_checking_every_deadline(programs, deadline, work):
    schedule = DemandSchedule()
    for number, (due, amount) in enumerate(programs):
        schedule.add(ProgramId(str(number)), due, amount)
    all_programs = [*programs, (deadline, work)]
    lateness = max(
        sum(amount for other, amount in all_programs if other <= due) / 2.0 - due
        for due, _ in all_programs
        if due >= deadline
    )
    assert_that(schedule.lateness_s(deadline, work, capacity=2.0, now=0.0), Equals(lateness))


def admission_request(name, **fields):
    values = {"deadline_s": 10.0, "expected_s": 4.0, "work_s": 4.0, "capacity": 1.0, **fields}
    return AdmissionRequest(CustomerId("customer"), program_id=ProgramId(name), **values)


def test_a_program_that_does_not_fit_is_refused_with_a_retry_delay():
    admission = DeadlineAdmission(utilization=1.0)
    assert_that(admission.admit(admission_request("a"), 0.0), Is(None))
    assert_that(admission.admit(admission_request("b"), 0.0), Is(None))
    refusal = admission.admit(admission_request("c"), 0.0)
    assert_that(refusal.code, Is(ErrorCode.DEADLINE_UNREACHABLE))
    assert_that(refusal.retry_after_s, Equals(2.0))
    admission.ended(ProgramId("a"))
    assert_that(admission.admit(admission_request("c"), 0.0), Is(None))


def test_missed_deadlines_make_admission_stricter_until_programs_end_in_time():
    admission = DeadlineAdmission(utilization=1.0)
    for number in range(20):
        admission.admit(admission_request(str(number), work_s=0.0), 0.0)
        admission.ended(ProgramId(str(number)), in_time=False)
    assert_that(
        admission.admit(admission_request("a"), 0.0).code, Is(ErrorCode.DEADLINE_UNREACHABLE)
    )
    for number in range(100):
        admission.admit(admission_request(str(number), work_s=0.0), 0.0)
        admission.ended(ProgramId(str(number)))
    assert_that(admission.admit(admission_request("a"), 0.0), Is(None))


takes = st.lists(st.tuples(st.floats(0, 5), st.integers(1, 400)), max_size=30)


@given(takes)
def test_a_bucket_never_grants_more_than_its_rate_and_burst(takes):
    limit = CustomerBucket(tokens_per_s=10.0, now=0.0, burst_s=10.0)
    now, taken, largest = 0.0, 0, 0
    for pause_s, tokens in takes:
        now += pause_s
        if limit.take(tokens, now) == 0.0:
            taken += tokens
            largest = max(largest, tokens)
    assert_that(taken, LessThan(100.0 + 10.0 * now + largest + 1e-6))


def test_a_bucket_accumulates_at_most_its_burst():
    limit = CustomerBucket(tokens_per_s=10.0, now=0.0, burst_s=10.0)
    assert_that(limit.take(60, 1_000.0), Equals(0.0))
    assert_that(limit.take(60, 1_000.0), Equals(2.0))


@given(st.lists(st.booleans(), max_size=200))
def test_retry_budget_agrees_with_a_counter(attempts):
    budget = RetryBudget(ratio=0.25, reserve=3.0, capacity=5.0)
    balance = 3.0
    for is_retry in attempts:
        if is_retry:
            allowed = balance >= 1.0
            balance -= allowed
            assert_that(budget.withdraw(), Is(allowed))
        else:
            balance = min(balance + 0.25, 5.0)
            budget.deposit()


@given(attempts=st.integers(1, 5), remaining=st.floats(0, 20), after=st.floats(0, 5))
def test_a_retry_delay_is_within_its_ceiling_and_the_deadline(attempts, remaining, after):
    policy = RetryPolicy(Random(1), RetryBudget(), base_s=0.5, max_s=4.0)
    request = RetryRequest(attempts, remaining, expected_s=1.0, retry_after_s=after)
    delay_s = policy.delay_s(request)
    if delay_s is not None:
        ceiling_s = min(0.5 * 2 ** (attempts - 1), 4.0)
        assert_that(after - 1e-9, LessThan(delay_s))
        assert_that(delay_s, LessThan(after + ceiling_s + 1e-9))
        assert_that(delay_s, LessThan(remaining - 1.0 + 1e-9))


def test_an_outage_spends_no_budget_and_ends_at_the_deadline():
    policy = RetryPolicy(Random(1), RetryBudget(reserve=0.0), base_s=0.5, max_s=4.0)
    delays = [policy.outage_delay_s(tries, remaining_s=100.0) for tries in range(1, 200)]
    assert_that(max(delays), LessThan(4.0))
    assert_that(3.0, LessThan(max(delays)))
    assert_that(max(delays[:1]), LessThan(0.5))
    assert_that(policy.outage_delay_s(9, remaining_s=0.0), Is(None))


def test_capacity_follows_the_completion_rate_only_while_calls_wait():
    estimate = CapacityEstimate(time_constant_s=10.0)
    assert_that(estimate.update(8.0, True, 0.0), Equals(8.0))
    for second in range(5, 105, 5):
        estimate.progressed(10.0)
        estimate.update(8.0, True, float(second))
    assert_that(abs(estimate.update(8.0, True, 100.5) - 2.0), LessThan(0.01))
    for second in range(105, 205, 5):
        estimate.update(8.0, False, float(second))
    assert_that(abs(estimate.update(8.0, False, 200.5) - 8.0), LessThan(0.01))
