"""Sample programs, records and orders of typical sizes, used in cost measurements."""

from skylarkferry_core.entry_messages import Budget, ProgramRequest
from skylarkferry_core.ids import (
    AgentName,
    CallId,
    CustomerId,
    Epoch,
    Fingerprint,
    Incarnation,
    ModelName,
    PartitionNumber,
    ProgramId,
    RequestKey,
    RunId,
    ToolName,
    UpstreamId,
    call_id_for,
    program_id_for,
)
from skylarkferry_core.messages import (
    ChatMessage,
    Fence,
    ModelWork,
    Order,
    Outcome,
    ToolOffer,
    ToolRequest,
    Usage,
)
from skylarkferry_core.records import (
    CallCompleted,
    CallIntended,
    ProgramAccepted,
    ProgramEnded,
    Record,
    SlotKey,
    TurnCompleted,
)
from skylarkferry_core.states import ChatRole, FinalWord, Priority

PARTITIONS = 2_048
CHARACTERS_PER_TOKEN = 4
OUTPUT_TOKENS = 250
HISTORY_TOKENS = 8_000
ROOT_RUN = RunId("0")
UPSTREAM = UpstreamId("calc-models-0001")
INCARNATION = Incarnation("calc-models-0001.0123456789abcdef")
FENCE = Fence(PartitionNumber(17), Epoch(3))


def build_text(tokens: int, number: int = 0) -> str:
    """Return a text of ``tokens`` tokens that is unique to ``number``."""
    length = tokens * CHARACTERS_PER_TOKEN
    return (f"{number:08d} gear " * (length // 14 + 1))[:length]


def build_program_id(number: int) -> ProgramId:
    """Return the program id for a number."""
    return program_id_for(CustomerId("gearworks"), RequestKey(f"request-{number}"), PARTITIONS)


def build_call_id(number: int, turn: int = 0) -> CallId:
    """Return the call id of a turn's model call."""
    return call_id_for(build_program_id(number), ROOT_RUN, turn, 0, 0)


def build_program_request(number: int) -> ProgramRequest:
    """Return a caller's request to start a program."""
    return ProgramRequest(
        RequestKey(f"request-{number}"),
        CustomerId("gearworks"),
        AgentName("gear-sizer"),
        build_text(100, number),
        600.0,
        Budget(250_000, 1_000_000, 360),
    )


def build_assistant_message(number: int, tokens: int = OUTPUT_TOKENS) -> ChatMessage:
    """Return the output of a turn, with one tool request."""
    tool_request = ToolRequest("call-0", ToolName("stock_lookup"), '{"diameter_mm": 110}')
    return ChatMessage(ChatRole.ASSISTANT, build_text(tokens, number), (tool_request,))


def build_turn_record(number: int, turn: int = 0) -> TurnCompleted:
    """Return the journal record of a completed model turn."""
    slot = SlotKey(ROOT_RUN, turn, 0)
    usage = Usage(HISTORY_TOKENS, HISTORY_TOKENS - 500, OUTPUT_TOKENS)
    message = build_assistant_message(number)
    return TurnCompleted(
        build_program_id(number), slot, build_call_id(number, turn), message, usage
    )


def build_records(number: int) -> dict[str, Record]:
    """Return one record of each frequent kind by the name of the kind."""
    program_id, call_id = build_program_id(number), build_call_id(number)
    slot = SlotKey(ROOT_RUN, 0, 1)
    outcome = Outcome(call_id, FinalWord.DONE, result=build_text(50, number))
    return {
        "accepted": ProgramAccepted(program_id, build_program_request(number), 1_700_000_000.0),
        "turn": build_turn_record(number),
        "intent": CallIntended(program_id, slot, call_id, UPSTREAM, INCARNATION, False),
        "call": CallCompleted(program_id, slot, "stock_lookup", outcome),
        "ended": ProgramEnded(program_id, FinalWord.DONE, build_text(100, number)),
    }


def build_order(number: int, history_tokens: int = HISTORY_TOKENS) -> Order:
    """Return the order of a model call with ``history_tokens`` of history, one message per turn."""
    turns = max(history_tokens // OUTPUT_TOKENS, 1)
    messages = tuple(build_assistant_message(number + turn) for turn in range(turns))
    offer = ToolOffer(ToolName("stock_lookup"), "Look up blanks.", '{"type": "object"}')
    return Order(
        call_id=build_call_id(number),
        program_id=build_program_id(number),
        customer=CustomerId("gearworks"),
        fence=FENCE,
        priority=Priority.NORMAL,
        repeatable=True,
        remaining_s=300.0,
        slack_s=200.0,
        timeout_s=60.0,
        fingerprint=Fingerprint(f"{number:032x}"),
        work=ModelWork(ModelName("calc"), messages, (offer,), 512),
    )
