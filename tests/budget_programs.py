"""Programs with budgets, and stores on which their accounts and owners lie."""

import contextlib
import itertools
import json

import anyio

from gateway_rig import (
    TOKENS_PER_EVENT,
    send,
    turn_headers,
)
from skylarkferry_standins.replica import EVENT_COUNT

ONE_TURN = EVENT_COUNT * TOKENS_PER_EVENT

REQUEST_NUMBERS = itertools.count()


async def spend(rig, program, budget, turns, gateways):
    """Send turns sequentially, alternating over the gateways, and return the status codes."""
    statuses = []
    for number in range(turns):
        fields = turn_headers(f"{program}-{number}", program, budget)
        gateway = gateways[number % len(gateways)]
        statuses.append((await send(rig, "/turn/1", fields, b"p", gateway=gateway)).status_code)
    return statuses


def generated_tokens(rig):
    """Return the number of tokens that all replicas generated."""
    return sum(len(replica.runs) for replica in rig.replicas.values()) * ONE_TURN


PART_WRITE_S = 0.1
"""Time for which a part is busy with a transaction; twice as long across parts."""


class PartQueues:
    """A store that performs the transactions of each part one after another."""

    def __init__(self, store):
        self.store = store
        self.locks = {}

    async def handle(self, request):
        if request.target == "/api/rows-tx":
            await self.perform(json.loads(request.body))
        return await self.store.handle(request)

    async def perform(self, call):
        entries = [*call["expectedRev"], *call["writes"], *call["remove"]]
        parts = sorted({entry["part"] for entry in entries})
        async with contextlib.AsyncExitStack() as stack:
            for part in parts:
                await stack.enter_async_context(self.locks.setdefault(part, anyio.Lock()))
            await anyio.sleep(PART_WRITE_S * min(len(parts), 2))


async def send_at_once(rig, program, budget, gateways):
    """Send one turn to each of the gateways at the same time; return the status codes."""
    statuses = []

    async def send_turn(gateway):
        fields = turn_headers(f"at-once-{next(REQUEST_NUMBERS)}", program, budget)
        response = await send(rig, "/turn/1", fields, b"p", gateway=gateway)
        statuses.append(response.status_code)

    async with anyio.create_task_group() as tasks:
        for gateway in gateways:
            tasks.start_soon(send_turn, gateway)
    return statuses


def is_claim(request):
    """Return whether a transaction writes the row that decides who owns a partition."""
    writes = json.loads(request.body)["writes"]
    return any((row["table"], row["key"]) == ("accounts", "owner") for row in writes)
