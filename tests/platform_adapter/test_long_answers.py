import anyio
import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import rig as start_rig
from gateway_rig import wait_until
from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.interfaces import Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_platform.store import PlatformStore
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.row_store import StoreFault
from slow_link import SMALL_LINK_MBPS, SlowLink, slow_store

pytestmark = pytest.mark.anyio

LARGE = b"x" * 2_700_000
"""A row whose answer takes 1.9 s on a small link."""
SMALLEST_CONTACT_S = 3.0


@pytest.fixture
async def rig(anyio_backend):
    async with start_rig() as new_rig:
        address, new_rig.link = await slow_store(new_rig)
        new_rig.client = PlatformStore(address, EventLog("node", 100), GatewayMetrics())
        new_rig.store.put("op", "", "large", LARGE)
        new_rig.store.put("op", "", "small", b"x")
        yield new_rig


async def read_large(rig, outcomes):
    try:
        outcomes.append((await rig.client.read("op//large")).value == LARGE)
    except PlatformUnavailableError as error:
        outcomes.append(error.detail)


# Guards against answers that are given up, again and again, while they arrive.
@pytest.mark.parametrize("call", ["snapshot", "changes", "scan"])
async def test_answer_longer_than_the_timeout_is_read_while_its_bytes_arrive(rig, call):
    calls = {
        "snapshot": lambda: rig.client.snapshot("op//large"),
        "changes": lambda: rig.client.changes("op", 0, 1.0),
        "scan": lambda: rig.client.scan("op//"),
    }
    began = anyio.current_time()
    found = await calls[call]()
    rows = {"snapshot": lambda: [found.row], "changes": lambda: found.rows, "scan": lambda: found}
    assert_that(LARGE in [row.value for row in rows[call]()], Equals(True))
    assert_that(anyio.current_time() - began, GreaterThan(defaults.STORE_TIMEOUT_S))


async def test_store_is_not_lost_while_a_long_answer_arrives(rig):
    outcomes = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_large, rig, outcomes)
        lost_s = []
        while not outcomes:
            lost_s.append(rig.client.unavailable_s())
            await anyio.sleep(0.02)
    assert_that((outcomes, max(lost_s)), Equals(([True], 0.0)))


async def test_short_calls_are_answered_beside_a_long_answer(rig):
    outcomes = []
    took_s = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_large, rig, outcomes)
        while not outcomes:
            began = anyio.current_time()
            await rig.client.read("op//small")
            took_s.append(anyio.current_time() - began)
            await anyio.sleep(0.05)
    assert_that(outcomes, Equals([True]))
    assert_that(max(took_s), LessThan(defaults.STORE_LOST_AFTER_S))


async def test_connection_that_goes_silent_within_an_answer_is_given_up(rig):
    rig.link.stalls_after_bytes = 1_000_000
    with anyio.fail_after(SMALLEST_CONTACT_S), ExpectedException(PlatformUnavailableError):
        await rig.client.read("op//large")
    assert_that(rig.link.passed_bytes >= rig.link.stalls_after_bytes, Equals(True))
    rig.link.stalls_after_bytes = None
    assert_that((await rig.client.read("op//small")).value, Equals(b"x"))


async def test_answer_that_never_ends_is_given_up(rig, monkeypatch):
    monkeypatch.setattr(defaults, "STORE_TRANSFER_TIMEOUT_S", 1.0)
    began = anyio.current_time()
    with ExpectedException(PlatformUnavailableError):
        await rig.client.read("op//large")
    assert_that(anyio.current_time() - began, GreaterThan(1.0 - 0.01))


async def test_long_answer_that_stalls_does_not_hide_that_the_store_is_silent(rig):
    outcomes = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_large, rig, outcomes)
        await wait_until(lambda: rig.link.passed_bytes > 500_000)
        await rig.client.read("op//small")
        rig.link.stalls_after_bytes = 0
        rig.store.fault = lambda request: StoreFault.SILENT
        began = anyio.current_time()
        await wait_until(lambda: rig.client.unavailable_s() > 0)
        assert_that(anyio.current_time() - began, LessThan(defaults.STORE_TIMEOUT_S))
        tasks.cancel_scope.cancel()
    assert_that(outcomes, Equals([]))


async def test_large_write_has_time_to_leave_on_a_shared_link(rig):
    link = SlowLink(rig.store_address, 1_000.0, up_mbps=SMALL_LINK_MBPS / 2)
    rig.client.address = free_address()
    await rig.listen(rig.client.address, link)
    chunk = b"x" * 45_000
    lost_s = []
    async with anyio.create_task_group() as tasks:

        async def write():
            await rig.client.transact([], [Write(f"t/p/{number}", chunk) for number in range(13)])
            tasks.cancel_scope.cancel()

        tasks.start_soon(write)
        while True:
            lost_s.append(rig.client.unavailable_s())
            await anyio.sleep(0.02)
    assert_that(rig.store.value("t", "p", "12"), Equals(chunk))
    assert_that(max(lost_s), Equals(0.0))
