"""Parser of the configuration document's sections, from JSON with comments to typed items."""

import math
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec
import pyjson5

from skylarkferry_core.document import (
    SECTIONS,
    AgentSpec,
    CustomerSpec,
    Document,
    ModelSpec,
    PoolSpec,
    SiteSpec,
    TeamSpec,
    ToolSpec,
)

ITEM_TYPES: dict[str, type] = {
    "models": ModelSpec,
    "tools": ToolSpec,
    "agents": AgentSpec,
    "budgets": CustomerSpec,
    "sites": SiteSpec,
    "pools": PoolSpec,
    "teams": TeamSpec,
}
EMPTY_TEXT = "{}\n"


class Problem(msgspec.Struct, frozen=True, order=True):
    """One error in a document: the section, the key in it and the expected value."""

    section: str
    key: str
    expected: str

    def line(self) -> str:
        """Return the problem as one readable line."""
        location = f"{self.section}.{self.key}" if self.key else self.section
        return f"{location}: {self.expected}"


class ParsedDocument(msgspec.Struct, frozen=True):
    """The valid items of a document, and the problems of the invalid ones."""

    document: Document
    problems: tuple[Problem, ...]


def parse_document(texts: Mapping[str, str], version: int) -> ParsedDocument:
    """Parse the texts of all sections; a missing section counts as empty."""
    problems = [Problem(name, "", _SECTION_NAMES) for name in texts if name not in SECTIONS]
    sections: dict[str, Any] = {}
    for name in SECTIONS:
        items, found = parse_section(name, texts.get(name, EMPTY_TEXT))
        sections[name] = items
        problems.extend(found)
    return ParsedDocument(Document(version=version, **sections), tuple(problems))


def parse_section(section: str, text: str) -> tuple[dict[str, Any], list[Problem]]:
    """Return the valid items of one section by name, and the problems of the invalid ones."""
    try:
        parsed = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        return {}, [Problem(section, "", f"expected JSON with comments: {_reason(error)}")]
    if not isinstance(parsed, dict):
        return {}, [Problem(section, "", "expected an object whose keys are names")]
    items: dict[str, Any] = {}
    problems: list[Problem] = []
    for name, value in parsed.items():
        problem = _add_item(items, section, name, value)
        if problem is not None:
            problems.append(problem)
    return items, problems


_SECTION_NAMES = f"expected one of {', '.join(SECTIONS)}"


def _add_item(items: dict[str, Any], section: str, name: str, value: Any) -> Problem | None:
    """Convert a value and add it to ``items``, or return the problem that prevents it."""
    if not name.strip():
        return Problem(section, repr(name), "expected a name that is not blank")
    if not all(math.isfinite(number) for number in _floats(value)):
        return Problem(section, name, "expected finite numbers")
    try:
        items[name] = msgspec.convert(value, ITEM_TYPES[section])
    except msgspec.ValidationError as error:
        return _problem_of(section, name, str(error))
    return None


def _problem_of(section: str, name: str, message: str) -> Problem:
    """Convert a msgspec message such as ``Expected `int` - at `$.key``` to a problem."""
    expected, _, path = message.partition(" - at `$")
    return Problem(section, name + path.rstrip("`"), expected)


def _reason(error: Exception) -> str:
    """Return the parser's message without the positions in its other arguments."""
    return str(error.args[0]) if error.args else type(error).__name__


def _floats(value: Any) -> Iterator[float]:
    """Iterate over the floating-point numbers in decoded JSON."""
    if isinstance(value, float):
        yield value
    elif isinstance(value, dict):
        for item in value.values():
            yield from _floats(item)
    elif isinstance(value, list):
        for item in value:
            yield from _floats(item)
