"""What callers and upstreams saw in a run: the only input of the checks."""

from enum import Enum

import msgspec


class RoutePrefix(Enum):
    """Kinds of request, by the prefix of their route."""

    ORDER = "/order/"
    GET = "/get/"
    TURN = "/turn/"
    RESUME = "/resume/"
    KEPT = "/kept/"
    PROBE = "/added-"


AT_MOST_ONCE = (RoutePrefix.ORDER, RoutePrefix.TURN, RoutePrefix.KEPT)
"""Kinds of which each attempt may run once at most."""


class Attempt(msgspec.Struct):
    """One request as its caller saw it; ``status`` is 0 without an answer's head.

    ``is_sent`` tells that a connection took the whole request, ``is_whole`` that the answer ended
    in order; times are monotonic seconds.
    """

    request_id: str
    path: RoutePrefix
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


class UpstreamRun(msgspec.Struct, frozen=True):
    """One run of a request as its upstream saw it."""

    request_id: str
    upstream: str
    body: bytes
    at: float


class Interval(msgspec.Struct):
    """A disturbance of one thing, or of everything where ``name`` is empty."""

    name: str
    kind: str
    started_at: float
    ended_at: float


class DrainStart(msgspec.Struct, frozen=True):
    """An upstream that said at ``at`` that it leaves."""

    upstream: str
    at: float


class Observations(msgspec.Struct):
    """Everything that was seen."""

    attempts: list[Attempt] = []
    runs: list[UpstreamRun] = []
    spans: list[Interval] = []
    drain_starts: list[DrainStart] = []
    stops: list[Interval] = []
    boots: dict[str, list[float]] = {}
