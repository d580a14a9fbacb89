"""Time until a draining sidecar gets no new calls, and the effect of drains on programs."""

import itertools
import time
from collections.abc import Iterator

import anyio
import httpx
import msgspec

from skylarkferry_bench.callers import open_client, run_program
from skylarkferry_bench.resources import Measurement
from skylarkferry_bench.slopes import write_table
from skylarkferry_bench.testbeds import FAST_ENGINE, testbed
from skylarkferry_core.states import FinalWord
from skylarkferry_standins.deployment import Deployment, Upstream

ROUNDS = 10
WORKERS = 32
ENGINES = 3
WARMUP_S = 2.0
WATCH_S = 3.0
POLL_S = 0.002
MS_PER_S = 1_000.0
AGENT = "short-answer"


class DrainResult(msgspec.Struct):
    """Result of one drain: seconds since the signal; engine calls started and cancelled since."""

    last_call_s: float
    late_calls: int
    stopped_s: float
    cancelled: int


class ProgramLoad:
    """Constant load of programs; ``words`` counts ended programs by the ``word`` of their view."""

    def __init__(self, deployment: Deployment) -> None:
        self.urls = [entry.url for entry in deployment.entries.values()]
        self.numbers = itertools.count()
        self.words: dict[str, int] = {}

    async def run_worker(self, url: str) -> None:
        """Run programs one after another until cancelled."""
        async with open_client(url) as client:
            while True:
                view = await run_program(client, AGENT, f"drain-{next(self.numbers)}")
                word = view["word"]
                self.words[word] = self.words.get(word, 0) + 1


def drain(rounds: int = ROUNDS) -> None:
    """Drain a sidecar under load for a number of rounds and print a table."""
    write_table("drain", _summarize(rounds))


def _summarize(rounds: int) -> Iterator[Measurement]:
    drains, words = anyio.run(_measure, rounds)
    basis = f"{rounds} drains, {ENGINES} engines, {WORKERS} workers"
    last_ms = sorted(drain.last_call_s * MS_PER_S for drain in drains)
    ended_ms = max(drain.stopped_s * MS_PER_S for drain in drains)
    done = words.pop(FinalWord.DONE.value, 0)
    yield Measurement(
        "last new call after the signal, median", last_ms[len(last_ms) // 2], "ms", basis
    )
    yield Measurement("last new call after the signal, largest", last_ms[-1], "ms", basis)
    yield Measurement(
        "new calls after the signal, largest", max(d.late_calls for d in drains), "calls"
    )
    yield Measurement("sidecar ended after the signal, largest", ended_ms, "ms", basis)
    yield Measurement("calls cut at the engine", sum(d.cancelled for d in drains), "calls", basis)
    yield Measurement("programs done", done, "programs", basis)
    yield Measurement("programs not done", sum(words.values()), "programs", basis)


async def _measure(rounds: int) -> tuple[list[DrainResult], dict[str, int]]:
    with testbed(entries=2, engines=ENGINES, engine=FAST_ENGINE) as deployment:
        load = ProgramLoad(deployment)
        async with anyio.create_task_group() as tasks:
            for _, url in zip(range(WORKERS), itertools.cycle(load.urls), strict=False):
                tasks.start_soon(load.run_worker, url)
            drains = [await _drain_once(deployment) for _ in range(rounds)]
            tasks.cancel_scope.cancel()
    return drains, load.words


async def _drain_once(deployment: Deployment) -> DrainResult:
    """Drain one sidecar and restart it."""
    upstream = deployment.upstreams["calc-models-1"]
    await anyio.to_thread.run_sync(deployment.wait_for_upstreams)
    await anyio.sleep(WARMUP_S)
    async with httpx.AsyncClient(base_url=upstream.url) as engine:
        result = await _watch_drain(engine, upstream)
    await anyio.to_thread.run_sync(upstream.sidecar.restart)
    return result


async def _watch_drain(engine: httpx.AsyncClient, upstream: Upstream) -> DrainResult:
    """Send the termination signal and poll the engine's counters."""
    before = await _fetch_counters(engine)
    requests = before["requests"]
    started_at = time.perf_counter()
    upstream.sidecar.terminate()
    last_call_s = stopped_s = 0.0
    while (elapsed_s := time.perf_counter() - started_at) < WATCH_S:
        now = await _fetch_counters(engine)
        if now["requests"] > requests:
            requests, last_call_s = now["requests"], elapsed_s
        if not stopped_s and upstream.sidecar.has_exited():
            stopped_s = elapsed_s
        await anyio.sleep(POLL_S)
    cancelled = now["cancelled"] - before["cancelled"]
    return DrainResult(last_call_s, requests - before["requests"], stopped_s or WATCH_S, cancelled)


async def _fetch_counters(engine: httpx.AsyncClient) -> dict[str, int]:
    counters: dict[str, int] = (await engine.get("/control/counters")).json()
    return counters
