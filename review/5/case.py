"""A program whose turns differ in length, while the gateway that serves it dies twice."""

import json
import signal
from pathlib import Path

import anyio
import h11
from bed import TOKENS_PER_EVENT, TROUBLE, Bed, Gateway, Work, main, send_new

_BUDGET = 1_320
_SHORT = 110
_LONG = 462
"""Most tokens of a short and of a long turn, 22 tokens an event."""
_PAUSE_S = 0.2
_MAX_TURNS = 40


def _work(request: h11.Request, body: bytes) -> Work:
    """Stream as many tokens as the turn allows."""
    return Work(0.02, events=json.loads(body)["tokens"] // TOKENS_PER_EVENT, gap_s=0.005)


class Program:
    """One program: its turns follow each other; each one says how long it may get at most."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        self.program_id = bed.new_id()
        self.tokens = 0
        self.most = 0

    async def turn(self, gateway: Gateway, most: int) -> int:
        """Send one turn and return its status."""
        self.most = max(self.most, most)
        headers = {
            "Skylarkferry-Program-Id": self.program_id,
            "Skylarkferry-Session-Id": self.program_id,
            "Skylarkferry-Finish-Ms": "60000",
            "Skylarkferry-Token-Budget": str(_BUDGET),
            "Skylarkferry-Token-Usage": f"100,{most}",
            "Skylarkferry-Deadline-Ms": "3000",
        }
        body = json.dumps({"tokens": most}).encode()
        answer = await send_new(self.bed, gateway, "POST", "/turn/1", headers, body)
        self.tokens += answer.body.count(b"data:") * TOKENS_PER_EVENT
        self.bed.record.line(f"{self.tokens} tokens handed out of {_BUDGET}")
        return answer.status

    async def turns(self, gateway: Gateway, most: int, tokens: int | None = None) -> None:
        """Send turns until one is refused as beyond the budget, or ``tokens`` were handed out."""
        refused = 0
        for _ in range(_MAX_TURNS):
            if tokens is not None and self.tokens + most > tokens:
                return
            status = await self.turn(gateway, most)
            if status == 402:
                return
            refused += status != 200
            if refused > 3:
                return
            await anyio.sleep(_PAUSE_S)


async def case(bed: Bed) -> bool:
    """Return whether the rule was broken."""
    bed.put_config(
        [{"prefix": "/turn/", "kind": "streaming", "service": "models", "retentionS": 60.0}]
    )
    for number in range(2):
        replica = await bed.add_replica(f"i-model{number}", "models")
        replica.work = _work
    await bed.start_gateways(3)
    program = Program(bed)
    first, second, third = bed.gateways
    await program.turns(first, _SHORT, _BUDGET // 3)
    if TROUBLE:
        first.signal(signal.SIGKILL)
        await anyio.sleep(2.0)
    await program.turns(second, _SHORT, _BUDGET // 3 + _BUDGET // 6)
    if TROUBLE:
        second.signal(signal.SIGKILL)
        await anyio.sleep(2.0)
    await program.turns(third, _LONG)
    await program.turns(third, _SHORT)
    bound = _BUDGET + program.most
    bed.record.line(f"{program.tokens} tokens were handed to the client; the bound is {bound}")
    return program.tokens > bound


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
