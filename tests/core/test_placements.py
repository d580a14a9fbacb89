from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan, MatchesAny

from policy import SITE, candidate, request
from skylarkferry_core.ids import FailureDomain, PoolName, ProgramId
from skylarkferry_core.placements import PLACEMENTS, CompletionPlacement
from skylarkferry_core.shifts import (
    KvCost,
    ShiftDecision,
    pool_for_new_program,
    pool_for_running_program,
)

STATES = ["live", "suspect", "leaving", "gone"]


def reference_cost(call, item):
    """Return the cost of an upstream, term by term."""
    load, speed = item.load, item.speed
    calls = load.queued + load.running
    prefill = (call.prompt_tokens - item.cached_tokens) / speed.prefill_tokens_per_s
    decode = call.output_tokens / speed.decode_tokens_per_s * (1 + calls / load.slots)
    wait = load.queued_prefill_tokens / speed.prefill_tokens_per_s
    if calls + 1 > load.slots and load.running:
        mean_left = load.running_output_tokens / load.running / speed.decode_tokens_per_s
        wait += (calls + 1 - load.slots) * (mean_left or 1.0) / load.slots
    memory = 4.0 * load.held_kv_tokens / load.kv_tokens
    delay = min(calls, load.slots) * prefill
    return wait + memory + prefill + decode + delay


def reference_waste(call, item, most_cached):
    needed = call.prompt_tokens - item.cached_tokens + call.output_tokens
    evicted = max(needed - item.load.free_kv_tokens, 0)
    wasted = most_cached - item.cached_tokens + 0.5 * evicted
    return wasted / item.speed.prefill_tokens_per_s


@st.composite
def candidate_lists(draw):
    loads = st.fixed_dictionaries(
        {
            "queued": st.integers(0, 6),
            "running": st.integers(0, 4),
            "queued_prefill_tokens": st.integers(0, 5_000),
            "running_output_tokens": st.integers(0, 800),
            "held_kv_tokens": st.integers(0, 10_000),
            "free_kv_tokens": st.integers(0, 10_000),
            "cached": st.integers(0, 2_000),
            "speed": st.integers(500, 5_000),
        }
    )
    drawn = draw(st.lists(loads, max_size=7))
    return [candidate(index, **load) for index, load in enumerate(drawn)]


@given(candidate_lists())
def test_completion_agrees_with_exhaustive_scoring(candidates):
    call = request()
    placement = CompletionPlacement(Random(1), sample=len(candidates))
    chosen = placement.place(call, candidates, SITE)
    if not candidates:
        assert_that(chosen, Is(None))
        return
    most = max(item.cached_tokens for item in candidates)
    costs = {
        item.upstream: reference_cost(call, item) + 0.5 * reference_waste(call, item, most)
        for item in candidates
    }
    assert_that(costs[chosen], LessThan(min(costs.values()) + 1e-6))


@pytest.mark.parametrize("name", PLACEMENTS)
@given(states=st.lists(st.sampled_from(STATES), max_size=6), seed=st.integers(0, 9))
def test_only_live_upstreams_or_else_suspect_ones_are_chosen(name, states, seed):
    candidates = [candidate(index, state=state) for index, state in enumerate(states)]
    call = request(last="u0")
    chosen = PLACEMENTS[name](Random(seed)).place(call, candidates, SITE)
    expected = next((state for state in STATES[:2] if state in states), None)
    found = {item.upstream: item.state.value for item in candidates}
    assert_that(found.get(chosen), Equals(expected))


shares = st.dictionaries(
    st.sampled_from([PoolName(name) for name in "abc"]), st.floats(0, 1), min_size=1
)


@given(shares=shares, grown=st.sampled_from("abc"), part=st.floats(0, 1), number=st.integers(0, 99))
def test_a_growing_share_moves_programs_to_its_pool_only(shares, grown, part, number):
    program = ProgramId(f"0000-{number}")
    before = pool_for_new_program(program, shares)
    after = pool_for_new_program(program, {**shares, grown: shares.get(grown, 0.0) + part})
    assert_that(after, MatchesAny(Equals(before), Equals(grown)))


def test_programs_are_distributed_by_share():
    programs = [ProgramId(f"0000-{number}") for number in range(4_000)]
    pools = [pool_for_new_program(program, {"old": 0.25, "new": 0.75}) for program in programs]
    assert_that(abs(pools.count("old") / len(pools) - 0.25), LessThan(0.03))


def test_a_running_program_moves_between_turns_if_moving_is_cheap():
    def decide(old, prefill_s, transfer_s, remaining_s):
        cost = KvCost(prefill_s, transfer_s, remaining_s)
        return pool_for_running_program("0000-a", "old", {"old": old, "new": 1.0 - old}, cost)

    assert_that(decide(1.0, 1.0, 0.1, 100.0), Equals(ShiftDecision("old")))
    assert_that(decide(0.0, 1.0, 0.1, 0.0), Equals(ShiftDecision("new", move_kv=True)))
    assert_that(decide(0.0, 1.0, 2.0, 0.0), Equals(ShiftDecision("new")))
    assert_that(decide(0.001, 1.0, 0.1, 100.0), Equals(ShiftDecision("new", move_kv=True)))
    assert_that(decide(0.001, 9.0, 9.0, 10.0), Equals(ShiftDecision("old")))


NEW_CONNECTION_S = 0.004


def test_least_load_prefers_an_idle_connection_to_the_own_failure_domain():
    near = msgspec.structs.replace(candidate(0), connect_s=NEW_CONNECTION_S)
    far = msgspec.structs.replace(candidate(1), failure_domain=FailureDomain("arusha-b"))
    chosen = PLACEMENTS["least_load"](Random(1)).place(request(), [near, far], SITE)
    assert_that(chosen, Equals(far.upstream))


def test_least_load_prefers_fewer_calls_to_an_idle_connection():
    free = msgspec.structs.replace(candidate(0), connect_s=NEW_CONNECTION_S)
    chosen = PLACEMENTS["least_load"](Random(1)).place(
        request(), [candidate(1, running=1), free], SITE
    )
    assert_that(chosen, Equals(free.upstream))


def test_completion_prefers_an_idle_connection_unless_the_prompt_is_cached_elsewhere():
    new, connected = msgspec.structs.replace(candidate(0), connect_s=NEW_CONNECTION_S), candidate(1)
    placement = CompletionPlacement(Random(1))
    assert_that(placement.place(request(), [new, connected], SITE), Equals(connected.upstream))
    cached = msgspec.structs.replace(new, cached_tokens=100)
    assert_that(placement.place(request(), [cached, connected], SITE), Equals(cached.upstream))
