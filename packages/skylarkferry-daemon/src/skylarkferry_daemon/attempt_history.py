"""Keep refusals honest over several tries of one request."""

from typing import TypeVar

from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_core.states import FinalWord

Failure = TypeVar("Failure", bound=SkylarkferryError)


def with_unknown_outcome(error: Failure) -> Failure:
    """Return the error of a request that may have taken effect."""
    error.word = FinalWord.UNKNOWN
    return error


class AttemptHistory:
    """Remembers whether any try of a request may have taken effect.

    A later try that certainly did not run must not make the whole request "not run".
    """

    def __init__(self) -> None:
        self.may_have_run = False

    def record_failure(self, error: SkylarkferryError) -> None:
        """Take a failed try into account."""
        self.may_have_run = self.may_have_run or error.word is not FinalWord.NOT_RUN

    def with_combined_word(self, error: Failure) -> Failure:
        """Return the error with the word that holds for all tries together."""
        return with_unknown_outcome(error) if self.may_have_run else error
