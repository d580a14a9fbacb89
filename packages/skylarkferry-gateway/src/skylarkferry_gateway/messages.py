"""Requests and answers as the stages of the gateway see them, whatever their names on the wire."""

import math

import msgspec

from skylarkferry_core.ids import (
    FailureDomain,
    ProgramId,
    RunId,
    ServiceName,
    TurnId,
    UpstreamId,
)

Headers = list[tuple[bytes, bytes]]
"""Header fields, names in lower case, in the order of the wire."""


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share, and its tokens."""

    part_id: str
    tokens: int


class RequestMetadata(msgspec.Struct, frozen=True):
    """What a client's headers say of its request; ``None`` or empty where they say nothing.

    ``time_left_s`` is how long the client waits, ``token_budget`` what all turns of the program may
    generate, ``output_tokens`` the most that this one generates.
    """

    request_id: str = ""
    time_left_s: float = math.inf
    affinity_key: str = ""
    program_id: ProgramId = ProgramId("")
    run_id: RunId = RunId("")
    token_budget: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    previous_turn: TurnId = TurnId("")
    last_event_id: int | None = None


class ClientRequest(msgspec.Struct, frozen=True):
    """A request that was read whole; ``received_at`` is the monotonic time of its last byte."""

    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    metadata: RequestMetadata
    received_at: float


class UpstreamRequestMetadata(msgspec.Struct, frozen=True):
    """What the gateway tells an upstream with a request."""

    time_left_s: float
    upstream: UpstreamId
    priority: int | None = None
    last_event_id: int | None = None


class Reservation(msgspec.Struct, frozen=True):
    """Tokens that a turn needs at most, of its program's budget of ``limit`` tokens."""

    program_id: ProgramId
    limit: int
    turn: TurnId
    tokens: int


class ReportedLoad(msgspec.Struct, frozen=True):
    """Load that an upstream reports in an answer."""

    running: int
    queued: int
    slots: int


class ReplyMetadata(msgspec.Struct, frozen=True):
    """What the headers of an upstream's answer say."""

    request_id: str = ""
    is_signed: bool = False
    not_executed: bool = False
    is_encoded: bool = False
    load: ReportedLoad | None = None
    idle_s: float | None = None


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An upstream's entry in the platform's list; ``born_ms`` tells two starts under one id apart.

    ``born_ms`` is Unix milliseconds, 0 when unknown.
    """

    upstream: UpstreamId
    service: ServiceName
    address: str
    failure_domain: FailureDomain
    slots: int
    is_leaving: bool
    born_ms: int = 0
