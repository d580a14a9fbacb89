"""Events of a stream: split from the bytes of an answer and read as far as needed."""

import re

import msgspec

from skylarkferry_core.errors import AnswerInvalidError

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE_END = re.compile(rb"\r\n|\n|\r")
_MAX_EVENT_BYTES = 1_048_576


class StreamEvent(msgspec.Struct, frozen=True):
    """One event: its bytes with the blank line, its id where it has one, its data."""

    raw: bytes
    event_id: int | None
    data: bytes


class EventSplitter:
    """Cut a stream of bytes into events; what is left over is an event that is not whole."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes; raise ``AnswerInvalidError``."""
        self.buffer += data
        events: list[StreamEvent] = []
        while (found := _EVENT_END.search(self.buffer)) is not None:
            events.append(parse_event(bytes(self.buffer[: found.end()])))
            del self.buffer[: found.end()]
        if len(self.buffer) > _MAX_EVENT_BYTES:
            raise AnswerInvalidError(f"an event has over {_MAX_EVENT_BYTES} bytes")
        return events

    @property
    def has_partial_event(self) -> bool:
        """Tell whether the bytes so far end inside an event."""
        return bool(self.buffer)


def parse_event(raw: bytes) -> StreamEvent:
    """Return an event's id and data; several data lines are joined by a line feed."""
    event_id: int | None = None
    data: list[bytes] = []
    for line in _LINE_END.split(raw):
        name, _, value = line.partition(b":")
        value = value[1:] if value.startswith(b" ") else value
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = _number(value)
    return StreamEvent(raw, event_id, b"\n".join(data))


def _number(value: bytes) -> int:
    try:
        return int(value)
    except ValueError as error:
        raise AnswerInvalidError(f"an event has the id {value!r}") from error
