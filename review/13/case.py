"""A gateway that is stopped as planned closes the connections of orders that wait in it."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "third"))

import bed as beds  # noqa: E402

GRACE_S = 8.0
LOSS_SLACK_S = 0.2
"""graceS and lossSlackMs of the settings."""
BODY = b"o" * 1_000_000
LIMIT_MS = 30_000
FIRST_WORK_S = 10.0


async def case(bed):
    await bed.store.listen()
    routes = [beds.route("/orders/", "non_idempotent", "shop", timeoutMs=30_000)]
    bed.configure(routes, [{"name": "shop"}])
    replica = await bed.add_replica("i-shop", "shop")
    replica.work = lambda request: FIRST_WORK_S if request.target < "/orders/7" else 0.1
    gateway = await bed.add_gateway(graceS=GRACE_S)
    await gateway.wait_ready()
    await asyncio.sleep(3.5)  # contactMs and a little

    def send(number):
        connection = bed.connection(gateway)
        exchange = connection.exchange(f"/orders/{number}", BODY, limit_ms=LIMIT_MS)
        return asyncio.create_task(exchange)

    first = [send(number) for number in range(1, 7)]
    await asyncio.sleep(0.7)
    if len(replica.runs) != 6:
        raise beds.CannotRunError("the six orders do not run yet")
    waiting = [send(7), send(8)]
    await asyncio.sleep(0.7)
    stopped_at = None
    if beds.TROUBLE:
        stopped_at = time.monotonic()
        gateway.signal(signal.SIGTERM)
        try:
            await gateway.wait_ended(GRACE_S)
        except TimeoutError:
            await gateway.kill()
    for task in first:
        await task
    broken = []
    for task in waiting:
        answer = await task
        ran = bed.runs_of(answer.request_id)
        if answer.is_whole:
            continue
        waited_s = answer.ended_at - answer.sent_at
        if waited_s < LOSS_SLACK_S or waited_s >= LIMIT_MS / 1_000:
            continue
        since = f"{answer.ended_at - stopped_at:.2f} s after SIGTERM" if stopped_at else "calm"
        broken.append(
            f"{answer.request_id} was read whole, reached {len(ran)} replicas, and its connection"
            f" ended without an answer {waited_s:.2f} s later, {since}"
        )
    return broken


beds.main(case)
