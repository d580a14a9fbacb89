"""What callers and upstreams saw in a run: the only input of the checks."""

from enum import Enum

import msgspec


class Path(Enum):
    """Kinds of request, by the prefix of their route."""

    ORDER = "/order/"
    GET = "/get/"
    TURN = "/turn/"
    RESUME = "/resume/"
    KEPT = "/kept/"
    PROBE = "/added-"


ONCE = (Path.ORDER, Path.TURN, Path.KEPT)
"""Kinds of which each attempt may run once at most."""


class Attempt(msgspec.Struct):
    """One request as its caller saw it; ``status`` is 0 without an answer's head.

    ``is_sent`` tells that a connection took the whole request, ``is_whole`` that the answer ended
    in order; times are monotonic seconds.
    """

    request_id: str
    path: Path
    gateway: str
    sent_at: float
    body: bytes = b""
    program: str = ""
    budget: int = 0
    previous: str = ""
    is_sent: bool = False
    status: int = 0
    answer: bytes = b""
    answer_id: str = ""
    is_signed: bool = False
    is_whole: bool = False
    ended_at: float = 0.0
    number: int = 0


class RunSeen(msgspec.Struct, frozen=True):
    """One run of a request as its upstream saw it."""

    request_id: str
    upstream: str
    body: bytes
    at: float


class Span(msgspec.Struct):
    """A disturbance of one thing, or of everything where ``name`` is empty."""

    name: str
    kind: str
    begun_at: float
    ended_at: float


class Leaving(msgspec.Struct, frozen=True):
    """An upstream that said at ``at`` that it leaves."""

    upstream: str
    at: float


class Observations(msgspec.Struct):
    """Everything that was seen."""

    attempts: list[Attempt] = []
    runs: list[RunSeen] = []
    spans: list[Span] = []
    leavings: list[Leaving] = []
    stops: list[Span] = []
    boots: dict[str, list[float]] = {}
