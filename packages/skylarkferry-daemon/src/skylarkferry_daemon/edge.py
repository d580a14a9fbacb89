"""Shared parts of the HTTP routes: dependencies, authentication and error responses."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

import msgspec
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from skylarkferry_core.document import Document
from skylarkferry_core.entry_messages import EventView, HostView, TimelineRequest
from skylarkferry_core.errors import ErrorCode, MethodNotAllowedError, SkylarkferryError
from skylarkferry_core.events import EventKind
from skylarkferry_core.http_messages import EditOutcome
from skylarkferry_core.ids import UpstreamId
from skylarkferry_daemon.bodies import discard_body
from skylarkferry_daemon.document_edits import Edit
from skylarkferry_daemon.document_rows import Snapshot
from skylarkferry_daemon.interfaces import Programs
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.problems import internal_error, problem_response
from skylarkferry_daemon.request_metrics import REQUESTS
from skylarkferry_daemon.settings import LimitSettings
from skylarkferry_daemon.tokens import Principal, TokenIndex

JSON = "application/json"
_REFUSAL_EVENTS = {
    HTTPStatus.UNAUTHORIZED: EventKind.ACCESS_REFUSED,
    HTTPStatus.FORBIDDEN: EventKind.ACCESS_FORBIDDEN,
    HTTPStatus.BAD_REQUEST: EventKind.REQUEST_REJECTED,
    HTTPStatus.REQUEST_TIMEOUT: EventKind.REQUEST_REJECTED,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: EventKind.REQUEST_REJECTED,
}


class EditableDocuments(Protocol):
    """The current document, its stored texts, and edits of it."""

    current: Document
    snapshot: Snapshot
    loaded: bool

    async def refresh(self) -> None:
        """Poll the stored document."""

    async def edit(self, edit: Edit) -> EditOutcome:
        """Apply an edit; raise a typed refusal."""


class HostSource(Protocol):
    """Source of the upstreams; :class:`Sidecars` implements it."""

    def hosts(self) -> Sequence[HostView]:
        """Return the state of all upstreams as known to this process."""


@dataclass(frozen=True)
class Edge:
    """Parts of the entry that its HTTP interface uses.

    ``drain`` orders a sidecar to drain, ``timeline`` collects events of all processes, and
    ``stopping`` returns whether a planned stop has begun.
    """

    programs: Programs
    documents: EditableDocuments
    sidecars: HostSource
    log: EventLog
    limits: LimitSettings
    drain: Callable[[UpstreamId, str], Awaitable[None]]
    timeline: Callable[[TimelineRequest], Awaitable[Sequence[EventView]]]
    stopping: Callable[[], bool] = lambda: False
    tokens: TokenIndex = field(default_factory=TokenIndex)

    def authenticate(self, request: Request) -> Principal:
        """Return the sender of a request; raise ``UnauthenticatedError``."""
        header = request.headers.get("authorization", "")
        return self.tokens.authenticate(header, self.documents.current, self.documents.loaded)


Handler = Callable[[Edge, Request], Awaitable[Response]]


def route(edge: Edge, path: str, **handlers: Handler) -> Route:
    """Return the route of a path with a handler per method; ``any`` handles all other methods."""

    async def endpoint(request: Request) -> Response:
        handler = handlers.get(request.method.lower(), handlers.get("any"))
        response = await _handle(edge, handler, request)
        REQUESTS.labels(path, response.status_code).inc()
        return response

    return Route(path, _AnyMethod(endpoint))


def json_response(value: Any, status: int = HTTPStatus.OK, **headers: str) -> Response:
    """Return a typed value as JSON; underscores in header names become hyphens."""
    header_values = {name.replace("_", "-"): text for name, text in headers.items()}
    return Response(msgspec.json.encode(value), status, header_values, media_type=JSON)


def refuse(edge: Edge, request: Request, error: SkylarkferryError) -> Response:
    """Return the response of a refusal; log the refusal if its status has an event kind."""
    kind = _REFUSAL_EVENTS.get(HTTPStatus(error.status))
    if kind is not None:
        edge.log.emit(
            kind, path=request.url.path, code=error.code.value, caller=_client_host(request)
        )
    return problem_response(error)


async def _handle(edge: Edge, handler: Handler | None, request: Request) -> Response:
    """Run a handler and convert every failure to problem details."""
    try:
        if handler is None:
            raise MethodNotAllowedError(f"the path does not accept {request.method}")
        return await handler(edge, request)
    except SkylarkferryError as error:
        if error.code is not ErrorCode.BODY_TIMEOUT:
            await discard_body(request, edge.limits)
        return refuse(edge, request, error)
    except ClientDisconnect:
        edge.log.emit(EventKind.CALLER_LEFT, path=request.url.path, caller=_client_host(request))
        return Response(status_code=HTTPStatus.BAD_REQUEST)
    except Exception as error:
        edge.log.emit(EventKind.REQUEST_FAILED, path=request.url.path, error=repr(error))
        return problem_response(internal_error())


def _client_host(request: Request) -> str:
    return request.client.host if request.client else ""


class _AnyMethod:
    """ASGI application of an endpoint; Starlette passes requests of every method to it."""

    def __init__(self, endpoint: Callable[[Request], Awaitable[Response]]) -> None:
        self.endpoint = endpoint

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        request = Request(scope, receive, send)
        response = await self.endpoint(request)
        await response(scope, receive, send)
