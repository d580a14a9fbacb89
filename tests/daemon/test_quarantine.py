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

POISON = Fingerprint("poison")


def crash(number):
    return CrashNotice(POISON, alone=number > 1, crash=CrashId(f"up-{number}"))


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def entries(table):
    return [Quarantine(table, EventLog(f"entry-{n}", 100)) for n in range(2)]


async def test_one_crash_that_both_entries_hear_of_counts_once(entries):
    for entry in entries:
        entry.on_crash(crash(1))
        entry.on_crash(crash(1))
    for entry in entries * 2:
        await entry.synchronize()
    assert_that([entry.is_suspect(POISON) for entry in entries], Equals([True, True]))
    assert_that([entry.quarantined_fingerprints() for entry in entries], Equals([(), ()]))


async def test_crashes_that_different_entries_heard_of_add_up(entries):
    for number, entry in enumerate(entries):
        entry.on_crash(crash(number))
    for entry in entries * 2:
        await entry.synchronize()
    assert_that(
        [entry.quarantined_fingerprints() for entry in entries], Equals([(POISON,), (POISON,)])
    )


async def test_a_cleared_suspect_is_free_for_all(entries, table):
    entries[0].on_crash(crash(1))
    for entry in entries:
        await entry.synchronize()
    entries[1].on_done(POISON)
    for entry in entries[::-1] * 2:
        await entry.synchronize()
    assert_that([entry.is_suspect(POISON) for entry in entries], Equals([False, False]))
    assert_that(table.rows, Equals({}))


async def test_an_operator_lifts_a_quarantine_by_deleting_its_row(entries, table):
    for number in (1, 2):
        entries[0].on_crash(crash(number))
    for entry in entries:
        await entry.synchronize()
    assert_that(entries[1].refusal(POISON) is None, Is(False))
    del table.rows[PREFIX + POISON]
    for entry in entries:
        await entry.synchronize()
    assert_that([entry.refusal(POISON) for entry in entries], Equals([None, None]))


async def test_an_outage_loses_no_crash(entries, table):
    working, table.read = table.read, fail
    entries[0].on_crash(crash(1))
    await entries[0].synchronize()
    table.read = working
    await entries[0].synchronize()
    await entries[1].synchronize()
    assert_that(entries[1].is_suspect(POISON), Is(True))


async def fail(key):
    raise PlatformUnavailableError(key)
