"""Table rows of the configuration document."""

from collections.abc import Sequence

import msgspec

from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.ids import TeamName
from skylarkferry_core.interfaces import Condition, Row, Table, Write

PREFIX = "document/"
VERSION_KEY = PREFIX + "version"
SECTION_PREFIX = PREFIX + "section/"
MAX_EDITS_KEPT = 64


class VersionRow(msgspec.Struct, frozen=True):
    """The document's version and, for each section, the version of its last edit."""

    version: int = 0
    sections: dict[str, int] = {}


class EditMark(msgspec.Struct, frozen=True):
    """An accepted edit and the document version that it created."""

    edit_id: str
    version: int


class SectionRow(msgspec.Struct, frozen=True):
    """One section: its text, the team of the last edit and the most recent edits."""

    version: int
    team: TeamName
    text: str
    edits: tuple[EditMark, ...] = ()


class Snapshot(msgspec.Struct, frozen=True):
    """The stored document at one version; ``row_version`` is the table version of its row."""

    row_version: int
    version: VersionRow
    sections: dict[str, SectionRow]

    def texts(self) -> dict[str, str]:
        """Return the text of each stored section."""
        return {name: row.text for name, row in self.sections.items()}

    def section_version(self, section: str) -> int:
        """Return the version of a section's last edit, or 0 if it was never edited."""
        return self.version.sections.get(section, 0)


EMPTY_SNAPSHOT = Snapshot(0, VersionRow(), {})


async def read_version(table: Table) -> VersionRow:
    """Read the version row; raise ``PlatformUnavailableError`` or ``msgspec.DecodeError``."""
    row = await table.read(VERSION_KEY)
    return _decode_version(row)


async def read_snapshot(table: Table) -> Snapshot:
    """Read the whole document; raise the errors of :func:`read_version`.

    Also raise ``PlatformUnavailableError`` if the document changes during the read.
    """
    rows = {row.key: row for row in await table.scan(PREFIX)}
    version_row = rows.pop(VERSION_KEY, Row(VERSION_KEY, b"", 0))
    sections = {
        key.removeprefix(SECTION_PREFIX): msgspec.json.decode(row.value, type=SectionRow)
        for key, row in rows.items()
    }
    snapshot = Snapshot(version_row.version, _decode_version(version_row), sections)
    if snapshot.version.sections != {name: row.version for name, row in sections.items()}:
        raise PlatformUnavailableError("the document changed while it was read", retry_after_s=1.0)
    return snapshot


def edit_transaction(
    before: Snapshot, team: TeamName, edit_id: str, texts: dict[str, str]
) -> tuple[Sequence[Condition], Sequence[Write]]:
    """Return the transaction that writes new section texts and the version row together."""
    version = before.version.version + 1
    changed = dict.fromkeys(texts, version)
    version_row = VersionRow(version, before.version.sections | changed)
    writes = [Write(VERSION_KEY, msgspec.json.encode(version_row))]
    for section, text in texts.items():
        old = before.sections.get(section)
        edits = (EditMark(edit_id, version), *(old.edits if old else ()))
        row = SectionRow(version, team, text, edits[:MAX_EDITS_KEPT])
        writes.append(Write(SECTION_PREFIX + section, msgspec.json.encode(row)))
    return [Condition(VERSION_KEY, before.row_version)], writes


def _decode_version(row: Row) -> VersionRow:
    if row.version == 0:
        return VersionRow()
    return msgspec.json.decode(row.value, type=VersionRow)
