import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from sidecar_fakes import fence
from skylarkferry_core.ids import ProgramId
from skylarkferry_core.kv_holds import MAX_RETRY_S, KvHolds

A, B = ProgramId("0001-a"), ProgramId("0002-b")
UNCLAIMED_S = 60.0


def due_releases(holds, now):
    return {program_id for program_id, _ in holds.due(now)}


def test_a_cache_is_kept_during_the_pause_and_freed_after_it():
    holds = KvHolds()
    holds.on_started(A, fence())
    holds.on_ended(A, keep_s=5.0, now=1.0)
    assert_that(due_releases(holds, 5.9), Equals(set()))
    assert_that(due_releases(holds, 6.0), Equals({A}))


def test_a_release_during_a_call_takes_effect_when_the_call_ends():
    holds = KvHolds()
    holds.on_started(A, fence())
    holds.on_release(A, fence(), now=1.0)
    assert_that(due_releases(holds, 1.0), Equals(set()))
    holds.on_ended(A, keep_s=30.0, now=2.0)
    assert_that(due_releases(holds, 2.0), Equals({A}))


def test_a_failed_release_is_retried_until_the_engine_confirms():
    holds = KvHolds()
    holds.on_release(A, fence(), now=0.0)
    holds.on_failed(A, now=0.0)
    assert_that(due_releases(holds, 0.5), Equals(set()))
    assert_that(due_releases(holds, 1.0), Equals({A}))
    holds.on_freed(A)
    assert_that(due_releases(holds, 100.0), Equals(set()))


steps = st.tuples(
    st.sampled_from(["start", "end", "release", "engine fails", "engine confirms", "restart"]),
    st.sampled_from([A, B]),
    st.integers(0, 20),
)


@pytest.mark.soak
@given(st.lists(steps, max_size=30))
def test_every_cache_is_freed_in_bounded_time_after_the_last_step(session):
    holds, now, running = KvHolds(UNCLAIMED_S), 0, []
    for step, program_id, pause_s in session:
        now += pause_s
        if step == "start":
            holds.on_started(program_id, fence())
            running.append(program_id)
        elif step == "end" and program_id in running:
            running.remove(program_id)
            holds.on_ended(program_id, keep_s=pause_s, now=now)
        elif step == "release":
            holds.on_release(program_id, fence(), now)
        elif step == "engine fails":
            holds.on_failed(program_id, now)
        elif step == "engine confirms" and program_id in due_releases(holds, now):
            holds.on_freed(program_id)
        elif step == "restart":
            holds, running = KvHolds(UNCLAIMED_S), []
    for program_id in running:
        holds.on_ended(program_id, keep_s=0.0, now=now)
    cached = {A, B}
    holds.on_listing(cached, now)
    now += max(UNCLAIMED_S, MAX_RETRY_S)
    holds.on_listing(cached, now)
    assert_that(due_releases(holds, now), Equals(cached))
