"""Typed request bodies, JSON responses and injected response failures."""

from typing import Any, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

Body = TypeVar("Body")


async def read_body(request: Request, kind: type[Body]) -> Body:
    """Decode the request's JSON body; numbers may be encoded as strings."""
    return msgspec.json.decode(await request.body() or b"{}", type=kind, strict=False)


def json_response(body: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(body), status, media_type="application/json")


def error_response(status: int, detail: str) -> Response:
    """Return a JSON response with an error detail."""
    return json_response({"error": detail}, status)


async def invalid_body_response(_: Request, error: Exception) -> Response:
    """Return status 400 for a body that cannot be decoded."""
    return error_response(400, str(error))


async def hang(request: Request) -> Response:
    """Send no response; return when the client closes its connection."""
    while (await request.receive())["type"] != "http.disconnect":
        pass
    return Response(status_code=499)


class TruncatedResponse(Response):
    """A response whose connection closes before the body is sent, so the client never gets it."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send a content length of one and no body."""
        headers = [(b"content-length", b"1"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
