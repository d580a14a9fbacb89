"""Edits of the configuration document by compare-and-set, with resolved outcomes."""

import random
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from skylarkferry_core.document import SECTIONS
from skylarkferry_core.errors import (
    BadRequestError,
    DocumentConflictError,
    DocumentInvalidError,
    ForbiddenError,
    OutcomeUnknownError,
    OverloadedError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.http_messages import EditOutcome, SectionChange
from skylarkferry_core.ids import TeamName
from skylarkferry_core.interfaces import Table
from skylarkferry_core.sections import parse_section
from skylarkferry_core.validation import check_texts
from skylarkferry_daemon.document_rows import Snapshot, edit_transaction, read_snapshot
from skylarkferry_daemon.log import EventLog

MAX_ATTEMPTS = 8
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
RETRY_AFTER_S = 2.0
NO_TEAM = TeamName("")


class Edit(msgspec.Struct, frozen=True):
    """Sections that one team changes together; the edit of the first document has no team."""

    edit_id: str
    team: TeamName
    changes: tuple[SectionChange, ...]


class DocumentEditor:
    """Run edits; a repeated edit id returns the outcome of the first edit."""

    def __init__(
        self,
        table: Table,
        log: EventLog,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.table = table
        self.log = log
        self.sleep = sleep

    async def run(self, edit: Edit) -> EditOutcome:
        """Run an edit; raise the typed error of a refused edit.

        Raise ``OutcomeUnknownError`` if the edit may or may not have been written.
        """
        attempt = _EditRun(self, edit)
        try:
            return await attempt.run()
        except DocumentConflictError:
            self.log.emit(EventKind.DOCUMENT_CONFLICT, team=edit.team, edit=edit.edit_id)
            raise
        except DocumentInvalidError:
            self.log.emit(EventKind.DOCUMENT_REFUSED, team=edit.team, edit=edit.edit_id)
            raise
        except OutcomeUnknownError:
            self.log.emit(EventKind.DOCUMENT_UNKNOWN, team=edit.team, edit=edit.edit_id)
            raise


class _EditRun:
    """Run of one edit.

    ``uncertain`` is set once the answer to a write was lost.  That write can take effect only
    while the version row is at version ``sent_at``, so only a later version row shows whether it
    did.
    """

    def __init__(self, editor: DocumentEditor, edit: Edit) -> None:
        self.editor = editor
        self.edit = edit
        self.uncertain = False
        self.sent_at = 0

    async def run(self) -> EditOutcome:
        for attempt in range(MAX_ATTEMPTS):
            outcome = await self._attempt_once(attempt)
            if outcome is not None:
                return outcome
        if self.uncertain:
            raise self._outcome_unknown()
        raise OverloadedError("too many concurrent edits", retry_after_s=RETRY_AFTER_S)

    async def _attempt_once(self, attempt: int) -> EditOutcome | None:
        """Read, check and write once; return ``None`` if another attempt is allowed."""
        try:
            before = await read_snapshot(self.editor.table)
        except PlatformUnavailableError:
            if not self.uncertain:
                raise
            await self._back_off(attempt)
            return None
        if before.row_version < self.sent_at:
            await self._back_off(attempt)
            return None
        earlier = accepted_version(before, self.edit)
        if earlier:
            return self._report_resolved(earlier)
        check_edit(before, self.edit)
        return await self._write(before, attempt)

    async def _write(self, before: Snapshot, attempt: int) -> EditOutcome | None:
        texts = {change.section: change.text for change in self.edit.changes}
        self.sent_at = before.row_version
        conditions, writes = edit_transaction(before, self.edit.team, self.edit.edit_id, texts)
        try:
            await self.editor.table.transact(conditions, writes)
        except WriteConflictError:
            return None
        except PlatformUnavailableError:
            self.uncertain = True
            await self._back_off(attempt)
            return None
        return self._report_accepted(before.version.version + 1)

    def _report_accepted(self, version: int) -> EditOutcome:
        sections = ",".join(change.section for change in self.edit.changes)
        self.editor.log.emit(
            EventKind.DOCUMENT_EDITED, version=version, team=self.edit.team, sections=sections
        )
        return EditOutcome(version)

    def _report_resolved(self, version: int) -> EditOutcome:
        self.editor.log.emit(EventKind.DOCUMENT_RESOLVED, version=version, edit=self.edit.edit_id)
        return EditOutcome(version)

    async def _back_off(self, attempt: int) -> None:
        limit_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**attempt)
        await self.editor.sleep(random.uniform(0.0, limit_s))

    def _outcome_unknown(self) -> OutcomeUnknownError:
        detail = (
            f"the platform did not answer; repeat edit '{self.edit.edit_id}' to learn its outcome"
        )
        return OutcomeUnknownError(detail, retry_after_s=RETRY_AFTER_S)


def accepted_version(before: Snapshot, edit: Edit) -> int:
    """Return the version that an earlier run of this edit created, or 0."""
    for change in edit.changes:
        row = before.sections.get(change.section)
        for mark in row.edits if row else ():
            if mark.edit_id == edit.edit_id:
                return mark.version
    return 0


def check_edit(before: Snapshot, edit: Edit) -> None:
    """Raise a typed error unless the edit may be applied to this document."""
    names = [change.section for change in edit.changes]
    if not names or len(set(names)) != len(names) or not set(names) <= set(SECTIONS):
        raise BadRequestError(f"expected sections from {', '.join(SECTIONS)}, each exactly once")
    _check_team(before, edit)
    for change in edit.changes:
        _check_base_version(before, change)
    texts = before.texts() | {change.section: change.text for change in edit.changes}
    problems = check_texts(texts)
    if problems:
        raise DocumentInvalidError("\n".join(problem.line() for problem in problems))


def _check_team(before: Snapshot, edit: Edit) -> None:
    """Reject a team that does not own a section in the stored document.

    The first document is written with the bootstrap token and has no team.
    """
    if edit.team == NO_TEAM:
        if before.version.version:
            raise ForbiddenError("the document exists; edit it with a team's token")
        return
    teams, _ = parse_section("teams", before.texts().get("teams", "{}"))
    allowed = teams[edit.team].sections if edit.team in teams else ()
    for change in edit.changes:
        if change.section not in allowed:
            raise ForbiddenError(f"team '{edit.team}' does not own section '{change.section}'")


def _check_base_version(before: Snapshot, change: SectionChange) -> None:
    version = before.section_version(change.section)
    if version != change.base_version:
        row = before.sections.get(change.section)
        team = row.team if row else NO_TEAM
        raise DocumentConflictError(
            f"section '{change.section}' is at version {version} by team '{team}', "
            f"the edit starts from version {change.base_version}"
        )
