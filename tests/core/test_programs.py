import msgspec
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from core.scripts import Script, ScriptedWorld, accepted, interpret, scripts
from skylarkferry_core.document import AgentSpec, Document, ModelSpec
from skylarkferry_core.entry_messages import Budget
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import AgentName, Incarnation, ModelName, RunId, UpstreamId
from skylarkferry_core.messages import ChatMessage, Outcome, ToolRequest, Usage
from skylarkferry_core.programs import Program, replay
from skylarkferry_core.records import CallCompleted, CallIntended, ProgramEnded, TurnCompleted
from skylarkferry_core.runs import ROOT_RUN
from skylarkferry_core.states import ChatRole, FinalWord

MAX_ROUNDS = 400


def late_copy_of(record):
    """Return a record for the same slot with other content, as a late repeat may have it."""
    if isinstance(record, TurnCompleted):
        message = ChatMessage(ChatRole.ASSISTANT, "late")
        return msgspec.structs.replace(record, message=message)
    if isinstance(record, CallCompleted):
        outcome = msgspec.structs.replace(record.outcome, result="late", word=FinalWord.UNKNOWN)
        return msgspec.structs.replace(record, outcome=outcome)
    return record


def run_to_end(script: Script, choices: list[int], repeats: list[bool]):
    """Run a script to its end and return the program and its journal.

    Ready calls complete in the order of ``choices``; ``repeats`` selects the rounds in which a late
    duplicate of an earlier record is applied.
    """
    program = Program(accepted())
    world = ScriptedWorld(script)
    journal = [accepted()]
    rounds = 0
    while program.finished() is None:
        assert_that(rounds, LessThan(MAX_ROUNDS))
        ready = program.ready_calls()
        choice = choices[rounds % len(choices)] % len(ready)
        for record in world.records(program, ready[choice]):
            program.apply(record)
            journal.append(record)
        if repeats[rounds % len(repeats)]:
            late = late_copy_of(journal[1 + choices[rounds % len(choices)] % (len(journal) - 1)])
            program.apply(late)
            journal.append(late)
        rounds += 1
    return program, journal


ORDERS = st.lists(st.integers(0, 50), min_size=1, max_size=20)
REPEATS = st.lists(st.booleans(), min_size=1, max_size=10)


@given(scripts(), ORDERS, REPEATS)
def test_history_equals_that_of_one_call_after_the_other(script, choices, repeats):
    program, _ = run_to_end(script, choices, repeats)
    assert_that(program.runs[ROOT_RUN].history[1:], Equals(interpret(script)))


@given(scripts(), ORDERS, REPEATS, st.integers(1, 200))
def test_replay_from_any_journal_prefix_ends_with_the_same_history(script, choices, repeats, cut):
    _, journal = run_to_end(script, choices, repeats)
    program = replay(journal[:cut])
    world = ScriptedWorld(script)
    rounds = 0
    for record in journal[:cut]:
        if hasattr(record, "parent"):
            parent = world.scripts[record.parent.run_id]
            world.scripts[record.run_id] = parent.turns[record.parent.turn][record.parent.index - 1]
    while program.finished() is None:
        assert_that(rounds, LessThan(MAX_ROUNDS))
        ready = program.ready_calls()
        for record in world.records(program, ready[rounds % len(ready)]):
            program.apply(record)
        rounds += 1
    assert_that(program.runs[ROOT_RUN].history[1:], Equals(interpret(script)))


@given(scripts(), ORDERS, REPEATS)
def test_step_numbers_have_no_gap_and_replay_gives_the_same_steps(script, choices, repeats):
    program, journal = run_to_end(script, choices, repeats)
    words = {view.word for view in program.calls.values()}
    assert_that(words <= {FinalWord.DONE}, Equals(True))
    numbers = [step.number for step in program.steps]
    assert_that(numbers, Equals(list(range(1, len(numbers) + 1))))
    assert_that(replay(journal).steps, Equals(program.steps))


def test_ended_program_has_no_ready_calls():
    program = Program(accepted())
    program.apply(ProgramEnded(program.program_id, FinalWord.NOT_RUN, ""))
    assert_that(program.ready_calls(), Equals([]))


def ordered_program(word: FinalWord | None) -> Program:
    """Return a program with one non-repeatable call, which ended with ``word`` or is pending."""
    program = Program(accepted())
    run = program.runs[ROOT_RUN]
    request = ToolRequest("1", "order_blank_stock", "{}")
    message = ChatMessage(ChatRole.ASSISTANT, "", (request,))
    slot = run.model_slot()
    call_id = program.call_id(slot)
    program.apply(TurnCompleted(program.program_id, slot, call_id, message, Usage()))
    tool = program.ready_calls()[0].slot
    call_id = program.call_id(tool)
    program.apply(
        CallIntended(
            program.program_id, tool, call_id, UpstreamId("u"), Incarnation("i"), repeatable=False
        )
    )
    if word is not None:
        outcome = Outcome(call_id, word)
        program.apply(CallCompleted(program.program_id, tool, "order_blank_stock", outcome))
    return program


def test_failed_program_is_not_run_only_if_no_call_can_have_had_effects():
    words = {word: ordered_program(word).word_on_failure() for word in [None, *FinalWord]}
    assert_that(
        words,
        Equals(
            {
                None: FinalWord.UNKNOWN,
                FinalWord.DONE: FinalWord.UNKNOWN,
                FinalWord.UNKNOWN: FinalWord.UNKNOWN,
                FinalWord.NOT_RUN: FinalWord.NOT_RUN,
            }
        ),
    )


def looping_document(max_turns: int) -> Document:
    agent = AgentSpec(ModelName("m"), "", max_turns=max_turns)
    models = {ModelName("m"): ModelSpec(context_tokens=1000)}
    return Document(models=models, agents={AgentName("gear-sizer"): agent})


def loop_turns(program: Program, turns: int, arguments: list[str]) -> None:
    """Apply turns in which the model calls a tool, cycling through ``arguments``."""
    for turn in range(turns):
        request = ToolRequest(str(turn), "stock_lookup", arguments[turn % len(arguments)])
        message = ChatMessage(ChatRole.ASSISTANT, "", (request,))
        slot = program.runs[RunId("0")].model_slot()
        call_id = program.call_id(slot)
        program.apply(TurnCompleted(program.program_id, slot, call_id, message, Usage()))
        tool = program.ready_calls()[0].slot
        outcome = Outcome(program.call_id(tool), FinalWord.DONE, result="none")
        program.apply(CallCompleted(program.program_id, tool, "stock_lookup", outcome))


def test_program_is_ended_when_the_model_repeats_the_same_call():
    program = Program(accepted())
    loop_turns(program, 5, ["{}"])
    assert_that(
        program.termination_reason(looping_document(100)).error, Equals(ErrorCode.REPEATED_CALLS)
    )


def test_loop_of_varying_calls_is_ended_by_the_turn_limits_of_agent_and_budget():
    program = Program(accepted())
    loop_turns(program, 10, ["1", "2"])
    assert_that(program.termination_reason(looping_document(11)), Equals(None))
    assert_that(
        program.termination_reason(looping_document(10)).error, Equals(ErrorCode.TURN_LIMIT)
    )
    small = Program(accepted(budget=Budget(1000, 1000, 3)))
    loop_turns(small, 3, ["1", "2"])
    assert_that(small.termination_reason(looping_document(100)).error, Equals(ErrorCode.TURN_LIMIT))
