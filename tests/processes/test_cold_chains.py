"""A gateway process that reads many long chains of turns at the same time."""

import contextlib
import json
import random

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_process import SMALLEST_MEMORY_MB, GatewayProcess, listening
from gateway_rig import config, entry, headers, turn_headers
from skylarkferry_standins.replica import Replica
from skylarkferry_standins.row_store import RowStore
from stored_turns import put_chain

pytestmark = pytest.mark.anyio

CHAINS = 16
TURNS = 11
TURN_BYTES = 400_000
INPUT = b"next " * 1_000
TRIES = 6
"""Tries of a turn: two attempts of a client, and both sent again twice."""
ROUTES = {
    "/kept/": {
        "kind": "streaming",
        "service": "engine",
        "retentionS": 60.0,
        "maxAttempts": 2,
        "retainContext": True,
    },
    "/once/": {"kind": "non_idempotent", "service": "tools", "maxAttempts": 1},
}


async def send_turn(gateway, number, previous):
    """Send a turn in up to six tries, as a client does, and return the last status."""
    for number_of_try in range(TRIES):
        fields = turn_headers(
            f"next-{number}-{number_of_try}",
            f"program-{number}",
            deadline_ms=3_000,
            Previous_Turn=previous,
        )
        async with httpx.AsyncClient(timeout=10.0) as client:
            response = await gateway.send(client, "/kept/1", fields, INPUT)
        if response.status_code == 200:
            break
        await anyio.sleep(min(float(response.headers.get("retry-after", 0.1)), 1.0))
    return response.status_code


# Guards against chains that are read at the same time beyond the memory of the process.
async def test_chains_read_at_the_same_time_stay_within_the_memory(tmp_path):
    store = RowStore()
    store.put("op", "", "config", json.dumps(config(1, ROUTES)).encode())
    contents = {}
    for number in range(CHAINS):
        turns = [
            random.Random(number * TURNS + turn).randbytes(TURN_BYTES) for turn in range(TURNS)
        ]
        contents[put_chain(store, f"chain{number}", turns)] = b"".join(turns)
    statuses, orders = {}, []
    async with anyio.create_task_group() as tasks, contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(listening(tasks, store.handle))
        replicas = {}
        for name, service in (("r1", "tools"), ("e1", "engine")):
            replicas[name] = replica = Replica(name)
            address = await stack.enter_async_context(listening(tasks, replica.handle))
            row = entry(replica, service, address, slots=CHAINS)
            store.put("servers", "", name, json.dumps(row).encode())
        gateway = GatewayProcess(tmp_path, store_address)
        stack.push_async_callback(gateway.end)
        await gateway.wait_until_ready()

        async def send_one(number, previous):
            statuses[previous] = await send_turn(gateway, number, previous)

        async with anyio.create_task_group() as senders:
            for number, previous in enumerate(contents):
                senders.start_soon(send_one, number, previous)
            async with httpx.AsyncClient(timeout=10.0) as client:
                while len(statuses) < CHAINS:
                    fields = headers(f"order-{len(orders)}")
                    response = await gateway.send(client, "/once/1", fields, b"x" * 1_000)
                    orders.append(response.status_code)
                    await anyio.sleep(0.05)
        is_running = gateway.process.poll() is None
        peak_mb = gateway.peak_mb()
    print(f"peak {peak_mb:.1f} MB, statuses {sorted(statuses.values())}")
    assert_that(is_running, Equals(True))
    assert peak_mb < SMALLEST_MEMORY_MB
    assert_that(set(statuses.values()) | set(orders), Equals({200}))
    bodies = {run.body for run in replicas["e1"].runs}
    assert bodies == {content + INPUT for content in contents.values()}
