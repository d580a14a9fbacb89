"""Numbered events: written to the log by loguru and kept in a bounded ring for the time line."""

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


def set_up_logging(level: str) -> None:
    """Send the log to standard error at ``level`` and above."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_FORMAT, enqueue=False, backtrace=False)


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
    parts.extend(f"{name}={value}" for name, value in event.fields.items())
    return " ".join(parts)
