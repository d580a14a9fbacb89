import json

import anyio
import pytest
from anyio.lowlevel import checkpoint
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from gateway_rig import large_config
from skylarkferry_core.interfaces import Row
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.interfaces import Snapshot
from skylarkferry_platform.directory import PlatformDirectory

pytestmark = pytest.mark.anyio

ROUTES = 14_000
MOST_ROUTES_AT_ONCE = 500


class StoredConfig:
    """A store that answers at once, with a large configuration."""

    async def snapshot(self, key):
        return Snapshot(Row(key, json.dumps(large_config(ROUTES, 2)).encode(), 1), 1)


async def test_requests_go_on_while_a_large_configuration_is_converted(anyio_backend):
    directory = PlatformDirectory(StoredConfig(), EventLog("node", 100))
    turns = 0
    async with anyio.create_task_group() as tasks:

        async def serve():
            nonlocal turns
            while True:
                await checkpoint()
                turns += 1

        tasks.start_soon(serve)
        table = await directory.routing(1.0)
        tasks.cancel_scope.cancel()
    assert_that(table.match("shop.example", "/more-13999/1").prefix, Equals("/more-13999/"))
    assert_that(turns, GreaterThan(ROUTES // MOST_ROUTES_AT_ONCE - 1))
