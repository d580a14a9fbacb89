"""Upstreams that write a response again, before the response to a later request."""

import itertools

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from gateway_rig import TIMEOUT_S, config, headers, send, turn_headers, wait_until
from skylarkferry_gateway import defaults
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour, Replica
from skylarkferry_standins.wire_server import Ending, WireReply, WireServer, encode_reply

pytestmark = pytest.mark.anyio

NOT_RUN = {"Skylarkferry-Not-Executed": "1"}
DUPLICATES = {
    "503": WireReply(503, NOT_RUN, b"full"),
    "503, closes": WireReply(503, {**NOT_RUN, "Connection": "close"}, b"full"),
    "429": WireReply(429, NOT_RUN),
    "421": WireReply(421, {"Skylarkferry-Instance-Id": "another"}),
    "408": WireReply(408, NOT_RUN),
    "404": WireReply(404, {}, b"unknown"),
    "500": WireReply(500, {}, b"failed"),
    "200": WireReply(200, {"Skylarkferry-Response-Signature": "signed by r1"}, b"other"),
}
STREAM = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENT_COUNT + 1))
WORK_S = 0.02
DUPLICATES_NEEDED = 3


class DuplicatingServer(WireServer):
    """Writes a duplicate before, or after, each response from one request of a connection on.

    ``pieces`` is the duplicate as it is written, one piece after the other, or joined with the
    response.
    """

    def __init__(self, replica, pieces, *, begins_at=2, is_after=False, is_joined=False):
        super().__init__(replica.handle)
        self.pieces = pieces
        self.begins_at = begins_at
        self.is_after = is_after
        self.is_joined = is_joined
        self.is_answered = True
        self.requests = {}
        self.written = 0

    async def _send(self, stream, reply):
        self.requests[stream] = self.requests.get(stream, 0) + 1
        if self.requests[stream] < self.begins_at:
            return await super()._send(stream, reply)
        self.written += 1
        if self.is_joined:
            data = b"".join(self.pieces) + encode_reply(reply)
            return await super()._send(stream, WireReply(raw=data, delay_s=reply.delay_s))
        if self.is_after:
            is_open = await super()._send(stream, reply)
            await self._write(stream)
            return is_open
        await self._write(stream)
        if not self.is_answered:
            return await super()._send(stream, WireReply(raw=b"", ending=Ending.SILENT))
        return await super()._send(stream, reply)

    async def _write(self, stream):
        for piece in self.pieces:
            await stream.send(piece)
            await anyio.sleep(WORK_S)


class EagerStream:
    """Writes a duplicate as soon as a connection's second request begins to arrive."""

    def __init__(self, stream, duplicate, server):
        self.stream = stream
        self.duplicate = duplicate
        self.server = server
        self.requests = 0

    def __getattr__(self, name):
        return getattr(self.stream, name)

    async def receive(self):
        data = await self.stream.receive()
        if data.startswith(b"POST "):
            self.requests += 1
            if self.requests > 1:
                self.server.written += 1
                await self.stream.send(self.duplicate)
        return data


class EagerServer(WireServer):
    """Writes a duplicate before it has read the request."""

    def __init__(self, replica, duplicate):
        super().__init__(replica.handle)
        self.duplicate = duplicate
        self.written = 0

    async def serve(self, stream):
        await super().serve(EagerStream(stream, self.duplicate, self))


async def add_duplicating_replica(rig, name, service, *pieces, **options):
    """Add a replica that writes the duplicate, and return its server."""
    replica = rig.replicas[name] = Replica(name)
    rig.addresses[name] = free_address()
    server = rig.servers[name] = DuplicatingServer(replica, pieces, **options)
    await rig.listen(rig.addresses[name], server)
    rig.register_replica(name, service)
    return server


def duplicates_written(rig):
    """Return the number of duplicates that the replicas have written."""
    return sum(getattr(server, "written", 0) for server in rig.servers.values())


def runs_of(rig, request_id):
    """Return how often replicas have run a request."""
    return [run.request_id for item in rig.replicas.values() for run in item.runs].count(request_id)


async def send_until_duplicated(rig, path, fields, body=b"x"):
    """Send requests until enough duplicates were written; return their ids and responses."""
    responses = {}
    while duplicates_written(rig) < DUPLICATES_NEEDED:
        request_id = f"id-{len(responses)}"
        responses[request_id] = await send(rig, path, fields(request_id), body)
    return responses


async def assert_answered_once(rig, path, fields, content, body=b"x"):
    """Send requests until enough duplicates were written; each runs once and gets its response."""
    with anyio.fail_after(TIMEOUT_S):
        responses = await send_until_duplicated(rig, path, fields, body)
    for request_id, response in responses.items():
        outcome = (response.status_code, response.content, runs_of(rig, request_id))
        assert_that(outcome, Equals((200, content, 1)))
    for upstream in rig.gateways[0].upstreams.upstreams.values():
        assert_that(upstream.accepts_requests, Equals(True))


@pytest.mark.parametrize("duplicate", DUPLICATES.values(), ids=DUPLICATES)
@pytest.mark.parametrize(("path", "upstreams"), [("/order/1", 1), ("/order/1", 3), ("/get/1", 2)])
async def test_response_without_id_on_a_kept_connection_is_not_taken_for_the_requests(
    rig, path, upstreams, duplicate
):
    for number in range(upstreams):
        await add_duplicating_replica(rig, f"r{number}", "tools", encode_reply(duplicate))
    await rig.add_gateway()
    await assert_answered_once(rig, path, headers, b"answer to x")


@pytest.mark.parametrize("duplicate", DUPLICATES.values(), ids=DUPLICATES)
@pytest.mark.parametrize("path", ["/turn/1", "/resume/1", "/kept/1"])
async def test_response_without_id_on_a_kept_connection_is_not_taken_for_a_stream(
    rig, path, duplicate
):
    for name in ("e1", "e2"):
        await add_duplicating_replica(rig, name, "engine", encode_reply(duplicate))
    await rig.add_gateway()
    await assert_answered_once(rig, path, turn_headers, STREAM)


@pytest.mark.parametrize("cut", [1, 20, -2])
async def test_refusal_without_id_that_arrives_in_pieces_is_not_taken_for_the_requests(rig, cut):
    data = encode_reply(DUPLICATES["503"])
    await add_duplicating_replica(rig, "r1", "tools", data[:cut], data[cut:])
    await rig.add_gateway()
    await assert_answered_once(rig, "/order/1", headers, b"answer to x")


async def test_refusal_without_id_in_one_packet_with_the_response_is_not_taken_for_it(rig):
    data = encode_reply(DUPLICATES["503"])
    await add_duplicating_replica(rig, "r1", "tools", data, is_joined=True)
    await rig.add_gateway()
    await assert_answered_once(rig, "/order/1", headers, b"answer to x")


@pytest.mark.parametrize("cut", [20, -2, None])
async def test_refusal_without_id_on_an_idle_connection_is_not_taken_for_the_next_requests(
    rig, cut
):
    data = encode_reply(DUPLICATES["503"])
    pieces = [piece for piece in (data[:cut], data[len(data[:cut]) :]) if piece]
    await add_duplicating_replica(rig, "r1", "tools", *pieces, begins_at=1, is_after=True)
    await rig.add_gateway()
    await assert_answered_once(rig, "/order/1", headers, b"answer to x")


async def test_refusal_without_id_during_a_large_body_is_not_taken_for_the_requests(rig):
    replica = await rig.add_replica("r1")
    server = rig.servers["r1"] = EagerServer(replica, encode_reply(DUPLICATES["503"]))
    await replica.listener.aclose()
    await rig.listen(rig.addresses["r1"], server)
    await rig.add_gateway()
    body = b"x" * (3 * defaults.LARGE_BODY_BYTES)
    await assert_answered_once(rig, "/order/1", headers, b"answer to " + body, body)


async def test_true_refusal_after_a_refusal_without_id_goes_to_another_upstream(rig):
    data = encode_reply(DUPLICATES["503"])
    for name in ("r1", "r2"):
        await add_duplicating_replica(rig, name, "tools", data)
    await rig.add_gateway()
    rig.replicas["r1"].behaviour = lambda request: Behaviour.SHED
    await assert_answered_once(rig, "/order/1", headers, b"answer to x")


async def send_to_silent(rig, path, fields):
    """Send requests until one gets only a duplicate; return its id and response."""
    numbers = itertools.count()
    while not duplicates_written(rig):
        request_id = f"id-{next(numbers)}"
        response = await send(rig, path, fields(request_id), b"x")
    return request_id, response


def fields_of(path):
    """Return the function that makes the headers of a path's requests."""
    return headers if path in ("/get/1", "/order/1") else turn_headers


@pytest.mark.parametrize("duplicate", DUPLICATES.values(), ids=DUPLICATES)
@pytest.mark.parametrize("path", ["/order/1", "/turn/1"])
async def test_request_with_only_a_response_without_id_is_not_called_not_run_nor_sent_again(
    rig, path, duplicate
):
    service = "tools" if path == "/order/1" else "engine"
    routes = {path[:-1]: {"kind": "non_idempotent", "service": service, "timeoutMs": 400}}
    if service == "engine":
        routes[path[:-1]] |= {"kind": "streaming", "retentionS": 60.0}
    rig.configure(config(2, {name: {**route, "maxAttempts": 3} for name, route in routes.items()}))
    for number in range(3):
        server = await add_duplicating_replica(rig, f"r{number}", service, encode_reply(duplicate))
        server.is_answered = False
    await rig.add_gateway()
    with anyio.fail_after(TIMEOUT_S):
        request_id, response = await send_to_silent(rig, path, fields_of(path))
    assert_that((response.status_code, runs_of(rig, request_id)), Equals((504, 1)))
    assert_that(response.json()["word"], Equals("unknown"))


@pytest.mark.parametrize("kind", ["503", "421", "404"])
@pytest.mark.parametrize("path", ["/get/1", "/resume/1"])
async def test_repeatable_request_with_only_a_response_without_id_is_sent_to_another_upstream(
    rig, path, kind
):
    service = "tools" if path == "/get/1" else "engine"
    duplicate = encode_reply(DUPLICATES[kind])
    server = await add_duplicating_replica(rig, "r1", service, duplicate)
    server.is_answered = False
    await rig.add_gateway()
    await send(rig, path, fields_of(path)("first"), b"x")
    await rig.add_replica("r2", service)
    await wait_until(lambda: "r2" in rig.gateways[0].upstreams.upstreams)
    with anyio.fail_after(TIMEOUT_S):
        request_id, response = await send_to_silent(rig, path, fields_of(path))
    content = b"answer to x" if path == "/get/1" else STREAM
    assert_that((response.status_code, response.content), Equals((200, content)))
    assert_that(rig.replicas["r2"].received_ids[-1], Equals(request_id))


async def test_refusal_without_id_after_a_response_to_another_request_is_not_believed(rig):
    other = WireReply(200, {"Skylarkferry-Request-Id": "an-earlier-request"}, b"other")
    data = [encode_reply(other), encode_reply(DUPLICATES["503"])]
    await add_duplicating_replica(rig, "r1", "tools", *data, begins_at=1)
    await rig.add_gateway()
    await assert_answered_once(rig, "/order/1", headers, b"answer to x")


async def test_endless_responses_without_id_end_the_attempt(rig):
    data = encode_reply(DUPLICATES["503"])
    server = await add_duplicating_replica(rig, "r1", "tools", *[data] * 100)
    server.is_answered = False
    await rig.add_gateway()
    with anyio.fail_after(TIMEOUT_S):
        request_id, response = await send_to_silent(rig, "/order/1", headers)
    assert_that((response.status_code, runs_of(rig, request_id)), Equals((502, 1)))
    assert_that(rig.gateways[0].upstreams.upstreams["r1"].idle, HasLength(0))


async def test_refusal_without_id_is_believed_on_a_new_connection(rig):
    # Nothing that the upstream received before on this connection can have caused it.
    first = await rig.add_replica("r1")
    first.behaviour = lambda request: Behaviour.SHED_WITHOUT_ID
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"))
    assert_that((response.status_code, first.runs), Equals((503, [])))
    assert_that(response.json()["word"], Equals("not_run"))
