"""Enumerations shared by all processes."""

from enum import Enum, IntEnum


class Role(Enum):
    """Role of a daemon process."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class ProgramState(Enum):
    """Lifecycle state of a program."""

    RUNNING = "running"
    ENDED = "ended"


class FinalWord(Enum):
    """Final outcome of a call or program: whether it is certain that it ran."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallState(Enum):
    """State of a call in a sidecar's call table."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    SEALED = "sealed"


class SealVerdict(Enum):
    """A sidecar's answer to a seal request."""

    EXECUTED = "executed"
    IN_PROGRESS = "in_progress"
    SEALED = "sealed"
    UNKNOWN = "unknown"


class UpstreamState(Enum):
    """State of an upstream as an entry sees it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class PoolKind(Enum):
    """Kind of work that the upstreams of a pool handle."""

    MODEL = "model"
    TOOL = "tool"
    SERVICE = "service"


class Priority(IntEnum):
    """Priority of a program; lower numbers run first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class ChatRole(Enum):
    """Author of a message in a run's history."""

    SYSTEM = "system"
    USER = "user"
    ASSISTANT = "assistant"
    TOOL = "tool"
