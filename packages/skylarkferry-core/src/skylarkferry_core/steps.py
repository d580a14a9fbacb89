"""Numbered steps a caller sees, derived from a program's records."""

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
    """The program is durable."""

    program_id: ProgramId
    agent: AgentName


class TurnBody(msgspec.Struct, frozen=True):
    """A model turn ended; only the caller's own run tells its text."""

    run: str
    turn: int
    text: str
    requests: tuple[ToolRequest, ...]


class CallBody(msgspec.Struct, frozen=True):
    """A tool or service call has its final word."""

    run: str
    call_id: CallId
    name: str
    word: FinalWord
    error: ErrorCode | None


class EndedBody(msgspec.Struct, frozen=True):
    """The program has its final answer."""

    word: FinalWord
    answer: str
    error: ErrorCode | None
    detail: str
    retry_after_s: float | None


def _turn_body(record: TurnCompleted) -> TurnBody:
    own = record.slot.run_id == ROOT_RUN
    text = record.message.content if own else ""
    return TurnBody(record.slot.run_id, record.slot.turn, text, record.message.tool_requests)


def _call_body(record: CallCompleted) -> CallBody:
    outcome = record.outcome
    return CallBody(record.slot.run_id, outcome.call_id, record.name, outcome.word, outcome.error)


def step_of(record: Record, number: int) -> Step | None:
    """Return the caller's step of a record, or ``None`` when callers do not see it."""
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
