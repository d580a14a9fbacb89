"""How fast a draining sidecar gets no new calls, and whether programs notice."""

import itertools
import time
from collections.abc import Iterator

import anyio
import httpx
import msgspec

from skylarkferry_bench.callers import open_caller, run_program
from skylarkferry_bench.resources import Slope
from skylarkferry_bench.slopes import write_table
from skylarkferry_bench.testbeds import FAST_ENGINE, testbed
from skylarkferry_core.states import FinalWord
from skylarkferry_standins.deployment import Deployment, Upstream

ROUNDS = 10
WORKERS = 32
ENGINES = 3
WARM_S = 2.0
WATCH_S = 3.0
POLL_S = 0.002
MS_PER_S = 1_000.0
AGENT = "short-answer"


class Drain(msgspec.Struct):
    """One drain: times from the signal on, in seconds, and the engine's cancelled calls."""

    last_call_s: float
    calls_after: int
    stopped_s: float
    cancelled: int


class Traffic:
    """Programs that run all the time, and how they end."""

    def __init__(self, deployment: Deployment) -> None:
        self.urls = [entry.url for entry in deployment.entries.values()]
        self.numbers = itertools.count()
        self.words: dict[str, int] = {}

    async def work(self, url: str) -> None:
        """Run one program after the other."""
        async with open_caller(url) as client:
            while True:
                view = await run_program(client, AGENT, f"drain-{next(self.numbers)}")
                word = view["word"]
                self.words[word] = self.words.get(word, 0) + 1


def drain(rounds: int = ROUNDS) -> None:
    """Drain a sidecar under load again and again, and print a table."""
    write_table("drain", _slopes(rounds))


def _slopes(rounds: int) -> Iterator[Slope]:
    drains, words = anyio.run(_measure, rounds)
    basis = f"{rounds} drains, {ENGINES} engines, {WORKERS} workers"
    last_ms = sorted(drain.last_call_s * MS_PER_S for drain in drains)
    ended_ms = max(drain.stopped_s * MS_PER_S for drain in drains)
    done = words.pop(FinalWord.DONE.value, 0)
    yield Slope("last new call after the signal, median", last_ms[len(last_ms) // 2], "ms", basis)
    yield Slope("last new call after the signal, largest", last_ms[-1], "ms", basis)
    yield Slope("new calls after the signal, largest", max(d.calls_after for d in drains), "calls")
    yield Slope("sidecar ended after the signal, largest", ended_ms, "ms", basis)
    yield Slope("calls cut at the engine", sum(d.cancelled for d in drains), "calls", basis)
    yield Slope("programs done", done, "programs", basis)
    yield Slope("programs not done", sum(words.values()), "programs", basis)


async def _measure(rounds: int) -> tuple[list[Drain], dict[str, int]]:
    with testbed(entries=2, engines=ENGINES, engine=FAST_ENGINE) as deployment:
        traffic = Traffic(deployment)
        async with anyio.create_task_group() as tasks:
            for _, url in zip(range(WORKERS), itertools.cycle(traffic.urls), strict=False):
                tasks.start_soon(traffic.work, url)
            drains = [await _drain_once(deployment) for _ in range(rounds)]
            tasks.cancel_scope.cancel()
    return drains, traffic.words


async def _drain_once(deployment: Deployment) -> Drain:
    """Drain one sidecar and start it again."""
    upstream = deployment.upstreams["calc-models-1"]
    await anyio.to_thread.run_sync(deployment.wait_for_upstreams)
    await anyio.sleep(WARM_S)
    async with httpx.AsyncClient(base_url=upstream.url) as engine:
        result = await _watch(engine, upstream)
    await anyio.to_thread.run_sync(upstream.sidecar.restart)
    return result


async def _watch(engine: httpx.AsyncClient, upstream: Upstream) -> Drain:
    """Send the signal and follow the engine's counters."""
    before = await _counters(engine)
    requests = before["requests"]
    began = time.perf_counter()
    upstream.sidecar.terminate()
    last_call_s = stopped_s = 0.0
    while (elapsed_s := time.perf_counter() - began) < WATCH_S:
        now = await _counters(engine)
        if now["requests"] > requests:
            requests, last_call_s = now["requests"], elapsed_s
        if not stopped_s and upstream.sidecar.has_exited():
            stopped_s = elapsed_s
        await anyio.sleep(POLL_S)
    cancelled = now["cancelled"] - before["cancelled"]
    return Drain(last_call_s, requests - before["requests"], stopped_s or WATCH_S, cancelled)


async def _counters(engine: httpx.AsyncClient) -> dict[str, int]:
    counters: dict[str, int] = (await engine.get("/control/counters")).json()
    return counters
