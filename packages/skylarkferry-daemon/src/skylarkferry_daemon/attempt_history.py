"""History of one request's attempts, from which the outcome in its error is determined."""

from typing import TypeVar

from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_core.states import FinalWord

Failure = TypeVar("Failure", bound=SkylarkferryError)


def with_unknown_outcome(error: Failure) -> Failure:
    """Mark the error of a request that may have taken effect, and return it."""
    error.word = FinalWord.UNKNOWN
    return error


class AttemptHistory:
    """Tracks whether any attempt of a request may have taken effect.

    If an earlier attempt may have run, a later attempt that certainly did not run must not turn
    the whole request into ``not_run``.
    """

    def __init__(self) -> None:
        self.may_have_run = False

    def record_failure(self, error: SkylarkferryError) -> None:
        """Record whether a failed attempt may have taken effect."""
        self.may_have_run = self.may_have_run or error.word is not FinalWord.NOT_RUN

    def with_combined_word(self, error: Failure) -> Failure:
        """Return the error with the outcome that holds for all attempts together."""
        return with_unknown_outcome(error) if self.may_have_run else error
