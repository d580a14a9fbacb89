"""The documentation pages list every setting and every error code."""

from pathlib import Path

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains

from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.sections import ITEM_TYPES
from skylarkferry_daemon import settings

DOCS = Path(__file__).parents[2] / "docs"
TABLES = {
    "## Entry\n": settings.EntrySettings,
    "## Platform\n": settings.PlatformSettings,
    "## Lease\n": settings.LeaseSettings,
    "## Limits\n": settings.LimitSettings,
    "## Sidecar\n": settings.SidecarSettings,
}
TABLES |= {f"### `{name}`\n": kind for name, kind in ITEM_TYPES.items()}


@pytest.mark.parametrize("title", TABLES)
def test_settings_page_lists_every_key(title):
    section = (DOCS / "SETTINGS.md").read_text().partition(title)[2].partition("\n##")[0]
    for field in msgspec.structs.fields(TABLES[title]):
        assert_that(section, Contains(f"| `{field.name}` |"))


def test_api_page_lists_every_error_code():
    page = (DOCS / "API.md").read_text()
    for code in set(ErrorCode) - {ErrorCode.SETTINGS_INVALID}:
        assert_that(page, Contains(f"`{code.value}`"))
