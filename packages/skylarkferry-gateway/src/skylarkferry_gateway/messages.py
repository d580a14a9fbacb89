"""Requests, responses and upstream entries, independent of their names on the wire."""

import math
from typing import Annotated

import msgspec

from skylarkferry_core.accounts import BUDGET_PARTITIONS, AccountState, Ownership
from skylarkferry_core.customers import Customer, KeyDigest
from skylarkferry_core.ids import (
    CustomerId,
    FailureDomain,
    PartitionNumber,
    ProgramId,
    RunId,
    ServiceName,
    TurnId,
    UpstreamId,
)
from skylarkferry_core.interfaces import Row

Headers = list[tuple[bytes, bytes]]
"""Header fields in wire order, with names in lower case."""
MAX_TOLD_STREAMS = 500
"""Streams of one call between gateways; some 50 KB."""
MAX_STREAM_CHARS = 128
"""Longest id of a stream between gateways, which is part of a row key."""


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that requests may share, and its length in tokens."""

    part_id: str
    tokens: int


class RequestMetadata(msgspec.Struct, frozen=True):
    """Decoded headers of a client's request; absent headers are ``None``, empty, 0 or infinite.

    ``time_left_s`` is how long the client waits, ``token_budget`` the output tokens allowed for all
    turns of the program, ``output_tokens`` the maximum output of this turn.  ``resumed_request`` is
    the id of the attempt whose response began the stream that this request resumes.
    ``finish_s`` is the time left until the program should have ended, ``key_digest`` that of the
    caller's key, ``None`` without one.  ``request_id`` is as the client sent it.  Where the request
    has a customer, the ids of the program, the turns, the streams and the affinity are qualified by
    it (``skylarkferry_gateway.customer_requests``), and ``own_turn`` is the request's own id among
    those of all customers.
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
    resumed_request: str = ""
    finish_s: float = math.inf
    key_digest: KeyDigest | None = None
    own_turn: TurnId = TurnId("")

    @property
    def turn_id(self) -> TurnId:
        """Return the id of this request among those of all customers."""
        return self.own_turn or TurnId(self.request_id)

    @property
    def is_resumption(self) -> bool:
        """Return whether the client has events of the stream already."""
        return self.last_event_id is not None or bool(self.resumed_request)

    @property
    def stream(self) -> str:
        """Return the id of the attempt that began, or would begin, the stream."""
        return self.resumed_request or self.turn_id

    @property
    def assignment_key(self) -> str:
        """Return what assigns the stream to a version: a program's streams share one."""
        return self.program_id or self.stream


class ClientRequest(msgspec.Struct, frozen=True):
    """A completely received request; ``received_at`` is the monotonic time of its last byte.

    ``customer`` is the holder of its key, ``None`` without customers or without a known key on a
    public route.  ``priority`` is ``None`` until the route is known; 0 is the highest.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    metadata: RequestMetadata
    received_at: float
    customer: Customer | None = None
    priority: int | None = None


class UpstreamRequestMetadata(msgspec.Struct, frozen=True):
    """Metadata that the gateway adds to a request; ``time_left_s`` may be infinite.

    ``customer`` is the name that the upstream gets, ``None`` if it gets none.
    """

    time_left_s: float
    upstream: UpstreamId
    priority: int | None = None
    last_event_id: int | None = None
    customer: CustomerId | None = None


class Reservation(msgspec.Struct, frozen=True):
    """Maximum tokens of a turn, reserved from its program's budget of ``limit`` tokens."""

    program_id: ProgramId
    limit: int
    turn: TurnId
    tokens: int


class StreamOrigin(msgspec.Struct, frozen=True):
    """Service and software version whose upstream sent the first event of a stream."""

    service: ServiceName
    version: str


class ToldStream(msgspec.Struct, frozen=True, array_like=True):
    """A stream that a gateway tells another one of when it ends.

    ``stream`` is its id as in a row key; ``age_s`` is the time since it was relayed last.
    """

    stream: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_STREAM_CHARS)]
    origin: StreamOrigin
    age_s: Annotated[float, msgspec.Meta(ge=0)]


class ToldStreams(msgspec.Struct, frozen=True):
    """Streams of one call from a gateway that ends."""

    streams: Annotated[list[ToldStream], msgspec.Meta(max_length=MAX_TOLD_STREAMS)]


class HandedProgram(msgspec.Struct, frozen=True, array_like=True):
    """A program's account that a stopping owner hands to another gateway, and its row's key."""

    program_id: ProgramId
    key: str
    state: AccountState


class HandedPartition(msgspec.Struct, frozen=True):
    """A partition that a stopping owner hands over: its claim, accounts and rows without one.

    ``version`` is that of the partition's own row, which still names the former owner.
    ``proof_age_s`` is the time since the former owner last proved to be the owner.
    """

    number: Annotated[PartitionNumber, msgspec.Meta(ge=0, lt=BUDGET_PARTITIONS)]
    ownership: Ownership
    version: Annotated[int, msgspec.Meta(ge=0)]
    programs: list[HandedProgram]
    rows: list[Row]
    proof_age_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class ReportedLoad(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load that an upstream reports in a response.

    ``slowdown`` is how long work takes on its host at this moment, relative to the usual time;
    ``None`` if the upstream does not report it.
    """

    running: int
    queued: int
    slots: int
    slowdown: float | None = None


class UpstreamReport(msgspec.Struct, frozen=True):
    """What an upstream reports about itself in the headers of a response.

    ``limit_per_s`` is the number of requests a second that it accepts from all gateways together:
    ``None`` if it names no limit, unset if its header is malformed and tells nothing.
    ``malformed`` lists the headers that could not be decoded.
    """

    load: ReportedLoad | None = None
    is_leaving: bool = False
    limit_per_s: float | msgspec.UnsetType | None = None
    malformed: tuple[str, ...] = ()


class ReplyMetadata(msgspec.Struct, frozen=True):
    """Decoded headers of an upstream's response; ``idle_s`` is its keep-alive timeout.

    ``media_type`` is in lower case and without parameters, empty if the response names none.
    """

    request_id: str = ""
    is_signed: bool = False
    not_executed: bool = False
    is_encoded: bool = False
    media_type: str = ""
    report: UpstreamReport = UpstreamReport()
    idle_s: float | None = None


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An upstream's entry in the platform's registry.

    ``born_ms`` is the start time in Unix milliseconds, 0 if unknown; it distinguishes two processes
    started under one id.  ``sequence`` counts the entries of one start, 0 if unknown.
    ``software_version`` is empty if unknown.
    """

    upstream: UpstreamId
    service: ServiceName
    address: str
    failure_domain: FailureDomain
    slots: int
    is_leaving: bool
    born_ms: int = 0
    software_version: str = ""
    sequence: int = 0
