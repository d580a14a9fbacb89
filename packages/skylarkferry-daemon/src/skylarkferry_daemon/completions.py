"""OpenAI chat completions: request bodies and a reader for streamed responses."""

import msgspec

from skylarkferry_core.ids import ToolName
from skylarkferry_core.messages import ChatMessage, ModelWork, Order, ToolOffer, ToolRequest, Usage
from skylarkferry_core.states import ChatRole


class FunctionBody(msgspec.Struct, omit_defaults=True):
    """A function offered to the model, or a function call that it requests."""

    name: str = ""
    description: str = ""
    parameters: msgspec.Raw | None = None
    arguments: str | None = None


class ToolBody(msgspec.Struct):
    """A tool offered to the model."""

    function: FunctionBody
    type: str = "function"


class ToolCallBody(msgspec.Struct, omit_defaults=True):
    """A complete tool call, or a fragment of one in a stream."""

    function: FunctionBody
    id: str | None = None
    type: str | None = None
    index: int = 0


class MessageBody(msgspec.Struct, omit_defaults=True):
    """One message of the conversation."""

    role: str
    content: str
    tool_calls: list[ToolCallBody] | None = None
    tool_call_id: str | None = None


class StreamOptionsBody(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool = True


class CompletionBody(msgspec.Struct, omit_defaults=True):
    """Body of a chat completion request."""

    model: str
    messages: list[MessageBody]
    max_tokens: int
    priority: int
    prompt_cache_key: str
    tools: list[ToolBody] | None = None
    stream: bool = False
    stream_options: StreamOptionsBody | None = None


class PromptDetailsBody(msgspec.Struct):
    """Number of prompt tokens that were served from the cache."""

    cached_tokens: int | None = None


class UsageBody(msgspec.Struct):
    """Token counts of a completion."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptDetailsBody | None = None


class DeltaBody(msgspec.Struct):
    """Output added since the previous event."""

    content: str | None = None
    tool_calls: list[ToolCallBody] | None = None


class ChoiceBody(msgspec.Struct):
    """One choice of a streamed event."""

    delta: DeltaBody
    finish_reason: str | None = None


class CompletionEvent(msgspec.Struct):
    """One event of a streamed response."""

    choices: list[ChoiceBody] = []
    usage: UsageBody | None = None


def _message_body(message: ChatMessage) -> MessageBody:
    calls = [
        ToolCallBody(FunctionBody(name=request.name, arguments=request.arguments), request.id)
        for request in message.tool_requests
    ]
    for index, call in enumerate(calls):
        call.type = "function"
        call.index = index
    return MessageBody(
        role=message.role.value,
        content=message.content,
        tool_calls=calls or None,
        tool_call_id=message.tool_request_id or None,
    )


def _tool_body(offer: ToolOffer) -> ToolBody:
    parameters = msgspec.Raw(offer.parameters.encode())
    return ToolBody(FunctionBody(offer.name, offer.description, parameters))


def completion_body(order: Order, work: ModelWork) -> bytes:
    """Return the JSON body of a chat completion request for a model call."""
    tools = [_tool_body(offer) for offer in work.tools]
    body = CompletionBody(
        model=work.model,
        messages=[_message_body(message) for message in work.messages],
        max_tokens=work.max_tokens,
        priority=int(order.priority),
        prompt_cache_key=order.program_id,
        tools=tools or None,
        stream=True,
        stream_options=StreamOptionsBody(),
    )
    return msgspec.json.encode(body)


class CompletionReader:
    """Assembles a message from the events of a streamed response."""

    def __init__(self) -> None:
        self.text = ""
        self.calls: dict[int, ToolCallBody] = {}
        self.usage = Usage()
        self.finish_reason = ""

    def add_event(self, data: str) -> str:
        """Add one event and return its new text; raise ``msgspec.DecodeError`` if malformed."""
        event = msgspec.json.decode(data, type=CompletionEvent)
        if event.usage is not None:
            self.usage = _usage(event.usage)
        return "".join(self._add_choice(choice) for choice in event.choices)

    def _add_choice(self, choice: ChoiceBody) -> str:
        self.finish_reason = choice.finish_reason or self.finish_reason
        for part in choice.delta.tool_calls or ():
            self._add_call(part)
        text = choice.delta.content or ""
        self.text += text
        return text

    def _add_call(self, part: ToolCallBody) -> None:
        call = self.calls.setdefault(part.index, ToolCallBody(FunctionBody(arguments="")))
        call.id = part.id or call.id
        call.function.name += part.function.name
        call.function.arguments = (call.function.arguments or "") + (part.function.arguments or "")

    def message(self) -> ChatMessage:
        """Return the message assembled so far."""
        requests = tuple(
            ToolRequest(call.id or "", ToolName(call.function.name), call.function.arguments or "")
            for _, call in sorted(self.calls.items())
        )
        return ChatMessage(ChatRole.ASSISTANT, self.text, requests)


def _usage(body: UsageBody) -> Usage:
    details = body.prompt_tokens_details or PromptDetailsBody()
    return Usage(body.prompt_tokens, details.cached_tokens or 0, body.completion_tokens)
