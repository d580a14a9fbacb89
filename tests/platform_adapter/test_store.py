import anyio
import msgspec
import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from gateway_rig import rig as start_rig
from gateway_rig import wait_until
from skylarkferry_core.errors import (
    HistoryLostError,
    PlatformRefusedError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.store_calls import key_part, write_once
from skylarkferry_platform.store import PlatformStore
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.row_store import MAX_NAME_BYTES, StoreFault
from skylarkferry_standins.wire_server import WireReply, WireServer

pytestmark = pytest.mark.anyio


@pytest.fixture
async def rig(anyio_backend):
    async with start_rig() as new_rig:
        new_rig.client = PlatformStore(
            new_rig.store_address, EventLog("node", 100), GatewayMetrics()
        )
        yield new_rig


async def test_conditional_writes_are_read_back(rig):
    version = await rig.client.transact([Condition("t/p/k", 0)], [Write("t/p/k", b"\0value")])
    row = await rig.client.read("t/p/k")
    assert_that((row.value, row.version), Equals((b"\0value", version)))
    with ExpectedException(WriteConflictError):
        await rig.client.transact([Condition("t/p/k", 0)], [Write("t/p/k", b"other")])
    await rig.client.transact([Condition("t/p/k", version)], [Write("t/p/k", None)])
    assert_that((await rig.client.read("t/p/k")).version, Equals(0))


async def test_rows_of_several_parts_are_written_in_one_transaction(rig):
    await rig.client.transact([], [Write("t/p/k", b"1"), Write("t/q/k", b"2")])
    assert_that((await rig.client.read("t/q/k")).value, Equals(b"2"))


async def test_scan_reads_all_pages_of_a_long_part(rig):
    for first in range(0, 600, 100):
        names = range(first, first + 100)
        await rig.client.transact([], [Write(f"t/p/{n:04d}", b"x") for n in names])
    rows = await rig.client.scan("t/p/")
    assert_that([row.key for row in rows], Equals([f"t/p/{n:04d}" for n in range(600)]))


async def test_changes_are_returned_and_lost_history_raises(rig):
    snapshot = await rig.client.snapshot("t/p/k")
    await rig.client.transact([], [Write("t/p/k", b"1")])
    changes = await rig.client.changes("t", snapshot.version, 1.0)
    assert_that([row.value for row in changes.rows], Equals([b"1"]))
    none = await rig.client.changes("t", changes.version, 0.05)
    assert_that(none.rows, HasLength(0))
    rig.store.put("t", "p", "k", b"2")
    rig.store.discard_history()
    with ExpectedException(HistoryLostError):
        await rig.client.changes("t", changes.version, 0.05)


@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.THROTTLED])
async def test_refused_call_raises_platform_refused(rig, fault):
    rig.store.fault = lambda request: fault
    with ExpectedException(PlatformRefusedError):
        await rig.client.transact([], [Write("t/p/k", b"1")])


@pytest.mark.parametrize("fault", [StoreFault.RESET, StoreFault.LOST, StoreFault.SILENT])
async def test_unanswered_call_is_uncertain_and_marks_the_store_lost(rig, fault):
    rig.store.fault = lambda request: fault
    with ExpectedException(PlatformUnavailableError):
        await rig.client.transact([], [Write("t/p/k", b"1")])
    await anyio.sleep(0.01)
    assert_that(rig.client.unavailable_s() > 0, Equals(True))
    rig.store.fault = lambda request: StoreFault.NONE
    await rig.client.read("t/p/k")
    assert_that(rig.client.unavailable_s(), Equals(0.0))


async def test_silence_of_the_store_counts_on_when_a_call_has_timed_out(rig):
    rig.store.fault = lambda request: StoreFault.SILENT
    with ExpectedException(PlatformUnavailableError):
        await rig.client.read("t/p/k")
    assert_that(rig.client.unavailable_s(), GreaterThan(defaults.STORE_SILENT_AFTER_S))


async def test_call_without_answer_shows_although_an_earlier_one_is_pending(rig):
    async with anyio.create_task_group() as tasks:

        async def read_small():
            await rig.client.read("t/p/k")

        rig.store.fault = lambda request: StoreFault.SILENT
        tasks.start_soon(read_small)
        await anyio.sleep(0.1)
        rig.store.fault = lambda request: StoreFault.NONE
        await rig.client.read("t/p/k")
        rig.store.fault = lambda request: StoreFault.SILENT
        tasks.start_soon(read_small)
        await wait_until(lambda: rig.client.unavailable_s() > 0)
        assert_that(rig.client.unavailable_s(), GreaterThan(defaults.STORE_SILENT_AFTER_S))
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("fault", [StoreFault.LOST, StoreFault.LATE, StoreFault.REFUSED])
async def test_write_once_verifies_an_unanswered_write(rig, fault):
    failures = [fault]
    rig.store.fault = lambda request: failures.pop() if failures else StoreFault.NONE
    by = anyio.current_time() + 5
    await write_once(rig.client, [Condition("t/p/k", 0)], [Write("t/p/k", b"1")], by)
    rig.store.perform_late()
    assert_that(rig.store.value("t", "p", "k"), Equals(b"1"))


async def test_write_once_rejects_the_row_of_another_writer(rig):
    rig.store.put("t", "p", "k", b"other")
    by = anyio.current_time() + 5
    with ExpectedException(WriteConflictError):
        await write_once(rig.client, [Condition("t/p/k", 0)], [Write("t/p/k", b"1")], by)


@pytest.mark.parametrize("text", ["a/b", "x" * 500, "ü", "", "own er", "owner+"])
async def test_any_client_text_becomes_a_safe_key_part(rig, text):
    part = key_part(text)
    assert_that(len(part.encode()) <= MAX_NAME_BYTES and "/" not in part, Equals(True))
    await rig.client.transact([], [Write(f"t/{part}/k", b"1")])
    assert_that((await rig.client.read(f"t/{part}/k")).value, Equals(b"1"))


async def test_scan_of_pages_that_never_end_is_a_typed_error(rig):
    """Each page says that more rows follow, but the next one begins with the same row again."""
    row = {"table": "t", "part": "p", "key": "k", "value": "", "ver": 1}
    body = msgspec.json.encode({"rows": [row], "truncated": True, "ver": 1})

    async def answer(request):
        return WireReply(200, {}, body)

    rig.client.address = free_address()
    await rig.listen(rig.client.address, WireServer(answer))
    with pytest.raises(PlatformUnavailableError), anyio.fail_after(2):
        await rig.client.scan("t/p/")


async def test_calls_go_to_a_new_address_although_connections_to_the_old_one_are_open(rig):
    calls = []

    async def answer(request):
        calls.append(request)
        return await rig.store.handle(request)

    await rig.client.read("t/p/k")
    address = free_address()
    await rig.listen(address, WireServer(answer))
    rig.client.address = address
    await rig.client.read("t/p/k")
    assert_that(calls, HasLength(1))
