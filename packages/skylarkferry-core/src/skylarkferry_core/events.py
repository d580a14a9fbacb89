"""Catalogue of numbered events; ``docs/EVENTS.md`` lists the same.

Numbers by area: 1xx process, 2xx programs, 3xx ownership and journal, 4xx sidecars and upstreams,
5xx callers and operators, 6xx configuration document, 7xx policy.
"""

from enum import Enum


class Level(Enum):
    """Severity of an event; the values are loguru's level names."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class EventKind(Enum):
    """Every event: its number, its level and what it means."""

    PROCESS_STARTED = (101, Level.INFO, "The process serves.")
    PROCESS_STOPPING = (102, Level.INFO, "A planned stop began; no new work is taken.")
    PROCESS_STOPPED = (103, Level.INFO, "The process ended in order.")
    TASK_FAILED = (104, Level.ERROR, "A task of the process failed without a typed error.")

    PROGRAM_ACCEPTED = (201, Level.INFO, "A program is durable and the caller was told so.")
    PROGRAM_REFUSED = (202, Level.INFO, "A program was refused; nothing of it ran.")
    PROGRAM_ENDED = (203, Level.INFO, "A program has its final answer.")
    PROGRAM_RESUMED = (204, Level.INFO, "An adopter replayed a program and drives it on.")
    CALL_PLACED = (205, Level.DEBUG, "A call was placed on an upstream.")
    CALL_INTENDED = (206, Level.DEBUG, "The intent of a call that may not be repeated is durable.")
    CALL_ENDED = (207, Level.DEBUG, "A call has its final word.")
    CALL_RETRIED = (208, Level.INFO, "A call that certainly did not run is placed again.")
    CALL_SEALED = (209, Level.INFO, "A sidecar answered a seal.")

    ACCESS_REFUSED = (501, Level.WARNING, "A request came without a valid bearer token.")
    ACCESS_FORBIDDEN = (502, Level.WARNING, "A valid token asked for what it does not allow.")
    REQUEST_REJECTED = (503, Level.INFO, "A request was malformed, too large or too slow.")
    REQUEST_FAILED = (504, Level.ERROR, "A request failed without a typed error.")
    CALLER_LEFT = (505, Level.INFO, "A caller closed the connection before its response ended.")
    DRAIN_ORDERED = (506, Level.INFO, "An operator ordered an upstream to drain.")
    BOOTSTRAP_USED = (507, Level.WARNING, "The bootstrap token created the first document.")

    DOCUMENT_APPLIED = (601, Level.INFO, "A higher document version is in force at this process.")
    DOCUMENT_EDITED = (602, Level.INFO, "An edit of the document was accepted.")
    DOCUMENT_CONFLICT = (603, Level.INFO, "An edit was refused: its section had changed.")
    DOCUMENT_REFUSED = (604, Level.INFO, "An edit was refused: the document would not validate.")
    DOCUMENT_UNREADABLE = (605, Level.ERROR, "The stored document is unreadable; the old stays.")
    DOCUMENT_STALE = (606, Level.WARNING, "The document cannot be polled; the old one stays.")
    DOCUMENT_CURRENT = (607, Level.INFO, "The document can be polled again.")
    DOCUMENT_RESOLVED = (608, Level.INFO, "The lost answer to an edit was resolved by reading.")
    DOCUMENT_UNKNOWN = (609, Level.WARNING, "Nobody can tell yet whether an edit was accepted.")

    def __init__(self, number: int, level: Level, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning


def kind_of(number: int) -> EventKind | None:
    """Return the event of a number, or ``None``."""
    return next((kind for kind in EventKind if kind.number == number), None)
