"""State of one program, derived from its journal records, and the calls to run next."""

import msgspec

from skylarkferry_core.budgets import Amount, BudgetLedger
from skylarkferry_core.document import Document
from skylarkferry_core.entry_messages import CallView, ProgramView, Step
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import CallId, ProgramId, RunId, call_id_for
from skylarkferry_core.messages import Outcome, ToolRequest
from skylarkferry_core.records import (
    AllotmentTaken,
    CallCompleted,
    CallIntended,
    ProgramAccepted,
    ProgramEnded,
    Record,
    RunStarted,
    SlotKey,
    TurnCompleted,
)
from skylarkferry_core.runs import ROOT_RUN, Run, RunPhase
from skylarkferry_core.states import FinalWord, ProgramState
from skylarkferry_core.steps import step_of

MAX_CONSECUTIVE_REPEATS = 4
SERVICE_SLOT = SlotKey(ROOT_RUN, 0, 1)


class ReadyCall(msgspec.Struct, frozen=True):
    """A call to run; ``request`` is set for tools, ``intent`` for an attempt without an outcome."""

    slot: SlotKey
    request: ToolRequest | None
    intent: CallIntended | None


class TerminationReason(msgspec.Struct, frozen=True):
    """Reason to end a program without an answer."""

    error: ErrorCode
    detail: str


class Program:
    """One program; :meth:`apply` is the only way its state changes.

    Duplicate and late records are ignored, but a duplicate ``CallIntended`` of a call without an
    outcome counts as another attempt.
    """

    def __init__(self, accepted: ProgramAccepted) -> None:
        self.program_id: ProgramId = accepted.program_id
        self.request = accepted.request
        self.accepted_at = accepted.accepted_at
        self.budget = BudgetLedger(accepted.request.budget)
        self.runs: dict[RunId, Run] = {}
        self.children: dict[SlotKey, RunId] = {}
        self.intents: dict[SlotKey, CallIntended] = {}
        self.attempts: dict[SlotKey, int] = {}
        self.calls: dict[SlotKey, CallView] = {}
        self.outcomes: dict[SlotKey, Outcome] = {}
        self.steps: list[Step] = []
        self.ended: ProgramEnded | None = None
        self.may_have_had_effects = False
        if accepted.request.service is None:
            self.runs[ROOT_RUN] = Run(ROOT_RUN, self.request.agent, self.request.input, None)
        self._add_step(accepted)

    @property
    def deadline(self) -> float:
        """Return the wall time by which the program has to end, in seconds since the epoch."""
        return self.accepted_at + self.request.deadline_s

    def call_id(self, slot: SlotKey) -> CallId:
        """Return the id of the slot's next attempt."""
        attempt = self.attempts.get(slot, 0)
        return call_id_for(self.program_id, slot.run_id, slot.turn, slot.index, attempt)

    def apply(self, record: Record) -> Step | None:
        """Apply a record; return the step that it adds for the caller, if any."""
        if self.ended is not None or not self._apply(record):
            return None
        return self._add_step(record)

    def _apply(self, record: Record) -> bool:
        match record:
            case AllotmentTaken():
                self.budget.allot(Amount(record.tokens, record.cost_micros))
                return True
            case RunStarted():
                return self._apply_run(record)
            case CallIntended():
                return self._apply_intent(record)
            case TurnCompleted():
                return self._apply_turn(record)
            case CallCompleted():
                return self._apply_call(record)
            case ProgramEnded():
                self.ended = record
                return True
        return False

    def _add_step(self, record: Record) -> Step | None:
        step = step_of(record, len(self.steps) + 1)
        if step is not None:
            self.steps.append(step)
        return step

    def _apply_run(self, record: RunStarted) -> bool:
        if record.run_id in self.runs:
            return False
        self.runs[record.run_id] = Run(record.run_id, record.agent, record.input, record.parent)
        self.children[record.parent] = record.run_id
        return True

    def _apply_intent(self, record: CallIntended) -> bool:
        if record.slot in self.outcomes:
            return False
        self.intents[record.slot] = record
        self.attempts[record.slot] = self.attempts.get(record.slot, 0) + 1
        return True

    def _apply_turn(self, record: TurnCompleted) -> bool:
        run = self.runs.get(record.slot.run_id)
        if run is None or run.phase is not RunPhase.MODEL or run.model_slot() != record.slot:
            return False
        self.intents.pop(record.slot, None)
        tokens = record.usage.prompt_tokens + record.usage.output_tokens
        self.budget.settle(record.call_id, Amount(tokens, record.cost_micros))
        self.budget.turns += 1
        run.add_message(record.message, tokens)
        self._answer_parent(run)
        return True

    def _answer_parent(self, run: Run) -> None:
        """Pass the answer of an ended sub-agent run to its parent run."""
        if run.phase is RunPhase.ENDED and run.parent is not None:
            self.runs[run.parent.run_id].add_result(run.parent.index, run.answer)

    def _apply_call(self, record: CallCompleted) -> bool:
        if record.slot in self.outcomes:
            return False
        intent = self.intents.pop(record.slot, None)
        self._settle_call(record)
        ran = record.outcome.word is not FinalWord.NOT_RUN
        if ran and intent is not None and not intent.repeatable:
            self.may_have_had_effects = True
        outcome = record.outcome
        self.outcomes[record.slot] = outcome
        view = CallView(outcome.call_id, record.name, outcome.word, outcome.error)
        self.calls[record.slot] = view
        run = self.runs.get(record.slot.run_id)
        if run is not None and run.turn == record.slot.turn:
            run.add_result(record.slot.index, result_text(outcome))
        return True

    def _settle_call(self, record: CallCompleted) -> None:
        if record.outcome.word is FinalWord.NOT_RUN:
            self.budget.release(record.outcome.call_id)
        else:
            self.budget.settle(record.outcome.call_id, Amount(0, record.cost_micros))

    def ready_calls(self) -> list[ReadyCall]:
        """Return every call that can run now, in slot order."""
        if self.ended is not None:
            return []
        if self.request.service is not None:
            return self._ready_service()
        calls: list[ReadyCall] = []
        for run_id in sorted(self.runs):
            calls.extend(self._ready_of(self.runs[run_id]))
        return calls

    def _ready_service(self) -> list[ReadyCall]:
        if SERVICE_SLOT in self.outcomes:
            return []
        return [ReadyCall(SERVICE_SLOT, None, self.intents.get(SERVICE_SLOT))]

    def _ready_of(self, run: Run) -> list[ReadyCall]:
        if run.phase is RunPhase.MODEL:
            slot = run.model_slot()
            return [ReadyCall(slot, None, self.intents.get(slot))]
        return [
            ReadyCall(slot, request, self.intents.get(slot))
            for slot, request in run.open_requests()
            if slot not in self.children
        ]

    def finished(self) -> str | None:
        """Return the answer if the root run has ended, else ``None``."""
        run = self.runs.get(ROOT_RUN)
        if run is None or run.phase is not RunPhase.ENDED:
            return None
        return run.answer

    def termination_reason(self, document: Document) -> TerminationReason | None:
        """Return why the program must be ended early, or ``None``."""
        if self.budget.turns >= self.request.budget.turns and self.finished() is None:
            return TerminationReason(
                ErrorCode.TURN_LIMIT, "the program has used all turns of its budget"
            )
        for run in self.runs.values():
            spec = document.agents.get(run.agent)
            if spec is None:
                return TerminationReason(ErrorCode.UNKNOWN_AGENT, f"unknown agent {run.agent}")
            if run.turn >= spec.max_turns and run.phase is RunPhase.MODEL:
                return TerminationReason(
                    ErrorCode.TURN_LIMIT, f"agent {run.agent} has used all its turns"
                )
            if run.repeats >= MAX_CONSECUTIVE_REPEATS:
                return TerminationReason(
                    ErrorCode.REPEATED_CALLS, f"agent {run.agent} keeps repeating the same calls"
                )
        return None

    def word_on_failure(self) -> FinalWord:
        """Return ``unknown`` if a non-repeatable call ran or may have run, else ``not_run``."""
        pending = any(not intent.repeatable for intent in self.intents.values())
        return FinalWord.UNKNOWN if self.may_have_had_effects or pending else FinalWord.NOT_RUN

    def view(self) -> ProgramView:
        """Return the program's state as shown to callers and operators."""
        ended = self.ended
        return ProgramView(
            program_id=self.program_id,
            customer=self.request.customer,
            agent=self.request.agent,
            state=(ProgramState.ENDED if ended else ProgramState.RUNNING).value,
            word=ended.word if ended else None,
            answer=ended.answer if ended else "",
            error=ended.error if ended else None,
            detail=ended.detail if ended else "",
            retry_after_s=ended.retry_after_s if ended else None,
            tokens_spent=self.budget.spent.tokens,
            cost_spent_micros=self.budget.spent.cost_micros,
            turns_spent=self.budget.turns,
            budget=self.request.budget,
            calls=tuple(self.calls[slot] for slot in sorted(self.calls)),
        )


class CallFailure(msgspec.Struct, frozen=True):
    """JSON that the model receives when a tool call has no result."""

    error: str
    word: FinalWord
    detail: str


def result_text(outcome: Outcome) -> str:
    """Return the text that is added to the run's history for a tool call's outcome."""
    if outcome.word is FinalWord.DONE and outcome.error is None:
        return outcome.result
    code = outcome.error.value if outcome.error else outcome.word.value
    failure = CallFailure(code, outcome.word, outcome.detail)
    return msgspec.json.encode(failure).decode()


def replay(records: list[Record]) -> Program:
    """Rebuild a program from its journal records.

    Raise ``TypeError`` if the first record is not a ``ProgramAccepted``.
    """
    first = records[0]
    if not isinstance(first, ProgramAccepted):
        raise TypeError(type(first).__name__)
    program = Program(first)
    for record in records[1:]:
        program.apply(record)
    program.budget.recover()
    return program
