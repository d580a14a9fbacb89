"""Outcomes that a sidecar or an entry creates itself, without an answer from the upstream."""

from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import CallId
from skylarkferry_core.messages import Outcome
from skylarkferry_core.states import FinalWord


def not_run_outcome(
    call_id: CallId, error: ErrorCode, detail: str, retry_after_s: float | None = None
) -> Outcome:
    """Return the outcome of a call that definitely did not run."""
    return Outcome(
        call_id, FinalWord.NOT_RUN, error=error, detail=detail, retry_after_s=retry_after_s
    )


def unknown_outcome(call_id: CallId, error: ErrorCode, detail: str) -> Outcome:
    """Return the outcome of a call that may or may not have run."""
    return Outcome(call_id, FinalWord.UNKNOWN, error=error, detail=detail)
