"""HTTP callers that run programs, and the latencies that they observe."""

import time
from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpx
import httpx_sse
import msgspec

from skylarkferry_standins.deployment import CUSTOMER_TOKEN

ANSWER_WAIT_S = 60
TIMEOUT_S = 600.0
CONNECTIONS = 512
CHARACTERS_PER_TOKEN = 4


class TokenArrivals(msgspec.Struct):
    """Times in seconds when a request was sent, when it was accepted and when tokens arrived."""

    sent_at: float
    tokens: list[float]
    accepted_at: float = 0.0

    @property
    def first_token_s(self) -> float:
        """Return the seconds from sending the request to its first token."""
        return self.tokens[0] - self.sent_at

    def gaps_s(self) -> list[float]:
        """Return the seconds between successive tokens; 0 between tokens of one frame."""
        return [
            later - earlier for earlier, later in zip(self.tokens, self.tokens[1:], strict=False)
        ]


def open_client(url: str, token: str = CUSTOMER_TOKEN) -> httpx.AsyncClient:
    """Return an HTTP client for an entry or engine; the caller closes it."""
    limits = httpx.Limits(max_connections=CONNECTIONS, max_keepalive_connections=CONNECTIONS)
    headers = {"Authorization": f"Bearer {token}"}
    return httpx.AsyncClient(base_url=url, headers=headers, timeout=TIMEOUT_S, limits=limits)


async def start_program(client: httpx.AsyncClient, agent: str, key: str) -> str:
    """Start a program and return its id."""
    body = {"request_key": key, "agent": agent, "input": "size a pair", "deadline_s": 86_400}
    response = await client.post("/v1/programs", json=body)
    response.raise_for_status()
    program_id: str = response.json()["program_id"]
    return program_id


async def run_program(client: httpx.AsyncClient, agent: str, key: str) -> dict[str, Any]:
    """Run a program until it is answered and return its view."""
    program_id = await start_program(client, agent, key)
    while True:
        path = f"/v1/programs/{program_id}/answer?wait_s={ANSWER_WAIT_S}"
        response = await client.get(path)
        response.raise_for_status()
        if response.status_code == httpx.codes.OK:
            view: dict[str, Any] = response.json()
            return view


async def run_load(url: str, seconds: float, callers: int) -> int:
    """Run sizing programs with concurrent callers for some seconds; return how many succeeded."""
    succeeded = 0
    async with open_client(url) as client, anyio.create_task_group() as tasks:
        end = anyio.current_time() + seconds

        async def call(caller: int) -> None:
            nonlocal succeeded
            number = 0
            while anyio.current_time() < end:
                number += 1
                view = await run_program(client, "gear-sizer", f"load-{caller}-{number}")
                succeeded += view["word"] == "done"

        for caller in range(callers):
            tasks.start_soon(call, caller)
    return succeeded


async def stream_program(client: httpx.AsyncClient, agent: str, key: str) -> TokenArrivals:
    """Run a program and record when its output arrives."""
    arrivals = TokenArrivals(time.perf_counter(), [])
    program_id = await start_program(client, agent, key)
    arrivals.accepted_at = time.perf_counter()
    path = f"/v1/programs/{program_id}/events"
    async with httpx_sse.aconnect_sse(client, "GET", path) as source:
        async for event in source.aiter_sse():
            if event.event == "delta":
                _record_text(arrivals, event.json()["text"])
    return arrivals


async def stream_engine(client: httpx.AsyncClient, instructions: str, tokens: int) -> TokenArrivals:
    """Send a request directly to the engine and record when its output arrives."""
    body = {
        "model": "calc",
        "messages": [
            {"role": "system", "content": instructions},
            {"role": "user", "content": "size a pair"},
        ],
        "max_tokens": tokens,
        "stream": True,
    }
    arrivals = TokenArrivals(time.perf_counter(), [])
    async with httpx_sse.aconnect_sse(client, "POST", "/v1/chat/completions", json=body) as source:
        async for text in _content_texts(source):
            _record_text(arrivals, text)
    return arrivals


async def _content_texts(source: httpx_sse.EventSource) -> AsyncIterator[str]:
    async for event in source.aiter_sse():
        if event.data == "[DONE]":
            return
        for choice in event.json()["choices"]:
            yield choice["delta"].get("content", "")


def _record_text(arrivals: TokenArrivals, text: str) -> None:
    now = time.perf_counter()
    arrivals.tokens += [now] * -(-len(text) // CHARACTERS_PER_TOKEN)
