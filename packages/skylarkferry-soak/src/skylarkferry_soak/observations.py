"""What callers and upstreams observe in a run: the only input of the checks."""

from enum import Enum

import msgspec


class RoutePrefix(Enum):
    """Kinds of requests, by the prefix of their route."""

    ORDER = "/order/"
    GET = "/get/"
    TURN = "/turn/"
    RESUME = "/resume/"
    RESUME_ONCE = "/resume-once/"
    """Resumable streams with one attempt, which only callers can resume."""
    KEPT = "/kept/"
    PROBE = "/added-"


AT_MOST_ONCE = (RoutePrefix.ORDER, RoutePrefix.TURN, RoutePrefix.KEPT)
"""Kinds of requests that may run at most once per attempt."""


class Attempt(msgspec.Struct):
    """A request as its caller observed it; ``status`` is 0 if no response header arrived.

    ``says_leaving`` and ``says_limited`` tell what the upstream reported about itself, ``signer``
    which upstream signed the response.  An attempt that resumes a stream has the id of the attempt
    that began it in ``resumes``.

    ``is_sent`` is True once the whole request is written to a connection, ``is_complete`` once the
    response has ended correctly.  Times are monotonic seconds.
    """

    request_id: str
    route: RoutePrefix
    gateway: str
    sent_at: float
    body: bytes = b""
    program: str = ""
    budget: int = 0
    previous: str = ""
    is_sent: bool = False
    status: int = 0
    response_body: bytes = b""
    response_request_id: str = ""
    says_leaving: bool = False
    says_limited: bool = False
    is_signed: bool = False
    signer: str = ""
    resumes: str = ""
    last_event_id: int = 0
    is_complete: bool = False
    ended_at: float = 0.0
    config_version: int = 0


class UpstreamRun(msgspec.Struct, frozen=True):
    """One run of a request as its upstream, of a software version, observed it.

    ``is_resumption`` tells whether the run continues a stream, ``born_ms`` which process it was.
    """

    request_id: str
    upstream: str
    body: bytes
    ran_at: float
    version: str = ""
    is_resumption: bool = False
    born_ms: int = 0


class FaultInterval(msgspec.Struct):
    """Period of a fault at one gateway, or at all gateways if ``gateway`` is empty."""

    gateway: str
    kind: str
    started_at: float
    ended_at: float


class DrainStart(msgspec.Struct, frozen=True):
    """The time at which an upstream announced that it is leaving."""

    upstream: str
    started_at: float


class LimitInterval(msgspec.Struct):
    """Period in which an upstream named a request limit."""

    upstream: str
    limit_per_s: float
    started_at: float
    ended_at: float


class UpstreamCrash(msgspec.Struct, frozen=True):
    """The end of an upstream's process under a request that it ran."""

    upstream: str
    crashed_at: float


class Observations(msgspec.Struct):
    """Everything that was observed in a run."""

    attempts: list[Attempt] = []
    runs: list[UpstreamRun] = []
    disturbances: list[FaultInterval] = []
    drain_starts: list[DrainStart] = []
    limits: list[LimitInterval] = []
    crashes: list[UpstreamCrash] = []
    stops: list[FaultInterval] = []
    process_starts: dict[str, list[float]] = {}
