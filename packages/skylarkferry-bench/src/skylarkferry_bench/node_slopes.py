"""What real processes cost at rest and under load, and how soon a killed entry is replaced."""

import time
from collections.abc import Iterator

import anyio
import httpx

from skylarkferry_bench.callers import open_caller, run_program
from skylarkferry_bench.resources import MIB, Slope, cpu_s, resident_bytes
from skylarkferry_bench.testbeds import testbed
from skylarkferry_core.clocks import wall_of
from skylarkferry_standins.deployment import OPERATOR_TOKEN, Deployment
from skylarkferry_standins.running import wait_until

IDLE_S = 20
LOAD_S = 20
WORKERS = 16
TURNS_PER_PROGRAM = 7
KILLS = 5
PROGRAM_ACCEPTED = 201
PROGRAM_RESUMED = 204
MILLICORES = 1_000.0


def node_slopes() -> Iterator[Slope]:
    """Measure on one testbed of two entries and one on which entries are killed."""
    with testbed(entries=2, engines=2) as deployment:
        yield from _memory(deployment, "at rest")
        yield from _idle(deployment)
        yield from _load(deployment)
        yield from _memory(deployment, "after the load")
    with testbed(entries=2, engines=1, engine={"decode_per_s": 20.0}) as deployment:
        yield from _kills(deployment)


def _processes(deployment: Deployment) -> dict[str, int]:
    """Return one process of each kind."""
    return {
        "entry": deployment.entries["entry-1"].process.pid,
        "sidecar of an engine": deployment.upstreams["calc-models-1"].sidecar.pid,
        "sidecar of a service": deployment.upstreams["shop-tools-1"].sidecar.pid,
    }


def _memory(deployment: Deployment, when: str) -> Iterator[Slope]:
    for name, pid in _processes(deployment).items():
        yield Slope(f"resident memory of an {name}, {when}", resident_bytes(pid) / MIB, "MiB")


class Period:
    """Processor time and platform requests of a stretch of time."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.start = time.monotonic()
        self.cpu = {name: cpu_s(pid) for name, pid in _processes(deployment).items()}
        self.counters = deployment.counters()

    def elapsed_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start

    def used_s(self) -> dict[str, float]:
        """Return the processor seconds since the start, by process."""
        processes = _processes(self.deployment)
        return {name: cpu_s(pid) - self.cpu[name] for name, pid in processes.items()}

    def requests(self) -> dict[str, int]:
        """Return the platform's counters since the start."""
        now = self.deployment.counters()
        return {name: now[name] - before for name, before in self.counters.items()}


def _idle(deployment: Deployment) -> Iterator[Slope]:
    entries = len(deployment.entries)
    period = Period(deployment)
    time.sleep(IDLE_S)
    elapsed_s = period.elapsed_s()
    for name, used_s in period.used_s().items():
        share = used_s / elapsed_s * MILLICORES
        yield Slope(f"{name} at rest", share, "thousandths of a core", f"{IDLE_S} s")
    for name, count in period.requests().items():
        value = count / elapsed_s / entries
        yield Slope(f"platform {name} a second and entry at rest", value, "", f"{IDLE_S} s")


async def _run_for(url: str, seconds: float) -> int:
    """Run programs by some callers at once; return how many ended."""
    ended = 0
    async with open_caller(url) as client, anyio.create_task_group() as tasks:
        end = anyio.current_time() + seconds

        async def call(worker: int) -> None:
            nonlocal ended
            number = 0
            while anyio.current_time() < end:
                number += 1
                view = await run_program(client, "gear-sizer", f"load-{worker}-{number}")
                ended += view["word"] == "done"

        for worker in range(WORKERS):
            tasks.start_soon(call, worker)
    return ended


def _load(deployment: Deployment) -> Iterator[Slope]:
    """Load the first entry; programs of the other's partitions are forwarded to it."""
    period = Period(deployment)
    programs = anyio.run(_run_for, deployment.entries["entry-1"].url, LOAD_S)
    elapsed_s, used_s, requests = period.elapsed_s(), period.used_s(), period.requests()
    basis = f"{programs} programs"
    yield Slope("programs a second under load, two entries", programs / elapsed_s, "", basis)
    turns = programs * TURNS_PER_PROGRAM
    yield Slope("turns a second under load, two entries", turns / elapsed_s, "", basis)
    for name, seconds in used_s.items():
        share = seconds / elapsed_s * MILLICORES
        yield Slope(f"{name} under load", share, "thousandths of a core", basis)
    for name, count in requests.items():
        yield Slope(f"platform {name} a program", count / programs, "", basis)
        yield Slope(f"platform {name} a second under load", count / elapsed_s, "", basis)


def _kills(deployment: Deployment) -> Iterator[Slope]:
    times_s = [_kill_once(deployment, number) for number in range(KILLS)]
    basis = ", ".join(f"{value:.2f}" for value in times_s)
    yield Slope("kill of an entry to its program resumed, middle", _middle(times_s), "s", basis)
    yield Slope("kill of an entry to its program resumed, longest", max(times_s), "s", basis)


def _middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def _events(deployment: Deployment, entry: str, program_id: str) -> list[dict[str, int | str]]:
    with deployment.entries[entry].client(OPERATOR_TOKEN) as client:
        reply = client.get("/v1/timeline", params={"program": program_id})
    events: list[dict[str, int | str]] = reply.json()["events"]
    return events


def _kill_once(deployment: Deployment, number: int) -> float:
    """Kill the entry that drives a program; return the seconds until another resumed it."""
    with deployment.entries["entry-1"].client() as client:
        body = {"request_key": f"kill-{number}", "agent": "long-report", "deadline_s": 600}
        reply = client.post("/v1/programs", json=body | {"input": "report"})
        program_id = reply.raise_for_status().json()["program_id"]
    owner = _owner(deployment, program_id)
    survivor = next(name for name in deployment.entries if name != owner)
    killed_at = time.time()
    deployment.entries[owner].process.kill()
    resumed: list[float] = []

    def found() -> bool:
        for event in _events(deployment, survivor, program_id):
            if event["number"] == PROGRAM_RESUMED:
                resumed.append(wall_of(int(event["time"])))
        return bool(resumed)

    wait_until(found, "the program to be resumed")
    deployment.entries[owner].process.restart()
    wait_until(lambda: _serves_again(deployment, owner), "the killed entry to serve again")
    return resumed[0] - killed_at


def _owner(deployment: Deployment, program_id: str) -> str:
    found: list[str] = []

    def accepted() -> bool:
        events = _events(deployment, "entry-1", program_id)
        found.extend(str(one["node"]) for one in events if one["number"] == PROGRAM_ACCEPTED)
        return bool(found)

    wait_until(accepted, "the program's acceptance in the time line")
    return found[0]


def _serves_again(deployment: Deployment, name: str) -> bool:
    url = deployment.entries[name].url
    return httpx.get(f"{url}/healthz").status_code == httpx.codes.OK
