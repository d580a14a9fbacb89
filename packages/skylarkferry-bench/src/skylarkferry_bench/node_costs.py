"""Processor time, memory and platform requests of real processes, idle and under load."""

import time
from collections.abc import Iterator

import anyio

from skylarkferry_bench.callers import run_load
from skylarkferry_bench.resources import MIB, Measurement, cpu_s, resident_bytes
from skylarkferry_bench.testbeds import testbed
from skylarkferry_standins.deployment import Deployment

IDLE_S = 20
LOAD_S = 20
WORKERS = 16
TURNS_PER_PROGRAM = 7
MILLICORES = 1_000.0


def measure_nodes() -> Iterator[Measurement]:
    """Measure two entries, idle and under load."""
    with testbed(entries=2, engines=2) as deployment:
        yield from _measure_memory(deployment, "at rest")
        yield from _measure_idle(deployment)
        yield from _measure_load(deployment)
        yield from _measure_memory(deployment, "after the load")


def _process_ids(deployment: Deployment) -> dict[str, int]:
    """Return the process id of one process of each kind."""
    return {
        "entry": deployment.entries["entry-1"].process.pid,
        "sidecar of an engine": deployment.upstreams["calc-models-1"].sidecar.pid,
        "sidecar of a service": deployment.upstreams["shop-tools-1"].sidecar.pid,
    }


def _measure_memory(deployment: Deployment, when: str) -> Iterator[Measurement]:
    for name, pid in _process_ids(deployment).items():
        yield Measurement(f"resident memory, {name}, {when}", resident_bytes(pid) / MIB, "MiB")


class Period:
    """Processor time and platform requests since the creation of this object."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.started_at = time.monotonic()
        self.cpu_start_s = {name: cpu_s(pid) for name, pid in _process_ids(deployment).items()}
        self.counters_at_start = deployment.counters()

    def elapsed_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def used_s(self) -> dict[str, float]:
        """Return the processor seconds since the start by process."""
        process_ids = _process_ids(self.deployment)
        return {name: cpu_s(pid) - self.cpu_start_s[name] for name, pid in process_ids.items()}

    def requests(self) -> dict[str, int]:
        """Return the increase of the platform's counters since the start."""
        now = self.deployment.counters()
        return {name: now[name] - before for name, before in self.counters_at_start.items()}


def _measure_idle(deployment: Deployment) -> Iterator[Measurement]:
    entries = len(deployment.entries)
    period = Period(deployment)
    time.sleep(IDLE_S)
    elapsed_s = period.elapsed_s()
    for name, used_s in period.used_s().items():
        share = used_s / elapsed_s * MILLICORES
        yield Measurement(f"{name} at rest", share, "thousandths of a core", f"{IDLE_S} s")
    for name, count in period.requests().items():
        value = count / elapsed_s / entries
        yield Measurement(f"platform {name} a second and entry at rest", value, "", f"{IDLE_S} s")


def _measure_load(deployment: Deployment) -> Iterator[Measurement]:
    """Send programs to the first entry, which forwards those of the other entry's partitions."""
    period = Period(deployment)
    programs = anyio.run(run_load, deployment.entries["entry-1"].url, LOAD_S, WORKERS)
    elapsed_s, used_s, requests = period.elapsed_s(), period.used_s(), period.requests()
    basis = f"{programs} programs"
    yield Measurement("programs a second under load, two entries", programs / elapsed_s, "", basis)
    turns = programs * TURNS_PER_PROGRAM
    yield Measurement("turns a second under load, two entries", turns / elapsed_s, "", basis)
    for name, seconds in used_s.items():
        share = seconds / elapsed_s * MILLICORES
        yield Measurement(f"{name} under load", share, "thousandths of a core", basis)
    for name, count in requests.items():
        yield Measurement(f"platform {name} a program", count / programs, "", basis)
        yield Measurement(f"platform {name} a second under load", count / elapsed_s, "", basis)
