"""Orders on connections that were open, but not yet used, when their gateway is stopped."""

import signal
from pathlib import Path

import anyio
from bed import GRACE_S, TROUBLE, Answer, Bed, Connection, Work, connect, main, send_new

_CONNECTIONS = 4
_SENT_AFTER_S = 5.2
"""Time from SIGTERM to the orders: later than 3 s after it, and within the idle limit of 15 s."""
_WORK_S = 2.5
"""Time a replica works on an order, within the client's and the route's 3 s."""
_SLACK_S = 0.2
_DEADLINE = {"Skylarkferry-Deadline-Ms": "3000"}


async def case(bed: Bed) -> bool:
    """Return whether the rule was broken."""
    bed.put_config([{"prefix": "/order/", "kind": "non_idempotent", "service": "tools"}])
    for number in range(3):
        replica = await bed.add_replica(f"i-tool{number}", "tools")
        replica.work = lambda request, body: Work(_WORK_S if body == b"long" else 0.02)
    await bed.start_gateways(2)
    gateway = bed.gateways[0]
    await send_new(bed, gateway, "POST", "/order/1", _DEADLINE, b"short")
    connections = [await connect(bed, gateway.front) for _ in range(_CONNECTIONS)]
    bed.record.line(f"{_CONNECTIONS} connections to {gateway.name} are open")
    await anyio.sleep(1.0)
    stopped_at = bed.record.now()
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
    await anyio.sleep(_SENT_AFTER_S)
    answers: list[Answer] = []
    async with anyio.create_task_group() as tasks:
        for connection in connections:
            tasks.start_soon(_order, bed, connection, answers)
    lost = [answer for answer in answers if _is_lost(bed, answer, stopped_at)]
    bed.record.line(f"{len(lost)} of {len(answers)} orders were cut")
    return bool(lost)


async def _order(bed: Bed, connection: Connection, answers: list[Answer]) -> None:
    path, request_id = "/order/1", bed.new_id()
    answers.append(await connection.request("POST", path, request_id, _DEADLINE, b"long"))
    await connection.close()


def _is_lost(bed: Bed, answer: Answer, stopped_at: float) -> bool:
    """Return whether the rule counts the attempt as lost.

    It was read and passed on to a replica, its connection ended without a whole answer before its
    time limit, and not later than 1 s after the grace period.
    """
    if answer.is_complete or not bed.runs_of(answer.request_id):
        return False
    is_in_time = answer.ended_at - answer.sent_at < 3.0
    return is_in_time and answer.ended_at <= stopped_at + GRACE_S + 1.0


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
