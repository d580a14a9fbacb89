import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, MatchesAny

from sidecar_fakes import fence, tool_order
from skylarkferry_core.calls import CallTable, TableLimits
from skylarkferry_core.errors import ErrorCode, StaleEpochError
from skylarkferry_core.fences import FenceGuard
from skylarkferry_core.frames import SealRequest
from skylarkferry_core.ids import Incarnation
from skylarkferry_core.messages import Outcome
from skylarkferry_core.queues import FifoOrder
from skylarkferry_core.states import CallState, FinalWord, SealVerdict

INCARNATIONS = ("incarnation-0", "incarnation-1", "incarnation-2")
INCARNATION_OF = {"a": INCARNATIONS[0], "b": INCARNATIONS[0], "c": INCARNATIONS[1]}
NAMES = tuple(INCARNATION_OF)


def new_table(incarnation=INCARNATIONS[0], **limits):
    values = {"slots": 2, "queue_limit": 10, "outcomes_kept": 100} | limits
    return CallTable(Incarnation(incarnation), TableLimits(**values), FifoOrder(), FenceGuard())


def order_of(name, epoch=1):
    return tool_order(name, epoch=epoch, incarnation=Incarnation(INCARNATION_OF[name]))


def seal_of(name, epoch=1):
    return SealRequest(order_of(name).call_id, fence(epoch), Incarnation(INCARNATION_OF[name]))


def done(name):
    return Outcome(order_of(name).call_id, FinalWord.DONE, result=f"result of {name}")


class ReferenceSystem:
    """Plain sets of past events, against which the answers of the table are checked."""

    def __init__(self):
        self.runs = []
        self.ended = set()
        self.never_run = set()
        self.acknowledged = set()
        self.highest = 0
        self.incarnation = 0

    def restart(self):
        self.incarnation += 1
        self.highest = 0
        self.never_run = set()
        self.acknowledged = set()

    def ran_now(self, name):
        return (name, INCARNATIONS[self.incarnation]) in self.runs


def deliver(table, reference, name, epoch):
    """Deliver a dispatch; a call reported as not run must never have run nor run later."""
    call = table.accept(order_of(name, epoch), now=0.0)
    is_stale = epoch < reference.highest
    reference.highest = max(reference.highest, epoch)
    if call.outcome is None:
        assert not is_stale
        assert INCARNATION_OF[name] == INCARNATIONS[reference.incarnation]
        return
    if call.outcome.word is FinalWord.NOT_RUN:
        assert all(ran != name for ran, _ in reference.runs)
        assert is_stale or name in reference.never_run
    if call.outcome.word is FinalWord.DONE:
        assert call.outcome == done(name)
        assert reference.ran_now(name)


def start(table, reference):
    call = table.start_next(now=0.0)
    if call is None:
        return
    name = call.order.call_id[-1]
    assert name not in reference.never_run
    assert all(ran != name for ran, _ in reference.runs), "a call ran twice"
    reference.runs.append((name, INCARNATIONS[reference.incarnation]))


def finish(table, reference, name):
    if table.finish(order_of(name).call_id, done(name), now=0.0):
        reference.ended.add(name)


def seal(table, reference, name, epoch):
    try:
        reply = table.seal(seal_of(name, epoch), now=0.0)
    except StaleEpochError:
        assert epoch < reference.highest
        return
    assert epoch >= reference.highest
    reference.highest = epoch
    assert reply.verdict is expected_verdict(reference, name)
    if reply.verdict is SealVerdict.SEALED:
        reference.never_run.add(name)


def expected_verdict(reference, name):
    if (
        INCARNATION_OF[name] != INCARNATIONS[reference.incarnation]
        or name in reference.acknowledged
    ):
        return SealVerdict.UNKNOWN
    if not reference.ran_now(name):
        return SealVerdict.SEALED
    return SealVerdict.EXECUTED if name in reference.ended else SealVerdict.IN_PROGRESS


def acknowledge(table, reference, name):
    table.acknowledge([order_of(name).call_id])
    if reference.ran_now(name) and name in reference.ended:
        reference.acknowledged.add(name)


def cancel(table, reference, name):
    error = StaleEpochError("cancelled by the test")
    if table.refuse_queued(order_of(name).call_id, error, now=0.0):
        reference.never_run.add(name)


names = st.sampled_from(NAMES)
epochs = st.integers(1, 3)
steps = st.one_of(
    st.tuples(st.just(deliver), names, epochs),
    st.tuples(st.just(start)),
    st.tuples(st.just(finish), names),
    st.tuples(st.just(seal), names, epochs),
    st.tuples(st.just(acknowledge), names),
    st.tuples(st.just(cancel), names),
)
sessions_by_incarnation = st.lists(
    st.lists(steps, min_size=10, max_size=30), min_size=1, max_size=len(INCARNATIONS)
)


@pytest.mark.soak
@given(sessions_by_incarnation)
def test_lost_repeated_and_reordered_frames_never_run_a_call_twice(sessions):
    reference = ReferenceSystem()
    for incarnation, session in zip(INCARNATIONS, sessions, strict=False):
        table = new_table(incarnation)
        for step, *arguments in session:
            step(table, reference, *arguments)
        reference.restart()


limit_steps = st.tuples(st.sampled_from("ab"), st.sampled_from(["dispatch", "run", "ack"]))


@pytest.mark.soak
@given(st.lists(limit_steps, max_size=40))
def test_at_the_limit_no_unacknowledged_outcome_is_dropped(session):
    table = new_table(outcomes_kept=1, slots=1)
    kept = {}
    for name, step in session:
        order = order_of(name)
        if step == "dispatch":
            call = table.accept(order, now=0.0)
            if call.outcome is not None and call.outcome.word is FinalWord.NOT_RUN:
                assert_that(call.outcome.error, Is(ErrorCode.OVERLOADED))
                assert_that(call.outcome.retry_after_s, Equals(1.0))
        elif step == "run" and (started := table.start_next(now=0.0)):
            ran = started.order.call_id[-1]
            table.finish(started.order.call_id, done(ran), now=0.0)
            kept[ran] = done(ran)
        elif step == "ack":
            table.acknowledge([order.call_id])
            kept.pop(name, None)
        assert_that(len(table.calls), MatchesAny(Equals(0), Equals(1)))
        for ran, outcome in kept.items():
            reply = table.seal(seal_of(ran), now=0.0)
            assert_that(reply.outcome, Equals(outcome))


def test_a_call_past_its_retention_is_unknown_and_never_runs_again():
    table = new_table(retention_s=10.0)
    table.accept(order_of("a"), now=0.0)
    table.start_next(now=0.0)
    table.finish(order_of("a").call_id, done("a"), now=1.0)
    table.expire(now=20.0)
    assert_that(table.accept(order_of("a"), now=20.0).outcome.word, Is(FinalWord.UNKNOWN))
    assert_that(table.seal(seal_of("a"), now=20.0).verdict, Is(SealVerdict.UNKNOWN))
    assert_that(table.unsettled, Equals(1))
    table.acknowledge([order_of("a").call_id])
    assert_that(table.unsettled, Equals(0))


def test_a_suspect_runs_alone():
    table = new_table(slots=4)
    suspects = {order_of("b").fingerprint}
    for call in (order_of("a"), order_of("b"), tool_order("e", repeatable=True)):
        table.accept(call, now=0.0)
    assert_that(table.start_next(0.0, suspects).order.call_id[-1], Equals("a"))
    assert_that(table.start_next(0.0, suspects), Is(None))
    table.finish(order_of("a").call_id, done("a"), now=0.0)
    assert_that(table.start_next(0.0, suspects).order.call_id[-1], Equals("b"))
    assert_that(table.start_next(0.0, suspects), Is(None))
    table.finish(order_of("b").call_id, done("b"), now=0.0)
    assert_that(table.start_next(0.0, suspects).state, Is(CallState.RUNNING))
