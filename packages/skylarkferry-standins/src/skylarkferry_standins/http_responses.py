"""Typed bodies and deliberate failures of HTTP answers."""

from typing import Any, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

Body = TypeVar("Body")


async def read_body(request: Request, kind: type[Body]) -> Body:
    """Return the request's JSON body; numbers may come as strings."""
    return msgspec.json.decode(await request.body() or b"{}", type=kind, strict=False)


def json_response(body: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(body), status, media_type="application/json")


def error_response(status: int, detail: str) -> Response:
    """Return a failure as JSON."""
    return json_response({"error": detail}, status)


async def invalid_body_response(_: Request, error: Exception) -> Response:
    """Answer a body of the wrong shape."""
    return error_response(400, str(error))


async def hang(request: Request) -> Response:
    """Wait without an answer until the peer closes its connection."""
    while (await request.receive())["type"] != "http.disconnect":
        pass
    return Response(status_code=499)


class TruncatedResponse(Response):
    """Close the connection in the middle of the body: the answer is lost."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Promise one byte and send none."""
        headers = [(b"content-length", b"1"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
