"""Takeover times, table traffic and behavior in platform outages, with real processes.

Run ``python -m skylarkferry_bench takeovers [idle|load|kills|outage]``.
"""

import threading
import time
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable, Iterator

import httpx
import msgspec

from skylarkferry_bench.resources import Measurement, cpu_s
from skylarkferry_bench.slopes import write_table
from skylarkferry_bench.testbeds import testbed
from skylarkferry_core.partitions import PARTITION_PREFIX, PartitionRow, node_of
from skylarkferry_standins.deployment import Deployment, Entry

ENTRIES = 3
SETTLE_S = 12.0
IDLE_S = 30.0
LOAD_S = 20.0
LOAD_WORKERS = 24
KILLS = 5
POLL_S = 0.02
OUTAGE_S = 60.0
RUNNING_PROGRAMS = 20
DEADLINE_S = 240
ANSWER_WAIT_S = 30


def takeovers(part: str = "") -> None:
    """Measure one of idle, load, kills and outage, or all by default, and print tables."""
    for name in [part] if part else MEASURES:
        write_table(name, MEASURES[name]())


def start_program(client: httpx.Client, key: str) -> httpx.Response:
    """Send a request to start a sizing program."""
    body = {
        "request_key": key,
        "customer": "gearworks",
        "agent": "gear-sizer",
        "input": "size a helical pair for 22 kW",
        "deadline_s": DEADLINE_S,
    }
    return client.post("/v1/programs", json=body)


def wait_for_word(client: httpx.Client, program_id: str) -> str:
    """Wait until a program has ended and return the ``word`` of its view."""
    while True:
        reply = client.get(f"/v1/programs/{program_id}/answer?wait_s={ANSWER_WAIT_S}")
        if reply.status_code == httpx.codes.OK:
            return str(reply.json()["word"])
        time.sleep(POLL_S)


def measure_traffic(deployment: Deployment, seconds: float) -> Iterator[Measurement]:
    """Yield the table traffic and CPU usage per entry over the next ``seconds``."""
    before, started_at = deployment.counters(), time.monotonic()
    cpu_before_s = {entry: cpu_s(entry.process.pid) for entry in deployment.entries.values()}
    time.sleep(seconds)
    after, elapsed_s = deployment.counters(), time.monotonic() - started_at
    basis = f"{ENTRIES} entries, {seconds:g} s"
    for name in ("writes", "reads", "written_bytes"):
        value = (after[name] - before[name]) / elapsed_s / ENTRIES
        yield Measurement(f"table {name} of an entry", value, "a second", basis)
    used = sum(cpu_s(entry.process.pid) - cpu_before_s[entry] for entry in cpu_before_s)
    yield Measurement(
        "processor of an entry", 100 * used / elapsed_s / ENTRIES, "% of a core", basis
    )


def measure_idle() -> Iterator[Measurement]:
    """Measure idle entries."""
    with testbed(entries=ENTRIES) as deployment:
        time.sleep(SETTLE_S)
        yield from measure_traffic(deployment, IDLE_S)


def measure_load() -> Iterator[Measurement]:
    """Measure entries under load; each caller starts a program when its previous one has ended."""
    with testbed(entries=ENTRIES) as deployment:
        time.sleep(SETTLE_S)
        ended: Counter[str] = Counter()
        stop = threading.Event()
        entries = list(deployment.entries.values())
        workers = [
            threading.Thread(
                target=_run_worker, args=(entries[number % ENTRIES], number, ended, stop)
            )
            for number in range(LOAD_WORKERS)
        ]
        for worker in workers:
            worker.start()
        time.sleep(2.0)
        first = ended.total()
        measurements = list(measure_traffic(deployment, LOAD_S))
        programs_per_s = (ended.total() - first) / LOAD_S
        stop.set()
        for worker in workers:
            worker.join()
        yield from measurements
        yield Measurement(
            "programs of an entry", programs_per_s / ENTRIES, "a second", str(dict(ended))
        )
        for measurement in measurements[:3:2]:
            per_program = measurement.value * ENTRIES / programs_per_s
            yield Measurement(
                measurement.name.replace("an entry", "a program"), per_program, "each"
            )


def _run_worker(entry: Entry, worker: int, ended: Counter[str], stop: threading.Event) -> None:
    with entry.client() as client:
        number = 0
        while not stop.is_set():
            number += 1
            reply = start_program(client, f"load-{worker}-{number}")
            if reply.is_success:
                ended[wait_for_word(client, reply.json()["program_id"])] += 1
            else:
                ended[reply.json()["code"]] += 1


def count_partitions(deployment: Deployment) -> Counter[str]:
    """Return the number of partitions that each node owns, read from the table."""
    prefix = PARTITION_PREFIX.encode()
    range_end = prefix[:-1] + bytes([prefix[-1] + 1])
    body = {"key": b64encode(prefix).decode(), "range_end": b64encode(range_end).decode()}
    reply = httpx.post(f"{deployment.platform_url}/v3/kv/range", json=body).json()
    rows = (b64decode(pair["value"]) for pair in reply.get("kvs", []))
    decoded = (msgspec.msgpack.decode(row, type=PartitionRow) for row in rows)
    return Counter(str(node_of(row.owner)) for row in decoded)


def measure_kills() -> Iterator[Measurement]:
    """Measure the time from killing an entry until other entries own its partitions."""
    with testbed(entries=ENTRIES) as deployment:
        for kill in range(KILLS):
            time.sleep(SETTLE_S)
            name = f"entry-{kill % ENTRIES + 1}"
            partitions = count_partitions(deployment)[name]
            deployment.entries[name].process.kill()
            started_at = time.monotonic()
            while count_partitions(deployment)[name]:
                time.sleep(POLL_S)
            yield Measurement(
                "kill to adoption", time.monotonic() - started_at, "s", f"{partitions} partitions"
            )
            deployment.entries[name].process.restart()


def measure_outage() -> Iterator[Measurement]:
    """Count refused and completed programs while the platform refuses requests for a minute."""
    with testbed(entries=ENTRIES) as deployment:
        time.sleep(SETTLE_S)
        entry = next(iter(deployment.entries.values()))
        replies: Counter[str] = Counter()
        slowest_s = 0.0
        with entry.client() as client:
            ids = [
                start_program(client, f"way-{n}").json()["program_id"]
                for n in range(RUNNING_PROGRAMS)
            ]
            deployment.set_platform_faults(outage="refusing")
            ends_at, number = time.monotonic() + OUTAGE_S, 0
            while time.monotonic() < ends_at:
                started_at, number = time.monotonic(), number + 1
                reply = start_program(client, f"new-{number}")
                replies[reply.json().get("code", "accepted")] += 1
                slowest_s = max(slowest_s, time.monotonic() - started_at)
                time.sleep(1.0)
            deployment.set_platform_faults()
            started_at = time.monotonic()
            words = Counter(wait_for_word(client, program_id) for program_id in ids)
            ended_s = time.monotonic() - started_at
        yield Measurement("under way at the start", RUNNING_PROGRAMS, "programs", str(dict(words)))
        yield Measurement("until all of them ended", ended_s, "s after the outage")
        yield Measurement("asked for meanwhile", replies.total(), "programs", str(dict(replies)))
        yield Measurement("slowest refusal", slowest_s, "s")


MEASURES: dict[str, Callable[[], Iterator[Measurement]]] = {
    "idle": measure_idle,
    "load": measure_load,
    "kills": measure_kills,
    "outage": measure_outage,
}
