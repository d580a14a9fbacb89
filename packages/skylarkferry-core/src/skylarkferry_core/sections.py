"""Section texts of the configuration document: JSON with comments, turned into typed items."""

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
    """One fault of a document: the section, the key in it and what is expected there."""

    section: str
    key: str
    expected: str

    def line(self) -> str:
        """Return the problem as one line for people."""
        place = f"{self.section}.{self.key}" if self.key else self.section
        return f"{place}: {self.expected}"


class Parsed(msgspec.Struct, frozen=True):
    """What could be read of a document, and the problems of the rest."""

    document: Document
    problems: tuple[Problem, ...]


def parse_document(texts: Mapping[str, str], version: int) -> Parsed:
    """Parse the texts of all sections; a missing section is empty."""
    problems = [Problem(name, "", _SECTION_NAMES) for name in texts if name not in SECTIONS]
    sections: dict[str, Any] = {}
    for name in SECTIONS:
        items, faults = parse_section(name, texts.get(name, EMPTY_TEXT))
        sections[name] = items
        problems.extend(faults)
    return Parsed(Document(version=version, **sections), tuple(problems))


def parse_section(section: str, text: str) -> tuple[dict[str, Any], list[Problem]]:
    """Return the items of one section by name, and the problems of those left out."""
    try:
        plain = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        return {}, [Problem(section, "", f"expected JSON with comments: {_reason(error)}")]
    if not isinstance(plain, dict):
        return {}, [Problem(section, "", "expected an object whose keys are names")]
    items: dict[str, Any] = {}
    problems: list[Problem] = []
    for name, value in plain.items():
        problem = _convert_into(items, section, name, value)
        if problem is not None:
            problems.append(problem)
    return items, problems


_SECTION_NAMES = f"expected one of {', '.join(SECTIONS)}"


def _convert_into(items: dict[str, Any], section: str, name: str, value: Any) -> Problem | None:
    """Add one typed item, or return why it cannot be one."""
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
    """Return the problem of a message such as ``Expected `int` - at `$.key```."""
    expected, _, path = message.partition(" - at `$")
    return Problem(section, name + path.rstrip("`"), expected)


def _reason(error: Exception) -> str:
    """Return the parser's own words without its positions as a tuple."""
    return str(error.args[0]) if error.args else type(error).__name__


def _floats(value: Any) -> Iterator[float]:
    """Iterate the floating-point numbers inside plain data."""
    if isinstance(value, float):
        yield value
    elif isinstance(value, dict):
        for inner in value.values():
            yield from _floats(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from _floats(inner)
