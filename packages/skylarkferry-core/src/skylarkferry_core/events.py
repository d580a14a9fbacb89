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

    def __init__(self, number: int, level: Level, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning


def kind_of(number: int) -> EventKind | None:
    """Return the event of a number, or ``None``."""
    return next((kind for kind in EventKind if kind.number == number), None)
