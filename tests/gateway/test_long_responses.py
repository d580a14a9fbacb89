import anyio
import h11
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from skylarkferry_core.routes import ClientLimits
from skylarkferry_gateway import defaults
from skylarkferry_gateway.http_server import ClientConnection, ClientLeftError

pytestmark = pytest.mark.anyio

BODY = b"x" * 1_000_000


class SlowReader:
    """The stream to a client that takes bytes at a fixed rate, or none at all."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.received = []

    async def send(self, data):
        await anyio.sleep(len(data) / self.bytes_per_s if self.bytes_per_s else 60.0)
        self.received.append(bytes(data))


async def respond(stream):
    connection = ClientConnection(stream, ClientLimits, None, lambda: False)
    connection.http.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert isinstance(connection.http.next_event(), h11.Request)
    await connection.respond(200, [], BODY)


async def test_client_that_takes_a_long_response_slowly_gets_all_of_it(anyio_backend, monkeypatch):
    monkeypatch.setattr(defaults, "CLIENT_SEND_S", 0.2)
    stream = SlowReader(2_000_000)
    await respond(stream)
    received = b"".join(stream.received)
    assert_that(received.partition(b"\r\n\r\n")[2], Equals(BODY))
    assert_that(max(map(len, stream.received)), LessThan(2 * defaults.SEND_BYTES))


async def test_client_that_takes_nothing_of_a_long_response_is_given_up(anyio_backend, monkeypatch):
    monkeypatch.setattr(defaults, "CLIENT_SEND_S", 0.2)
    with anyio.fail_after(1.0), pytest.raises(ClientLeftError):
        await respond(SlowReader(0))
