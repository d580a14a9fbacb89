"""Stand-in for a tool service or a plain service, with a ledger of executed requests."""

import os
from enum import Enum
from http import HTTPStatus
from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from skylarkferry_standins.fencing import Fencing
from skylarkferry_standins.http_responses import (
    TruncatedResponse,
    error_response,
    hang,
    invalid_body_response,
    json_response,
    read_body,
)
from skylarkferry_standins.script import Script, ScriptedAnswer

CRASH_EXIT_CODE = 70
ALL_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class CrashPoint(Enum):
    """Point at which the process exits during the next request."""

    NEVER = "never"
    BEFORE_EFFECT = "before_effect"
    AFTER_EFFECT = "after_effect"


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults; a new body replaces all of them, an empty body clears them.

    Counts apply to the next requests; ``delay_s`` is slept before the effect. Once ``max_keys``
    idempotency keys have effects, requests with other keys wait until the faults are replaced. If
    ``path`` is set, the faults apply to requests for that path only.
    """

    path: str = ""
    delay_s: float = 0.0
    max_keys: int | None = None
    fail: int = 0
    hang_before_effect: int = 0
    hang_after_effect: int = 0
    lose_answers: int = 0
    crash: CrashPoint = CrashPoint.NEVER
    crash_text: str = ""


class Effect(msgspec.Struct):
    """One executed request."""

    number: int
    method: str
    path: str
    idempotency_key: str
    body: str
    partition: str
    epoch: str


class Ledger(msgspec.Struct):
    """Executed requests in order, and counts of repeated and refused ones.

    ``under_way`` holds the paths of requests that were read but not executed yet;
    ``repeats_answered`` counts repeats that received the stored response of the first request.
    """

    effects: list[Effect] = []
    under_way: list[str] = []
    repeats_answered: int = 0
    refused_epochs: int = 0


class Service:
    """One service with its ledger, injected faults and stored responses by idempotency key."""

    def __init__(self, script: Script, honour_keys: bool, fencing: Fencing) -> None:
        self.script = script
        self.honour_keys = honour_keys
        self.fencing = fencing
        self.faults = ServiceFaults()
        self.faults_replaced = anyio.Event()
        self.ledger = Ledger()
        self.responses: dict[str, bytes] = {}

    async def call(self, request: Request) -> Response:
        """Handle a request; with honoured keys, execute it once per idempotency key."""
        if not self.fencing.accepts(request):
            self.ledger.refused_epochs += 1
            return error_response(HTTPStatus.CONFLICT, "stale epoch")
        body = (await request.body()).decode(errors="replace")
        path = "/" + request.path_params["path"]
        scripted = self.script.answers.get(path, ScriptedAnswer(result=None))
        key = request.headers.get("idempotency-key", "")
        await self._simulate_work(path, key, scripted.seconds)
        if failure := await self.fail_before_effect(request, path, body):
            return failure
        content = self.stored_response(key) or self.execute(request, path, key, body, scripted)
        return await self.respond(request, path, content)

    async def _simulate_work(self, path: str, key: str, seconds: float) -> None:
        """Sleep for the scripted duration plus the injected delay, and wait while held."""
        self.ledger.under_way.append(path)
        try:
            await anyio.sleep(seconds + self._faults_for(path).delay_s)
            while self._is_held(path, key):
                await self.faults_replaced.wait()
        finally:
            self.ledger.under_way.remove(path)

    def _is_held(self, path: str, key: str) -> bool:
        max_keys = self._faults_for(path).max_keys
        if max_keys is None:
            return False
        executed = {effect.idempotency_key for effect in self.ledger.effects}
        return key not in executed and len(executed) >= max_keys

    def _faults_for(self, path: str) -> ServiceFaults:
        """Return the faults that apply to requests for ``path``."""
        return self.faults if self.faults.path in ("", path) else ServiceFaults()

    async def fail_before_effect(self, request: Request, path: str, body: str) -> Response | None:
        """Apply the faults that prevent the effect; return the error response, if any."""
        faults = self._faults_for(path)
        crashes = faults.crash_text and faults.crash_text in body
        if crashes or faults.crash is CrashPoint.BEFORE_EFFECT:
            os._exit(CRASH_EXIT_CODE)
        if faults.fail > 0:
            faults.fail -= 1
            return error_response(HTTPStatus.INTERNAL_SERVER_ERROR, "service failure")
        if faults.hang_before_effect > 0:
            faults.hang_before_effect -= 1
            return await hang(request)
        return None

    def stored_response(self, key: str) -> bytes | None:
        """Return the stored response of the key's first request, if keys are honoured."""
        if not (self.honour_keys and key in self.responses):
            return None
        self.ledger.repeats_answered += 1
        return self.responses[key]

    def execute(
        self, request: Request, path: str, key: str, body: str, scripted: ScriptedAnswer
    ) -> bytes:
        """Record the effect in the ledger and return the response body."""
        number = len(self.ledger.effects) + 1
        partition = request.headers.get("fencing-partition", "")
        epoch = request.headers.get("fencing-epoch", "")
        effect = Effect(number, request.method, path, key, body, partition, epoch)
        self.ledger.effects.append(effect)
        result = scripted.result if scripted.result is not None else {"path": path, "body": body}
        content = msgspec.json.encode(result)
        if key:
            self.responses[key] = content
        return content

    async def respond(self, request: Request, path: str, content: bytes) -> Response:
        """Return the response, unless a fault after the effect loses it."""
        faults = self._faults_for(path)
        if faults.crash is CrashPoint.AFTER_EFFECT:
            os._exit(CRASH_EXIT_CODE)
        if faults.hang_after_effect > 0:
            faults.hang_after_effect -= 1
            return await hang(request)
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return TruncatedResponse()
        return Response(content, media_type="application/json")

    async def show_ledger(self, _: Request) -> Response:
        """Handle ``GET /control/ledger``."""
        return json_response(self.ledger)

    async def control_faults(self, request: Request) -> Response:
        """Handle ``GET`` and ``POST /control/faults``."""
        if request.method == "POST":
            self.faults = await read_body(request, ServiceFaults)
            self.faults_replaced.set()
            self.faults_replaced = anyio.Event()
        return json_response(self.faults)


def service_app(service: Service) -> Starlette:
    """Return the ASGI application of a service."""
    routes = [
        Route("/control/ledger", service.show_ledger),
        Route("/control/faults", service.control_faults, methods=["GET", "POST"]),
        Route("/{path:path}", service.call, methods=ALL_METHODS),
    ]
    handlers: dict[Any, Any] = {
        msgspec.ValidationError: invalid_body_response,
        msgspec.DecodeError: invalid_body_response,
    }
    return Starlette(routes=routes, exception_handlers=handlers)
