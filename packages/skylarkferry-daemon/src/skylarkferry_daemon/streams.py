"""Server-sent events of a program: numbered steps, unnumbered output, heartbeats."""

from collections.abc import AsyncIterator

import anyio
import msgspec
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from skylarkferry_core.entry_messages import Delta, Step, WatchItem
from skylarkferry_core.errors import BadRequestError, SkylarkferryError
from skylarkferry_core.http_messages import details_of
from skylarkferry_daemon.request_metrics import STREAMS_OPEN

HEARTBEAT_S = 5.0
_HEARTBEAT = b": heartbeat\n"


class DeltaBody(msgspec.Struct, frozen=True):
    """Output on its way to the caller; fields as in ``Delta``."""

    after: int
    attempt: int
    offset: int
    text: str


def step_event(step: Step) -> bytes:
    """Return a step as an event with its number as id; the body is JSON on one line."""
    body = step.body.replace("\r", "").replace("\n", " ")
    return f"id: {step.number}\nevent: {step.kind}\ndata: {body}\n\n".encode()


def delta_event(delta: Delta) -> bytes:
    """Return output as an event without an id, so that a resume starts from the last step."""
    body = msgspec.json.encode(DeltaBody(delta.after, delta.attempt, delta.offset, delta.text))
    return b"event: delta\ndata: " + body + b"\n\n"


def problem_event(error: SkylarkferryError) -> bytes:
    """Return a failure of the stream as its last event; the caller resumes after it."""
    return b"event: problem\ndata: " + msgspec.json.encode(details_of(error)) + b"\n\n"


def item_event(item: WatchItem) -> bytes:
    """Return one item of a watched program as an event."""
    if item.step is not None:
        return step_event(item.step)
    return delta_event(item.delta) if item.delta is not None else b""


def last_event_id(value: str | None) -> int:
    """Return the number to resume after; raise ``BadRequestError`` unless it is one."""
    if not value:
        return 0
    if not (value.isascii() and value.isdecimal() and len(value) <= 18):
        raise BadRequestError("Last-Event-ID: expected the number of a step")
    return int(value)


class ProgramStream(Response):
    """Streams a program's items until it ends or the caller leaves."""

    media_type = "text/event-stream"

    def __init__(self, items: AsyncIterator[WatchItem], heartbeat_s: float = HEARTBEAT_S) -> None:
        super().__init__(headers={"Cache-Control": "no-store"})
        del self.headers["content-length"]
        self.items = items
        self.heartbeat_s = heartbeat_s
        self.lock = anyio.Lock()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the stream; end its source in any case."""
        start = {"type": "http.response.start", "status": 200, "headers": self.raw_headers}
        await send(start)
        with STREAMS_OPEN.track_inprogress():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_heartbeats, send)
                tasks.start_soon(cancel_on_disconnect, receive, tasks.cancel_scope)
                await self._send_items(send)
                tasks.cancel_scope.cancel()
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _send_items(self, send: Send) -> None:
        try:
            async for item in self.items:
                await self._send(send, item_event(item))
        except SkylarkferryError as error:
            await self._send(send, problem_event(error))

    async def _send_heartbeats(self, send: Send) -> None:
        while True:
            await self._send(send, _HEARTBEAT)
            await anyio.sleep(self.heartbeat_s)

    async def _send(self, send: Send, body: bytes) -> None:
        async with self.lock:
            await send({"type": "http.response.body", "body": body, "more_body": True})


async def cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel a scope when the caller closes the connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
