"""Upstreams whose responses have a status that HTTP does not have."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import ROUTES, config, headers, turn_headers
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import Replica
from skylarkferry_standins.wire_server import WireServer, encode_reply
from stream_clients import receive

pytestmark = pytest.mark.anyio

STATUSES = [b"000", b"001", b"099", b"600", b"700", b"999"]


class StatusServer(WireServer):
    """Answers with a status of its own; the request has run."""

    def __init__(self, replica, status):
        super().__init__(replica.handle)
        self.status = status

    async def _send(self, stream, reply):
        await stream.send(encode_reply(reply).replace(b" 200 ", b" " + self.status + b" ", 1))
        return True


async def add_upstream(rig, service, status, attempts=1):
    routes = {path: {**route, "maxAttempts": attempts} for path, route in ROUTES.items()}
    rig.configure(config(1, routes))
    replica = rig.replicas["u1"] = Replica("u1")
    rig.addresses["u1"] = free_address()
    await rig.listen(rig.addresses["u1"], StatusServer(replica, status))
    rig.register_replica("u1", service)
    return replica


# Guards against bytes that are no answer of the protocol, and against failures with a signature
# and another status than the upstream gave.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ["/get/1", "/once/1"])
async def test_response_with_an_invalid_status_is_not_passed_on(rig, path, status):
    replica = await add_upstream(rig, "tools", status)
    await rig.add_gateway()
    answer, body, is_complete = await receive(rig, path, headers("id-1"))
    assert_that((answer, is_complete, len(replica.runs)), Equals((502, True, 1)))
    assert_that(b"answer to" in body, Equals(False))


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ["/turn/1", "/kept/1", "/resume/1"])
async def test_stream_with_an_invalid_status_is_not_passed_on(rig, path, status):
    replica = await add_upstream(rig, "engine", status)
    await rig.add_gateway()
    answer, body, is_complete = await receive(rig, path, turn_headers("id-1"))
    assert_that((answer, is_complete, len(replica.runs)), Equals((502, True, 1)))
    assert_that(b"token" in body, Equals(False))


async def test_request_that_may_be_repeated_goes_to_another_upstream(rig):
    bad = await add_upstream(rig, "tools", b"600", attempts=2)
    good = await rig.add_replica("u2", "tools")
    await rig.add_gateway()
    statuses = []
    with anyio.fail_after(20):
        while not bad.runs:
            outcome = await receive(rig, "/get/1", headers(f"id-{len(statuses)}"))
            statuses.append(outcome[0])
    assert_that(set(statuses), Equals({200}))
    assert_that(good.runs[-1].request_id, Equals(bad.runs[-1].request_id))
