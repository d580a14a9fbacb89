"""JSON messages of the HTTP interface, shared by the daemon and the command line."""

from http import HTTPStatus

import msgspec

from skylarkferry_core.errors import ErrorCode, SkylarkferryError
from skylarkferry_core.ids import TeamName
from skylarkferry_core.states import FinalWord

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:skylarkferry:error:"


class ProblemDetails(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response body of a failed request; ``word`` states whether the work ran, if known."""

    type: str
    title: str
    status: int
    code: ErrorCode
    detail: str
    word: FinalWord | None = None
    retry_after_s: float | None = None


def details_of(error: SkylarkferryError) -> ProblemDetails:
    """Return the problem details of an error."""
    return ProblemDetails(
        type=TYPE_PREFIX + error.code.value,
        title=HTTPStatus(error.status).phrase,
        status=int(error.status),
        code=error.code,
        detail=error.detail,
        word=error.word,
        retry_after_s=error.retry_after_s,
    )


class SectionView(msgspec.Struct, frozen=True):
    """One section and its last edit; version 0 and an empty team if it was never edited."""

    section: str
    version: int
    team: TeamName
    text: str


class DocumentView(msgspec.Struct, frozen=True):
    """The document in use at the entry that answers."""

    version: int
    sections: tuple[SectionView, ...]


class SectionChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """New text of a section; ``base_version`` is the version that the editor read."""

    section: str
    text: str
    base_version: int


class EditBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section changes that are applied together."""

    changes: tuple[SectionChange, ...]


class EditOutcome(msgspec.Struct, frozen=True):
    """The document version created by an accepted edit."""

    version: int


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a drain request."""

    reason: str = ""


class Health(msgspec.Struct, frozen=True):
    """Whether the entry accepts new work, and its document version."""

    serving: bool
    document_version: int
