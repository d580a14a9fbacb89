"""How soon an accepted edit of the document is in force at another entry."""

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
PAUSE_S = 2.0
SEED = 1
MS_PER_S = 1_000
ASK_S = 0.01


def measure_document() -> Iterator[Measurement]:
    """Edit a section through one entry, some times over, and ask the other for its version.

    The pause between edits is random, since a fixed one would keep step with the poll.
    """
    pauses = random.Random(SEED)
    with testbed(entries=2) as deployment:
        times_s = []
        for number in range(EDITS):
            time.sleep(pauses.uniform(0.0, PAUSE_S))
            times_s.append(_edit_once(deployment, number))
    times_s.sort()
    basis = f"{EDITS} edits"
    name = "accepted edit to in force at another entry"
    yield Measurement(f"{name}, middle", times_s[EDITS // 2] * MS_PER_S, "ms", basis)
    yield Measurement(f"{name}, longest", times_s[-1] * MS_PER_S, "ms", basis)


def _edit_once(deployment: Deployment, number: int) -> float:
    """Return the seconds from an edit's acceptance until the other entry has it in force."""
    editor, other = deployment.entries.values()
    with editor.client(OPERATOR_TOKEN) as client, other.client() as asker:
        section = client.get("/v1/config/sites")
        text = section.text + f"// edit {number}\n"
        headers = {"If-Match": section.headers["etag"]}
        reply = client.put("/v1/config/sites", content=text, headers=headers).raise_for_status()
        accepted_at = time.monotonic()
        version = msgspec.json.decode(reply.content, type=EditOutcome).version
        while _version_at(asker) < version:
            time.sleep(ASK_S)
        return time.monotonic() - accepted_at


def _version_at(asker: httpx.Client) -> int:
    return msgspec.json.decode(asker.get("/healthz").content, type=Health).document_version
