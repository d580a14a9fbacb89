"""OpenAI chat completions: request body, server-sent events and unstreamed response body."""

from collections.abc import Iterator
from typing import Any

import msgspec

from skylarkferry_standins.script import Output, OutputCall

DONE_EVENT = b"data: [DONE]\n\n"
COMPLETION_ID = "chatcmpl-standin"


class FunctionCall(msgspec.Struct):
    """Name and JSON-encoded arguments of a tool call."""

    name: str
    arguments: str = ""


class ToolCall(msgspec.Struct):
    """A tool call in a message."""

    id: str
    function: FunctionCall
    type: str = "function"


class Message(msgspec.Struct):
    """One message of a request."""

    role: str
    content: str | None = None
    tool_calls: list[ToolCall] | None = None
    tool_call_id: str | None = None

    def text(self) -> str:
        """Return the content, or an empty string."""
        return self.content or ""


class StreamOptions(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool = False


class CompletionRequest(msgspec.Struct):
    """Body of ``POST /v1/chat/completions``; unknown fields are ignored."""

    messages: list[Message]
    model: str = ""
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    priority: int = 0
    prompt_cache_key: str = ""
    tools: list[Any] = []

    def limit(self) -> int | None:
        """Return the maximum number of output tokens, if one is set."""
        return self.max_completion_tokens or self.max_tokens

    def prompt(self) -> str:
        """Return all messages concatenated into the prompt text."""
        return "".join(_render_message(message) for message in self.messages)


class PromptTokensDetails(msgspec.Struct):
    """Number of prompt tokens served from the cache."""

    cached_tokens: int


class CompletionUsage(msgspec.Struct):
    """Token counts of a request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptTokensDetails


class OutputChunk(msgspec.Struct):
    """A part of a generated output; the last part carries the finish reason and the usage."""

    text: str = ""
    calls: list[OutputCall] = []
    tokens: int = 0
    finish_reason: str = ""
    usage: CompletionUsage | None = None


def completion_usage(prompt_tokens: int, cached: int, output_tokens: int) -> CompletionUsage:
    """Return the usage of a request; ``cached`` counts cached prompt tokens."""
    total = prompt_tokens + output_tokens
    return CompletionUsage(prompt_tokens, output_tokens, total, PromptTokensDetails(cached))


def _render_message(message: Message) -> str:
    if message.role == "assistant":
        calls = [call.function for call in message.tool_calls or []]
        return _render_assistant(message.text(), [(call.name, call.arguments) for call in calls])
    return f"<{message.role}>{message.text()}"


def render_output(output: Output) -> str:
    """Return an output as it appears in the prompt of the next request."""
    return _render_assistant(output.text, [(call.name, call.arguments) for call in output.calls])


def _render_assistant(text: str, calls: list[tuple[str, str]]) -> str:
    rendered_calls = "".join(f"<call>{name} {arguments}" for name, arguments in calls)
    return f"<assistant>{text}{rendered_calls}"


def _call_id(body: CompletionRequest, index: int) -> str:
    turn = sum(message.role == "assistant" for message in body.messages)
    return f"call-{turn}-{index}"


def _call_bodies(body: CompletionRequest, calls: list[OutputCall]) -> list[dict[str, Any]]:
    return [
        {
            "index": index,
            "id": _call_id(body, index),
            "type": "function",
            "function": {"name": call.name, "arguments": call.arguments},
        }
        for index, call in enumerate(calls)
    ]


def _event(body: CompletionRequest, choices: list[Any], usage: Any = None) -> bytes:
    chunk: dict[str, Any] = {
        "id": COMPLETION_ID,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": body.model,
        "choices": choices,
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def _choice(delta: dict[str, Any], finish_reason: str | None = None) -> dict[str, Any]:
    return {"index": 0, "delta": delta, "finish_reason": finish_reason}


def encode_events(body: CompletionRequest, chunk: OutputChunk) -> Iterator[bytes]:
    """Yield the server-sent events of one chunk."""
    if chunk.text:
        yield _event(body, [_choice({"role": "assistant", "content": chunk.text})])
    if chunk.calls:
        delta = {"role": "assistant", "tool_calls": _call_bodies(body, chunk.calls)}
        yield _event(body, [_choice(delta)])
    if chunk.finish_reason:
        yield _event(body, [_choice({}, chunk.finish_reason)])
        if body.stream_options and body.stream_options.include_usage:
            yield _event(body, [], chunk.usage)


def completion_body(
    body: CompletionRequest,
    text: str,
    calls: list[OutputCall],
    finish_reason: str,
    usage: CompletionUsage | None,
) -> dict[str, Any]:
    """Return the body of a response that is not streamed."""
    message: dict[str, Any] = {"role": "assistant", "content": text}
    if calls:
        message["tool_calls"] = _call_bodies(body, calls)
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return {
        "id": COMPLETION_ID,
        "object": "chat.completion",
        "created": 0,
        "model": body.model,
        "choices": [choice],
        "usage": usage,
    }
