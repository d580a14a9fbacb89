"""The active configuration document, polled from the table; only a higher version replaces it."""

import msgspec

from skylarkferry_core.document import Document
from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.http_messages import EditOutcome
from skylarkferry_core.interfaces import Table
from skylarkferry_core.sections import parse_document
from skylarkferry_daemon.document_edits import DocumentEditor, Edit
from skylarkferry_daemon.document_rows import EMPTY_SNAPSHOT, Snapshot, read_snapshot, read_version
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.request_metrics import DOCUMENT_VERSION


class TableDocuments:
    """Hold the active document; subscribe :meth:`refresh` to the timer service.

    ``loaded`` is false until the table has answered once, with or without a document.
    """

    def __init__(self, table: Table, log: EventLog) -> None:
        self.table = table
        self.log = log
        self.editor = DocumentEditor(table, log)
        self.current = Document()
        self.snapshot = EMPTY_SNAPSHOT
        self.loaded = False
        self.stale = False
        self.unreadable_version = 0

    async def refresh(self) -> None:
        """Poll the version row and apply a newer document; keep the old one on any failure."""
        try:
            version = await read_version(self.table)
            if version.version > self.current.version:
                self.apply(await read_snapshot(self.table))
        except PlatformUnavailableError as error:
            self._mark_stale(error.detail)
        except msgspec.MsgspecError as error:
            self._mark_unreadable(self.current.version + 1, str(error))
        else:
            self._mark_current()

    def apply(self, snapshot: Snapshot) -> None:
        """Activate a stored document if its version is higher and it is valid."""
        version = snapshot.version.version
        if version <= self.current.version:
            return
        parsed = parse_document(snapshot.texts(), version)
        if parsed.problems:
            self._mark_unreadable(version, parsed.problems[0].line())
            return
        self.current = parsed.document
        self.snapshot = snapshot
        DOCUMENT_VERSION.set(version)
        self.log.emit(EventKind.DOCUMENT_APPLIED, version=version)

    async def edit(self, edit: Edit) -> EditOutcome:
        """Apply an edit and activate it on this node; raise typed errors."""
        outcome = await self.editor.run(edit)
        await self.refresh()
        return outcome

    def _mark_stale(self, detail: str) -> None:
        if not self.stale:
            self.log.emit(EventKind.DOCUMENT_STALE, version=self.current.version, detail=detail)
        self.stale = True

    def _mark_current(self) -> None:
        if self.stale:
            self.log.emit(EventKind.DOCUMENT_CURRENT, version=self.current.version)
        self.stale = False
        self.loaded = True

    def _mark_unreadable(self, version: int, detail: str) -> None:
        if version != self.unreadable_version:
            self.log.emit(EventKind.DOCUMENT_UNREADABLE, version=version, detail=detail)
        self.unreadable_version = version
