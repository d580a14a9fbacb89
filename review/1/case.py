"""One entry of another writer in the list of replicas, and what the gateways do about it."""

import json
from pathlib import Path

import anyio
from bed import TROUBLE, Bed, main, send_new

_GATEWAYS = 3
_NESTED = 1_200
"""Levels of the value that cannot be read; the row has a few KB, far below ``rowBytes``."""
_WATCH_S = 12.0
_ENDS = 3
_MACHINES = 2
"""The rule: on two machines at least, processes end by themselves three times."""


def foreign_entry() -> bytes:
    """Return an entry with a field that no page names, and whose value cannot be read."""
    entry = {"service": "tools", "address": "127.0.0.1:9", "zone": "zone-a", "slots": 4}
    text = json.dumps({**entry, "state": "ready", "sequence": 1, "born": 1})
    return (text[:-1] + ', "labels": ' + "[" * _NESTED).encode()


async def case(bed: Bed) -> bool:
    """Return whether the rule was broken."""
    bed.put_config([{"prefix": "/look/", "kind": "idempotent", "service": "tools"}])
    for number in range(3):
        await bed.add_replica(f"i-tool{number}", "tools")
    await bed.start_gateways(_GATEWAYS)
    for gateway in bed.gateways:
        await send_new(bed, gateway, "GET", "/look/1", {"Skylarkferry-Deadline-Ms": "1200"})
    if TROUBLE:
        value = foreign_entry()
        bed.record.line(f"another writer puts servers/i-other, {len(value)} bytes")
        bed.store.put("servers", "", "i-other", value)
    served = asked = 0
    end = bed.record.now() + _WATCH_S
    while bed.record.now() < end:
        for gateway in bed.gateways:
            answer = await send_new(
                bed, gateway, "GET", "/look/1", {"Skylarkferry-Deadline-Ms": "1200"}
            )
            asked += 1
            served += answer.status == 200 and answer.is_complete
        await anyio.sleep(0.3)
    ends = {gateway.name: gateway.own_ends for gateway in bed.gateways}
    bed.record.line(f"served {served} of {asked}; processes ended by themselves: {ends}")
    return sum(count >= _ENDS for count in ends.values()) >= _MACHINES


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
