"""Operators' HTTP interface: the document, hosts, the time line, metrics and health."""

import hashlib
from http import HTTPStatus

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from skylarkferry_core.document import SECTIONS
from skylarkferry_core.entry_messages import EventView, HostsReply, TimelineReply, TimelineRequest
from skylarkferry_core.errors import BadRequestError, NotFoundError
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import Accepted
from skylarkferry_core.http_messages import (
    DocumentView,
    DrainBody,
    EditBody,
    EditOutcome,
    Health,
    SectionChange,
    SectionView,
)
from skylarkferry_core.ids import ProgramId, TeamName, UpstreamId
from skylarkferry_core.sections import EMPTY_TEXT
from skylarkferry_daemon.bodies import read_as, read_body
from skylarkferry_daemon.document_edits import NO_TEAM, Edit
from skylarkferry_daemon.edge import Edge, json_response, route

JSON5_MEDIA_TYPE = "application/json5; charset=utf-8"


def operator_routes(edge: Edge) -> list[Route]:
    """Return the routes for operators."""
    return [
        route(edge, "/v1/config", get=show_document, put=edit_document),
        route(edge, "/v1/config/{section}", get=show_section, put=edit_section),
        route(edge, "/v1/hosts", get=list_hosts),
        route(edge, "/v1/hosts/{host}/drain", post=drain_host),
        route(edge, "/v1/timeline", get=show_timeline),
        route(edge, "/metrics", get=show_metrics),
        route(edge, "/healthz", get=show_health),
    ]


async def show_document(edge: Edge, request: Request) -> Response:
    """Show all sections as edited."""
    edge.authenticate(request).require_operator()
    await edge.documents.refresh()
    version = edge.documents.snapshot.version.version
    sections = tuple(_section_view(edge, name) for name in SECTIONS)
    return json_response(DocumentView(version, sections), ETag=_etag(version))


async def edit_document(edge: Edge, request: Request) -> Response:
    """Edit several sections in one transaction."""
    principal = edge.authenticate(request)
    principal.require_operator()
    body = await read_as(request, edge.limits, EditBody)
    outcome = await _edit(edge, request, principal.team, body.changes)
    if principal.team == NO_TEAM:
        edge.log.emit(EventKind.BOOTSTRAP_USED, version=outcome.version)
    return json_response(outcome, ETag=_etag(outcome.version))


async def show_section(edge: Edge, request: Request) -> Response:
    """Return one section's text as edited, with its version as ETag."""
    edge.authenticate(request).require_operator()
    section = _section_name(request)
    await edge.documents.refresh()
    view = _section_view(edge, section)
    headers = {"ETag": _etag(view.version), "Skylarkferry-Team": view.team}
    return Response(view.text, headers=headers, media_type=JSON5_MEDIA_TYPE)


async def edit_section(edge: Edge, request: Request) -> Response:
    """Replace one section's text if it is still at the version in ``If-Match``."""
    principal = edge.authenticate(request)
    principal.require_team()
    section = _section_name(request)
    base_version = _version_from_etag(request.headers.get("if-match", ""))
    text = _decode_text(await read_body(request, edge.limits))
    change = SectionChange(section, text, base_version)
    outcome = await _edit(edge, request, principal.team, (change,))
    return json_response(outcome, ETag=_etag(outcome.version))


async def list_hosts(edge: Edge, request: Request) -> Response:
    """List the upstreams this entry knows."""
    edge.authenticate(request).require_team()
    return json_response(HostsReply(tuple(edge.sidecars.hosts())))


async def drain_host(edge: Edge, request: Request) -> Response:
    """Order an upstream's sidecar to take no new work."""
    principal = edge.authenticate(request)
    principal.require_team()
    host = UpstreamId(request.path_params["host"])
    if host not in [view.upstream for view in edge.sidecars.hosts()]:
        raise NotFoundError(f"there is no upstream '{host}'")
    body = await read_as(request, edge.limits, DrainBody)
    await edge.drain(host, body.reason)
    edge.log.emit(EventKind.DRAIN_ORDERED, upstream=host, team=principal.team)
    return json_response(Accepted())


async def show_timeline(edge: Edge, request: Request) -> Response:
    """Return the events of all processes, merged by hybrid logical time."""
    edge.authenticate(request).require_team()
    since = request.query_params.get("since", "0")
    if not (since.isascii() and since.isdecimal()):
        raise BadRequestError("since: expected a hybrid logical time as an integer")
    program_id = ProgramId(request.query_params.get("program", ""))
    events = await edge.timeline(TimelineRequest(program_id, int(since)))
    return json_response(TimelineReply(tuple(sorted(events, key=_timeline_order))))


async def show_metrics(edge: Edge, request: Request) -> Response:
    """Return the process's metrics in the Prometheus text format."""
    return Response(generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST})


async def show_health(edge: Edge, request: Request) -> Response:
    """Answer the balancer: 200 while the entry takes new work, 503 once it stops."""
    serving = not edge.stopping()
    status = HTTPStatus.OK if serving else HTTPStatus.SERVICE_UNAVAILABLE
    return json_response(Health(serving, edge.documents.current.version), status)


async def _edit(
    edge: Edge, request: Request, team: TeamName, changes: tuple[SectionChange, ...]
) -> EditOutcome:
    """Make an edit whose id stands for its sender, key and content."""
    key = request.headers.get("idempotency-key", "")
    content = msgspec.json.encode((team, key, changes))
    return await edge.documents.edit(Edit(hashlib.sha256(content).hexdigest(), team, changes))


def _section_view(edge: Edge, section: str) -> SectionView:
    row = edge.documents.snapshot.sections.get(section)
    if row is None:
        return SectionView(section, 0, NO_TEAM, EMPTY_TEXT)
    return SectionView(section, row.version, row.team, row.text)


def _section_name(request: Request) -> str:
    section: str = request.path_params["section"]
    if section not in SECTIONS:
        raise NotFoundError(f"expected one of {', '.join(SECTIONS)}")
    return section


def _etag(version: int) -> str:
    return f'"{version}"'


def _version_from_etag(etag: str) -> int:
    """Return the version an ETag names; raise ``BadRequestError``."""
    digits = etag.strip().strip('"')
    if not (digits.isascii() and digits.isdecimal()):
        raise BadRequestError("If-Match: expected the section's version as '\"7\"'")
    return int(digits)


def _decode_text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise BadRequestError("body: expected text in UTF-8") from error


def _timeline_order(event: EventView) -> tuple[int, str, int]:
    return event.time, event.node, event.number
