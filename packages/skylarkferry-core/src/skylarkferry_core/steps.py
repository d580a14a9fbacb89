"""Numbered steps that callers see, derived from a program's records."""

import msgspec

from skylarkferry_core.entry_messages import Step
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import AgentName, CallId, ProgramId
from skylarkferry_core.messages import ToolRequest
from skylarkferry_core.records import (
    CallCompleted,
    ProgramAccepted,
    ProgramEnded,
    Record,
    TurnCompleted,
)
from skylarkferry_core.runs import ROOT_RUN
from skylarkferry_core.states import FinalWord


class AcceptedBody(msgspec.Struct, frozen=True):
    """The program is stored durably."""

    program_id: ProgramId
    agent: AgentName


class TurnBody(msgspec.Struct, frozen=True):
    """A model turn ended; ``text`` is empty for the runs of sub-agents."""

    run: str
    turn: int
    text: str
    requests: tuple[ToolRequest, ...]


class CallBody(msgspec.Struct, frozen=True):
    """A tool or service call has its final outcome."""

    run: str
    call_id: CallId
    name: str
    word: FinalWord
    error: ErrorCode | None


class EndedBody(msgspec.Struct, frozen=True):
    """The program ended with this outcome."""

    word: FinalWord
    answer: str
    error: ErrorCode | None
    detail: str
    retry_after_s: float | None


def _turn_body(record: TurnCompleted) -> TurnBody:
    is_root = record.slot.run_id == ROOT_RUN
    text = record.message.content if is_root else ""
    return TurnBody(record.slot.run_id, record.slot.turn, text, record.message.tool_requests)


def _call_body(record: CallCompleted) -> CallBody:
    outcome = record.outcome
    return CallBody(record.slot.run_id, outcome.call_id, record.name, outcome.word, outcome.error)


def step_of(record: Record, number: int) -> Step | None:
    """Return the step that a record adds, or ``None`` if callers do not see the record."""
    match record:
        case ProgramAccepted():
            kind = "accepted"
            body: msgspec.Struct = AcceptedBody(record.program_id, record.request.agent)
        case TurnCompleted():
            kind = "turn"
            body = _turn_body(record)
        case CallCompleted():
            kind = "call"
            body = _call_body(record)
        case ProgramEnded():
            kind = "ended"
            body = EndedBody(
                record.word, record.answer, record.error, record.detail, record.retry_after_s
            )
        case _:
            return None
    return Step(number, kind, msgspec.json.encode(body).decode())
