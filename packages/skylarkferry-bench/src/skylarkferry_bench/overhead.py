"""Latency that an entry and a sidecar add to engine calls, and an entry's cost per program."""

import time
from collections.abc import Awaitable, Callable, Iterator

import anyio

from skylarkferry_bench.callers import (
    TokenArrivals,
    open_client,
    run_load,
    run_program,
    start_program,
    stream_engine,
    stream_program,
)
from skylarkferry_bench.resources import Measurement, cpu_s, resident_bytes
from skylarkferry_bench.slopes import write_table
from skylarkferry_bench.testbeds import FAST_ENGINE, load_section, testbed
from skylarkferry_standins.deployment import Deployment

PERCENTILES = (50, 95, 99)
MS_PER_S = 1_000.0
FIRST_TOKEN_PAIRS = 200
GAP_PAIRS = 48
GAP_WORKERS = 8
GAP_TOKENS = 60
GAP_TOKENS_PER_S = 20.0
TURNS_PER_S = 40
TURNS_PER_PROGRAM = 7
PACED_S = 30
WORKERS = 48
SATURATED_S = 20
WAITING = (1_000, 10_000)
STARTERS = 64
SETTLE_S = 3.0
SETTLED_CORES = 0.5

AGENT = "latency-report"
INSTRUCTIONS = "[agent:long-report] You report at length."


def overhead(part: str = "") -> None:
    """Measure one of latency, gaps, turns and waiting, or all by default, and print tables."""
    for name in [part] if part else MEASURES:
        write_table(name, MEASURES[name]())


def percentile(values: list[float], share: int) -> float:
    """Return a percentile by nearest rank; ``share`` is in percent."""
    ordered = sorted(values)
    rank = -(-len(ordered) * share // 100)
    return ordered[max(rank, 1) - 1]


def _build_agents(max_tokens: int) -> dict[str, object]:
    agents = load_section("agents")
    agents[AGENT] = {
        "model": "calc",
        "instructions": INSTRUCTIONS,
        "max_output_tokens": max_tokens,
        "expected_s": 1.0,
    }
    return agents


async def _run_pairs(
    deployment: Deployment, count: int, workers: int, tokens: int
) -> list[TokenArrivals]:
    """Alternate requests to the engine and to the entry; return those to the engine first."""
    direct: list[TokenArrivals] = []
    through: list[TokenArrivals] = []
    engine_url = deployment.upstreams["calc-models-1"].url
    entry_url = deployment.entries["entry-1"].url
    async with open_client(engine_url) as engine, open_client(entry_url) as entry:
        numbers = iter(range(count))

        async def work() -> None:
            for number in numbers:
                direct.append(await stream_engine(engine, INSTRUCTIONS, tokens))
                through.append(await stream_program(entry, AGENT, f"pair-{tokens}-{number}"))

        async with anyio.create_task_group() as tasks:
            for _ in range(workers):
                tasks.start_soon(work)
    return direct + through


def _compare_latencies(
    name: str, direct: list[float], through: list[float]
) -> Iterator[Measurement]:
    basis = f"{len(direct)} direct, {len(through)} through"
    for share in PERCENTILES:
        direct_ms = percentile(direct, share) * MS_PER_S
        through_ms = percentile(through, share) * MS_PER_S
        yield Measurement(f"{name}, direct, percentile {share}", direct_ms, "ms", basis)
        yield Measurement(f"{name}, through, percentile {share}", through_ms, "ms", basis)
        yield Measurement(f"{name}, added, percentile {share}", through_ms - direct_ms, "ms", basis)


def measure_first_token() -> Iterator[Measurement]:
    """Compare the time to the first token with one caller."""
    with testbed(engine=FAST_ENGINE, document={"agents": _build_agents(4)}) as deployment:
        all_arrivals = anyio.run(_run_pairs, deployment, FIRST_TOKEN_PAIRS, 1, 4)
    times = [arrivals.first_token_s for arrivals in all_arrivals]
    yield from _compare_latencies(
        "first token", times[:FIRST_TOKEN_PAIRS], times[FIRST_TOKEN_PAIRS:]
    )
    through = all_arrivals[FIRST_TOKEN_PAIRS:]
    accepted = [arrivals.accepted_at - arrivals.sent_at for arrivals in through]
    for share in PERCENTILES:
        value = percentile(accepted, share) * MS_PER_S
        yield Measurement(
            f"acceptance, percentile {share}", value, "ms", f"{len(accepted)} programs"
        )


def measure_token_gaps() -> Iterator[Measurement]:
    """Compare the gaps between tokens at a decode speed of about 57 ms per token."""
    engine = FAST_ENGINE | {"decode_per_s": GAP_TOKENS_PER_S}
    with testbed(engine=engine, document={"agents": _build_agents(GAP_TOKENS)}) as deployment:
        all_arrivals = anyio.run(_run_pairs, deployment, GAP_PAIRS, GAP_WORKERS, GAP_TOKENS)
    gaps = [arrivals.gaps_s() for arrivals in all_arrivals]
    direct = [gap for some in gaps[:GAP_PAIRS] for gap in some]
    through = [gap for some in gaps[GAP_PAIRS:] for gap in some]
    yield from _compare_latencies("between tokens", direct, through)


async def _run_paced(url: str) -> int:
    """Start programs at a fixed rate; return how many succeeded."""
    succeeded = 0
    rate = TURNS_PER_S / TURNS_PER_PROGRAM
    async with open_client(url) as client, anyio.create_task_group() as tasks:

        async def run(number: int) -> None:
            nonlocal succeeded
            view = await run_program(client, "gear-sizer", f"paced-{number}")
            succeeded += view["word"] == "done"

        start = anyio.current_time()
        for number in range(int(rate * PACED_S)):
            await anyio.sleep_until(start + number / rate)
            tasks.start_soon(run, number)
    return succeeded


async def _run_saturated(url: str) -> int:
    return await run_load(url, SATURATED_S, WORKERS)


def measure_turns() -> Iterator[Measurement]:
    """Measure an entry's CPU usage at 40 turns a second, and its maximum turns a second."""
    with testbed(engines=2) as deployment:
        for name, load in (("40 turns a second asked", _run_paced), ("at most", _run_saturated)):
            yield from _measure_load(deployment, name, load)


def _measure_load(
    deployment: Deployment, name: str, load: Callable[[str], Awaitable[int]]
) -> Iterator[Measurement]:
    entry = deployment.entries["entry-1"]
    used_s, start = cpu_s(entry.process.pid), time.monotonic()
    programs = anyio.run(load, entry.url)
    elapsed_s = time.monotonic() - start
    used_s = cpu_s(entry.process.pid) - used_s
    turns = programs * TURNS_PER_PROGRAM
    basis = f"{programs} programs, {elapsed_s:.1f} s"
    yield Measurement(f"turns a second, {name}", turns / elapsed_s, "", basis)
    yield Measurement(f"entry's share of a core, {name}", used_s / elapsed_s, "cores", basis)
    yield Measurement(f"turns a second and core of an entry, {name}", turns / used_s, "", basis)


async def _start_waiting_programs(url: str, first: int, last: int) -> None:
    async with open_client(url) as client, anyio.create_task_group() as tasks:
        numbers = iter(range(first, last))

        async def start() -> None:
            for number in numbers:
                await start_program(client, "endless-search", f"waiting-{number}")

        for _ in range(STARTERS):
            tasks.start_soon(start)


def measure_waiting() -> Iterator[Measurement]:
    """Measure an entry's resident memory with many programs that wait for a tool."""
    tools = load_section("tools")
    tools["stock_lookup"]["timeout_s"] = 86_400
    with testbed(document={"tools": tools}) as deployment:
        deployment.upstreams["shop-tools-1"].set_faults(hang_before_effect=1_000_000)
        entry = deployment.entries["entry-1"]
        anyio.run(_start_waiting_programs, entry.url, -STARTERS, 0)
        baseline_bytes = _settled_bytes(deployment)
        counts, sizes = [0], [0]
        for count in WAITING:
            used_s, start = cpu_s(entry.process.pid), time.monotonic()
            anyio.run(_start_waiting_programs, entry.url, counts[-1], count)
            start_ms = (cpu_s(entry.process.pid) - used_s) / (count - counts[-1]) * MS_PER_S
            counts.append(count)
            sizes.append(_settled_bytes(deployment) - baseline_bytes)
            basis = f"{time.monotonic() - start:.0f} s"
            yield Measurement(
                f"a waiting program, up to {count:,}", sizes[-1] / count, "bytes", basis
            )
            yield Measurement(f"start of a program, up to {count:,}", start_ms, "ms", basis)
        bytes_per_program = (sizes[-1] - sizes[-2]) / (counts[-1] - counts[-2])
        yield Measurement("a waiting program, from 1,000 to 10,000", bytes_per_program, "bytes", "")
        yield from _measure_idle(entry.process.pid)


def _settled_bytes(deployment: Deployment) -> int:
    """Return the entry's resident memory once its processor usage has settled."""
    pid = deployment.entries["entry-1"].process.pid
    last = cpu_s(pid)
    while True:
        time.sleep(SETTLE_S)
        used_s = cpu_s(pid) - last
        if used_s < SETTLE_S * SETTLED_CORES:
            return resident_bytes(pid)
        last += used_s


def _measure_idle(pid: int) -> Iterator[Measurement]:
    used_s = cpu_s(pid)
    time.sleep(SETTLE_S)
    share = (cpu_s(pid) - used_s) / SETTLE_S
    yield Measurement(f"entry's share of a core, {WAITING[-1]:,} waiting", share, "cores", "")


MEASURES: dict[str, Callable[[], Iterator[Measurement]]] = {
    "latency": measure_first_token,
    "gaps": measure_token_gaps,
    "turns": measure_turns,
    "waiting": measure_waiting,
}
