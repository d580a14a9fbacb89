"""Typed messages of calls, serialized by ``msgspec`` as MessagePack.

Deadlines are sent as remaining seconds, never as timestamps, because hosts share no clock.
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
    """Tokens used by a model call; ``cached_tokens`` of the prompt were served from the cache."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class ToolRequest(msgspec.Struct, frozen=True):
    """A model's request to call a tool or sub-agent; ``arguments`` is JSON text."""

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
    """A tool or sub-agent that a model may call; ``parameters`` is a JSON schema as text."""

    name: ToolName
    description: str
    parameters: str


class ModelWork(msgspec.Struct, frozen=True, tag="model"):
    """A turn to run on a model engine."""

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
    """A request to relay to a plain service."""

    service: ServiceName
    method: str
    path: str
    content_type: str
    body: bytes


Work = ModelWork | ToolWork | ServiceWork


class Fence(msgspec.Struct, frozen=True):
    """Fencing token of an order: the partition and its owner's epoch."""

    partition: PartitionNumber
    epoch: Epoch


class Order(msgspec.Struct, frozen=True):
    """One call that an entry sends to a sidecar.

    ``remaining_s`` is the time to the program's deadline, ``slack_s`` the part of it that remains
    after the program's expected work, and ``keep_kv_s`` how long the engine keeps the program's KV
    cache after the call. ``incarnation`` is the sidecar incarnation that the order is for; empty
    means any. ``alone`` requests an upstream without other calls, because the request was running
    when an upstream crashed. ``prefill_tokens`` and ``output_tokens`` are the entry's estimates of
    the tokens that the call computes. ``cached_tokens`` estimates what the run has in the
    upstream's cache, without shared prefixes; ``typical_tokens`` is the average that runs of its
    kind hold in that cache over their lifetime. ``prefix`` identifies the first ``prefix_tokens``
    tokens of the prompt, which other programs share.
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
    """Response of a plain service."""

    status: int
    content_type: str
    body: bytes


class Timing(msgspec.Struct, frozen=True):
    """Seconds at the upstream: until the first output, from then to the end, and in total."""

    first_output_s: float = 0.0
    rest_s: float = 0.0
    run_s: float = 0.0


class Outcome(msgspec.Struct, frozen=True):
    """The final outcome of a call.

    ``word`` is ``done`` if the upstream answered (``error`` is set if it refused), ``not_run`` if
    the call definitely never ran, and ``unknown`` if it may or may not have run.
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
    """Exact load of one upstream, sent with outcomes and heartbeats.

    ``running_output_tokens`` counts the tokens that running calls have yet to decode. ``kv_tokens``
    is the size of the engine's KV memory, or 0 if unknown; ``held_kv_tokens`` is the part used by
    running calls or kept for paused programs. ``reserved_kv_tokens`` is the same sum, but counts a
    run's typical size where it is larger than the size held.
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

    It applies to one run of a program or, if ``prefix`` is set, to a prefix that programs share.
    """

    sequence: int
    program_id: ProgramId
    cached_tokens: int
    run_id: RunId = RunId("0")
    prefix: Fingerprint = Fingerprint("")
