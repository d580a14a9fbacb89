"""A program with a long history goes on through another zone."""

from pathlib import Path

import anyio
import h11
from bed import TROUBLE, Answer, Bed, Gateway, Work, main, send_new

_LINK_MBPS = 15.0
"""Link of the smaller front machines of the site, as played."""
_TURNS = 12
_INPUT_BYTES = 100_000
_INPUT_TOKENS = 17_500
_TRIES = 6
"""Two sends again after the first, each with one retry of the client."""
_BOUND = 5
_PAUSE_S = 0.3
_CALM_S = 4.0


def _work(request: h11.Request, body: bytes) -> Work:
    return Work(0.02, events=10, gap_s=0.002)


async def _turn(bed: Bed, gateway: Gateway, program: str, number: int, previous: str) -> Answer:
    headers = {
        "Skylarkferry-Program-Id": program,
        "Skylarkferry-Session-Id": program,
        "Skylarkferry-Finish-Ms": "60000",
        "Skylarkferry-Token-Budget": "20000",
        "Skylarkferry-Token-Usage": f"{(number + 1) * _INPUT_TOKENS},572",
        "Skylarkferry-Deadline-Ms": "3317",
    }
    if previous:
        headers["Skylarkferry-Previous-Turn"] = previous
    body = (f"input {number} of {program} ".encode() * _INPUT_BYTES)[:_INPUT_BYTES]
    return await send_new(bed, gateway, "POST", "/design/1", headers, body)


async def case(bed: Bed) -> bool:
    """Return whether the rule was broken."""
    route = {"prefix": "/design/", "kind": "streaming", "service": "models", "sticky": True}
    bed.put_config([{**route, "retainContext": True, "retentionS": 60.0, "timeoutMs": 3317}])
    for number in range(3):
        replica = await bed.add_replica(f"i-model{number}", "models")
        replica.work = _work
    await bed.start_gateways_on_links(["zone-a", "zone-b", "zone-b"], _LINK_MBPS)
    near, *others = bed.gateways
    program, previous = bed.new_id(), ""
    for number in range(_TURNS):
        answer = await _turn(bed, near, program, number, previous)
        if answer.status != 200 or not answer.is_complete:
            return False
        previous = answer.request_id
    await anyio.sleep(_CALM_S)
    unreached = first_served = 0
    for number in range(_TRIES):
        gateway = others[number % len(others)] if TROUBLE else near
        answer = await _turn(bed, gateway, program, _TURNS, previous)
        unreached += not bed.runs_of(answer.request_id)
        first = await _turn(bed, gateway, bed.new_id(), 0, "")
        first_served += bool(bed.runs_of(first.request_id))
        await anyio.sleep(_PAUSE_S)
    bed.record.line(
        f"the turn after {previous} reached no replica in {unreached} of {_TRIES} tries; "
        f"first turns reached one in {first_served} of {_TRIES}"
    )
    return unreached >= _BOUND and first_served >= 0.9 * _TRIES


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
