"""Streams that break off and go on at another upstream, whose response may be no continuation."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import config, send, turn_headers
from skylarkferry_gateway import attempts
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import EVENT_COUNT, Replica, process_report
from skylarkferry_standins.wire_server import Ending, WireReply, WireServer, encode_reply
from stream_clients import receive

pytestmark = pytest.mark.anyio

PATH = "/resume/1"
SENT = 3
"""Events that the first upstream sends before its stream breaks off."""
EVENT_STREAM = {"Content-Type": "text/event-stream"}
COMMENT = b": still here\n\n"
ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 7"


def events(first, last=EVENT_COUNT):
    return b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(first, last + 1))


STREAM = events(1)
REST = events(SENT + 1)
FOREIGN = {
    "html": ({"Content-Type": "text/html"}, b"<p>failed</p>\n\n<p>sorry</p>\n\n"),
    "html before the rest": ({"Content-Type": "text/html"}, b"<p>failed</p>\n\n" + REST),
    "the rest as plain text": ({"Content-Type": "text/plain; charset=utf-8"}, REST),
    "head of an error": (EVENT_STREAM, ERROR_HEAD + b"\r\n\r\nfailed\n\n"),
    "head of an error before the rest": (EVENT_STREAM, ERROR_HEAD + b"\r\n\r\nfailed\n\n" + REST),
    "head of an error within an event": (
        EVENT_STREAM,
        ERROR_HEAD.replace(b"\r\n", b"\n") + b"\n" + REST,
    ),
    "events without ids": (EVENT_STREAM, b"data: token 4\n\ndata: token 5\n\n"),
    "one event without an id": (EVENT_STREAM, b"data: token 4\n\n" + REST),
    "an error event without an id": (EVENT_STREAM, b"event: error\ndata: failed\n\n" + REST),
}
EMPTY = {
    "no event": (EVENT_STREAM, b""),
    "no event and no media type": ({}, b""),
    "a comment": (EVENT_STREAM, COMMENT),
}


class Script:
    """Replies of all upstreams together, by the order in which requests arrive; the last repeats.

    Each reply is made from the request's own headers and ``Last-Event-Id``.
    """

    def __init__(self, *replies):
        self.replies = replies
        self.last_event_ids = []

    async def handle(self, request):
        report = process_report(request, born_ms=1)
        if report is not None:
            return report
        number = min(len(self.last_event_ids), len(self.replies) - 1)
        last_event_id = int(request.headers.get("last-event-id", "0"))
        self.last_event_ids.append(last_event_id)
        identity = {
            "Skylarkferry-Request-Id": request.headers["skylarkferry-request-id"],
            "Skylarkferry-Response-Signature": f"signature {number}",
        }
        return self.replies[number](identity, last_event_id)


def cut_after(count, body=STREAM, added=EVENT_STREAM):
    """Send the first events of a stream, then reset the connection."""

    def reply(identity, last_event_id):
        whole = encode_reply(WireReply(200, {**identity, **added}, body))
        unsent = body.split(b"\n\n", count)[count]
        return WireReply(raw=whole[: len(whole) - len(unsent)], ending=Ending.RESET)

    return reply


def answer(added, body):
    return lambda identity, last_event_id: WireReply(200, {**identity, **added}, body)


def serve(identity, last_event_id):
    return WireReply(200, {**identity, **EVENT_STREAM}, events(last_event_id + 1))


async def add_upstreams(rig, *replies, count=3, server=WireServer):
    """Add upstreams that follow one script, and a gateway; return the script."""
    routes = {PATH.removesuffix("1"): {"kind": "streaming", "service": "engine"}}
    routes["/resume/"] |= {"maxAttempts": 3, "resumable": True}
    rig.configure(config(2, routes))
    script = Script(*replies)
    for number in range(count):
        name = f"e{number}"
        rig.replicas[name] = Replica(name)
        rig.addresses[name] = free_address()
        await rig.listen(rig.addresses[name], server(script.handle))
        rig.register_replica(name, "engine")
    await rig.add_gateway()
    return script


# Guards against error texts and foreign events in the middle of a client's stream.
@pytest.mark.parametrize("kind", FOREIGN)
async def test_stream_goes_on_at_the_next_upstream_after_a_response_that_is_no_continuation(
    rig, kind
):
    script = await add_upstreams(rig, cut_after(SENT), answer(*FOREIGN[kind]), serve)
    status, received, is_complete = await receive(rig, PATH, turn_headers("t-1"))
    assert_that((status, is_complete), Equals((200, True)))
    assert_that(received, Equals(STREAM))
    assert_that(len(script.last_event_ids), Equals(3))


# Guards against error texts that end a client's stream as complete.
@pytest.mark.parametrize("kind", FOREIGN)
async def test_stream_never_looks_complete_if_no_upstream_continues_it(rig, kind):
    script = await add_upstreams(rig, cut_after(SENT), answer(*FOREIGN[kind]))
    status, received, is_complete = await receive(rig, PATH, turn_headers("t-1"))
    assert_that((status, is_complete), Equals((200, False)))
    assert_that(STREAM.startswith(received), Equals(True))
    assert_that(len(script.last_event_ids) > 1, Equals(True))


# Guards against error texts that a client joins to the events that it has.
@pytest.mark.parametrize("kind", FOREIGN)
async def test_client_that_resumes_gets_no_response_that_is_no_continuation(rig, kind):
    script = await add_upstreams(rig, answer(*FOREIGN[kind]), serve)
    fields = {**turn_headers("t-2"), "Last-Event-Id": str(SENT), "Resumes": "t-1"}
    response = await send(rig, PATH, fields, b"prompt")
    assert_that((response.status_code, response.content), Equals((200, REST)))
    assert_that(len(script.last_event_ids), Equals(2))


async def test_continuation_may_hold_comments_other_fields_and_a_charset(rig):
    rest = (
        COMMENT
        + b"skylarkferry-weight-versions: 2\n"
        + REST.replace(b"id: 5", b"event: token\nretry: 100\nid: 5")
    )
    added = {"Content-Type": "Text/Event-Stream; charset=utf-8"}
    script = await add_upstreams(rig, cut_after(SENT), answer(added, rest))
    status, received, is_complete = await receive(rig, PATH, turn_headers("t-1"))
    assert_that((status, is_complete), Equals((200, True)))
    assert_that(received, Equals(events(1, SENT) + rest))
    assert_that(len(script.last_event_ids), Equals(2))


@pytest.mark.parametrize("added", [{}, {"Content-Type": "application/x-tokens"}])
async def test_continuation_has_the_media_type_of_the_stream(rig, added):
    script = await add_upstreams(rig, cut_after(SENT, added=added), answer(added, REST))
    status, received, is_complete = await receive(rig, PATH, turn_headers("t-1"))
    assert_that((status, received, is_complete), Equals((200, STREAM, True)))
    assert_that(script.last_event_ids, Equals([0, SENT]))


# Guards against events that are missing after a read that held an invalid event.
@pytest.mark.parametrize("invalid", [events(2, 2), b"id: four\ndata: token 4\n\n"])
@pytest.mark.parametrize("valid", [1, SENT])
async def test_events_read_together_with_an_invalid_one_are_not_lost(rig, valid, invalid):
    first = answer(EVENT_STREAM, events(1, valid) + invalid.replace(b"2", b"1") + REST)
    script = await add_upstreams(rig, first, serve)
    status, received, is_complete = await receive(rig, PATH, turn_headers("t-1"))
    assert_that((status, received, is_complete), Equals((200, STREAM, True)))
    assert_that(len(script.last_event_ids), Equals(2))


# Guards against events that are missing after a continuation that held an invalid event.
async def test_events_of_a_continuation_read_together_with_an_invalid_one_are_not_lost(rig):
    rest = REST + b"data: token 6\n\n"
    script = await add_upstreams(rig, cut_after(SENT), answer(EVENT_STREAM, rest), serve)
    status, received, is_complete = await receive(rig, PATH, turn_headers("t-1"))
    assert_that((status, received, is_complete), Equals((200, STREAM, True)))
    assert_that(len(script.last_event_ids), Equals(3))


# Guards against streams that end as complete before their last event.
@pytest.mark.parametrize("kind", EMPTY)
async def test_stream_goes_on_at_the_next_upstream_after_an_empty_response(rig, kind):
    script = await add_upstreams(rig, cut_after(SENT), answer(*EMPTY[kind]), serve)
    status, received, is_complete = await receive(rig, PATH, turn_headers("t-1"))
    assert_that((status, is_complete), Equals((200, True)))
    assert_that(received.replace(COMMENT, b""), Equals(STREAM))
    assert_that(len(script.last_event_ids), Equals(3))


# Guards against streams that end as complete before their last event.
@pytest.mark.parametrize("kind", EMPTY)
async def test_stream_never_looks_complete_after_empty_responses(rig, kind):
    script = await add_upstreams(rig, cut_after(SENT), answer(*EMPTY[kind]))
    status, received, is_complete = await receive(rig, PATH, turn_headers("t-1"))
    assert_that((status, is_complete), Equals((200, False)))
    assert_that(received.replace(COMMENT, b""), Equals(events(1, SENT)))
    assert_that(len(script.last_event_ids) > 1, Equals(True))


async def test_client_that_resumes_after_the_last_event_gets_an_empty_response(rig):
    await add_upstreams(rig, serve)
    fields = {**turn_headers("t-2"), "Last-Event-Id": str(EVENT_COUNT), "Resumes": "t-1"}
    response = await send(rig, PATH, fields, b"prompt")
    assert_that((response.status_code, response.content), Equals((200, b"")))


# Guards against events that come twice, as the next upstream cannot know what was sent.
@pytest.mark.parametrize("last", [b"data: token 3\n\n", b"event: done\ndata: 3\n\n"])
@pytest.mark.parametrize("first", [b"id: 1\ndata: token 1\n\n", b"data: token 1\n\n"])
async def test_stream_is_broken_off_if_its_last_event_has_no_id(rig, first, last):
    sent = first + events(2, 2) + last
    script = await add_upstreams(rig, cut_after(3, sent + REST), serve)
    outcome = await receive(rig, PATH, turn_headers("t-1"))
    assert_that(outcome, Equals((200, sent, False)))
    assert_that(script.last_event_ids, Equals([0]))


# Guards against events that come twice, as the next upstream cannot know what was sent.
async def test_stream_without_ids_is_broken_off(rig):
    sent = b"data: token 1\n\ndata: token 2\n\n"
    script = await add_upstreams(rig, cut_after(2, sent + b"data: token 3\n\n"), serve)
    outcome = await receive(rig, PATH, turn_headers("t-1"))
    assert_that(outcome, Equals((200, sent, False)))
    assert_that(script.last_event_ids, Equals([0]))


async def test_stream_goes_on_after_an_event_with_an_id_and_a_comment(rig):
    sent = b"data: token 1\n\n" + events(2, 2) + COMMENT
    script = await add_upstreams(rig, cut_after(3, sent + REST), serve)
    outcome = await receive(rig, PATH, turn_headers("t-1"))
    assert_that(outcome, Equals((200, sent + events(3), True)))
    assert_that(script.last_event_ids, Equals([0, 2]))


# Guards against streams that are broken off for a silence though no other upstream may go on.
async def test_silent_stream_that_cannot_go_on_elsewhere_is_waited_for(rig, monkeypatch):
    monkeypatch.setattr(attempts, "_STREAM_SILENCE_S", 0.1)
    sent = b"data: token 1\n\n"

    class PausingServer(WireServer):
        async def _send(self, stream, reply):
            head = encode_reply(reply).partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
            await stream.send(head + sent)
            await anyio.sleep(0.5)
            await stream.send(reply.body[len(sent) :])
            return True

    script = await add_upstreams(rig, answer(EVENT_STREAM, sent + REST), server=PausingServer)
    outcome = await receive(rig, PATH, turn_headers("t-1"))
    assert_that(outcome, Equals((200, sent + REST, True)))
    assert_that(script.last_event_ids, Equals([0]))
