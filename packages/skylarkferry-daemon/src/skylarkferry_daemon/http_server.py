"""HTTP server of an entry: HTTP/1.1 and HTTP/2 without TLS, run by Hypercorn."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from skylarkferry_core.errors import NotFoundError
from skylarkferry_daemon.callers import caller_routes
from skylarkferry_daemon.edge import Edge
from skylarkferry_daemon.operators import operator_routes
from skylarkferry_daemon.problems import problem_response

MAX_HEADER_BYTES = 32_768
IDLE_TIMEOUT_S = 30.0
MAX_STREAMS_PER_CONNECTION = 1_000
MAX_REQUESTS_PER_CONNECTION = 100_000
BACKLOG = 1_024


def build_app(edge: Edge) -> Starlette:
    """Return the application with all routes."""
    routes = [*caller_routes(edge), *operator_routes(edge)]
    return Starlette(
        routes=routes, exception_handlers={HTTPStatus.NOT_FOUND: _not_found}  # type: ignore
    )


async def serve_http(
    edge: Edge, bind: str, stop: Callable[[], Awaitable[object]], grace_s: float
) -> None:
    """Serve until ``stop`` returns; then accept no new connections and finish open requests.

    ``bind`` is ``host:port`` or ``fd://number``.  Requests still open ``grace_s`` seconds after
    the stop are aborted.
    """
    # Hypercorn raises InvalidStateError when it aborts a request after the grace period.
    with contextlib.suppress(asyncio.InvalidStateError):
        await serve(build_app(edge), _config(bind, grace_s), shutdown_trigger=stop)


def _config(bind: str, grace_s: float) -> Config:
    config = Config()
    config.bind = [bind]
    config.graceful_timeout = grace_s
    config.keep_alive_timeout = IDLE_TIMEOUT_S
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.h2_max_concurrent_streams = MAX_STREAMS_PER_CONNECTION
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.backlog = BACKLOG
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


async def _not_found(request: Request, error: HTTPException) -> Response:
    return problem_response(NotFoundError(f"there is no path '{request.url.path}'"))
