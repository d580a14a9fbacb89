"""Typed messages between processes; serialized by ``msgspec`` as MessagePack.

Durations travel as seconds remaining, never as points in time: hosts share no clock.
"""

import msgspec

from skylarkferry_core.errors import ErrorCode, SkylarkferryError, error_for
from skylarkferry_core.ids import (
    AgentName,
    CallId,
    CrashId,
    CustomerId,
    Epoch,
    FailureDomain,
    Fingerprint,
    Incarnation,
    ModelName,
    NodeId,
    PartitionNumber,
    ProgramId,
    RequestKey,
    RunId,
    ServiceName,
    ToolName,
    UpstreamId,
)
from skylarkferry_core.states import (
    ChatRole,
    FinalWord,
    PoolKind,
    Priority,
    SealVerdict,
    UpstreamState,
)


class Usage(msgspec.Struct, frozen=True):
    """Tokens a model call used; ``cached_tokens`` is the part of the prompt not computed again."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class ToolRequest(msgspec.Struct, frozen=True):
    """A model's wish to call a tool or a sub-agent; ``arguments`` is JSON text."""

    id: str
    name: ToolName
    arguments: str


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a run's history."""

    role: ChatRole
    content: str = ""
    tool_requests: tuple[ToolRequest, ...] = ()
    tool_request_id: str = ""


class ToolOffer(msgspec.Struct, frozen=True):
    """A tool or sub-agent a model may ask for; ``parameters`` is a JSON schema as text."""

    name: ToolName
    description: str
    parameters: str


class ModelWork(msgspec.Struct, frozen=True, tag="model"):
    """A turn for a model engine."""

    model: ModelName
    messages: tuple[ChatMessage, ...]
    tools: tuple[ToolOffer, ...]
    max_tokens: int


class ToolWork(msgspec.Struct, frozen=True, tag="tool"):
    """A call of a tool service; ``arguments`` is JSON text."""

    tool: ToolName
    path: str
    arguments: str


class ServiceWork(msgspec.Struct, frozen=True, tag="service"):
    """A request relayed to a plain service."""

    service: ServiceName
    method: str
    path: str
    content_type: str
    body: bytes


Work = ModelWork | ToolWork | ServiceWork


class Fence(msgspec.Struct, frozen=True):
    """Fencing number of an order: the partition and the epoch of its owner."""

    partition: PartitionNumber
    epoch: Epoch


class Order(msgspec.Struct, frozen=True):
    """One call, as an entry orders it from a sidecar.

    ``remaining_s`` is the time to the program's deadline, ``slack_s`` what is left of it after the
    program's expected work, ``keep_kv_s`` how long the engine keeps the program's KV cache after
    the call.  ``incarnation`` is the sidecar's life the order was placed on; empty means any.
    ``alone`` asks for an upstream without other calls: the request was running at a crash.
    ``prefill_tokens`` and ``output_tokens`` are the entry's estimates of what the call computes,
    ``cached_tokens`` what the run itself has in the upstream's cache, without shared prefixes, and
    ``typical_tokens`` what runs of its kind hold there on average over their life; ``prefix``
    identifies the first ``prefix_tokens`` of the prompt, which other programs share.
    """

    call_id: CallId
    program_id: ProgramId
    customer: CustomerId
    fence: Fence
    priority: Priority
    repeatable: bool
    remaining_s: float
    slack_s: float
    timeout_s: float
    fingerprint: Fingerprint
    work: Work
    keep_kv_s: float = 0.0
    incarnation: Incarnation = Incarnation("")
    alone: bool = False
    prefill_tokens: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0
    typical_tokens: int = 0
    prefix: Fingerprint = Fingerprint("")
    prefix_tokens: int = 0


class ServiceReply(msgspec.Struct, frozen=True):
    """A plain service's response."""

    status: int
    content_type: str
    body: bytes


class Timing(msgspec.Struct, frozen=True):
    """Seconds at the upstream: until the first output, from there to the end, and in all."""

    first_output_s: float = 0.0
    rest_s: float = 0.0
    run_s: float = 0.0


class Outcome(msgspec.Struct, frozen=True):
    """How a call ended.

    ``word`` is ``done`` when the upstream answered (``error`` then says whether it refused),
    ``not_run`` when the call certainly never ran and ``unknown`` when nobody can tell.
    """

    call_id: CallId
    word: FinalWord
    message: ChatMessage | None = None
    result: str = ""
    reply: ServiceReply | None = None
    usage: Usage = Usage()
    error: ErrorCode | None = None
    detail: str = ""
    retry_after_s: float | None = None
    timing: Timing = Timing()


class LoadReport(msgspec.Struct, frozen=True):
    """Exact load before one upstream; rides on outcomes and heartbeats.

    ``running_output_tokens`` is what the running calls still have to decode, ``kv_tokens`` the
    size of the engine's KV memory, or 0 when unknown, and ``held_kv_tokens`` what of it running
    calls use or paused programs keep; ``reserved_kv_tokens`` counts their typical size where that
    is larger.
    """

    queued: int = 0
    running: int = 0
    queued_prefill_tokens: int = 0
    running_output_tokens: int = 0
    slots: int = 1
    free_kv_tokens: int = 0
    age_s: float = 0.0
    kv_tokens: int = 0
    held_kv_tokens: int = 0
    reserved_kv_tokens: int = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of a cached prefix at an engine, with the engine's sequence number.

    It concerns one run of a program or, when ``prefix`` is set, a prefix that programs share.
    """

    sequence: int
    program_id: ProgramId
    cached_tokens: int
    run_id: RunId = RunId("0")
    prefix: Fingerprint = Fingerprint("")


# Frames from an entry to a sidecar.


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First frame of a stream: who the entry is; ``stream`` counts the process's streams."""

    node: NodeId
    incarnation: Incarnation
    stream: int = 0


class Dispatch(msgspec.Struct, frozen=True, tag="dispatch"):
    """Run an order; a repeat attaches to the first one, from ``offset`` on."""

    order: Order
    offset: int = 0


class Attach(msgspec.Struct, frozen=True, tag="attach"):
    """Follow a call that was dispatched before, from ``offset`` characters of its output on."""

    call_id: CallId
    fence: Fence
    offset: int = 0


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Stop a call if it can be stopped; its outcome still comes."""

    call_id: CallId
    fence: Fence


class Acknowledge(msgspec.Struct, frozen=True, tag="acknowledge"):
    """These outcomes are durable; the sidecar may forget them."""

    call_ids: tuple[CallId, ...]


class ReleaseProgram(msgspec.Struct, frozen=True, tag="release"):
    """The program ended; free its KV cache."""

    program_id: ProgramId
    fence: Fence


class EntryHeartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Liveness of the stream; ``document_version`` is the one in force at the entry."""

    sequence: int
    document_version: int
    quarantined: tuple[Fingerprint, ...] = ()


EntryFrame = Hello | Dispatch | Attach | Cancel | Acknowledge | ReleaseProgram | EntryHeartbeat


class EntryBatch(msgspec.Struct, frozen=True):
    """What an entry sends at once, at a hybrid logical time."""

    frames: tuple[EntryFrame, ...]
    time: int = 0


# Frames from a sidecar to an entry.


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """First frame of a stream: who the sidecar is and how it stands."""

    upstream: UpstreamId
    incarnation: Incarnation
    state: UpstreamState
    load: LoadReport


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Output of a call that starts at character ``offset``."""

    call_id: CallId
    offset: int
    text: str


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """A call's outcome, repeated on each attach until it is acknowledged."""

    outcome: Outcome


class SidecarHeartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Liveness, state and load; ``echo`` is the sequence of the last entry heartbeat."""

    sequence: int
    state: UpstreamState
    load: LoadReport
    cache_events: tuple[CacheEvent, ...] = ()
    document_version: int = 0
    echo: int = 0


class StateNotice(msgspec.Struct, frozen=True, tag="state"):
    """The upstream's state changed; sent at once."""

    state: UpstreamState


class CrashNotice(msgspec.Struct, frozen=True, tag="crash"):
    """The upstream crashed while the request of this fingerprint ran on it.

    ``crash`` names the crash: several requests, or several notices, can be of one.
    """

    fingerprint: Fingerprint
    alone: bool
    crash: CrashId = CrashId("")


SidecarFrame = Welcome | Chunk | Finished | SidecarHeartbeat | StateNotice | CrashNotice


class SidecarBatch(msgspec.Struct, frozen=True):
    """What a sidecar sends at once, at a hybrid logical time."""

    frames: tuple[SidecarFrame, ...]
    time: int = 0


# Unary requests to a sidecar.


class SealRequest(msgspec.Struct, frozen=True):
    """Settle whether a call ran; ``incarnation`` is the sidecar's life that was ordered it."""

    call_id: CallId
    fence: Fence
    incarnation: Incarnation


class SealReply(msgspec.Struct, frozen=True):
    """Answer to a seal; ``outcome`` comes with ``executed`` only."""

    verdict: SealVerdict
    outcome: Outcome | None = None


class DrainRequest(msgspec.Struct, frozen=True):
    """Take no new work; finish what is in flight."""

    reason: str = ""


class Accepted(msgspec.Struct, frozen=True):
    """The request took effect."""


# Requests between entries.


class Budget(msgspec.Struct, frozen=True):
    """Upper bounds of a program and its sub-agents together; cost in millionths of a unit."""

    tokens: int
    cost_micros: int
    turns: int


class ProgramRequest(msgspec.Struct, frozen=True):
    """What a caller asks for; ``deadline_s`` is the time it allows, from acceptance.

    With ``service`` set, the program is one call of a plain service that may not be repeated.
    ``fingerprint`` is that of the body as the caller sent it: the defaults that the document adds
    may differ when the same body comes again.
    """

    request_key: RequestKey
    customer: CustomerId
    agent: AgentName
    input: str
    deadline_s: float
    budget: Budget
    priority: Priority = Priority.NORMAL
    service: ServiceWork | None = None
    fingerprint: Fingerprint = Fingerprint("")

    def same_as(self, other: "ProgramRequest") -> bool:
        """Tell whether a caller sent the same body again."""
        if self.fingerprint and other.fingerprint:
            return self.fingerprint == other.fingerprint
        return self == other


class ProgramView(msgspec.Struct, frozen=True):
    """What a caller or operator sees of a program."""

    program_id: ProgramId
    customer: CustomerId
    agent: AgentName
    state: str
    word: FinalWord | None
    answer: str
    error: ErrorCode | None
    detail: str
    retry_after_s: float | None
    tokens_spent: int
    cost_spent_micros: int
    turns_spent: int
    budget: Budget
    calls: tuple["CallView", ...] = ()


class CallView(msgspec.Struct, frozen=True):
    """One tool or service call of a program and its final word, if it has one."""

    call_id: CallId
    name: str
    word: FinalWord | None
    error: ErrorCode | None = None


class Step(msgspec.Struct, frozen=True):
    """A numbered event for the caller; ``number`` starts at 1 and has no gaps.

    ``body`` is JSON text.
    """

    number: int
    kind: str
    body: str


class Delta(msgspec.Struct, frozen=True):
    """Unnumbered output after step ``after``, from character ``offset`` of that turn on.

    A repeated turn starts again at offset 0 with a higher ``attempt``.
    """

    after: int
    attempt: int
    offset: int
    text: str


class StartRequest(msgspec.Struct, frozen=True):
    """Start a program at its owner."""

    request: ProgramRequest


class ProgramSelector(msgspec.Struct, frozen=True):
    """Address one program on behalf of a customer; empty customer means an operator."""

    program_id: ProgramId
    customer: CustomerId = CustomerId("")


class WatchRequest(msgspec.Struct, frozen=True):
    """Stream a program's steps after number ``after`` and its output."""

    selector: ProgramSelector
    after: int = 0


class WatchItem(msgspec.Struct, frozen=True):
    """One item of a watched program; exactly one field is set."""

    step: Step | None = None
    delta: Delta | None = None


class ServiceRequest(msgspec.Struct, frozen=True):
    """Relay a request to a plain service; a key makes it run at most once."""

    customer: CustomerId
    work: ServiceWork
    idempotency_key: RequestKey = RequestKey("")
    deadline_s: float = 30.0


class ListRequest(msgspec.Struct, frozen=True):
    """List the programs a node drives."""

    customer: CustomerId = CustomerId("")


class ListReply(msgspec.Struct, frozen=True):
    """Programs of one node."""

    programs: tuple[ProgramView, ...]


class HostView(msgspec.Struct, frozen=True):
    """One upstream as an entry sees it."""

    upstream: UpstreamId
    kind: PoolKind
    pool: str
    failure_domain: FailureDomain
    address: str
    state: UpstreamState
    load: LoadReport


class HostsReply(msgspec.Struct, frozen=True):
    """Upstreams an entry knows."""

    hosts: tuple[HostView, ...]


class TimelineRequest(msgspec.Struct, frozen=True):
    """Read a process's ring of events; ``since`` is a hybrid logical time."""

    program_id: ProgramId = ProgramId("")
    since: int = 0


class EventView(msgspec.Struct, frozen=True):
    """One logged event; ``time`` is hybrid logical time, ``fields`` are name and value pairs."""

    time: int
    node: str
    number: int
    name: str
    program_id: ProgramId
    fields: dict[str, str]


class TimelineReply(msgspec.Struct, frozen=True):
    """Events of one process, oldest first."""

    events: tuple[EventView, ...]


class Failure(msgspec.Struct, frozen=True):
    """A typed failure on its way between processes."""

    code: ErrorCode
    detail: str
    retry_after_s: float | None = None
    word: FinalWord | None = None


def failure_of(error: SkylarkferryError) -> Failure:
    """Return the message that carries an error."""
    return Failure(error.code, error.detail, error.retry_after_s, error.word)


def error_of(failure: Failure) -> SkylarkferryError:
    """Return the error that a message carries."""
    error = error_for(failure.code, failure.detail, failure.retry_after_s)
    error.word = failure.word
    return error
