"""Build the outcomes that a sidecar or an entry gives on its own behalf."""

from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import CallId
from skylarkferry_core.messages import Outcome
from skylarkferry_core.states import FinalWord


def not_run_outcome(
    call_id: CallId, error: ErrorCode, detail: str, retry_after_s: float | None = None
) -> Outcome:
    """Return the outcome of a call that certainly never ran."""
    return Outcome(
        call_id, FinalWord.NOT_RUN, error=error, detail=detail, retry_after_s=retry_after_s
    )


def unknown_outcome(call_id: CallId, error: ErrorCode, detail: str) -> Outcome:
    """Return the outcome of a call that may or may not have run."""
    return Outcome(call_id, FinalWord.UNKNOWN, error=error, detail=detail)
