"""Messages of the HTTP interface that the daemon and the command line share; JSON on the wire."""

from http import HTTPStatus

import msgspec

from skylarkferry_core.errors import ErrorCode, SkylarkferryError
from skylarkferry_core.ids import TeamName
from skylarkferry_core.states import FinalWord

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:skylarkferry:error:"


class ProblemDetails(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a failed request; ``word`` says what is known of the work."""

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
    """One section as edited; version 0 and no team when nobody did."""

    section: str
    version: int
    team: TeamName
    text: str


class DocumentView(msgspec.Struct, frozen=True):
    """The document in force at the entry that answers."""

    version: int
    sections: tuple[SectionView, ...]


class SectionChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section's new text; ``base_version`` is the version the editor read."""

    section: str
    text: str
    base_version: int


class EditBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sections that change together."""

    changes: tuple[SectionChange, ...]


class EditOutcome(msgspec.Struct, frozen=True):
    """The document version an accepted edit made."""

    version: int


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Why an upstream is to take no new work."""

    reason: str = ""


class Health(msgspec.Struct, frozen=True):
    """Whether the entry takes new work, and its document version."""

    serving: bool
    document_version: int
