"""Model and tool work built from a program's state and the configuration document."""

import msgspec

from skylarkferry_core.budgets import Amount, cost_of
from skylarkferry_core.document import Document, ToolSpec
from skylarkferry_core.ids import (
    AgentName,
    FailureDomain,
    ProgramId,
    ToolName,
    fingerprint_of,
)
from skylarkferry_core.interfaces import PlacementRequest
from skylarkferry_core.messages import ChatMessage, ModelWork, ToolOffer, ToolRequest, ToolWork
from skylarkferry_core.runs import Run
from skylarkferry_core.states import ChatRole

MESSAGE_OVERHEAD_TOKENS = 16
MIN_OUTPUT_TOKENS = 16
BYTES_PER_TOKEN = 4
EXPECTED_OUTPUT_DIVISOR = 4
_SUB_AGENT_PARAMETERS = (
    '{"type":"object","properties":{"input":{"type":"string"}},"required":["input"]}'
)


def _tool_offer(name: ToolName, spec: ToolSpec) -> ToolOffer:
    return ToolOffer(name, spec.description, spec.parameters)


def _agent_offer(document: Document, name: AgentName) -> ToolOffer:
    return ToolOffer(ToolName(name), document.agents[name].description, _SUB_AGENT_PARAMETERS)


def tool_offers(document: Document, agent: AgentName) -> tuple[ToolOffer, ...]:
    """Return the tools and sub-agents that an agent may call."""
    spec = document.agents[agent]
    tools = [_tool_offer(name, document.tools[name]) for name in spec.tools]
    agents = [_agent_offer(document, name) for name in spec.agents]
    return tuple(tools + agents)


def model_work(document: Document, run: Run, max_tokens: int) -> ModelWork:
    """Return the work of a run's next model call."""
    spec = document.agents[run.agent]
    system = ChatMessage(ChatRole.SYSTEM, spec.instructions)
    messages = (system, *run.history)
    return ModelWork(spec.model, messages, tool_offers(document, run.agent), max_tokens)


def tool_work(spec: ToolSpec, request: ToolRequest) -> ToolWork:
    """Return the work of a tool call."""
    return ToolWork(request.name, spec.path, request.arguments)


def _message_tokens(message: ChatMessage) -> int:
    """Return an upper bound of the tokens: no tokenizer produces more tokens than UTF-8 bytes."""
    size = len(message.content.encode())
    for request in message.tool_requests:
        size += len(request.name.encode()) + len(request.arguments.encode())
    return size + MESSAGE_OVERHEAD_TOKENS


def prompt_bound(document: Document, run: Run) -> int:
    """Return an upper bound of the prompt tokens of a run's next turn.

    Messages whose tokens an engine has already counted use that count; the rest use their size
    in bytes.
    """
    uncounted = run.history[run.counted_messages :]
    bound = sum(_message_tokens(message) for message in uncounted)
    if run.counted_messages:
        return run.counted_tokens + bound
    spec = document.agents[run.agent]
    bound += len(spec.instructions.encode()) + MESSAGE_OVERHEAD_TOKENS
    bound += sum(len(msgspec.json.encode(offer)) for offer in tool_offers(document, run.agent))
    return bound


def turn_bound(document: Document, run: Run, left: Amount) -> "TurnBound":
    """Return the maximum usage of the next turn, with output limited to the remaining budget."""
    spec = document.agents[run.agent]
    prompt = prompt_bound(document, run)
    output = spec.max_output_tokens
    if prompt + output > left.tokens:
        output = max(MIN_OUTPUT_TOKENS, left.tokens - prompt)
    cost = cost_of(document.models[spec.model], prompt, output)
    return TurnBound(prompt, output, Amount(prompt + output, cost))


class TurnBound(msgspec.Struct, frozen=True):
    """Upper bounds of a turn's prompt and output tokens, and the amount to reserve for it."""

    prompt_tokens: int
    output_tokens: int
    amount: Amount


def expected_turn(document: Document, program_id: ProgramId, run: Run) -> PlacementRequest:
    """Return estimates for placing a run's next turn.

    The agent's instructions and tool offers count as a prefix that all runs of the agent share.
    """
    spec = document.agents[run.agent]
    shared = len(spec.instructions.encode())
    shared += sum(len(msgspec.json.encode(offer)) for offer in tool_offers(document, run.agent))
    uncounted = run.history[run.counted_messages :]
    prompt = run.counted_tokens
    if not run.counted_messages:
        prompt = shared // BYTES_PER_TOKEN
    prompt += sum(_message_tokens(message) // BYTES_PER_TOKEN for message in uncounted)
    return PlacementRequest(
        program_id=program_id,
        prompt_tokens=prompt,
        output_tokens=spec.max_output_tokens // EXPECTED_OUTPUT_DIVISOR,
        failure_domain=FailureDomain(""),
        run_id=run.run_id,
        prefix=fingerprint_of(spec.instructions.encode()),
        prefix_tokens=shared // BYTES_PER_TOKEN,
    )


def sub_agent_input(arguments: str) -> str:
    """Return the sub-agent input from a call's arguments, or the raw text if it does not parse."""
    try:
        parsed = msgspec.json.decode(arguments, type=SubAgentArguments)
    except msgspec.DecodeError:
        return arguments
    return parsed.input


class SubAgentArguments(msgspec.Struct, frozen=True):
    """Arguments of a sub-agent call."""

    input: str
