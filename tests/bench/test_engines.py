from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from skylarkferry_bench.caches import CacheKey, PrefixCache
from skylarkferry_bench.clocks import VirtualClock
from skylarkferry_bench.engines import EngineCall, EngineSpec, SimulatedEngine
from skylarkferry_bench.policies import FULL, POLICIES
from skylarkferry_bench.runs import RunSpec, run_one
from skylarkferry_core.ids import ProgramId, RunId
from skylarkferry_core.states import Priority

SPEC = EngineSpec(
    step_s=0.01, decode_s=0.001, prefill_s=0.0005, step_tokens=64, kv_tokens=100_000, slots=8
)


def engine_call(number, prompt, output, ended_calls, priority=Priority.NORMAL):
    def ended(call):
        ended_calls[number] = call

    return EngineCall(
        run=CacheKey(ProgramId(f"0000-{number}"), RunId("0")),
        prefix=None,
        prefix_tokens=0,
        prompt_tokens=prompt,
        output_tokens=output,
        priority=priority,
        keep_s=0.0,
        on_end=ended,
        on_failure=ended,
    )


def simulated_engine(clock, capacity=SPEC.kv_tokens, held=None):
    on_held = held.append if held is not None else lambda token_s: None
    cache = PrefixCache(capacity, on_held, lambda key, tokens: None)
    return SimulatedEngine(clock, SPEC, cache)


def simulate_single_steps(sizes):
    """Simulate each step on its own; return the time at which each call ends."""
    now, end_times = 0.0, {}
    prefill = [[number, prompt] for number, (prompt, _) in enumerate(sizes)]
    decode = {}
    while prefill or decode:
        budget = max(SPEC.step_tokens - len(decode), 1)
        used, started = 0, []
        while prefill and used < budget:
            taken = min(prefill[0][1], budget - used)
            prefill[0][1] -= taken
            used += taken
            if not prefill[0][1]:
                started.append(prefill.pop(0)[0])
        now += SPEC.step_s + len(decode) * SPEC.decode_s + used * SPEC.prefill_s
        for number in list(decode):
            decode[number] -= 1
            if not decode[number]:
                end_times[number] = now
                del decode[number]
        for number in started:
            decode[number] = sizes[number][1] - 1
            if not decode[number]:
                end_times[number] = now
                del decode[number]
    return end_times


sizes = st.lists(st.tuples(st.integers(1, 400), st.integers(1, 60)), min_size=1, max_size=6)


@given(sizes)
def test_combined_steps_match_single_steps(sizes):
    clock, ended_calls, times = VirtualClock(), {}, {}
    engine = simulated_engine(clock)
    for number, (prompt, output) in enumerate(sizes):
        call = engine_call(number, prompt, output, ended_calls)
        call.on_end = lambda call, number=number: times.setdefault(number, clock.now)
        engine.submit(call)
    clock.run(1_000.0)
    expected = simulate_single_steps(sizes)
    assert_that(times, HasLength(len(expected)))
    assert_that(max(abs(times[number] - expected[number]) for number in expected), LessThan(1e-6))


@given(sizes=sizes, pauses=st.lists(st.floats(0, 3), min_size=6, max_size=6))
def test_calls_that_arrive_during_steps_all_end(sizes, pauses):
    clock, ended_calls = VirtualClock(), {}
    engine = simulated_engine(clock, capacity=1_000)
    for number, (prompt, output) in enumerate(sizes):
        call = engine_call(number, prompt, output, ended_calls)
        clock.call_at(pauses[number], lambda call=call: engine.submit(call))
    clock.run(1_000.0)
    assert_that(ended_calls, HasLength(len(sizes)))
    assert_that(engine.cache.used, LessThan(1_001))


def test_prefix_of_a_run_is_cached_until_evicted():
    clock, ended_calls, held = VirtualClock(), {}, []
    engine = simulated_engine(clock, capacity=1_000, held=held)
    for number, prompt in ((0, 400), (0, 500), (1, 900), (0, 500)):
        engine.submit(engine_call(number, prompt, 10, ended_calls))
        clock.run(clock.now + 100.0)
        if number == 1:
            engine.cache.end(ProgramId("0000-1"), clock.now)
            clock.run(clock.now + 100.0)
    assert_that(ended_calls[1].cached_tokens, Equals(0))
    assert_that(ended_calls[0].cached_tokens, Equals(90))
    assert_that(held, Equals([420 * 100.0]))


def test_urgent_call_is_prefilled_first():
    clock, ended_calls = VirtualClock(), {}
    engine = simulated_engine(clock)
    for number, priority in ((0, Priority.BATCH), (1, Priority.URGENT)):
        engine.submit(engine_call(number, 640, 5, ended_calls, priority))
    clock.run(100.0)
    assert_that(ended_calls[1].first_token_at, LessThan(ended_calls[0].first_token_at))


@settings(max_examples=3)
@given(seed=st.integers(0, 2))
def test_run_is_reproducible_from_its_seed(seed):
    spec = RunSpec("lisboa", FULL, "replica dies", seed, duration_s=40.0)
    assert_that(run_one(spec), Equals(run_one(spec)))


def test_refusals_are_immediate_and_all_programs_are_counted():
    measures = run_one(RunSpec("arusha", FULL, "none", 1, load=3.0, duration_s=120.0))
    assert_that(measures.refused > 0, Is(True))
    assert_that(measures.late_refusals, Equals(0))
    in_time = measures.goodput_per_s * 96.0 / measures.programs
    assert_that(abs(in_time + measures.refused + measures.missed - 1.0), LessThan(1e-9))


def test_baseline_holds_memory_of_ended_programs():
    sticky = run_one(RunSpec("arusha", POLICIES["sticky"], "none", 1, duration_s=60.0))
    full = run_one(RunSpec("arusha", FULL, "none", 1, duration_s=60.0))
    assert_that(full.held_token_s, LessThan(0.1 * sticky.held_token_s))
