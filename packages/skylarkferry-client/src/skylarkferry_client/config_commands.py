"""Commands that read, check and edit the configuration document."""

import uuid
from pathlib import Path

import msgspec

from skylarkferry_client.api import api_path
from skylarkferry_client.failures import CommandError, ExitCode, RefusedError, UsageError
from skylarkferry_client.files import (
    add_version_line,
    check_path,
    read_sections,
    read_text,
    section_diff,
    split_version_line,
)
from skylarkferry_client.session import Session
from skylarkferry_core.document import SECTIONS
from skylarkferry_core.http_messages import (
    DocumentView,
    EditBody,
    EditOutcome,
    SectionChange,
    SectionView,
)


class ConfigCommands:
    """Read, check and edit the configuration document."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def get(self, section: str = "", output: str = "") -> None:
        """Print the stored text of SECTION, or of all sections; --output FILE writes it to FILE.

        Its first line holds the version that `config set` needs for an edit.
        """
        views = self._section_views()
        if section:
            views = {section: _section_view(views, section)}
        if self._session.printer.as_json:
            self._session.printer.reply(tuple(views.values()))
            return
        texts = [add_version_line(view.section, view.version, view.text) for view in views.values()]
        if output:
            Path(output).write_text("".join(texts), encoding="utf-8")
            return
        for text in texts:
            self._session.printer.line(text)

    def set(self, section: str, file: str, base: int | None = None) -> None:
        """Replace SECTION with FILE unless it has changed since the version in FILE's first line.

        --base VERSION gives that version for a FILE without a version line.
        """
        version, text = split_version_line(read_text(str(file)))
        version = version if base is None else base
        if version is None:
            current = _section_view(self._section_views(), section).version
            raise UsageError(
                f"{file}: expected a version line from 'config get' or --base VERSION; "
                f"section '{section}' is at version {current}"
            )
        try:
            outcome = self._put(section, text, version)
        except RefusedError as error:
            if error.exit_code is ExitCode.CONFLICT:
                self._show_conflict(section, text)
            raise
        self._print_accepted(outcome)

    def check(self, file: str) -> None:
        """Validate a directory of section files, or one section's FILE, without an entry."""
        problems = check_path(str(file))
        if problems:
            lines = "\n".join(f"{file}: {problem.line()}" for problem in problems)
            raise UsageError(lines)
        self._session.printer.line(f"{file}: correct")

    def init(self, directory: str) -> None:
        """Write the first document from a DIRECTORY of section files; needs the bootstrap token."""
        texts = read_sections(str(directory))
        changes = tuple(SectionChange(name, text, 0) for name, text in texts.items())
        body = msgspec.json.encode(EditBody(changes))
        key = str(uuid.uuid4())
        outcome = self._session.api().put(
            api_path("config"), body, EditOutcome, Idempotency_Key=key
        )
        self._print_accepted(outcome)

    def _put(self, section: str, text: str, version: int) -> EditOutcome:
        return self._session.api().put(
            api_path("config", section),
            text.encode(),
            EditOutcome,
            If_Match=f'"{version}"',
            Idempotency_Key=str(uuid.uuid4()),
        )

    def _section_views(self) -> dict[str, SectionView]:
        document = self._session.api().get(api_path("config"), DocumentView)
        return {view.section: view for view in document.sections}

    def _show_conflict(self, section: str, text: str) -> None:
        stored = _section_view(self._section_views(), section)
        self._session.printer.progress(section_diff(section, stored.text, text))

    def _print_accepted(self, outcome: EditOutcome) -> None:
        if self._session.printer.as_json:
            self._session.printer.reply(outcome)
            return
        self._session.printer.line(f"accepted as document version {outcome.version}")


def _section_view(views: dict[str, SectionView], section: str) -> SectionView:
    if section not in SECTIONS:
        raise UsageError(f"expected one of {', '.join(SECTIONS)}, found '{section}'")
    if section not in views:
        raise CommandError(f"the entry has no section '{section}'")
    return views[section]
