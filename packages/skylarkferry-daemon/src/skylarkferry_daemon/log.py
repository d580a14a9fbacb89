"""Numbered events: written to the log by loguru and kept in a bounded ring for the time line."""

import json
import os
import sys
import time
from collections import deque

from loguru import logger

from skylarkferry_core.clocks import HybridClock
from skylarkferry_core.entry_messages import EventView, TimelineReply, TimelineRequest
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ProgramId

NO_PROGRAM = ProgramId("")
_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level:<7} {message}"
_LINES_KEPT = 4_000
"""Lines held while standard output takes none: some seconds of a loaded process."""
_LINES_PER_S = 500
"""Lines written in one second at most, twice those of a process at its planned load."""


class LineWriter:
    """Write lines to a descriptor without ever waiting for it; count those that are dropped."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.second = 0
        self.lines = 0
        self.dropped = 0
        self.told = 0

    def write(self, line: str) -> None:
        """Write a line, hold it while the descriptor is full, or drop it beyond the bounds."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.lines = 0
            self._tell_dropped()
        self.lines += 1
        if self.lines > _LINES_PER_S or len(self.waiting) >= _LINES_KEPT:
            self.dropped += 1
            return
        self.waiting.append(line.encode(errors="replace"))
        self._flush()

    def _tell_dropped(self) -> None:
        if self.dropped > self.told:
            kind = EventKind.LOG_DROPPED
            line = f"[{kind.number}] {kind.name.lower()} lines={self.dropped - self.told}\n"
            self.waiting.append(line.encode())
            self.told = self.dropped

    def _flush(self) -> None:
        while self.waiting:
            data = self.waiting[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self.waiting)
                self.waiting.clear()
                return
            if written < len(data):
                self.waiting[0] = data[written:]
                return
            self.waiting.popleft()


def set_up_logging(level: str) -> LineWriter:
    """Send the log to standard output at ``level`` and above; return its writer."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor)
    logger.remove()
    logger.add(writer.write, level=level, format=_FORMAT, backtrace=False)
    return writer


class EventLog:
    """Emit numbered events of one process and keep the latest of them."""

    def __init__(self, node: str, ring_events: int) -> None:
        self.node = node
        self.clock = HybridClock()
        self.ring: deque[EventView] = deque(maxlen=ring_events)

    def emit(self, kind: EventKind, program_id: ProgramId = NO_PROGRAM, **fields: object) -> None:
        """Log an event and add it to the ring."""
        values = {name: str(value) for name, value in fields.items()}
        view = EventView(self.stamp(), self.node, kind.number, kind.name, program_id, values)
        self.ring.append(view)
        logger.log(kind.level.value, "{}", _line(view))

    def stamp(self) -> int:
        """Return a hybrid logical time above all that this process saw."""
        return self.clock.stamp(time.time())

    def timeline(self, request: TimelineRequest) -> TimelineReply:
        """Return the ring's events that match the request, oldest first."""
        chosen = (event for event in self.ring if _matches(event, request))
        return TimelineReply(tuple(chosen))


def _matches(event: EventView, request: TimelineRequest) -> bool:
    """Tell whether an event is asked for."""
    if event.time <= request.since:
        return False
    return not request.program_id or event.program_id == request.program_id


def _line(event: EventView) -> str:
    """Return an event as one line of the log."""
    parts = [f"[{event.number}] {event.name.lower()}", f"node={event.node}"]
    if event.program_id:
        parts.append(f"program={event.program_id}")
    parts.extend(f"{name}={_quoted(value)}" for name, value in event.fields.items())
    return " ".join(parts)


def _quoted(value: str) -> str:
    """Return a value of a line, in quotes where it has spaces or quotes of its own."""
    return json.dumps(value) if " " in value or '"' in value or not value else value
