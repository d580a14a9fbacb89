"""Upstreams that stop in the middle of the head of a response and close the connection."""

import socket
import struct

import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, MatchesListwise

from gateway_rig import headers, turn_headers
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour, Replica
from skylarkferry_standins.wire_server import WireServer, encode_reply
from stream_clients import receive

pytestmark = pytest.mark.anyio

STEP_BYTES = 13
LAST_BYTES = 6
"""Heads are cut at each of their last bytes, and at some of the others."""
STREAM = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENT_COUNT + 1))


def with_length_last(head):
    lines = head.split(b"\r\n")
    return b"\r\n".join([*lines[:1], *lines[2:], lines[1]])


def without_length(head):
    lines = head.split(b"\r\n")
    return b"\r\n".join([*lines[:1], *lines[2:]])


FRAMINGS = {
    "length first": lambda head: head,
    "length last": with_length_last,
    "chunks first": lambda head: head.replace(
        b"Content-Length: ", b"Transfer-Encoding: chunked\r\nX: "
    ),
    "chunks last": lambda head: without_length(head) + b"\r\nTransfer-Encoding: chunked",
    "end of the connection": without_length,
    "after an interim response": lambda head: b"HTTP/1.1 103 Early Hints\r\n\r\n" + head,
}


class Cut:
    """The next cut, which one response of all upstreams together meets."""

    def __init__(self, frame, *, is_reset):
        self.frame = frame
        self.is_reset = is_reset
        self.at = None
        self.head_bytes = 0

    def positions(self):
        """Yield each position, the first of which finds out the head's length."""
        yield 1
        last = self.head_bytes - LAST_BYTES
        yield from range(1 + STEP_BYTES, last, STEP_BYTES)
        yield from range(last, self.head_bytes)


class CuttingServer(WireServer):
    """Writes the beginning of a head and ends the connection."""

    def __init__(self, replica, cut):
        super().__init__(replica.handle)
        self.cut = cut

    async def _send(self, stream, reply):
        if self.cut.at is None:
            return await super()._send(stream, reply)
        head = self.cut.frame(encode_reply(reply).partition(b"\r\n\r\n")[0]) + b"\r\n\r\n"
        self.cut.head_bytes = len(head)
        await stream.send(head[: self.cut.at])
        self.cut.at = None
        if self.cut.is_reset:
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False


@pytest.fixture(params=FRAMINGS)
def framing(request):
    return FRAMINGS[request.param]


@pytest.fixture(params=[False, True], ids=["close", "reset"])
async def cut(rig, framing, request):
    """Return the cut of two upstreams of each service, and run a gateway."""
    chosen = Cut(framing, is_reset=request.param)
    for name, service in {"r1": "tools", "r2": "tools", "e1": "engine", "e2": "engine"}.items():
        replica = rig.replicas[name] = Replica(name)
        rig.addresses[name] = free_address()
        await rig.listen(rig.addresses[name], CuttingServer(replica, chosen))
        rig.register_replica(name, service)
    await rig.add_gateway()
    return chosen


def runs_of(rig, request_id):
    runs = [run for replica in rig.replicas.values() for run in replica.runs]
    return [run for run in runs if run.request_id == request_id]


def refuse_until(rig, arrivals):
    """Let replicas refuse what arrives until a number of requests has arrived."""
    for replica in rig.replicas.values():
        replica.behaviour = lambda request: (
            Behaviour.SHED if rig.arrivals() <= arrivals else Behaviour.SERVE
        )


async def receive_cut(rig, cut, position, path, request_id):
    """Send a request whose first response is cut, and return the outcome."""
    fields = headers(request_id) if path in ("/get/1", "/order/1") else turn_headers(request_id)
    cut.at = position
    outcome = await receive(rig, path, fields, b"x")
    assert_that(cut.at, Equals(None))
    return outcome


# Guards against responses without body, or with a part of it, that look complete.
@pytest.mark.parametrize(("path", "body"), [("/get/1", b"answer to x"), ("/resume/1", STREAM)])
async def test_request_that_may_be_repeated_gets_a_whole_response_after_a_cut_head(
    rig, cut, path, body
):
    for position in cut.positions():
        outcome = await receive_cut(rig, cut, position, path, f"cut-{position:04d}")
        assert_that(outcome, Equals((200, body, True)))


# Guards against a second run, and against "not run" for a request that has run.
@pytest.mark.parametrize("path", ["/order/1", "/turn/1"])
async def test_request_that_may_run_once_fails_after_a_cut_head(rig, cut, path):
    for position in cut.positions():
        request_id = f"cut-{position:04d}"
        status, _, is_complete = await receive_cut(rig, cut, position, path, request_id)
        assert_that((status, is_complete), Equals((502, True)))
        assert_that(runs_of(rig, request_id), HasLength(1))
        await receive(rig, "/order/1", headers(f"whole-{position}"), b"x")


# Guards against a refusal that is taken for the response of a later request on its connection.
async def test_head_that_is_cut_after_a_refusal_on_the_connection_is_no_refusal(rig, cut):
    for position in cut.positions():
        refuse_until(rig, rig.arrivals() + 2)
        status, _, _ = await receive(rig, "/order/1", headers(f"refused-{position}"), b"x")
        assert_that((status, runs_of(rig, f"refused-{position}")), Equals((503, [])))
        request_id = f"cut-{position:04d}"
        status, _, _ = await receive_cut(rig, cut, position, "/order/1", request_id)
        assert_that(
            (status, runs_of(rig, request_id)), MatchesListwise([Equals(502), HasLength(1)])
        )
        await receive(rig, "/order/1", headers(f"whole-{position}"), b"x")
