"""Bodies of the gateway's own failures."""

import msgspec

from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_core.http_messages import ProblemDetails


def problem_body(error: SkylarkferryError) -> bytes:
    """Return the problem details of a typed failure as JSON."""
    return msgspec.json.encode(
        ProblemDetails(
            type="about:blank",
            title=error.code.value.replace("_", " "),
            status=int(error.status),
            code=error.code,
            detail=error.detail,
            word=error.word,
            retry_after_s=error.retry_after_s,
        )
    )
