import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from sidecar_fakes import FakeTable
from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.frames import CrashNotice
from skylarkferry_core.ids import CrashId, Fingerprint
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.quarantine import PREFIX, Quarantine

pytestmark = pytest.mark.anyio

CRASHING = Fingerprint("crashing")


def crash(number):
    return CrashNotice(CRASHING, alone=number > 1, crash=CrashId(f"up-{number}"))


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def entries(table):
    return [Quarantine(table, EventLog(f"entry-{n}", 100)) for n in range(2)]


async def test_crash_reported_to_both_entries_counts_once(entries):
    for entry in entries:
        entry.on_crash(crash(1))
        entry.on_crash(crash(1))
    for entry in entries * 2:
        await entry.synchronize()
    assert_that([entry.is_suspect(CRASHING) for entry in entries], Equals([True, True]))
    assert_that([entry.quarantined_fingerprints() for entry in entries], Equals([(), ()]))


async def test_crashes_reported_to_different_entries_add_up(entries):
    for number, entry in enumerate(entries):
        entry.on_crash(crash(number))
    for entry in entries * 2:
        await entry.synchronize()
    assert_that(
        [entry.quarantined_fingerprints() for entry in entries], Equals([(CRASHING,), (CRASHING,)])
    )


async def test_suspect_cleared_by_one_entry_is_cleared_for_all(entries, table):
    entries[0].on_crash(crash(1))
    for entry in entries:
        await entry.synchronize()
    entries[1].on_done(CRASHING)
    for entry in entries[::-1] * 2:
        await entry.synchronize()
    assert_that([entry.is_suspect(CRASHING) for entry in entries], Equals([False, False]))
    assert_that(table.rows, Equals({}))


async def test_deleting_the_row_lifts_a_quarantine(entries, table):
    for number in (1, 2):
        entries[0].on_crash(crash(number))
    for entry in entries:
        await entry.synchronize()
    assert_that(entries[1].refusal(CRASHING) is None, Is(False))
    del table.rows[PREFIX + CRASHING]
    for entry in entries:
        await entry.synchronize()
    assert_that([entry.refusal(CRASHING) for entry in entries], Equals([None, None]))


async def test_crash_reported_during_an_outage_is_kept(entries, table):
    working_read, table.read = table.read, raise_unavailable
    entries[0].on_crash(crash(1))
    await entries[0].synchronize()
    table.read = working_read
    await entries[0].synchronize()
    await entries[1].synchronize()
    assert_that(entries[1].is_suspect(CRASHING), Is(True))


async def raise_unavailable(key):
    raise PlatformUnavailableError(key)
