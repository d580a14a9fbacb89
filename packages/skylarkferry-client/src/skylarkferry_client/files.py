"""Read program files and section files of the configuration document."""

import difflib
import re
from pathlib import Path

import msgspec
import pyjson5

from skylarkferry_client.failures import UsageError
from skylarkferry_core.document import SECTIONS
from skylarkferry_core.entry_messages import Budget
from skylarkferry_core.sections import Problem, parse_section
from skylarkferry_core.states import Priority
from skylarkferry_core.validation import check_texts

SUFFIXES = (".jsonc", ".json5", ".json")
_VERSION_LINE = re.compile(r"// skylarkferry section (\w+) version (\d+)\n")


class ProgramFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A program to run; an empty ``request_key`` is replaced by a random one."""

    agent: str
    input: str
    deadline_s: float
    request_key: str = ""
    customer: str = ""
    budget: Budget | None = None
    priority: Priority | None = None


def read_text(path: str) -> str:
    """Return a file's text; raise ``UsageError`` if it is unreadable or not UTF-8."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise UsageError(f"{path}: expected text in UTF-8") from error


def read_program(path: str) -> ProgramFile:
    """Parse a program file (JSON with comments); raise ``UsageError`` if it is invalid."""
    try:
        return msgspec.convert(pyjson5.decode(read_text(path)), ProgramFile)
    except pyjson5.Json5DecoderException as error:
        raise UsageError(f"{path}: expected JSON with comments: {error.args[0]}") from error
    except msgspec.ValidationError as error:
        raise UsageError(f"{path}: {error}") from error


def read_sections(directory: str) -> dict[str, str]:
    """Return section texts by name from the files of a directory; raise ``UsageError``."""
    folder = Path(directory)
    if not folder.is_dir():
        raise UsageError(f"{directory}: expected a directory with a file for each section")
    texts = {}
    for name in SECTIONS:
        for path in (folder / f"{name}{suffix}" for suffix in SUFFIXES):
            if path.is_file():
                texts[name] = split_version_line(read_text(str(path)))[1]
    if not texts:
        raise UsageError(f"{directory}: expected files such as models.jsonc")
    return texts


def check_path(path: str) -> list[Problem]:
    """Return the problems in a directory of section files, or in one section's file."""
    if Path(path).is_dir():
        return list(check_texts(read_sections(path)))
    section = Path(path).stem
    if section not in SECTIONS:
        raise UsageError(f"{path}: expected a file named after one of {', '.join(SECTIONS)}")
    return parse_section(section, read_text(path))[1]


def add_version_line(section: str, version: int, text: str) -> str:
    """Return a section's text preceded by a line with its version."""
    return f"// skylarkferry section {section} version {version}\n{text}"


def split_version_line(text: str) -> tuple[int | None, str]:
    """Return the version of the version line, or None, and the text without that line."""
    matched = _VERSION_LINE.match(text)
    if matched is None:
        return None, text
    return int(matched.group(2)), text[matched.end() :]


def section_diff(section: str, stored: str, edited: str) -> str:
    """Return a unified diff from the stored text to the edited text."""
    lines = difflib.unified_diff(
        stored.splitlines(),
        edited.splitlines(),
        f"{section} as stored",
        f"{section} as edited",
        lineterm="",
    )
    return "\n".join(lines)
