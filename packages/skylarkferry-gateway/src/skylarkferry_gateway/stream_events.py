"""Server-sent events: splitting of a response body and parsing of ids and data."""

import re

import msgspec

from skylarkferry_core.errors import AnswerInvalidError

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE_END = re.compile(rb"\r\n|\n|\r")
_FIELD_NAME = re.compile(rb"[A-Za-z0-9_-]+")
_EVENT_END_BYTES = 4
_MAX_EVENT_BYTES = 1_048_576
_MAX_LOGGED_BYTES = 80


class StreamEvent(msgspec.Struct, frozen=True):
    """One event; ``raw`` is its bytes including the blank line that ends it.

    ``is_comment`` is whether it has no fields; ``unknown_line`` is the start of a line that is
    neither a field nor a comment.
    """

    raw: bytes
    event_id: int | None
    data: bytes
    is_comment: bool
    unknown_line: bytes | None


class EventSplitter:
    """Split a byte stream into events; the buffer holds an incomplete event.

    No event ends before ``searched`` bytes of the buffer.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.searched = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes; raise ``AnswerInvalidError``."""
        self.buffer += data
        events: list[StreamEvent] = []
        while (found := _EVENT_END.search(self.buffer, self.searched)) is not None:
            events.append(parse_event(bytes(self.buffer[: found.end()])))
            del self.buffer[: found.end()]
            self.searched = 0
        self.searched = max(len(self.buffer) - _EVENT_END_BYTES + 1, 0)
        if len(self.buffer) > _MAX_EVENT_BYTES:
            raise AnswerInvalidError(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        return events

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event in the buffer, 0 if there is none."""
        return len(self.buffer)


def parse_event(raw: bytes) -> StreamEvent:
    """Parse one event; its data lines are joined by line feeds."""
    event_id: int | None = None
    data: list[bytes] = []
    is_comment = True
    unknown_line: bytes | None = None
    for line in _LINE_END.split(raw):
        name, _, value = line.partition(b":")
        if not name:
            continue
        is_comment = False
        value = value[1:] if value.startswith(b" ") else value
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = _parse_event_id(value)
        elif _FIELD_NAME.fullmatch(name) is None:
            unknown_line = line[:_MAX_LOGGED_BYTES]
    return StreamEvent(raw, event_id, b"\n".join(data), is_comment, unknown_line)


def _parse_event_id(value: bytes) -> int:
    try:
        return int(value)
    except ValueError as error:
        raise AnswerInvalidError(f"event id {value!r} is not an integer") from error
