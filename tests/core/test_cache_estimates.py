import math

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from policy import request
from skylarkferry_core.cache_estimates import CacheEstimates
from skylarkferry_core.ids import Fingerprint, ProgramId, UpstreamId
from skylarkferry_core.messages import CacheEvent

ENGINE = UpstreamId("u0")
programs = st.sampled_from(["0000-a", "0000-b", "0000-c"])
steps = st.one_of(
    st.tuples(st.just("event"), programs, st.integers(0, 2_000)),
    st.tuples(st.just("placed"), programs, st.integers(1, 2_000)),
    st.tuples(st.just("released"), programs, st.just(0)),
    st.tuples(st.just("lost"), programs, st.just(0)),
)


def apply(estimates, kind, program, tokens, sequence):
    if kind == "event":
        estimates.observe(ENGINE, CacheEvent(sequence, ProgramId(program), tokens))
    elif kind == "placed":
        estimates.placed(ENGINE, request(program, prompt=tokens))
    elif kind == "released":
        estimates.released(ProgramId(program))
    else:
        estimates.lost(ENGINE)


@given(st.lists(steps, max_size=20))
def test_estimates_agree_with_a_plain_mapping(script):
    estimates, expected = CacheEstimates(), {}
    for sequence, (kind, program, tokens) in enumerate(script, 1):
        apply(estimates, kind, program, tokens, sequence)
        if kind == "lost":
            expected.clear()
        expected[program] = tokens
    for program in ("0000-a", "0000-b", "0000-c"):
        estimate = estimates.estimate(ENGINE, request(program))
        assert_that(estimate.tokens, Equals(expected.get(program, 0)))


def test_an_event_gap_lowers_confidence_in_earlier_entries():
    estimates = CacheEstimates()
    for sequence, program in ((1, "0000-a"), (2, "0000-b"), (5, "0000-b")):
        estimates.observe(ENGINE, CacheEvent(sequence, ProgramId(program), 100))
    before, after = (estimates.estimate(ENGINE, request(name)) for name in ("0000-a", "0000-b"))
    assert_that(abs(before.confidence - math.exp(-2 / 2)), LessThan(1e-9))
    assert_that(after.confidence, Equals(1.0))
    estimates.placed(ENGINE, request("0000-a", prompt=100))
    assert_that(estimates.estimate(ENGINE, request("0000-a")).confidence, Equals(1.0))


def test_a_shared_prefix_counts_for_every_program():
    estimates = CacheEstimates()
    event = CacheEvent(1, ProgramId(""), 700, prefix=Fingerprint("instructions"))
    estimates.observe(ENGINE, event)
    other = request("0000-new", prefix="instructions")
    assert_that(estimates.estimate(ENGINE, other).tokens, Equals(700))
    assert_that(estimates.estimate(ENGINE, request("0000-new")).tokens, Equals(0))
