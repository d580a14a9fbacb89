"""Time until an accepted edit of the document takes effect at another entry."""

import random
import time
from collections.abc import Iterator

import httpx
import msgspec

from skylarkferry_bench.resources import Measurement
from skylarkferry_bench.testbeds import testbed
from skylarkferry_core.http_messages import EditOutcome, Health
from skylarkferry_standins.deployment import OPERATOR_TOKEN, Deployment

EDITS = 40
MAX_PAUSE_S = 2.0
SEED = 1
MS_PER_S = 1_000
POLL_S = 0.01


def measure_document() -> Iterator[Measurement]:
    """Edit a section ``EDITS`` times through one entry; poll the other entry for the new version.

    The pause between edits is random; a fixed one could synchronize with the entry's own polling.
    """
    pauses = random.Random(SEED)
    with testbed(entries=2) as deployment:
        times_s = []
        for number in range(EDITS):
            time.sleep(pauses.uniform(0.0, MAX_PAUSE_S))
            times_s.append(_edit_once(deployment, number))
    times_s.sort()
    basis = f"{EDITS} edits"
    name = "accepted edit to in force at another entry"
    yield Measurement(f"{name}, middle", times_s[EDITS // 2] * MS_PER_S, "ms", basis)
    yield Measurement(f"{name}, longest", times_s[-1] * MS_PER_S, "ms", basis)


def _edit_once(deployment: Deployment, number: int) -> float:
    """Return the seconds from the acceptance of an edit until the other entry serves it."""
    editor, other = deployment.entries.values()
    with editor.client(OPERATOR_TOKEN) as client, other.client() as observer:
        section = client.get("/v1/config/sites")
        text = section.text + f"// edit {number}\n"
        headers = {"If-Match": section.headers["etag"]}
        reply = client.put("/v1/config/sites", content=text, headers=headers).raise_for_status()
        accepted_at = time.monotonic()
        version = msgspec.json.decode(reply.content, type=EditOutcome).version
        while _fetch_version(observer) < version:
            time.sleep(POLL_S)
        return time.monotonic() - accepted_at


def _fetch_version(observer: httpx.Client) -> int:
    return msgspec.json.decode(observer.get("/healthz").content, type=Health).document_version
