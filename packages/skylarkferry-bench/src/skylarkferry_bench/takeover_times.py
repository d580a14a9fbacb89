"""Times of takeover, table traffic and outages, on real processes.

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
UNDER_WAY = 20
DEADLINE_S = 240
ANSWER_WAIT_S = 30


def takeovers(part: str = "") -> None:
    """Measure all parts, or one of idle, load, kills and outage, and print tables."""
    for name in [part] if part else MEASURES:
        write_table(name, MEASURES[name]())


def start(client: httpx.Client, key: str) -> httpx.Response:
    """Send the request that starts a sizing program."""
    body = {
        "request_key": key,
        "customer": "gearworks",
        "agent": "gear-sizer",
        "input": "size a helical pair for 22 kW",
        "deadline_s": DEADLINE_S,
    }
    return client.post("/v1/programs", json=body)


def final_word(client: httpx.Client, program_id: str) -> str:
    """Wait for a program's end and return its final word."""
    while True:
        reply = client.get(f"/v1/programs/{program_id}/answer?wait_s={ANSWER_WAIT_S}")
        if reply.status_code == httpx.codes.OK:
            return str(reply.json()["word"])
        time.sleep(POLL_S)


def traffic(deployment: Deployment, seconds: float) -> Iterator[Measurement]:
    """Yield the table traffic and processor time of an entry over the next seconds."""
    before, began = deployment.counters(), time.monotonic()
    spent = {entry: cpu_s(entry.process.pid) for entry in deployment.entries.values()}
    time.sleep(seconds)
    after, passed_s = deployment.counters(), time.monotonic() - began
    basis = f"{ENTRIES} entries, {seconds:g} s"
    for name in ("writes", "reads", "written_bytes"):
        value = (after[name] - before[name]) / passed_s / ENTRIES
        yield Measurement(f"table {name} of an entry", value, "a second", basis)
    used = sum(cpu_s(entry.process.pid) - spent[entry] for entry in spent)
    yield Measurement(
        "processor of an entry", 100 * used / passed_s / ENTRIES, "% of a core", basis
    )


def idle() -> Iterator[Measurement]:
    """Measure entries without programs."""
    with testbed(entries=ENTRIES) as deployment:
        time.sleep(SETTLE_S)
        yield from traffic(deployment, IDLE_S)


def load() -> Iterator[Measurement]:
    """Measure entries whose callers start a program as soon as the last one ended."""
    with testbed(entries=ENTRIES) as deployment:
        time.sleep(SETTLE_S)
        ended: Counter[str] = Counter()
        stop = threading.Event()
        entries = list(deployment.entries.values())
        workers = [
            threading.Thread(target=_work, args=(entries[number % ENTRIES], number, ended, stop))
            for number in range(LOAD_WORKERS)
        ]
        for worker in workers:
            worker.start()
        time.sleep(2.0)
        first = ended.total()
        measured = list(traffic(deployment, LOAD_S))
        programs_per_s = (ended.total() - first) / LOAD_S
        stop.set()
        for worker in workers:
            worker.join()
        yield from measured
        yield Measurement(
            "programs of an entry", programs_per_s / ENTRIES, "a second", str(dict(ended))
        )
        for slope in measured[:3:2]:
            each = slope.value * ENTRIES / programs_per_s
            yield Measurement(slope.name.replace("an entry", "a program"), each, "each")


def _work(entry: Entry, worker: int, ended: Counter[str], stop: threading.Event) -> None:
    with entry.client() as client:
        number = 0
        while not stop.is_set():
            number += 1
            reply = start(client, f"load-{worker}-{number}")
            if reply.is_success:
                ended[final_word(client, reply.json()["program_id"])] += 1
            else:
                ended[reply.json()["code"]] += 1


def owners(deployment: Deployment) -> Counter[str]:
    """Return how many partitions each node owns, read from the table."""
    prefix = PARTITION_PREFIX.encode()
    last = prefix[:-1] + bytes([prefix[-1] + 1])
    body = {"key": b64encode(prefix).decode(), "range_end": b64encode(last).decode()}
    reply = httpx.post(f"{deployment.platform_url}/v3/kv/range", json=body).json()
    rows = (b64decode(pair["value"]) for pair in reply.get("kvs", []))
    decoded = (msgspec.msgpack.decode(row, type=PartitionRow) for row in rows)
    return Counter(str(node_of(row.owner)) for row in decoded)


def kills() -> Iterator[Measurement]:
    """Measure the time from the kill of an entry until others own its partitions."""
    with testbed(entries=ENTRIES) as deployment:
        for kill in range(KILLS):
            time.sleep(SETTLE_S)
            name = f"entry-{kill % ENTRIES + 1}"
            held = owners(deployment)[name]
            deployment.entries[name].process.kill()
            began = time.monotonic()
            while owners(deployment)[name]:
                time.sleep(POLL_S)
            yield Measurement(
                "kill to adoption", time.monotonic() - began, "s", f"{held} partitions"
            )
            deployment.entries[name].process.restart()


def outage() -> Iterator[Measurement]:
    """Count what is refused and what ends when the platform refuses for a minute."""
    with testbed(entries=ENTRIES) as deployment:
        time.sleep(SETTLE_S)
        entry = next(iter(deployment.entries.values()))
        asked: Counter[str] = Counter()
        slowest_s = 0.0
        with entry.client() as client:
            ids = [start(client, f"way-{n}").json()["program_id"] for n in range(UNDER_WAY)]
            deployment.set_platform_faults(outage="refusing")
            ends, number = time.monotonic() + OUTAGE_S, 0
            while time.monotonic() < ends:
                began, number = time.monotonic(), number + 1
                reply = start(client, f"new-{number}")
                asked[reply.json().get("code", "accepted")] += 1
                slowest_s = max(slowest_s, time.monotonic() - began)
                time.sleep(1.0)
            deployment.set_platform_faults()
            began = time.monotonic()
            words = Counter(final_word(client, program_id) for program_id in ids)
            ended_s = time.monotonic() - began
        yield Measurement("under way at the start", UNDER_WAY, "programs", str(dict(words)))
        yield Measurement("until all of them ended", ended_s, "s after the outage")
        yield Measurement("asked for meanwhile", asked.total(), "programs", str(dict(asked)))
        yield Measurement("slowest refusal", slowest_s, "s")


MEASURES: dict[str, Callable[[], Iterator[Measurement]]] = {
    "idle": idle,
    "load": load,
    "kills": kills,
    "outage": outage,
}
