"""Upstreams whose responses have neither a length nor chunks, and end with their connection."""

import itertools
import socket
import struct

import anyio
import anyio.lowlevel
import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from gateway_rig import headers, send, turn_headers, wait_until
from skylarkferry_gateway import defaults
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour, Replica
from skylarkferry_standins.wire_server import WireReply, WireServer, encode_reply
from stream_clients import receive

pytestmark = pytest.mark.anyio

EVENTS = [f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENT_COUNT + 1)]
STREAM = b"".join(EVENTS)
OUTPUT = b"".join(f"token {n}\n".encode() for n in range(1, EVENT_COUNT + 1))
VERSIONS = [b"HTTP/1.0", b"HTTP/1.1"]
PIECE_BYTES = 7
LARGE_BYTES = 1_000_000


class UnframedServer(WireServer):
    """Writes responses without a length; the end of the connection is the end of the body.

    ``cut`` is the part of the body that is written.
    """

    def __init__(self, replica, version=b"HTTP/1.1", cut=slice(None), *, is_reset=False):
        super().__init__(replica.handle)
        self.version = version
        self.cut = cut
        self.is_reset = is_reset
        self.added_headers = b""

    async def _send(self, stream, reply):
        await anyio.sleep(reply.delay_s)
        head, _, body = encode_reply(reply).partition(b"\r\n\r\n")
        status, *fields = head.split(b"\r\n")
        fields = [field for field in fields if not field.startswith(b"Content-Length")]
        lines = [status.replace(b"HTTP/1.1", self.version), *fields]
        await stream.send(b"\r\n".join(lines) + self.added_headers + b"\r\n\r\n")
        for piece in pieces_of(body[self.cut]):
            await stream.send(piece)
            await anyio.lowlevel.checkpoint()
        if self.is_reset:
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False


def pieces_of(body):
    """Return a body in pieces that do not end where its events end."""
    size = max(PIECE_BYTES, len(body) // 20)
    return [body[start : start + size] for start in range(0, len(body), size)]


async def add_unframed_replica(rig, name, service, *args, **options):
    """Add a replica whose responses have no length, and return its server."""
    replica = rig.replicas[name] = Replica(name)
    rig.addresses[name] = free_address()
    server = rig.servers[name] = UnframedServer(replica, *args, **options)
    await rig.listen(rig.addresses[name], server)
    rig.register_replica(name, service)
    return server


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("field", [b"", b"\r\nConnection: close", b"\r\nConnection: keep-alive"])
@pytest.mark.parametrize("path", ["/order/1", "/get/1"])
async def test_unframed_response_is_complete_at_a_clean_end_and_its_connection_is_not_reused(
    rig, path, field, version
):
    server = await add_unframed_replica(rig, "r1", "tools", version)
    server.added_headers = field
    await rig.add_gateway()
    for number in range(3):
        body = f"body {number}".encode()
        response = await send(rig, path, headers(f"id-{number}"), body)
        assert_that((response.status_code, response.content), Equals((200, b"answer to " + body)))
        assert_that(response.headers["content-length"], Equals(str(len(response.content))))
    assert_that(server.connections, Equals(3))


@pytest.mark.parametrize("size", [0, LARGE_BYTES])
@pytest.mark.parametrize("version", VERSIONS)
async def test_unframed_response_of_any_size_is_complete_at_a_clean_end(
    rig, size, version, monkeypatch
):
    server = await add_unframed_replica(rig, "r1", "tools", version)
    await rig.add_gateway()
    body = b"y" * size
    monkeypatch.setattr(Replica, "_execute", whole_reply(body))
    response = await send(rig, "/order/1", headers("id-1"))
    assert_that((response.status_code, response.content == body), Equals((200, True)))
    assert_that(server.connections, Equals(1))


def whole_reply(body):
    """Return the work of a replica that responds with this body."""

    def execute(replica, request, request_id, behaviour):
        return WireReply(200, replica._headers(request_id), body)

    return execute


@pytest.mark.parametrize("cut", [slice(0), slice(-3), slice(None)], ids=["head", "part", "all"])
@pytest.mark.parametrize("version", VERSIONS)
async def test_unframed_response_that_is_reset_is_not_complete(rig, version, cut):
    await add_unframed_replica(rig, "r1", "tools", version, cut, is_reset=True)
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"), b"x")
    assert_that((response.status_code, rig.arrivals()), Equals((502, 1)))
    assert_that(response.json()["word"], Equals("unknown"))


@pytest.mark.parametrize("cut", [slice(0), slice(-3), slice(None)], ids=["head", "part", "all"])
@pytest.mark.parametrize("version", VERSIONS)
async def test_repeatable_request_whose_unframed_response_is_reset_is_sent_again(rig, version, cut):
    await add_unframed_replica(rig, "r1", "tools", version, cut, is_reset=True)
    await rig.add_replica("r2")
    await rig.add_gateway()
    for number in range(6):
        response = await send(rig, "/get/1", headers(f"id-{number}"), b"x")
        assert_that((response.status_code, response.content), Equals((200, b"answer to x")))
    assert_that(len(rig.replicas["r1"].runs) > 0, Equals(True))


async def test_response_with_a_length_that_ends_early_is_not_complete_in_http_1_0(rig):
    server = await add_unframed_replica(rig, "r1", "tools", b"HTTP/1.0", slice(-3))
    server.added_headers = b"\r\nContent-Length: 11"
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"), b"x")
    assert_that((response.status_code, rig.arrivals()), Equals((502, 1)))


@pytest.mark.parametrize("is_reset", [False, True])
async def test_unframed_refusal_never_leads_to_a_second_run(rig, is_reset):
    for name in ("r1", "r2"):
        await add_unframed_replica(rig, name, "tools", is_reset=is_reset)
        rig.replicas[name].behaviour = lambda request: Behaviour.SHED
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"))
    assert_that(response.status_code, Equals(502 if is_reset else 503))
    assert_that([replica.runs for replica in rig.replicas.values()], Equals([[], []]))


async def test_unframed_failure_is_returned_unchanged(rig):
    await add_unframed_replica(rig, "r1", "tools")
    rig.replicas["r1"].behaviour = lambda request: Behaviour.FAIL
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"))
    assert_that((response.status_code, response.content), Equals((500, b"failed")))


async def test_unframed_response_to_a_large_body_is_complete_at_a_clean_end(rig):
    await add_unframed_replica(rig, "r1", "tools")
    await rig.add_gateway()
    body = b"x" * (3 * defaults.LARGE_BODY_BYTES)
    response = await send(rig, "/order/1", headers("id-1"), body)
    assert_that(response.status_code, Equals(200))
    assert_that(response.content == b"answer to " + body, Equals(True))


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("path", ["/turn/1", "/resume/1", "/kept/1"])
async def test_unframed_stream_is_complete_at_a_clean_end_and_its_connection_is_not_reused(
    rig, path, version
):
    server = await add_unframed_replica(rig, "e1", "engine", version)
    await rig.add_gateway()
    for number in range(3):
        outcome = await receive(rig, path, turn_headers(f"t-{number}"))
        assert_that(outcome, Equals((200, STREAM, True)))
    assert_that(server.connections, Equals(3))


CUTS = {
    "in the first event": slice(5),
    "in the last event": slice(-8),
    "before the last blank line": slice(-1),
}
WHOLE_EVENTS = {"in the first event": 0, "in the last event": 4, "before the last blank line": 4}
"""Events that are complete before the cut."""


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("path", ["/turn/1", "/kept/1"])
async def test_unframed_stream_that_ends_inside_an_event_is_not_complete(
    rig, path, cut, version, is_reset
):
    await add_unframed_replica(rig, "e1", "engine", version, CUTS[cut], is_reset=is_reset)
    await rig.add_gateway()
    await assert_broken_off(rig, path, WHOLE_EVENTS[cut])


async def assert_broken_off(rig, path, events):
    """Send a request whose stream ends early after some events, and check what its client gets."""
    status, received, is_complete = await receive(rig, path, turn_headers("t-1"))
    if events == 0:
        assert_that(status, Equals(502))
        return
    outcome = (status, received, is_complete)
    assert_that(outcome, Equals((200, b"".join(EVENTS[:events]), False)))


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("path", ["/turn/1", "/kept/1"])
@pytest.mark.parametrize("events", [0, 2, EVENT_COUNT])
async def test_unframed_stream_that_is_reset_between_events_is_not_complete(
    rig, path, version, events
):
    cut = slice(len(b"".join(EVENTS[:events])))
    await add_unframed_replica(rig, "e1", "engine", version, cut, is_reset=True)
    await rig.add_gateway()
    await assert_broken_off(rig, path, events)


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("cut", CUTS)
async def test_resumable_unframed_stream_that_is_broken_off_goes_on_at_another_upstream(
    rig, cut, is_reset, version
):
    await add_unframed_replica(rig, "e1", "engine", version, CUTS[cut], is_reset=is_reset)
    await assert_resumed(rig, WHOLE_EVENTS[cut])


async def assert_resumed(rig, events):
    """Send streams until e1 began one, and check that e2 completed it after these events."""
    await rig.add_replica("e2", "engine")
    await rig.add_gateway()
    numbers = itertools.count()
    while not rig.replicas["e1"].runs:
        outcome = await receive(rig, "/resume/1", turn_headers(f"t-{next(numbers)}"))
        assert_that(outcome, Equals((200, STREAM, True)))
    last = rig.replicas["e2"].runs[-1]
    assert_that(last.headers.get("last-event-id", "0"), Equals(str(events)))


# Guards against streams that end as complete by an empty rest, which shows nothing.
async def test_unframed_stream_that_is_reset_after_its_last_event_is_resumed_by_its_client(rig):
    await add_unframed_replica(rig, "e1", "engine", is_reset=True)
    await rig.add_replica("e2", "engine")
    await rig.add_gateway()
    request_ids = (f"t-{number}" for number in itertools.count())
    outcome = (200, STREAM, True)
    while not rig.replicas["e1"].runs:
        assert_that(outcome, Equals((200, STREAM, True)))
        begun = next(request_ids)
        outcome = await receive(rig, "/resume/1", turn_headers(begun))
    assert_that(outcome, Equals((200, STREAM, False)))
    last = rig.replicas["e2"].runs[-1]
    assert_that(last.headers["last-event-id"], Equals(str(EVENT_COUNT)))
    resumption = {"Last-Event-Id": str(EVENT_COUNT), "Resumes": begun}
    rig.register_replica("e1", "engine", state="draining")
    await wait_until(lambda: rig.gateways[0].upstreams.upstreams["e1"].entry.is_leaving)
    outcome = await receive(rig, "/resume/1", {**turn_headers(next(request_ids)), **resumption})
    assert_that(outcome, Equals((200, b"", True)))


@pytest.mark.parametrize("version", VERSIONS)
async def test_turn_with_an_unframed_stream_is_kept_at_a_clean_end(rig, version):
    await add_unframed_replica(rig, "e1", "engine", version)
    await rig.add_gateway()
    await receive(rig, "/kept/1", turn_headers("t-1"), b"one ")
    fields = turn_headers("t-2", Previous_Turn="t-1")
    outcome = await receive(rig, "/kept/1", fields, b"two ")
    assert_that(outcome, Equals((200, STREAM, True)))
    assert_that(rig.replicas["e1"].runs[-1].body, Equals(b"one " + OUTPUT + b"two "))


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize(
    ("cut", "is_reset"), [(slice(-8), False), (slice(-8), True), (slice(None), True)]
)
async def test_turn_whose_unframed_stream_is_broken_off_is_not_kept(rig, version, cut, is_reset):
    await add_unframed_replica(rig, "e1", "engine", version, cut, is_reset=is_reset)
    await rig.add_gateway()
    _, _, is_complete = await receive(rig, "/kept/1", turn_headers("t-1"), b"one ")
    fields = turn_headers("t-2", Previous_Turn="t-1")
    status, _, _ = await receive(rig, "/kept/1", fields, b"two ")
    assert_that((is_complete, status), Equals((False, 404)))
    assert_that(rig.replicas["e1"].runs, HasLength(1))
