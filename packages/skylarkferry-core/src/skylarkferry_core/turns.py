"""Build the work of calls from a program's state and the document."""

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
EXPECTED_OUTPUT_PART = 4
_SUB_AGENT_PARAMETERS = (
    '{"type":"object","properties":{"input":{"type":"string"}},"required":["input"]}'
)


def _tool_offer(name: ToolName, spec: ToolSpec) -> ToolOffer:
    return ToolOffer(name, spec.description, spec.parameters)


def _agent_offer(document: Document, name: AgentName) -> ToolOffer:
    return ToolOffer(ToolName(name), document.agents[name].description, _SUB_AGENT_PARAMETERS)


def tool_offers(document: Document, agent: AgentName) -> tuple[ToolOffer, ...]:
    """Return the tools and sub-agents an agent may ask for."""
    spec = document.agents[agent]
    tools = [_tool_offer(name, document.tools[name]) for name in spec.tools]
    agents = [_agent_offer(document, name) for name in spec.agents]
    return tuple(tools + agents)


def model_work(document: Document, run: Run, max_tokens: int) -> ModelWork:
    """Return the next turn of a run as work for an engine."""
    spec = document.agents[run.agent]
    system = ChatMessage(ChatRole.SYSTEM, spec.instructions)
    messages = (system, *run.history)
    return ModelWork(spec.model, messages, tool_offers(document, run.agent), max_tokens)


def tool_work(spec: ToolSpec, request: ToolRequest) -> ToolWork:
    """Return a tool request as work for a tool service."""
    return ToolWork(request.name, spec.path, request.arguments)


def _message_tokens(message: ChatMessage) -> int:
    """Return an upper bound: no tokenizer makes more tokens than UTF-8 bytes."""
    size = len(message.content.encode())
    for request in message.tool_requests:
        size += len(request.name.encode()) + len(request.arguments.encode())
    return size + MESSAGE_OVERHEAD_TOKENS


def prompt_bound(document: Document, run: Run) -> int:
    """Return an upper bound of the prompt tokens of a run's next turn.

    The part that an engine has counted before enters with its count, the rest with its bytes.
    """
    fresh = run.history[run.counted_messages :]
    bound = sum(_message_tokens(message) for message in fresh)
    if run.counted_messages:
        return run.counted_tokens + bound
    spec = document.agents[run.agent]
    bound += len(spec.instructions.encode()) + MESSAGE_OVERHEAD_TOKENS
    bound += sum(len(msgspec.json.encode(offer)) for offer in tool_offers(document, run.agent))
    return bound


def turn_bound(document: Document, run: Run, left: Amount) -> "TurnBound":
    """Return what the next turn may cost, its output cut down to what is left of the budget."""
    spec = document.agents[run.agent]
    prompt = prompt_bound(document, run)
    output = spec.max_output_tokens
    if prompt + output > left.tokens:
        output = max(MIN_OUTPUT_TOKENS, left.tokens - prompt)
    cost = cost_of(document.models[spec.model], prompt, output)
    return TurnBound(prompt, output, Amount(prompt + output, cost))


class TurnBound(msgspec.Struct, frozen=True):
    """Worst case of a turn: tokens of the prompt and the output, and the amount to reserve."""

    prompt_tokens: int
    output_tokens: int
    amount: Amount


def expected_turn(document: Document, program_id: ProgramId, run: Run) -> PlacementRequest:
    """Return what placement expects of a run's next turn; its instructions are a shared prefix."""
    spec = document.agents[run.agent]
    shared = len(spec.instructions.encode())
    shared += sum(len(msgspec.json.encode(offer)) for offer in tool_offers(document, run.agent))
    fresh = run.history[run.counted_messages :]
    prompt = run.counted_tokens
    if not run.counted_messages:
        prompt = shared // BYTES_PER_TOKEN
    prompt += sum(_message_tokens(message) // BYTES_PER_TOKEN for message in fresh)
    return PlacementRequest(
        program_id=program_id,
        prompt_tokens=prompt,
        output_tokens=spec.max_output_tokens // EXPECTED_OUTPUT_PART,
        failure_domain=FailureDomain(""),
        run_id=run.run_id,
        prefix=fingerprint_of(spec.instructions.encode()),
        prefix_tokens=shared // BYTES_PER_TOKEN,
    )


def sub_agent_input(arguments: str) -> str:
    """Return the input a model gave a sub-agent; other JSON stands for itself."""
    try:
        parsed = msgspec.json.decode(arguments, type=SubAgentArguments)
    except msgspec.DecodeError:
        return arguments
    return parsed.input


class SubAgentArguments(msgspec.Struct, frozen=True):
    """Arguments of a sub-agent's call."""

    input: str
