"""Requests that start and follow programs at entries under test."""

import time
from collections.abc import Callable
from typing import Any

import httpx

from skylarkferry_standins.child_processes import wait_until

ANSWER_WAIT_S = 30
DRIVER_EVENTS = (201, 204)


def sizing_body(key: str, **changes: Any) -> dict[str, Any]:
    """Return the body that starts a sizing program."""
    body = {
        "request_key": key,
        "customer": "gearworks",
        "agent": "gear-sizer",
        "input": "size a helical pair for 22 kW",
        "deadline_s": 60,
    }
    return body | changes


def retry_until_served(request: Callable[[], httpx.Response]) -> httpx.Response:
    """Repeat a request, honouring ``Retry-After``, while the response is 503."""
    response = request()
    while response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        time.sleep(float(response.headers["retry-after"]))
        response = request()
    assert response.is_success, response.text
    return response


def start_program(client: httpx.Client, key: str, **changes: Any) -> str:
    """Start a ``gear-sizer`` program and return its id."""
    response = retry_until_served(
        lambda: client.post("/v1/programs", json=sizing_body(key, **changes))
    )
    return response.json()["program_id"]


def wait_for_answer(client: httpx.Client, program_id: str) -> dict[str, Any]:
    """Wait until a program has ended and return its view."""
    path = f"/v1/programs/{program_id}/answer?wait_s={ANSWER_WAIT_S}"
    while True:
        response = retry_until_served(lambda: client.get(path))
        if response.status_code != httpx.codes.ACCEPTED:
            return response.json()


def event_stream(client: httpx.Client, program_id: str, after: int = 0) -> str:
    """Return the program's events after number ``after``, without deltas and comments."""
    headers = {"Last-Event-ID": str(after)}
    text = client.get(f"/v1/programs/{program_id}/events", headers=headers).text
    blocks = [block.removeprefix(": heartbeat\n") for block in text.split("\n\n")]
    return "\n\n".join(block for block in blocks if block.startswith("id: "))


def wait_for_step(client: httpx.Client, program_id: str, number: int) -> None:
    """Read a program's event stream up to step ``number``."""
    with client.stream("GET", f"/v1/programs/{program_id}/events") as response:
        for line in response.iter_lines():
            if line == f"id: {number}":
                return


def find_driver(client: httpx.Client, program_id: str) -> str:
    """Return the entry that drives a program, from the timeline; needs an operator's client."""
    drivers: list[str] = []

    def found() -> bool:
        events = client.get("/v1/timeline", params={"program": program_id}).json()["events"]
        drivers.extend(event["node"] for event in events if event["number"] in DRIVER_EVENTS)
        return bool(drivers)

    wait_until(found, "the program to have a driver")
    return drivers[-1]


def executed_paths(effects: list[dict[str, str]], program_id: str) -> list[str]:
    """Return the paths executed by a program's calls, in order of execution."""
    return [
        effect["path"] for effect in effects if effect["idempotency_key"].startswith(program_id)
    ]
