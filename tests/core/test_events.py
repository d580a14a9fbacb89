"""The event catalogue in the code and in docs/EVENTS.md must match."""

from collections import Counter
from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.events import EventKind

PAGE = Path(__file__).parents[2] / "docs" / "EVENTS.md"


def documented_rows():
    lines = PAGE.read_text().splitlines()
    return [line for line in lines if line.startswith("| ") and line[2].isdigit()]


def expected_rows():
    return [
        f"| {kind.number} | {kind.name.lower()} | {kind.level.value} | {kind.meaning} |"
        for kind in EventKind
    ]


def test_page_lists_all_events_of_the_code():
    page = Counter(documented_rows())
    code = Counter(expected_rows())
    missing = "\n".join((code - page).elements())
    extra = "\n".join((page - code).elements())
    message = f"add to docs/EVENTS.md:\n{missing}\nremove from docs/EVENTS.md:\n{extra}\n"
    assert_that((missing, extra), Equals(("", "")), message)


def test_event_numbers_are_unique():
    numbers = Counter(kind.number for kind in EventKind)
    assert_that([number for number, times in numbers.items() if times > 1], Equals([]))
