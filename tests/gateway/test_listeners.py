import errno
import os
import socket

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from gateway_rig import TIMEOUT_S, headers, send, wait_until
from skylarkferry_core.events import EventKind
from skylarkferry_gateway import listeners

pytestmark = pytest.mark.anyio


def occupy(address, kind=socket.SOCK_STREAM):
    """Return a socket of another process that has a port."""
    host, _, port = address.rpartition(":")
    other = socket.socket(socket.AF_INET, kind)
    other.bind((host, int(port)))
    if kind == socket.SOCK_STREAM:
        other.listen()
    return other


def has_failed_to_listen(gateway):
    numbers = {event.number for event in gateway.log.ring}
    return EventKind.GATEWAY_LISTEN_FAILED.number in numbers


@pytest.mark.parametrize("port", ["metrics_listen", "peer_listen"])
async def test_port_in_use_that_is_not_needed_to_serve_is_opened_later(rig, port):
    await rig.add_replica("r1")
    others = []
    gateway = await rig.add_gateway(
        prepare=lambda gateway: others.append(occupy(getattr(gateway.settings, port)))
    )
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that((answer.status_code, has_failed_to_listen(gateway)), Equals((200, True)))
    others[0].close()

    async def is_open():
        async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
            try:
                await client.get(f"http://{getattr(gateway.settings, port)}/stream")
            except httpx.ConnectError:
                return False
            except httpx.RemoteProtocolError:
                return True  # a call between gateways that cannot be decoded ends its connection
            return True

    rig.expects_task_failures = True
    with anyio.fail_after(TIMEOUT_S):
        while not await is_open():  # noqa: ASYNC110
            await anyio.sleep(0.05)


async def test_datagram_port_in_use_does_not_end_the_gateway(rig):
    await rig.add_replica("r1")
    rig.expects_task_failures = True
    others = []
    gateway = await rig.add_gateway(
        prepare=lambda gateway: others.append(
            occupy(gateway.settings.peer_listen, socket.SOCK_DGRAM)
        )
    )
    await wait_until(lambda: gateway.background.failures)
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that((answer.status_code, gateway.ended.is_set()), Equals((200, False)))
    others[0].close()


@pytest.mark.parametrize("port", ["client_listen", "ready_listen"])
async def test_start_waits_for_a_port_that_an_earlier_process_still_has(rig, port):
    await rig.add_replica("r1")

    async def free_later(gateway):
        other = occupy(getattr(gateway.settings, port))
        await wait_until(lambda: has_failed_to_listen(gateway))
        other.close()

    await rig.add_gateway(prepare=lambda gateway: rig.tasks.start_soon(free_later, gateway))
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that(answer.status_code, Equals(200))


async def test_process_ends_if_a_port_stays_in_use(rig, monkeypatch):
    monkeypatch.setattr(listeners, "_LISTEN_WAIT_S", 0.3)
    others = []

    async def add():
        with anyio.move_on_after(TIMEOUT_S):
            await rig.add_gateway(
                prepare=lambda gateway: others.append(occupy(gateway.settings.client_listen))
            )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(add)
        await wait_until(lambda: rig.errors)
        tasks.cancel_scope.cancel()
    assert_that(repr(rig.errors.pop()), Contains("Address already in use"))
    others[0].close()


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.EMFILE])
async def test_start_waits_for_an_address_or_memory_that_its_host_does_not_have_yet(
    rig, monkeypatch, number
):
    await rig.add_replica("r1")
    create = anyio.create_tcp_listener
    failures = [OSError(number, os.strerror(number)) for _ in range(2)]

    async def create_later(**kwargs):
        if failures and kwargs["local_port"] == port:
            raise failures.pop()
        return await create(**kwargs)

    def prepare(gateway):
        nonlocal port
        port = int(gateway.settings.client_listen.rpartition(":")[2])

    port = 0
    monkeypatch.setattr(listeners.anyio, "create_tcp_listener", create_later)
    with anyio.move_on_after(5):
        await rig.add_gateway(prepare=prepare)
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that(answer.status_code, Equals(200))
