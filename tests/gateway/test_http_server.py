import socket

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import wait_until
from skylarkferry_core.routes import ClientLimits
from skylarkferry_gateway import defaults
from skylarkferry_gateway.http_server import ClientConnection

pytestmark = pytest.mark.anyio


class StalledStream:
    """Client stream that delivers one request, then neither sends nor accepts any bytes."""

    def __init__(self):
        self.requests = [b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"]
        self.is_closed = False

    async def receive(self, limit):
        if not self.requests:
            await anyio.sleep_forever()
        return self.requests.pop()

    async def send(self, data):
        await anyio.sleep_forever()

    async def aclose(self):
        self.is_closed = True


async def test_client_that_stops_reading_is_disconnected(monkeypatch):
    monkeypatch.setattr(defaults, "CLIENT_SEND_S", 0.1)
    stream = StalledStream()

    async def answer(received, client):
        await client.respond(200, [], b"answer")

    client = ClientConnection(stream, ClientLimits, answer, lambda: False)
    with anyio.fail_after(5):
        await client.serve()
    assert_that((client.is_disconnected, stream.is_closed), Equals((True, True)))


TIMEOUT_S = 20.0


def request_bytes(body):
    """Return a request whose body has four bytes."""
    return b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n" + body


class ServedConnection:
    """A persistent connection whose client sends a request in the very step that ends the wait.

    The client is a blocking socket, so that its bytes are in the socket's buffer before the server
    runs on: as after a pause of the event loop.
    """

    def __init__(self, stream, client):
        self.client = client
        self.served = []
        self.is_stopping = False
        self.idle_s = TIMEOUT_S
        self.sends_when_idle_limit_ends = False
        self.answered_at = None
        self.connection = ClientConnection(
            stream, self.limits, self.answer, lambda: self.is_stopping
        )

    def limits(self):
        """Return the limits, which the server reads when a wait begins and when it ends."""
        has_waited = self.answered_at is not None and (
            anyio.current_time() - self.answered_at > self.idle_s / 2
        )
        if self.sends_when_idle_limit_ends and has_waited:
            self.sends_when_idle_limit_ends = False
            self.client.sendall(request_bytes(b"late"))
        return ClientLimits(idle_s=self.idle_s)

    async def answer(self, received, client):
        self.served.append(received.body)
        await client.respond(200, [], received.body)
        self.answered_at = anyio.current_time()

    async def send_first_request(self):
        self.client.sendall(request_bytes(b"body"))
        assert_that((await self.receive()).endswith(b"body"), Equals(True))

    def send_and_stop(self):
        """Send a request, then stop the server before it reads the request."""
        self.client.sendall(request_bytes(b"late"))
        self.is_stopping = True
        self.connection.close_if_idle()

    async def receive(self):
        """Return the next bytes that the client receives, empty if the connection ended."""
        try:
            return await anyio.to_thread.run_sync(self.client.recv, 65_536)
        except ConnectionResetError:
            return b""


@pytest.fixture
async def served_connection(anyio_backend):
    """Serve a connection on loopback."""
    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        with socket.create_connection(address) as client:
            client.settimeout(TIMEOUT_S)
            served = ServedConnection(await listener.listeners[0].accept(), client)
            tasks.start_soon(served.connection.serve)
            yield served
            tasks.cancel_scope.cancel()


async def test_request_that_arrives_when_the_idle_limit_ends_is_answered(served_connection):
    served_connection.idle_s = 0.2
    served_connection.sends_when_idle_limit_ends = True
    await served_connection.send_first_request()
    received = await served_connection.receive()
    assert_that(received.endswith(b"late"), Equals(True))
    assert_that(served_connection.served, Equals([b"body", b"late"]))


async def test_request_that_arrived_before_a_planned_stop_is_answered(served_connection):
    await served_connection.send_first_request()
    served_connection.send_and_stop()
    received = await served_connection.receive()
    assert_that(received.endswith(b"late"), Equals(True))
    assert_that(b"connection: close" in received.lower(), Equals(True))
    assert_that(await served_connection.receive(), Equals(b""))


async def test_idle_connection_is_closed_at_once_by_a_planned_stop(served_connection):
    await served_connection.send_first_request()
    served_connection.is_stopping = True
    served_connection.connection.close_if_idle()
    assert_that(await served_connection.receive(), Equals(b""))
    assert_that(served_connection.served, Equals([b"body"]))


async def test_requests_that_were_read_before_a_planned_stop_are_all_answered(served_connection):
    answer = served_connection.connection.handler

    async def answer_while_stopping(received, client):
        await wait_until(lambda: len(client.input_chunks) or client.http.trailing_data[0])
        served_connection.is_stopping = True
        client.handler = answer
        await answer(received, client)

    served_connection.connection.handler = answer_while_stopping
    for body in (b"one.", b"two.", b"last"):
        served_connection.client.sendall(request_bytes(body))
    received = b""
    while part := await served_connection.receive():
        received += part
    assert_that(served_connection.served, Equals([b"one.", b"two.", b"last"]))
    heads = received.lower().split(b"http/1.1 ")[1:]
    assert_that(
        [(item[:3], b"connection: close" in item) for item in heads],
        Equals([(b"200", False), (b"200", False), (b"200", True)]),
    )


async def test_client_that_goes_on_sending_does_not_hold_up_a_planned_stop(served_connection):
    answer = served_connection.connection.handler

    async def answer_while_more_arrives(received, client):
        served_connection.is_stopping = True
        if len(served_connection.served) < 20:
            served_connection.client.sendall(request_bytes(b"more"))
            await wait_until(lambda: client.input_chunks)
        await answer(received, client)

    served_connection.connection.handler = answer_while_more_arrives
    served_connection.client.sendall(request_bytes(b"one."))
    received = b""
    while part := await served_connection.receive():
        received += part
    assert_that(served_connection.served, Equals([b"one.", b"more"]))
    heads = received.lower().split(b"http/1.1 ")[1:]
    assert_that([b"connection: close" in item for item in heads], Equals([False, True]))


@pytest.mark.parametrize("extra", [b"Content-Length: 4", b"Transfer-Encoding: chunked"])
async def test_request_whose_body_comes_after_a_planned_stop_is_answered(served_connection, extra):
    await served_connection.send_first_request()
    head = b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n" + extra + b"\r\n\r\n"
    served_connection.client.sendall(head)
    assert_that((await served_connection.receive()).split(b" ")[1], Equals(b"100"))
    served_connection.is_stopping = True
    served_connection.connection.close_if_idle()
    is_chunked = extra.endswith(b"chunked")
    served_connection.client.sendall(b"4\r\nlate\r\n0\r\n\r\n" if is_chunked else b"late")
    received = await served_connection.receive()
    assert_that((received.endswith(b"late"), served_connection.served[-1]), Equals((True, b"late")))


async def test_request_that_arrives_when_the_wait_for_the_first_one_ends_is_answered(
    served_connection,
):
    served_connection.idle_s = 600.0
    served_connection.is_stopping = True
    await wait_until(lambda: served_connection.connection.idle_scope is not None)
    served_connection.client.sendall(request_bytes(b"late"))
    served_connection.connection.close_if_idle(anyio.current_time())
    received = await served_connection.receive()
    assert_that(received.endswith(b"late"), Equals(True))
    assert_that(b"connection: close" in received.lower(), Equals(True))
    assert_that(await served_connection.receive(), Equals(b""))


async def test_unused_connection_is_closed_when_its_time_for_a_first_request_is_over(
    served_connection,
):
    served_connection.idle_s = 600.0
    await wait_until(lambda: served_connection.connection.idle_scope is not None)
    served_connection.is_stopping = True
    served_connection.connection.close_if_idle()
    served_connection.connection.close_if_idle(anyio.current_time() + 0.1)
    assert_that(await served_connection.receive(), Equals(b""))
    assert_that(served_connection.served, Equals([]))
