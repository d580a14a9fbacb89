"""Generated agent programs and a sequential reference interpreter."""

import msgspec
from hypothesis import strategies as st

from skylarkferry_core.entry_messages import Budget, ProgramRequest
from skylarkferry_core.ids import (
    AgentName,
    CustomerId,
    Incarnation,
    RequestKey,
    RunId,
    ToolName,
    UpstreamId,
    program_id_for,
)
from skylarkferry_core.messages import ChatMessage, Outcome, ToolRequest, Usage
from skylarkferry_core.programs import Program, ReadyCall
from skylarkferry_core.records import (
    CallCompleted,
    CallIntended,
    ProgramAccepted,
    Record,
    RunStarted,
    TurnCompleted,
)
from skylarkferry_core.runs import ROOT_RUN
from skylarkferry_core.states import ChatRole, FinalWord

AGENT = AgentName("gear-sizer")
SUB_AGENT = AgentName("quote-agent")
BUDGET = Budget(tokens=1_000_000, cost_micros=1_000_000, turns=1_000)


class Script(msgspec.Struct, frozen=True):
    """An agent's requests per turn; ``None`` is a tool call, a script is a sub-agent call."""

    name: str
    turns: tuple[tuple["Script | None", ...], ...]


def scripts(depth: int = 2) -> st.SearchStrategy[Script]:
    """Generate scripts with sub-agents down to ``depth``."""
    tool = st.none()
    request = tool if depth == 0 else st.one_of(tool, tool, scripts(depth - 1))
    turn = st.lists(request, min_size=1, max_size=3).map(tuple)
    turns = st.lists(turn, max_size=3).map(tuple)
    return st.builds(Script, st.sampled_from(["a", "b", "c"]), turns)


def accepted(key: str = "sizing-1", budget: Budget = BUDGET) -> ProgramAccepted:
    """Return the acceptance record of a test program."""
    customer = CustomerId("kilimanjaro-gearworks")
    request = ProgramRequest(RequestKey(key), customer, AGENT, "size a gear", 60.0, budget)
    return ProgramAccepted(program_id_for(customer, RequestKey(key), 24), request, 0.0)


def message_of(script: Script, turn: int) -> ChatMessage:
    """Return the model's message at a turn of a script."""
    if turn >= len(script.turns):
        return ChatMessage(ChatRole.ASSISTANT, f"answer of {script.name}")
    requests = tuple(
        ToolRequest(f"{turn}.{index}", _name_of(request), f'{{"input": "{turn}.{index}"}}')
        for index, request in enumerate(script.turns[turn], start=1)
    )
    return ChatMessage(ChatRole.ASSISTANT, f"turn {turn}", requests)


def _name_of(request: Script | None) -> ToolName:
    return ToolName("stock_lookup") if request is None else ToolName(SUB_AGENT)


def tool_result(run_id: RunId, turn: int, index: int) -> str:
    """Return the result of the tool call at a slot of the program."""
    return f"result {run_id}/{turn}.{index}"


def interpret(script: Script, run_id: RunId = ROOT_RUN) -> list[ChatMessage]:
    """Return a run's history after its first message, running one call at a time."""
    history: list[ChatMessage] = []
    for turn, requests in enumerate(script.turns):
        message = message_of(script, turn)
        history.append(message)
        for index, request in enumerate(requests, start=1):
            if request is None:
                result = tool_result(run_id, turn, index)
            else:
                result = interpret(request, RunId(f"{run_id}.{turn}.{index}"))[-1].content
            tool_request = message.tool_requests[index - 1]
            history.append(ChatMessage(ChatRole.TOOL, result, tool_request_id=tool_request.id))
    history.append(message_of(script, len(script.turns)))
    return history


class ScriptedWorld:
    """Answers the ready calls of a program according to its script."""

    def __init__(self, script: Script) -> None:
        self.scripts: dict[RunId, Script] = {RunId("0"): script}

    def records(self, program: Program, ready: ReadyCall) -> list[Record]:
        """Return the records that result from running one ready call."""
        slot = ready.slot
        script = self.scripts[slot.run_id]
        if ready.request is None:
            call_id = program.call_id(slot)
            message = message_of(script, slot.turn)
            return [TurnCompleted(program.program_id, slot, call_id, message, Usage(10, 0, 5))]
        child = script.turns[slot.turn][slot.index - 1]
        if child is not None:
            run_id = RunId(f"{slot.run_id}.{slot.turn}.{slot.index}")
            self.scripts[run_id] = child
            return [RunStarted(program.program_id, run_id, slot, SUB_AGENT, "quote")]
        return self._tool_records(program, ready)

    def _tool_records(self, program: Program, ready: ReadyCall) -> list[Record]:
        slot = ready.slot
        call_id = program.call_id(slot)
        intent = CallIntended(
            program.program_id, slot, call_id, UpstreamId("shop-1"), Incarnation("i"), False
        )
        result = tool_result(slot.run_id, slot.turn, slot.index)
        outcome = Outcome(call_id, FinalWord.DONE, result=result)
        return [intent, CallCompleted(program.program_id, slot, "stock_lookup", outcome)]
