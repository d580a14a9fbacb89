"""Typed messages of calls; serialized by ``msgspec`` as MessagePack.

Durations travel as seconds remaining, never as points in time: hosts share no clock.
"""

import msgspec

from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import (
    CallId,
    CustomerId,
    Epoch,
    Fingerprint,
    Incarnation,
    ModelName,
    PartitionNumber,
    ProgramId,
    RunId,
    ServiceName,
    ToolName,
)
from skylarkferry_core.states import (
    ChatRole,
    FinalWord,
    Priority,
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
