"""Numbered events: written to the log by loguru and kept in a bounded ring for timelines."""

import json
import os
import time
from collections import deque

from loguru import logger

from skylarkferry_core.clocks import HybridClock
from skylarkferry_core.entry_messages import EventView, TimelineReply, TimelineRequest
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ProgramId

NO_PROGRAM = ProgramId("")
_STANDARD_OUTPUT = 1
_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} {message}"
_MAX_PENDING_LINES = 4_000
"""Lines kept while standard output is blocked: several seconds of output of a loaded process."""
_MAX_LINES_PER_S = 500
"""Maximum lines per second: twice the rate of a process at its planned load."""


class LineWriter:
    """Write lines to a non-blocking descriptor without waiting, and count dropped lines."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.second = 0
        self.lines_this_second = 0
        self.dropped = 0
        self.reported = 0

    def write(self, line: str) -> None:
        """Write a line, or queue it while the descriptor is full; drop lines beyond the limits."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.lines_this_second = 0
            self._report_dropped()
        self.lines_this_second += 1
        if self.lines_this_second > _MAX_LINES_PER_S or len(self.pending) >= _MAX_PENDING_LINES:
            self.dropped += 1
            return
        self.pending.append(line.encode(errors="replace"))
        self._flush()

    def _report_dropped(self) -> None:
        if self.dropped > self.reported:
            kind = EventKind.LOG_DROPPED
            line = f"[{kind.number}] {kind.name.lower()} lines={self.dropped - self.reported}\n"
            self.pending.append(line.encode())
            self.reported = self.dropped

    def _flush(self) -> None:
        while self.pending:
            data = self.pending[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self.pending)
                self.pending.clear()
                return
            if written < len(data):
                self.pending[0] = data[written:]
                return
            self.pending.popleft()


def set_up_logging(level: str) -> LineWriter:
    """Send log lines of ``level`` and above to standard output; return their writer."""
    os.set_blocking(_STANDARD_OUTPUT, False)
    writer = LineWriter(_STANDARD_OUTPUT)
    logger.remove()
    logger.add(writer.write, level=level, format=_FORMAT, backtrace=False)
    return writer


class EventLog:
    """Log the numbered events of one process and keep the most recent ones."""

    def __init__(self, node: str, ring_events: int) -> None:
        self.node = node
        self.clock = HybridClock()
        self.ring: deque[EventView] = deque(maxlen=ring_events)

    def emit(self, kind: EventKind, program_id: ProgramId = NO_PROGRAM, **fields: object) -> None:
        """Log an event and add it to the ring."""
        values = {name: str(value) for name, value in fields.items()}
        view = EventView(self.stamp(), self.node, kind.number, kind.name, program_id, values)
        self.ring.append(view)
        logger.log(kind.level.value, "{}", _format_line(view))

    def stamp(self) -> int:
        """Return a hybrid logical time later than all that this process has seen."""
        return self.clock.stamp(time.time())

    def timeline(self, request: TimelineRequest) -> TimelineReply:
        """Return the ring's events that match the request, oldest first."""
        matching = (event for event in self.ring if _matches(event, request))
        return TimelineReply(tuple(matching))


def _matches(event: EventView, request: TimelineRequest) -> bool:
    """Return True if an event matches the request."""
    if event.time <= request.since:
        return False
    return not request.program_id or event.program_id == request.program_id


def _format_line(event: EventView) -> str:
    """Return an event as one log line."""
    parts = [f"[{event.number}] {event.name.lower()}", f"node={event.node}"]
    if event.program_id:
        parts.append(f"program={event.program_id}")
    parts.extend(f"{name}={_quote_value(value)}" for name, value in event.fields.items())
    return " ".join(parts)


def _quote_value(value: str) -> str:
    """Return a value, as a JSON string unless it is printable, without spaces and quotes."""
    is_plain = value.isprintable() and " " not in value and '"' not in value
    return value if value and is_plain else json.dumps(value)
