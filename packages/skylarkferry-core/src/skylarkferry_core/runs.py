"""Conversations of a program: the root run and the runs of its sub-agents."""

from enum import Enum

import msgspec

from skylarkferry_core.ids import AgentName, RunId
from skylarkferry_core.messages import ChatMessage, ToolRequest
from skylarkferry_core.records import SlotKey
from skylarkferry_core.states import ChatRole

ROOT_RUN = RunId("0")
MODEL_INDEX = 0


class RunPhase(Enum):
    """What a run is waiting for."""

    MODEL = "model"
    TOOLS = "tools"
    ENDED = "ended"


class Run:
    """One conversation. Its turns are sequential; the tool calls of one turn run in any order."""

    def __init__(self, run_id: RunId, agent: AgentName, text: str, parent: SlotKey | None) -> None:
        self.run_id = run_id
        self.agent = agent
        self.parent = parent
        self.turn = 0
        self.phase = RunPhase.MODEL
        self.history: list[ChatMessage] = [ChatMessage(ChatRole.USER, text)]
        self.requests: tuple[ToolRequest, ...] = ()
        self.results: dict[int, str] = {}
        self.answer = ""
        self.counted_tokens = 0
        self.counted_messages = 0
        self.repeats = 0

    def model_slot(self) -> SlotKey:
        """Return the slot of the current turn's model call."""
        return SlotKey(self.run_id, self.turn, MODEL_INDEX)

    def open_requests(self) -> list[tuple[SlotKey, ToolRequest]]:
        """Return the tool requests of the current turn that have no result yet."""
        if self.phase is not RunPhase.TOOLS:
            return []
        return [
            (SlotKey(self.run_id, self.turn, index), request)
            for index, request in enumerate(self.requests, start=1)
            if index not in self.results
        ]

    def add_message(self, message: ChatMessage, total_tokens: int) -> None:
        """Add the model's message of the current turn; ``total_tokens`` is prompt plus output."""
        self._count_repeats(message)
        self.history.append(message)
        self.counted_tokens = total_tokens
        self.counted_messages = len(self.history)
        if message.tool_requests:
            self.requests = message.tool_requests
            self.results = {}
            self.phase = RunPhase.TOOLS
        else:
            self.answer = message.content
            self.phase = RunPhase.ENDED

    def add_result(self, index: int, result: str) -> None:
        """Add the result of tool request ``index``; the last missing result starts the next turn.

        A repeated result is ignored, as is any result while no tool requests are open.
        """
        if self.phase is not RunPhase.TOOLS or index in self.results:
            return
        self.results[index] = result
        if len(self.results) == len(self.requests):
            self._append_results()

    def _append_results(self) -> None:
        """Append the results in request order, independent of their order of arrival."""
        for index, request in enumerate(self.requests, start=1):
            result = self.results[index]
            self.history.append(ChatMessage(ChatRole.TOOL, result, tool_request_id=request.id))
        self.requests = ()
        self.results = {}
        self.turn += 1
        self.phase = RunPhase.MODEL

    def _count_repeats(self, message: ChatMessage) -> None:
        """Count consecutive turns that request exactly the same calls."""
        previous = _last_requests(self.history)
        current = _calls_of(message)
        if current and current == previous:
            self.repeats += 1
        else:
            self.repeats = 0


class RequestedCall(msgspec.Struct, frozen=True):
    """A tool request without its id, for comparison."""

    name: str
    arguments: str


def _calls_of(message: ChatMessage) -> list[RequestedCall]:
    return [RequestedCall(request.name, request.arguments) for request in message.tool_requests]


def _last_requests(history: list[ChatMessage]) -> list[RequestedCall]:
    for message in reversed(history):
        if message.role is ChatRole.ASSISTANT:
            return _calls_of(message)
    return []
