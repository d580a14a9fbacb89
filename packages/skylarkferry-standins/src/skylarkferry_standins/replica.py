"""Stand-in for a replica of the users' platform, with the failures that the users list."""

from collections.abc import Callable
from enum import Enum

import anyio
import msgspec

from skylarkferry_standins.wire_server import Ending, WireReply, WireRequest, encode_reply

EVENT_COUNT = 5


class Behaviour(Enum):
    """What a replica does with a request."""

    SERVE = "serve"
    SHED = "shed"
    SHED_WITHOUT_ID = "shed_without_id"
    """Refuse the request in a response that does not repeat its id."""
    MISDIRECT = "misdirect"
    FAIL = "fail"
    BUSY_AFTER_ALL = "busy_after_all"
    """Run the request, then respond 503 without the header that says it was not executed."""
    RESET_UNRUN = "reset_unrun"
    LOSE_ANSWER = "lose_answer"
    CLOSE = "close"
    """Close the connection in order, without a response."""
    CLOSE_IN_RESPONSE = "close_in_response"
    """Close the connection in order after a part of the response."""
    SILENT = "silent"
    TRUNCATE = "truncate"
    UNSIGNED = "unsigned"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    EXTRA = "extra"
    """Send the response twice on the connection."""
    STALE_FIRST = "stale_first"
    """Send the response of an earlier request before the requested one."""
    CUT_IN_EVENT = "cut_in_event"
    REPEAT_EVENT = "repeat_event"
    FOREIGN_REST = "foreign_rest"
    """Answer the resumption of a stream with a whole, signed page instead of its rest."""


class ExecutedRequest(msgspec.Struct, frozen=True):
    """A request that a replica has executed."""

    request_id: str
    target: str
    body: bytes
    headers: dict[str, str]


def process_report(request: WireRequest, born_ms: int) -> WireReply | None:
    """Return the reply to a request for the report about a process, ``None`` to another request."""
    if request.method != "GET" or request.target != "/api/report":
        return None
    return WireReply(200, body=msgspec.json.encode({"stage": "both", "born": born_ms}))


class Replica:
    """One replica; ``behaviour`` selects what it does with each request."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: list[ExecutedRequest] = []
        self.received_ids: list[str] = []
        self.received_at: list[float] = []
        """Monotonic times at which the requests arrived."""
        self.born_ms = 1
        self.process_report: WireReply | None = None
        """Reply to a request for the report about the process, instead of the usual one."""
        self.work_s = 0.0
        self.event_count = EVENT_COUNT
        self.report: dict[str, str] = {}
        """Headers added to every response, in which the replica reports about itself."""
        self.stale_report: dict[str, str] = {}
        """The same for the unrequested response of ``STALE_FIRST`` and ``EXTRA``."""
        self.behaviour: Callable[[WireRequest], Behaviour] = lambda request: Behaviour.SERVE

    async def handle(self, request: WireRequest) -> WireReply:
        """Handle one request."""
        report = process_report(request, self.born_ms)
        if report is not None:
            return self.process_report or report
        request_id = request.headers.get("skylarkferry-request-id", "")
        self.received_ids.append(request_id)
        self.received_at.append(anyio.current_time())
        expected = request.headers.get("skylarkferry-expect-instance", self.name)
        behaviour = self.behaviour(request)
        identity = {"Skylarkferry-Request-Id": request_id, **self.report}
        if expected != self.name or behaviour is Behaviour.MISDIRECT:
            return WireReply(421, {**identity, "Skylarkferry-Instance-Id": "another"})
        if behaviour is Behaviour.SHED:
            return WireReply(503, {**identity, "Skylarkferry-Not-Executed": "1"})
        if behaviour is Behaviour.SHED_WITHOUT_ID:
            return WireReply(503, {"Skylarkferry-Not-Executed": "1", **self.report})
        if behaviour is Behaviour.RESET_UNRUN:
            return WireReply(raw=b"", ending=Ending.RESET)
        self.runs.append(ExecutedRequest(request_id, request.target, request.body, request.headers))
        return self._execute(request, request_id, behaviour)

    def _execute(self, request: WireRequest, request_id: str, behaviour: Behaviour) -> WireReply:
        headers = self._headers(request_id)
        if behaviour is Behaviour.BUSY_AFTER_ALL:
            return WireReply(503, headers, b"busy")
        if behaviour is Behaviour.FAIL:
            return WireReply(500, headers, b"failed", delay_s=self.work_s)
        is_stream = "skylarkferry-token-usage" in request.headers
        body = self._events(request, behaviour) if is_stream else b"answer to " + request.body
        whole_reply = WireReply(200, headers, body, delay_s=self.work_s)
        match behaviour:
            case Behaviour.LOSE_ANSWER:
                return WireReply(raw=b"", ending=Ending.RESET, delay_s=self.work_s)
            case Behaviour.CLOSE:
                return WireReply(raw=b"", delay_s=self.work_s, closes=True)
            case Behaviour.CLOSE_IN_RESPONSE:
                return WireReply(raw=encode_reply(whole_reply)[:-3], closes=True)
            case Behaviour.SILENT:
                return WireReply(raw=b"", ending=Ending.SILENT)
            case Behaviour.TRUNCATE | Behaviour.CUT_IN_EVENT:
                return WireReply(raw=encode_reply(whole_reply)[:-3], ending=Ending.RESET)
            case Behaviour.UNSIGNED:
                del headers["Skylarkferry-Response-Signature"]
            case Behaviour.FOREIGN_REST:
                page = {**headers, "Content-Type": "text/html"}
                return WireReply(200, page, b"<p>failed</p>\n\n")
            case Behaviour.UNFRAMED | Behaviour.UNFRAMED_RESET:
                return self._unframed(whole_reply, behaviour)
            case Behaviour.EXTRA:
                extra = WireReply(200, {**headers, **self.stale_report}, body)
                return WireReply(raw=encode_reply(whole_reply) + encode_reply(extra))
            case Behaviour.STALE_FIRST:
                stale_headers = {**self._headers("an-earlier-request"), **self.stale_report}
                stale = WireReply(200, stale_headers, b"stale")
                return WireReply(raw=encode_reply(stale) + encode_reply(whole_reply))
        return whole_reply

    def _unframed(self, whole_reply: WireReply, behaviour: Behaviour) -> WireReply:
        """Return a response without a length, delimited by the end of the connection."""
        data = encode_reply(whole_reply).replace(
            f"Content-Length: {len(whole_reply.body)}\r\n".encode(), b""
        )
        if behaviour is Behaviour.UNFRAMED_RESET:
            return WireReply(raw=data[:-3], ending=Ending.RESET)
        return WireReply(raw=data, closes=True)

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            "Skylarkferry-Request-Id": request_id,
            "Skylarkferry-Response-Signature": f"signed by {self.name}",
            "Skylarkferry-Server-Load": f"{1},0,4",
            **self.report,
        }

    def _events(self, request: WireRequest, behaviour: Behaviour) -> bytes:
        first = int(request.headers.get("last-event-id", "0")) + 1
        numbers = list(range(first, self.event_count + 1))
        if behaviour is Behaviour.REPEAT_EVENT:
            numbers.insert(1, first)
        return b"".join(f"id: {number}\ndata: token {number}\n\n".encode() for number in numbers)
