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


def engine_call(number, prompt, output, ends, priority=Priority.NORMAL):
    def ended(call):
        ends[number] = call

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


def naive_ends(sizes):
    """Step one token budget at a time; return the time at which each call ends."""
    now, ends = 0.0, {}
    prefill = [[number, prompt] for number, (prompt, _) in enumerate(sizes)]
    decode = {}
    while prefill or decode:
        budget = max(SPEC.step_tokens - len(decode), 1)
        used, started = 0, []
        while prefill and used < budget:
            part = min(prefill[0][1], budget - used)
            prefill[0][1] -= part
            used += part
            if not prefill[0][1]:
                started.append(prefill.pop(0)[0])
        now += SPEC.step_s + len(decode) * SPEC.decode_s + used * SPEC.prefill_s
        for number in list(decode):
            decode[number] -= 1
            if not decode[number]:
                ends[number] = now
                del decode[number]
        for number in started:
            decode[number] = sizes[number][1] - 1
            if not decode[number]:
                ends[number] = now
                del decode[number]
    return ends


sizes = st.lists(st.tuples(st.integers(1, 400), st.integers(1, 60)), min_size=1, max_size=6)


@given(sizes)
def test_engine_agrees_with_single_steps(sizes):
    clock, ends, times = VirtualClock(), {}, {}
    engine = simulated_engine(clock)
    for number, (prompt, output) in enumerate(sizes):
        call = engine_call(number, prompt, output, ends)
        call.on_end = lambda call, number=number: times.setdefault(number, clock.now)
        engine.submit(call)
    clock.run(1_000.0)
    naive = naive_ends(sizes)
    assert_that(times, HasLength(len(naive)))
    assert_that(max(abs(times[number] - naive[number]) for number in naive), LessThan(1e-6))


@given(sizes=sizes, pauses=st.lists(st.floats(0, 3), min_size=6, max_size=6))
def test_calls_that_come_during_steps_all_end(sizes, pauses):
    clock, ends = VirtualClock(), {}
    engine = simulated_engine(clock, capacity=1_000)
    for number, (prompt, output) in enumerate(sizes):
        call = engine_call(number, prompt, output, ends)
        clock.call_at(pauses[number], lambda call=call: engine.submit(call))
    clock.run(1_000.0)
    assert_that(ends, HasLength(len(sizes)))
    assert_that(engine.cache.used, LessThan(1_001))


def test_a_run_finds_its_prefix_until_it_is_evicted():
    clock, ends, held = VirtualClock(), {}, []
    engine = simulated_engine(clock, capacity=1_000, held=held)
    for number, prompt in ((0, 400), (0, 500), (1, 900), (0, 500)):
        engine.submit(engine_call(number, prompt, 10, ends))
        clock.run(clock.now + 100.0)
        if number == 1:
            engine.cache.end(ProgramId("0000-1"), clock.now)
            clock.run(clock.now + 100.0)
    assert_that(ends[1].cached_tokens, Equals(0))
    assert_that(ends[0].cached_tokens, Equals(90))
    assert_that(held, Equals([420 * 100.0]))


def test_an_urgent_call_is_prefilled_first():
    clock, ends = VirtualClock(), {}
    engine = simulated_engine(clock)
    for number, priority in ((0, Priority.BATCH), (1, Priority.URGENT)):
        engine.submit(engine_call(number, 640, 5, ends, priority))
    clock.run(100.0)
    assert_that(ends[1].first_token_at, LessThan(ends[0].first_token_at))


@settings(max_examples=3)
@given(seed=st.integers(0, 2))
def test_a_run_repeats_from_its_seed(seed):
    spec = RunSpec("lisboa", FULL, "replica dies", seed, duration_s=40.0)
    assert_that(run_one(spec), Equals(run_one(spec)))


def test_every_refusal_comes_at_once_and_every_program_is_counted():
    measured = run_one(RunSpec("arusha", FULL, "none", 1, load=3.0, duration_s=120.0))
    assert_that(measured.refused > 0, Is(True))
    assert_that(measured.late_refusals, Equals(0))
    good = measured.goodput_per_s * 96.0 / measured.programs
    assert_that(abs(good + measured.refused + measured.missed - 1.0), LessThan(1e-9))


def test_a_plain_baseline_holds_memory_of_ended_programs():
    sticky = run_one(RunSpec("arusha", POLICIES["sticky"], "none", 1, duration_s=60.0))
    full = run_one(RunSpec("arusha", FULL, "none", 1, duration_s=60.0))
    assert_that(full.held_token_s, LessThan(0.1 * sticky.held_token_s))
