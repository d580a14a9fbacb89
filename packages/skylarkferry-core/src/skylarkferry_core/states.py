"""States and closed sets of values shared by all processes."""

from enum import Enum, IntEnum


class Role(Enum):
    """Which job a daemon process does."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class ProgramState(Enum):
    """Where a program stands."""

    RUNNING = "running"
    ENDED = "ended"


class FinalWord(Enum):
    """What is known for certain about an ended call or program."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallState(Enum):
    """Where a call stands in a sidecar's call table."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    SEALED = "sealed"


class SealVerdict(Enum):
    """A sidecar's answer to a seal."""

    EXECUTED = "executed"
    IN_PROGRESS = "in_progress"
    SEALED = "sealed"
    UNKNOWN = "unknown"


class UpstreamState(Enum):
    """What an entry believes of an upstream."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class PoolKind(Enum):
    """What the upstreams of a pool do."""

    MODEL = "model"
    TOOL = "tool"
    SERVICE = "service"


class Priority(IntEnum):
    """Urgency of a program; a smaller number runs first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class ChatRole(Enum):
    """Author of a message in a run's history."""

    SYSTEM = "system"
    USER = "user"
    ASSISTANT = "assistant"
    TOOL = "tool"
