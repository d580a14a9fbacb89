"""Request bodies, read within limits of size and time and parsed into typed structs."""

from contextlib import suppress
from typing import Annotated, TypeVar

import anyio
import msgspec
from msgspec import Meta
from starlette.requests import ClientDisconnect, Request

from skylarkferry_core.entry_messages import Budget
from skylarkferry_core.errors import BadRequestError, BodyTimeoutError, BodyTooLargeError
from skylarkferry_core.ids import AgentName, CustomerId, RequestKey
from skylarkferry_core.states import Priority
from skylarkferry_daemon.settings import LimitSettings

MAX_KEY_CHARACTERS = 200
DISCARD_FACTOR = 4
DISCARD_TIMEOUT_S = 2.0
MAX_DEADLINE_S = 30 * 24 * 3600.0

Body = TypeVar("Body")
Name = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_CHARACTERS)]


class BudgetBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that a caller sets for a program, at most the customer's own limits."""

    tokens: Annotated[int, Meta(gt=0)] | None = None
    cost_micros: Annotated[int, Meta(ge=0)] | None = None
    turns: Annotated[int, Meta(gt=0)] | None = None


class ProgramBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs``; an empty customer means the token's customer."""

    request_key: Name
    agent: Name
    input: str
    deadline_s: Annotated[float, Meta(gt=0, le=MAX_DEADLINE_S)]
    customer: Annotated[str, Meta(max_length=MAX_KEY_CHARACTERS)] = ""
    budget: BudgetBody = BudgetBody()
    priority: Priority | None = None

    @property
    def key(self) -> RequestKey:
        """Return the request key as an id."""
        return RequestKey(self.request_key)

    @property
    def agent_name(self) -> AgentName:
        """Return the agent's name as an ``AgentName``."""
        return AgentName(self.agent)

    @property
    def customer_id(self) -> CustomerId:
        """Return the customer as an id."""
        return CustomerId(self.customer)

    def budget_within(self, limit: Budget) -> Budget:
        """Return the program's budget; raise ``BadRequestError`` when it exceeds ``limit``."""
        requested = Budget(
            _value_or(self.budget.tokens, limit.tokens),
            _value_or(self.budget.cost_micros, limit.cost_micros),
            _value_or(self.budget.turns, limit.turns),
        )
        for name in Budget.__struct_fields__:
            upper_limit = getattr(limit, name)
            if getattr(requested, name) > upper_limit:
                raise BadRequestError(f"budget.{name}: expected at most {upper_limit}")
        return requested


async def read_body(request: Request, limits: LimitSettings) -> bytes:
    """Return the body; raise ``BodyTooLargeError`` or ``BodyTimeoutError``."""
    declared = request.headers.get("content-length", "0")
    if declared.isdecimal() and int(declared) > limits.body_bytes:
        raise _too_large(limits)
    with anyio.move_on_after(limits.body_s):
        return await _read_within(request, limits)
    raise BodyTimeoutError(f"expected the whole body within {limits.body_s:g} s")


async def read_as(request: Request, limits: LimitSettings, kind: type[Body]) -> Body:
    """Return the JSON body as a typed struct; raise ``BadRequestError`` with the invalid key."""
    body = await read_body(request, limits)
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadRequestError(f"body: {error}") from error


async def discard_body(request: Request, limits: LimitSettings) -> None:
    """Read the rest of a refused body, within limits of size and time.

    Closing a connection with unread input resets it, and the caller would lose the response.
    """
    remaining_bytes = DISCARD_FACTOR * limits.body_bytes
    with anyio.move_on_after(DISCARD_TIMEOUT_S), suppress(ClientDisconnect, RuntimeError):
        async for chunk in request.stream():
            remaining_bytes -= len(chunk)
            if remaining_bytes < 0:
                return


async def _read_within(request: Request, limits: LimitSettings) -> bytes:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limits.body_bytes:
            raise _too_large(limits)
    return bytes(body)


def _too_large(limits: LimitSettings) -> BodyTooLargeError:
    return BodyTooLargeError(f"expected at most {limits.body_bytes} bytes")


def _value_or(requested: int | None, default: int) -> int:
    return default if requested is None else requested
