import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_core.ids import FailureDomain
from skylarkferry_core.interfaces import Condition, Host, Row, Write
from skylarkferry_daemon.platform import connect_platform
from skylarkferry_daemon.settings import PlatformSettings
from skylarkferry_standins.platform import (
    Loss,
    Outage,
    Platform,
    PlatformFaults,
    TargetGroup,
    platform_app,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def platform():
    labels = {"host": "entry-1", "role": "entry", "failure_domain": "a", "leaving": "true"}
    return Platform([TargetGroup(["127.0.0.1:7100"], labels)], 0.0)


@pytest.fixture
async def services(platform):
    settings = PlatformSettings("http://p", "http://p/objects", "http://p/hosts")
    transport = httpx.ASGITransport(platform_app(platform))
    async with httpx.AsyncClient(transport=transport) as client:
        yield connect_platform(client, settings)


async def test_table_transaction_is_atomic(services):
    table = services.table
    version = await table.transact([Condition("a/1", 0)], [Write("a/1", b"x"), Write("a/2", b"y")])
    rows = [Row("a/1", b"x", version), Row("a/2", b"y", version)]
    assert_that(await table.scan("a/"), Equals(rows))
    with pytest.raises(WriteConflictError):
        await table.transact([Condition("a/1", 0)], [Write("a/2", None)])
    await table.transact([Condition("a/1", version)], [Write("a/1", None)])
    assert_that(await table.read("a/1"), Equals(Row("a/1", b"", 0)))
    assert_that(await table.scan("a/"), Equals(rows[1:]))


async def test_outage_and_lost_answer_raise_platform_unavailable(services, platform):
    platform.set_faults(PlatformFaults(lose_answers=1, loss=Loss.GATEWAY_TIMEOUT))
    with pytest.raises(PlatformUnavailableError):
        await services.table.transact([], [Write("a", b"x")])
    assert_that((await services.table.read("a")).value, Equals(b"x"))
    platform.set_faults(PlatformFaults(outage=Outage.REFUSING))
    with pytest.raises(PlatformUnavailableError):
        await services.table.read("a")
    with pytest.raises(PlatformUnavailableError):
        await services.objects.put("a", b"x")
    with pytest.raises(PlatformUnavailableError):
        await services.host_list.hosts()


async def test_object_store_and_host_list(services):
    await services.objects.put("a/b-1", b"x")
    assert_that(await services.objects.get("a/b-1"), Equals(b"x"))
    await services.objects.delete("a/b-1")
    assert_that(await services.objects.get("a/b-1"), Equals(None))
    host = Host("entry-1", "entry", "127.0.0.1:7100", FailureDomain("a"), leaving=True)
    assert_that(await services.host_list.hosts(), Equals([host]))
