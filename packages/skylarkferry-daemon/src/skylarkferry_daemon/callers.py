"""HTTP interface for callers: programs and plain services."""

from collections.abc import AsyncIterator
from http import HTTPStatus

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from skylarkferry_core.document import AgentSpec
from skylarkferry_core.entry_messages import (
    ListReply,
    ProgramRequest,
    ProgramSelector,
    ProgramView,
    ServiceRequest,
    WatchItem,
)
from skylarkferry_core.errors import (
    BadRequestError,
    ForbiddenError,
    NotFoundError,
    PlatformUnavailableError,
    UnknownAgentError,
    UnknownServiceError,
)
from skylarkferry_core.ids import (
    CustomerId,
    ProgramId,
    RequestKey,
    ServiceName,
    fingerprint_of,
    partition_of,
)
from skylarkferry_core.messages import ServiceWork
from skylarkferry_core.states import FinalWord, Priority, ProgramState
from skylarkferry_daemon.bodies import MAX_KEY_CHARACTERS, ProgramBody, read_as, read_body
from skylarkferry_daemon.edge import Edge, json_response, route
from skylarkferry_daemon.streams import ProgramStream, cancel_on_disconnect, last_event_id
from skylarkferry_daemon.tokens import Principal

MAX_WAIT_S = 300.0
DEFAULT_SERVICE_DEADLINE_S = 30.0
MAX_SERVICE_DEADLINE_S = 3600.0
RETRY_AFTER_S = 2.0
_SERVICES_PREFIX = b"/v1/services/"


def caller_routes(edge: Edge) -> list[Route]:
    """Return the routes of the callers' interface."""
    program = "/v1/programs/{program_id}"
    return [
        route(edge, "/v1/programs", get=list_programs, post=start_program),
        route(edge, program, get=show_program, delete=cancel_program),
        route(edge, program + "/events", get=watch_program),
        route(edge, program + "/answer", get=answer_program),
        route(edge, "/v1/services/{service}/{path:path}", any=relay_service),
    ]


async def start_program(edge: Edge, request: Request) -> Response:
    """Start a program, or return the one that its request key started."""
    principal = edge.authenticate(request)
    body = await read_as(request, edge.limits, ProgramBody)
    started = await edge.programs.start(program_request(edge, principal, body))
    location = f"/v1/programs/{started.program_id}"
    return json_response(started, HTTPStatus.CREATED, Location=location)


async def list_programs(edge: Edge, request: Request) -> Response:
    """List the programs under way that are visible to the token."""
    scope = edge.authenticate(request).customer_scope
    views = [view for view in await edge.programs.list() if scope in ("", view.customer)]
    return json_response(ListReply(tuple(views)))


async def show_program(edge: Edge, request: Request) -> Response:
    """Show one program."""
    return json_response(await edge.programs.show(_selector(edge, request)))


async def cancel_program(edge: Edge, request: Request) -> Response:
    """Cancel one program."""
    return json_response(await edge.programs.cancel(_selector(edge, request)))


async def watch_program(edge: Edge, request: Request) -> Response:
    """Stream a program's steps and output."""
    selector = _selector(edge, request)
    after = last_event_id(request.headers.get("last-event-id"))
    await edge.programs.show(selector)
    return ProgramStream(edge.programs.watch(selector, after))


async def answer_program(edge: Edge, request: Request) -> Response:
    """Return a program's final answer, or 202 if it has not ended after ``wait_s`` seconds."""
    selector = _selector(edge, request)
    wait_s = _seconds(request.query_params.get("wait_s", "0"), "wait_s", MAX_WAIT_S)
    view = await edge.programs.show(selector)
    if not _ended(view) and wait_s > 0:
        await _wait_for_end(edge, request, selector, wait_s)
        view = await edge.programs.show(selector)
    return json_response(view, HTTPStatus.OK if _ended(view) else HTTPStatus.ACCEPTED)


async def relay_service(edge: Edge, request: Request) -> Response:
    """Relay a request to a plain service."""
    principal = edge.authenticate(request)
    if not principal.customer_scope:
        raise ForbiddenError("expected a customer's token")
    work = await _service_work(edge, request)
    key = request.headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_CHARACTERS:
        raise BadRequestError(f"Idempotency-Key: expected at most {MAX_KEY_CHARACTERS} characters")
    deadline_text = request.headers.get("skylarkferry-deadline-s", str(DEFAULT_SERVICE_DEADLINE_S))
    deadline_s = _seconds(deadline_text, "Skylarkferry-Deadline-S", MAX_SERVICE_DEADLINE_S)
    service_request = ServiceRequest(principal.customer_scope, work, RequestKey(key), deadline_s)
    reply = await edge.programs.service(service_request)
    headers = {"Skylarkferry-Word": FinalWord.DONE.value, "Content-Type": reply.content_type}
    return Response(reply.body, reply.status, headers)


def program_request(edge: Edge, principal: Principal, body: ProgramBody) -> ProgramRequest:
    """Return the program request, completed with the document's defaults, or raise a refusal."""
    customer = principal.resolve_customer(body.customer_id)
    document = edge.documents.current
    if document.version == 0:
        raise PlatformUnavailableError(
            "the configuration document is not loaded yet", retry_after_s=RETRY_AFTER_S
        )
    if customer not in document.budgets:
        raise BadRequestError(f"customer: expected a known customer, got '{customer}'")
    agent = document.agents.get(body.agent_name)
    if agent is None:
        raise UnknownAgentError(f"the document has no agent '{body.agent}'")
    return ProgramRequest(
        request_key=body.key,
        customer=customer,
        agent=body.agent_name,
        input=body.input,
        deadline_s=body.deadline_s,
        budget=body.budget_within(document.budgets[customer].program_budget),
        priority=_priority(body, agent),
        fingerprint=fingerprint_of(msgspec.json.encode(body)),
    )


def _priority(body: ProgramBody, agent: AgentSpec) -> Priority:
    """Return the requested priority; it may not be more urgent than the agent's."""
    if body.priority is None:
        return agent.priority
    if body.priority < agent.priority:
        raise BadRequestError(f"priority: expected at least {agent.priority.value}")
    return body.priority


def _selector(edge: Edge, request: Request) -> ProgramSelector:
    """Return a selector of the program in the path, limited to the token's customer."""
    scope: CustomerId = edge.authenticate(request).customer_scope
    program_id = ProgramId(request.path_params["program_id"])
    try:
        partition_of(program_id)
    except ValueError:
        raise NotFoundError(f"there is no program '{program_id}'") from None
    return ProgramSelector(program_id, scope)


def _ended(view: ProgramView) -> bool:
    return view.state == ProgramState.ENDED.value


async def _wait_for_end(
    edge: Edge, request: Request, selector: ProgramSelector, wait_s: float
) -> None:
    """Wait until a program ends, ``wait_s`` seconds pass or the caller disconnects."""
    with anyio.move_on_after(wait_s):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_on_disconnect, request.receive, tasks.cancel_scope)
            await _consume_until_end(edge.programs.watch(selector, 0))
            tasks.cancel_scope.cancel()


async def _consume_until_end(items: AsyncIterator[WatchItem]) -> None:
    """Consume the items of a watched program until it ends."""
    async for _ in items:
        pass


def _seconds(text: str, name: str, limit_s: float) -> float:
    """Return the seconds in a text, from 0 to ``limit_s``; raise ``BadRequestError`` otherwise."""
    try:
        seconds = msgspec.convert(text, float, strict=False)
    except msgspec.ValidationError:
        seconds = -1.0
    if not 0.0 <= seconds <= limit_s:
        raise BadRequestError(f"{name}: expected seconds from 0 to {limit_s:g}")
    return seconds


async def _service_work(edge: Edge, request: Request) -> ServiceWork:
    """Return the request for the service, with path and query exactly as received."""
    raw_path: bytes = request.scope["raw_path"]
    name, _, rest = raw_path[len(_SERVICES_PREFIX) :].partition(b"/")
    service = ServiceName(name.decode("ascii", "replace"))
    pools = edge.documents.current.pools.values()
    if not any(service in pool.services for pool in pools):
        raise UnknownServiceError(f"the document has no service '{service}'")
    path = "/" + rest.decode("ascii", "replace")
    if {".", ".."} & set(request.path_params["path"].split("/")):
        raise BadRequestError("path: expected no '.' or '..' segment")
    query = request.scope["query_string"].decode("ascii", "replace")
    return ServiceWork(
        service=service,
        method=request.method,
        path=f"{path}?{query}" if query else path,
        content_type=request.headers.get("content-type", ""),
        body=await read_body(request, edge.limits),
    )
