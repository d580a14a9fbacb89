"""Time until the programs of a killed entry are resumed by another entry."""

import time
from collections.abc import Iterator

import httpx

from skylarkferry_bench.resources import Measurement
from skylarkferry_bench.testbeds import testbed
from skylarkferry_core.clocks import wall_time_s
from skylarkferry_standins.child_processes import wait_until
from skylarkferry_standins.deployment import OPERATOR_TOKEN, Deployment

KILLS = 5
PROGRAM_ACCEPTED = 201
PROGRAM_RESUMED = 204


def measure_adoption() -> Iterator[Measurement]:
    """Kill the entry that owns a program, ``KILLS`` times."""
    with testbed(entries=2, engines=1, engine={"decode_per_s": 20.0}) as deployment:
        times_s = [_kill_once(deployment, number) for number in range(KILLS)]
    basis = ", ".join(f"{value:.2f}" for value in times_s)
    yield Measurement(
        "kill of an entry to its program resumed, middle", _median(times_s), "s", basis
    )
    yield Measurement("kill of an entry to its program resumed, longest", max(times_s), "s", basis)


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def _fetch_events(
    deployment: Deployment, entry: str, program_id: str
) -> list[dict[str, int | str]]:
    with deployment.entries[entry].client(OPERATOR_TOKEN) as client:
        reply = client.get("/v1/timeline", params={"program": program_id})
    events: list[dict[str, int | str]] = reply.json()["events"]
    return events


def _kill_once(deployment: Deployment, number: int) -> float:
    """Kill the entry that owns a program; return the seconds until another resumes it."""
    with deployment.entries["entry-1"].client() as client:
        body = {"request_key": f"kill-{number}", "agent": "long-report", "deadline_s": 600}
        reply = client.post("/v1/programs", json=body | {"input": "report"})
        program_id = reply.raise_for_status().json()["program_id"]
    owner = _find_owner(deployment, program_id)
    survivor = next(name for name in deployment.entries if name != owner)
    killed_at = time.time()
    deployment.entries[owner].process.kill()
    resumed_at: list[float] = []

    def is_resumed() -> bool:
        for event in _fetch_events(deployment, survivor, program_id):
            if event["number"] == PROGRAM_RESUMED:
                resumed_at.append(wall_time_s(int(event["time"])))
        return bool(resumed_at)

    wait_until(is_resumed, "the program to be resumed")
    deployment.entries[owner].process.restart()
    wait_until(lambda: _is_healthy(deployment, owner), "the killed entry to serve again")
    return resumed_at[0] - killed_at


def _find_owner(deployment: Deployment, program_id: str) -> str:
    owners: list[str] = []

    def is_accepted() -> bool:
        events = _fetch_events(deployment, "entry-1", program_id)
        owners.extend(str(event["node"]) for event in events if event["number"] == PROGRAM_ACCEPTED)
        return bool(owners)

    wait_until(is_accepted, "the program's acceptance in the timeline")
    return owners[0]


def _is_healthy(deployment: Deployment, name: str) -> bool:
    url = deployment.entries[name].url
    return httpx.get(f"{url}/healthz").status_code == httpx.codes.OK
