"""Upstreams that send without end, until the gateway closes the connection."""

import anyio
import h11
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from gateway_rig import free_address, headers, send, wait_until
from skylarkferry_standins.replica import Replica

pytestmark = pytest.mark.anyio

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNK_BYTES = 65_536


class EndlessServer:
    """Server that answers each request with a head, and then repeats bytes without end."""

    def __init__(self, name, head, repeated):
        self.name = name
        self.head = head
        self.repeated = repeated * (CHUNK_BYTES // len(repeated))
        self.closed = 0

    async def serve(self, stream):
        try:
            request = await self._read(stream)
            fields = {name.decode(): value.decode() for name, value in request.headers}
            identity = (
                f"skylarkferry-request-id: {fields['skylarkferry-request-id']}\r\n"
                f"skylarkferry-response-signature: signed by {self.name}\r\n"
            )
            await stream.send(self.head.replace(b"IDENTITY", identity.encode()))
            while True:
                await stream.send(self.repeated)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed += 1
        finally:
            await anyio.aclose_forcefully(stream)

    async def _read(self, stream):
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if isinstance(event, h11.Request):
                return event
            http.receive_data(await stream.receive())


async def add_endless_replica(rig, name, service, head, repeated):
    server = EndlessServer(name, head, repeated)
    rig.addresses[name] = free_address()
    rig.replicas[name] = Replica(name)
    await rig.listen(rig.addresses[name], server)
    rig.register_replica(name, service)
    return server


async def test_interim_responses_without_end_fail_the_attempt_at_once(rig):
    server = await add_endless_replica(rig, "r1", "tools", b"", INTERIM)
    await rig.add_gateway()
    response = await send(rig, "/once/1", headers("id-1"))
    assert_that(response.status_code, Equals(502))
    assert_that(response.json()["detail"], Contains("interim"))
    await wait_until(lambda: server.closed == 1)
