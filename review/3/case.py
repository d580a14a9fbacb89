"""Three equal sub-agent turns run at a replica that crashes once; later, their turn goes on."""

from pathlib import Path

import anyio
import h11
from bed import TROUBLE, Answer, Bed, Replica, Work, main, send_new

_REPLICAS = 7
_HELPERS = 3
_DOWN_S = 2.0
_CONTACT_S = 3.0
_TRIES = 5
"""The rule: a turn that reaches no replica in five tries or more."""
_TRY_GAP_S = 0.3
_PREFIX = "5c1e07a2:12600,91bd3f06:840"


def _work(request: h11.Request, body: bytes) -> Work:
    """Helpers read for a while before their first event, all others are short."""
    return Work(1.5 if b"helper" in body else 0.02, events=6, gap_s=0.01)


def _headers(program: str, previous: str = "") -> dict[str, str]:
    headers = {
        "Skylarkferry-Program-Id": program,
        "Skylarkferry-Session-Id": program,
        "Skylarkferry-Finish-Ms": "60000",
        "Skylarkferry-Token-Budget": "20000",
        "Skylarkferry-Token-Usage": "13440,572",
        "Skylarkferry-Prompt-Prefix": _PREFIX,
        "Skylarkferry-Deadline-Ms": "3000",
    }
    return {**headers, "Skylarkferry-Previous-Turn": previous} if previous else headers


async def case(bed: Bed) -> bool:
    """Return whether the rule was broken."""
    route = {"prefix": "/design/", "kind": "streaming", "service": "models", "sticky": True}
    bed.put_config([{**route, "retainContext": True, "retentionS": 60.0}])
    for number in range(_REPLICAS):
        replica = await bed.add_replica(f"i-model{number}", "models")
        replica.work = _work
    await bed.start_gateways(3)
    kept = await _turn(bed, 0, "first", "size a gear set")
    if not kept.is_complete or kept.status != 200:
        return False
    helpers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        for number in range(_HELPERS):
            tasks.start_soon(_helper, bed, number, kept.request_id, helpers)
        await anyio.sleep(0.8)
        if TROUBLE:
            await _crash_one(bed)
    await anyio.sleep(_DOWN_S + _CONTACT_S + 1.0)
    tries = refused = first_turns = first_served = 0
    for number in range(_TRIES + 1):
        first = await _turn(bed, number, f"other-{number}", f"another gear set {number}")
        first_turns += 1
        first_served += bool(bed.runs_of(first.request_id))
        answer = await _turn(bed, number, "second", "helper: check strength", kept.request_id)
        tries += 1
        refused += not bed.runs_of(answer.request_id)
        await anyio.sleep(_TRY_GAP_S)
    bed.record.line(
        f"the turn after {kept.request_id} reached no replica in {refused} of {tries} tries; "
        f"first turns reached one in {first_served} of {first_turns}"
    )
    return refused >= _TRIES and first_served >= 0.9 * first_turns


async def _turn(bed: Bed, number: int, program: str, text: str, previous: str = "") -> Answer:
    gateway = bed.gateways[number % len(bed.gateways)]
    headers = _headers(program, previous)
    return await send_new(bed, gateway, "POST", "/design/1", headers, text.encode())


async def _helper(bed: Bed, number: int, previous: str, answers: list[Answer]) -> None:
    """Send a sub-agent's turn; one that fails is sent again, at most twice."""
    for _ in range(3):
        answer = await _turn(bed, number, "first", "helper: check strength", previous)
        answers.append(answer)
        if answer.status == 200 and answer.is_complete:
            return
        await anyio.sleep(_TRY_GAP_S)


async def _crash_one(bed: Bed) -> None:
    """Crash the replica that runs most helpers; it is back after some seconds."""
    busy = [run.replica for run in bed.runs if run.ended is None]
    bed.record.line(f"helpers run at {sorted(busy)}")
    victim: Replica = max(bed.replicas, key=lambda replica: busy.count(replica.name))
    await victim.crash(_DOWN_S)


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
