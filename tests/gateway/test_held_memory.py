from contextlib import asynccontextmanager

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from gateway_rig import headers, send, wait_until
from skylarkferry_core.events import EventKind
from skylarkferry_gateway.held_memory import HeldBytes, MemoryAccount, MemoryUse

pytestmark = pytest.mark.anyio

LIMIT = 128 << 20


def test_uses_are_bounded_each_and_together():
    account = MemoryAccount(LIMIT)
    for use, share in account.shares.items():
        held = HeldBytes(share, uncounted=0)
        assert_that((use, held.resize(share.limit_bytes + 1)), Equals((use, False)))
        held.resize(share.limit_bytes)
    assert account.used <= account.limit_bytes
    assert_that(sum(share.used for share in account.shares.values()), Equals(account.used))


def test_new_work_is_refused_before_work_under_way():
    """Guards against requests that are cut off because others were admitted after them."""
    account = MemoryAccount(LIMIT)
    held = HeldBytes(account.shares[MemoryUse.RESPONSES])
    other = HeldBytes(account.shares[MemoryUse.STREAMS])
    held.resize(account.shares[MemoryUse.RESPONSES].limit_bytes)
    assert_that(account.admits(0), Equals(True))
    other.resize(account.shares[MemoryUse.STREAMS].limit_bytes)
    assert_that(account.admits(0), Equals(True))  # slow readers alone do not keep others out
    bodies = HeldBytes(account.shares[MemoryUse.BODIES])
    bodies.resize(int(account.limit_bytes * 0.95) - account.used)
    assert_that(
        (account.admits(0), bodies.resize(bodies.reserved + 100_000)), Equals((False, True))
    )
    bodies.release()
    other.release()
    held.release()
    assert_that((account.admits(0), account.used), Equals((True, 0)))


def fill(gateway):
    """Hold as much as other requests may."""
    held = [HeldBytes(share, uncounted=0) for share in gateway.memory.shares.values()]
    for item in held:
        room = gateway.memory.limit_bytes - gateway.memory.used
        item.resize(min(item.share.limit_bytes, room))
    return held[0]


async def test_request_beyond_the_account_is_refused_before_its_body_is_read(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    fill(gateway)
    host, _, port = gateway.settings.client_listen.rpartition(":")
    lines = [f"{name}: {value}" for name, value in headers("id-1").items()]
    head = "\r\n".join(["POST /once/1 HTTP/1.1", *lines, "Content-Length: 150000", "", ""])
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(head.encode())
        with anyio.fail_after(2):
            answer = await stream.receive()
    assert_that(answer.split(b"\r\n")[0], Contains(b"503"))
    assert_that(answer, Contains(b"retry-after: 0.2"))
    assert_that((rig.arrivals(), gateway.metrics.memory_refusals._value.get()), Equals((0, 1.0)))
    numbers = [event.number for event in gateway.log.ring]
    assert_that(numbers.count(EventKind.GATEWAY_MEMORY_FULL.number), Equals(1))


async def test_client_that_sends_its_body_at_once_gets_the_refusal(rig):
    """Guards against a reset that reaches the client before the refusal."""
    await rig.add_replica("r1")
    fill(await rig.add_gateway())
    for number in range(5):
        response = await send(rig, "/once/1", headers(f"id-{number}"), b"x" * 190_000)
        assert_that(response.status_code, Equals(503))


async def test_refused_request_without_a_body_costs_no_connection(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    held = fill(gateway)
    host, _, port = gateway.settings.client_listen.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        answers = []
        for number in range(2):
            lines = [f"{name}: {value}" for name, value in headers(f"id-{number}").items()]
            await stream.send("\r\n".join(["GET /once/1 HTTP/1.1", *lines, "", ""]).encode())
            with anyio.fail_after(2):
                answers.append((await stream.receive()).split(b"\r\n")[0])
            held.release()
    assert_that([b"503" in answers[0], b"200" in answers[1]], Equals([True, True]))


async def test_bodies_are_counted_until_their_requests_end(rig):
    replica = await rig.add_replica("r1")
    replica.work_s = 0.2
    gateway = await rig.add_gateway()
    share = gateway.memory.shares[MemoryUse.BODIES]
    responses = gateway.memory.shares[MemoryUse.RESPONSES]
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(send, rig, "/once/1", headers(f"id-{number}"), b"x" * 100_000)
        await wait_until(lambda: share.used == 400_000)
        assert_that(gateway.metrics.text(), Contains(b'held_bytes{use="bodies"} 400000.0'))
    await wait_until(lambda: share.used == responses.used == 0)


@asynccontextmanager
async def reader(gateway, path, request_id, body=b"", more=""):
    """Send a request and do not read its response."""
    host, _, port = gateway.settings.client_listen.rpartition(":")
    lines = [f"{name}: {value}" for name, value in headers(request_id, 60_000).items()]
    head = [f"POST {path} HTTP/1.1", *lines, f"Content-Length: {len(body)}"]
    head += [more] if more else []
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send("\r\n".join([*head, "", ""]).encode() + body)
        yield stream


async def test_complete_response_is_counted_until_a_slow_client_has_it(rig):
    """Guards against responses that are held for slow clients beyond any account."""
    replica = await rig.add_replica("r1")
    large = b"y" * 8_000_000
    serve = replica.handle

    async def handle(request):
        reply = await serve(request)
        return type(reply)(reply.status, reply.headers, large)

    rig.servers["r1"].handler = handle
    gateway = await rig.add_gateway()
    share = gateway.memory.shares[MemoryUse.RESPONSES]
    async with reader(gateway, "/once/1", "id-1") as stream:
        await wait_until(lambda: replica.runs and gateway.context.response_memory.used > 7_900_000)
        await anyio.sleep(0.1)
        assert share.used > 7_900_000
        received = 0
        while received < len(large):
            received += len(await stream.receive())
        await wait_until(lambda: share.used == 0)
    assert_that(gateway.memory.used, Equals(0))
    assert_that(share.most_used, LessThan(share.limit_bytes))


async def test_gateway_without_memory_for_new_work_is_not_ready_until_there_is_enough(rig):
    """Guards against new connections to a gateway that refuses all they send."""
    gateway = await rig.add_gateway()
    share = gateway.memory.shares[MemoryUse.RESPONSES]
    assert_that(gateway.is_ready(), Equals(True))
    held = fill(gateway)
    assert_that(gateway.is_ready(), Equals(False))
    held.release()
    scarce = gateway.is_ready()
    share.release(share.used)
    assert_that((scarce, gateway.is_ready()), Equals((False, True)))
