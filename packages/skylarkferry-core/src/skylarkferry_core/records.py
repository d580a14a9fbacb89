"""Records of the partition journal, from which the state of each program is rebuilt.

Records are ``msgspec`` tagged unions; readers ignore unknown fields of later versions.
"""

import msgspec

from skylarkferry_core.entry_messages import ProgramRequest
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import (
    AgentName,
    CallId,
    Epoch,
    Incarnation,
    PartitionNumber,
    ProgramId,
    RunId,
    UpstreamId,
)
from skylarkferry_core.messages import ChatMessage, Outcome, Usage
from skylarkferry_core.states import FinalWord


class SlotKey(msgspec.Struct, frozen=True, order=True):
    """Position of a call in its program; index 0 is the model call, higher ones are tool calls."""

    run_id: RunId
    turn: int
    index: int


class ProgramAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """A program was accepted at ``accepted_at`` on the owner's wall clock, in Unix seconds."""

    program_id: ProgramId
    request: ProgramRequest
    accepted_at: float


class AllotmentTaken(msgspec.Struct, frozen=True, tag="allotment"):
    """The program may spend up to these totals; recovery counts unsettled amounts as spent."""

    program_id: ProgramId
    tokens: int
    cost_micros: int


class TurnCompleted(msgspec.Struct, frozen=True, tag="turn"):
    """A model call ended; ``message`` is added to the run's history."""

    program_id: ProgramId
    slot: "SlotKey"
    call_id: CallId
    message: ChatMessage
    usage: Usage
    cost_micros: int = 0


class RunStarted(msgspec.Struct, frozen=True, tag="run"):
    """A model called a sub-agent; its answer becomes the result of the parent's tool call."""

    program_id: ProgramId
    run_id: RunId
    parent: "SlotKey"
    agent: AgentName
    input: str


class CallIntended(msgspec.Struct, frozen=True, tag="intent"):
    """A call is about to be sent to this incarnation of a sidecar.

    The record is durable before the call is sent only if the call may not be repeated.
    """

    program_id: ProgramId
    slot: "SlotKey"
    call_id: CallId
    upstream: UpstreamId
    incarnation: Incarnation
    repeatable: bool


class CallCompleted(msgspec.Struct, frozen=True, tag="call"):
    """A tool or service call has its final outcome; no further attempt follows."""

    program_id: ProgramId
    slot: "SlotKey"
    name: str
    outcome: Outcome
    cost_micros: int = 0


class ProgramEnded(msgspec.Struct, frozen=True, tag="ended"):
    """A program ended with this outcome."""

    program_id: ProgramId
    word: FinalWord
    answer: str
    error: ErrorCode | None = None
    detail: str = ""
    retry_after_s: float | None = None


Record = (
    ProgramAccepted
    | AllotmentTaken
    | TurnCompleted
    | RunStarted
    | CallIntended
    | CallCompleted
    | ProgramEnded
)


class PartitionRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record with the partition and epoch under which it was written.

    ``copy_round`` is 0 for an original, and the compaction round for a copy that replaces earlier
    originals.
    """

    partition: PartitionNumber
    epoch: Epoch
    record: Record
    copy_round: int = 0


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """One conditional write to a journal: records of several partitions, in write order."""

    incarnation: Incarnation
    sequence: int
    records: tuple[PartitionRecord, ...]
