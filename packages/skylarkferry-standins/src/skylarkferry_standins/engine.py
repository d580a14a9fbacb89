"""Stand-in of a model engine: scripted OpenAI chat completions with a prefix cache."""

import os
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from skylarkferry_standins import chat
from skylarkferry_standins.batch import Batch
from skylarkferry_standins.cache import CHARACTERS_PER_TOKEN, KvEvent, PrefixCache, token_count
from skylarkferry_standins.fencing import Fencing
from skylarkferry_standins.http_responses import (
    error_response,
    hang,
    invalid_body_response,
    json_response,
    read_body,
)
from skylarkferry_standins.script import Output, Script, parse_agent_name, scripted_output

CRASH_EXIT_CODE = 70
DEFAULT_MAX_TOKENS = 1_024


class EngineSettings(msgspec.Struct):
    """Speeds are in tokens per second of one sequence, ``cache_tokens`` is the cache capacity."""

    slots: int = 16
    prefill_per_s: float = 20_000.0
    decode_per_s: float = 400.0
    cache_tokens: int = 1_000_000
    enforce_fencing: bool = False
    crash_text: str = ""


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults; a new body replaces all of them, an empty body clears them.

    The next ``fail`` requests fail with status 500; the next ``hang`` requests receive no response.
    ``stall_after_tokens`` stalls each stream permanently after that many tokens;
    ``extra_tokens`` are generated beyond ``max_tokens``; ``slowdown`` multiplies all durations.
    """

    fail: int = 0
    hang: int = 0
    stall_after_tokens: int | None = None
    extra_tokens: int = 0
    slowdown: float = 1.0
    drop_events: int = 0


class EngineCounters(msgspec.Struct):
    """Requests and tokens since the process started."""

    requests: int = 0
    finished: int = 0
    cancelled: int = 0
    refused_epochs: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class EngineLoad(msgspec.Struct):
    """Response body of ``GET /v1/load``."""

    running: int
    queued: int
    slots: int
    free_kv_tokens: int


class KvKey(msgspec.Struct):
    """Body of the KV cache requests and of their responses."""

    prompt_cache_key: str
    tokens: int = 0


class KvPrograms(msgspec.Struct):
    """Response body of ``GET /v1/kv``: cached tokens by program."""

    programs: dict[str, int]


class KvEvents(msgspec.Struct):
    """Response body of ``GET /v1/kv/events``."""

    events: list[KvEvent]


class Engine:
    """One engine with its batch, prefix cache, script and injected faults."""

    def __init__(self, script: Script, settings: EngineSettings) -> None:
        self.script = script
        self.settings = settings
        self.batch = Batch(settings.slots)
        self.cache = PrefixCache(settings.cache_tokens)
        self.fencing = Fencing(settings.enforce_fencing)
        self.faults = EngineFaults()
        self.counters = EngineCounters()

    async def complete(self, request: Request) -> Response:
        """Handle ``POST /v1/chat/completions``."""
        body = await read_body(request, chat.CompletionRequest)
        self.counters.requests += 1
        if not self.fencing.accepts(request):
            self.counters.refused_epochs += 1
            return error_response(HTTPStatus.CONFLICT, "stale epoch")
        if self.faults.fail > 0:
            self.faults.fail -= 1
            return error_response(HTTPStatus.INTERNAL_SERVER_ERROR, "engine failure")
        if self.faults.hang > 0:
            self.faults.hang -= 1
            return await hang(request)
        output = self.output(body)
        if output is None:
            return error_response(HTTPStatus.BAD_REQUEST, "no scripted agent in the system message")
        if not body.stream:
            return await self.complete_unstreamed(body, output)
        return StreamingResponse(self.stream(body, output), media_type="text/event-stream")

    def output(self, body: chat.CompletionRequest) -> Output | None:
        """Return the scripted output for a request, or ``None`` for an unknown agent."""
        agent = parse_agent_name(body.messages[0].text()) if body.messages else None
        if agent is None:
            return None
        turn = sum(message.role == "assistant" for message in body.messages)
        return scripted_output(self.script, agent, turn)

    async def complete_unstreamed(self, body: chat.CompletionRequest, output: Output) -> Response:
        """Return the complete output as one response."""
        chunks = [chunk async for chunk in self.generate(body, output)]
        text = "".join(chunk.text for chunk in chunks)
        calls = [call for chunk in chunks for call in chunk.calls]
        last = chunks[-1]
        return json_response(
            chat.completion_body(body, text, calls, last.finish_reason, last.usage)
        )

    async def stream(self, body: chat.CompletionRequest, output: Output) -> AsyncIterator[bytes]:
        """Yield the output as server-sent events."""
        finished = False
        try:
            async for chunk in self.generate(body, output):
                for event in chat.encode_events(body, chunk):
                    yield event
            finished = True
            yield chat.DONE_EVENT
        finally:
            self.counters.cancelled += not finished

    async def generate(
        self, body: chat.CompletionRequest, output: Output
    ) -> AsyncIterator[chat.OutputChunk]:
        """Wait for a slot, prefill, and yield the output's chunks at decode speed."""
        prompt = body.prompt()
        head = body.messages[0].text()
        async with self.batch.slot(body.priority):
            if self.settings.crash_text and self.settings.crash_text in prompt:
                os._exit(CRASH_EXIT_CODE)
            cached = self.cache.cached_tokens(body.prompt_cache_key, head, prompt)
            prompt_tokens = token_count(prompt)
            await self.sleep_scaled((prompt_tokens - cached) / self.settings.prefill_per_s)
            self.cache.store(body.prompt_cache_key, head, prompt)
            sent = 0
            async for chunk in self.decode(body, output):
                sent += chunk.tokens
                yield chunk
            self.cache.store(body.prompt_cache_key, head, prompt + chat.render_output(output))
            usage = chat.completion_usage(prompt_tokens, cached, sent)
            self.count_finished(prompt_tokens, cached, sent)
            yield chat.OutputChunk(finish_reason=self.finish_reason(body, output), usage=usage)

    async def decode(
        self, body: chat.CompletionRequest, output: Output
    ) -> AsyncIterator[chat.OutputChunk]:
        """Yield one chunk per token, then the calls."""
        start = anyio.current_time()
        text = self.truncate_text(body, output.text)
        token_s = self.faults.slowdown / self.settings.decode_per_s
        for index, offset in enumerate(range(0, len(text), CHARACTERS_PER_TOKEN), start=1):
            if self.faults.stall_after_tokens is not None:
                await self.stall(index)
            await self.sleep_until(start + index * token_s)
            yield chat.OutputChunk(text=text[offset : offset + CHARACTERS_PER_TOKEN], tokens=1)
        if output.calls:
            tokens = sum(token_count(call.name + call.arguments) for call in output.calls)
            await self.sleep_scaled(tokens / self.settings.decode_per_s)
            yield chat.OutputChunk(calls=output.calls, tokens=tokens)

    def truncate_text(self, body: chat.CompletionRequest, text: str) -> str:
        """Truncate a text at ``max_tokens``, or exceed that limit if ``extra_tokens`` is set."""
        limit = (body.limit() or DEFAULT_MAX_TOKENS) * CHARACTERS_PER_TOKEN
        if self.faults.extra_tokens:
            return text.ljust(limit, ".") + "+" * self.faults.extra_tokens * CHARACTERS_PER_TOKEN
        return text[:limit]

    def finish_reason(self, body: chat.CompletionRequest, output: Output) -> str:
        """Return the OpenAI ``finish_reason`` of the output."""
        if output.calls:
            return "tool_calls"
        limit = body.limit() or DEFAULT_MAX_TOKENS
        return "length" if token_count(output.text) > limit else "stop"

    def count_finished(self, prompt_tokens: int, cached: int, sent: int) -> None:
        """Add a finished request to the counters."""
        self.counters.finished += 1
        self.counters.prompt_tokens += prompt_tokens
        self.counters.cached_tokens += cached
        self.counters.output_tokens += sent

    async def sleep_scaled(self, seconds: float) -> None:
        """Sleep for ``seconds`` multiplied by the slowdown."""
        await anyio.sleep(seconds * self.faults.slowdown)

    async def sleep_until(self, due: float) -> None:
        """Sleep until ``due``, a monotonic time; return immediately if it has passed."""
        overdue_s = anyio.current_time() - due
        await anyio.sleep(max(-overdue_s, 0.0))

    async def stall(self, index: int) -> None:
        """Block forever once ``index`` exceeds ``stall_after_tokens``."""
        if index > (self.faults.stall_after_tokens or 0):
            await anyio.sleep_forever()

    async def release(self, request: Request) -> Response:
        """Handle ``POST /v1/kv/release``; the response holds the number of released tokens."""
        body = await read_body(request, KvKey)
        if not self.fencing.accepts(request):
            return error_response(HTTPStatus.CONFLICT, "stale epoch")
        return json_response(
            KvKey(body.prompt_cache_key, self.cache.release(body.prompt_cache_key))
        )

    async def export(self, request: Request) -> Response:
        """Handle ``POST /v1/kv/export``; the response holds the program's cached tokens."""
        body = await read_body(request, KvKey)
        program = self.cache.programs.get(body.prompt_cache_key)
        return json_response(KvKey(body.prompt_cache_key, program.tokens() if program else 0))

    async def import_kv(self, request: Request) -> Response:
        """Handle ``POST /v1/kv/import``."""
        body = await read_body(request, KvKey)
        self.cache.import_tokens(body.prompt_cache_key, body.tokens)
        return json_response(body)

    async def show_kv(self, _: Request) -> Response:
        """Handle ``GET /v1/kv``."""
        cached = {key: program.tokens() for key, program in self.cache.programs.items()}
        return json_response(KvPrograms(cached))

    async def show_events(self, request: Request) -> Response:
        """Handle ``GET /v1/kv/events?after=N``; dropped events leave a gap in the sequence."""
        after = int(request.query_params.get("after", "0"))
        events = self.cache.events_after(after)
        dropped = min(self.faults.drop_events, len(events))
        self.faults.drop_events -= dropped
        return json_response(KvEvents(events[dropped:]))

    async def show_load(self, _: Request) -> Response:
        """Handle ``GET /v1/load``."""
        free = max(self.settings.cache_tokens - self.cache.used_tokens, 0)
        load = EngineLoad(self.batch.running, len(self.batch.waiting), self.batch.slots, free)
        return json_response(load)

    async def control_faults(self, request: Request) -> Response:
        """Handle ``GET`` and ``POST /control/faults``."""
        if request.method == "POST":
            self.faults = await read_body(request, EngineFaults)
        return json_response(self.faults)

    async def show_counters(self, _: Request) -> Response:
        """Handle ``GET /control/counters``."""
        return json_response(self.counters)


def engine_app(engine: Engine) -> Starlette:
    """Return the ASGI application of an engine."""
    routes = [
        Route("/v1/chat/completions", engine.complete, methods=["POST"]),
        Route("/v1/kv/release", engine.release, methods=["POST"]),
        Route("/v1/kv/export", engine.export, methods=["POST"]),
        Route("/v1/kv/import", engine.import_kv, methods=["POST"]),
        Route("/v1/kv/events", engine.show_events),
        Route("/v1/kv", engine.show_kv),
        Route("/v1/load", engine.show_load),
        Route("/control/faults", engine.control_faults, methods=["GET", "POST"]),
        Route("/control/counters", engine.show_counters),
    ]
    handlers: dict[Any, Any] = {
        msgspec.ValidationError: invalid_body_response,
        msgspec.DecodeError: invalid_body_response,
    }
    return Starlette(routes=routes, exception_handlers=handlers)
