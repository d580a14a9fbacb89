"""Keep refusals honest over several tries of one request."""

from typing import TypeVar

from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_core.states import FinalWord

Failure = TypeVar("Failure", bound=SkylarkferryError)


def in_doubt(error: Failure) -> Failure:
    """Return the error of a request that may have taken effect."""
    error.word = FinalWord.UNKNOWN
    return error


class Doubt:
    """Remembers whether any try of a request may have taken effect.

    A later try that certainly did not run must not make the whole request "not run".
    """

    def __init__(self) -> None:
        self.exists = False

    def note(self, error: SkylarkferryError) -> None:
        """Take a failed try into account."""
        self.exists = self.exists or error.word is not FinalWord.NOT_RUN

    def told(self, error: Failure) -> Failure:
        """Return the error with the word that holds for all tries together."""
        return in_doubt(error) if self.exists else error
