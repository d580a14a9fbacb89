"""RFC 9457 problem details of typed errors."""

import math
from http import HTTPStatus

import msgspec
from starlette.responses import Response

from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_core.http_messages import PROBLEM_TYPE, details_of
from skylarkferry_core.states import FinalWord


def problem_response(error: SkylarkferryError) -> Response:
    """Return the response of an error, with ``Retry-After`` if the error has a retry delay."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    if error.status is HTTPStatus.UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    body = msgspec.json.encode(details_of(error))
    return Response(body, int(error.status), headers, media_type=PROBLEM_TYPE)


def internal_error() -> SkylarkferryError:
    """Return the error for a request that failed with an unexpected exception."""
    error = SkylarkferryError("internal error in the entry; the request's outcome is unknown")
    error.word = FinalWord.UNKNOWN
    return error
