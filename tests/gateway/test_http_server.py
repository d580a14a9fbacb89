import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

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
