"""Requests and replies between entries, and the views shown to callers and operators."""

import msgspec

from skylarkferry_core.errors import ErrorCode, SkylarkferryError, error_for
from skylarkferry_core.ids import (
    AgentName,
    CallId,
    CustomerId,
    FailureDomain,
    Fingerprint,
    ProgramId,
    RequestKey,
    UpstreamId,
)
from skylarkferry_core.messages import (
    LoadReport,
    ServiceWork,
)
from skylarkferry_core.states import (
    FinalWord,
    PoolKind,
    Priority,
    UpstreamState,
)


class Budget(msgspec.Struct, frozen=True):
    """Limits for a program and its sub-agents together; cost in millionths of a unit."""

    tokens: int
    cost_micros: int
    turns: int


class ProgramRequest(msgspec.Struct, frozen=True):
    """A caller's request for a program; ``deadline_s`` counts from acceptance.

    If ``service`` is set, the program is a single call of a plain service that may not be repeated.
    ``fingerprint`` is computed from the body as the caller sent it, because the defaults that the
    document adds may have changed when the same body is sent again.
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

    def is_repeat_of(self, other: "ProgramRequest") -> bool:
        """Return whether both requests come from the same caller body."""
        if self.fingerprint and other.fingerprint:
            return self.fingerprint == other.fingerprint
        return self == other


class ProgramView(msgspec.Struct, frozen=True):
    """A program as shown to callers and operators."""

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
    """One tool or service call of a program; ``word`` is its final outcome, if known."""

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
    """Unnumbered output after step ``after``, starting at character ``offset`` of the turn.

    A repeated turn restarts at offset 0 with a higher ``attempt``.
    """

    after: int
    attempt: int
    offset: int
    text: str


class StartRequest(msgspec.Struct, frozen=True):
    """Start a program at the owner of its partition."""

    request: ProgramRequest


class ProgramSelector(msgspec.Struct, frozen=True):
    """Select a program on behalf of a customer; an empty customer stands for an operator."""

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
    """Relay a request to a plain service; with an idempotency key, it runs at most once."""

    customer: CustomerId
    work: ServiceWork
    idempotency_key: RequestKey = RequestKey("")
    deadline_s: float = 30.0


class ListRequest(msgspec.Struct, frozen=True):
    """List the programs that a node runs."""

    customer: CustomerId = CustomerId("")


class ListReply(msgspec.Struct, frozen=True):
    """Programs of one node."""

    programs: tuple[ProgramView, ...]


class HostView(msgspec.Struct, frozen=True):
    """One upstream as seen by an entry."""

    upstream: UpstreamId
    kind: PoolKind
    pool: str
    failure_domain: FailureDomain
    address: str
    state: UpstreamState
    load: LoadReport


class HostsReply(msgspec.Struct, frozen=True):
    """Upstreams known to an entry."""

    hosts: tuple[HostView, ...]


class TimelineRequest(msgspec.Struct, frozen=True):
    """Read a process's event ring buffer; ``since`` is a hybrid logical time."""

    program_id: ProgramId = ProgramId("")
    since: int = 0


class EventView(msgspec.Struct, frozen=True):
    """One logged event; ``time`` is a hybrid logical time."""

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
    """A typed error as sent between processes."""

    code: ErrorCode
    detail: str
    retry_after_s: float | None = None
    word: FinalWord | None = None


def to_failure(error: SkylarkferryError) -> Failure:
    """Convert an error to its message."""
    return Failure(error.code, error.detail, error.retry_after_s, error.word)


def to_error(failure: Failure) -> SkylarkferryError:
    """Convert a message back to its error."""
    error = error_for(failure.code, failure.detail, failure.retry_after_s)
    error.word = failure.word
    return error
