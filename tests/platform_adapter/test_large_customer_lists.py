"""Conversion of configurations with many customers and keys, while requests are served."""

import json

import anyio
import pytest
from anyio.lowlevel import checkpoint
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from skylarkferry_core.customers import key_digest
from skylarkferry_core.interfaces import Row
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.interfaces import Snapshot
from skylarkferry_platform.directory import PlatformDirectory

pytestmark = pytest.mark.anyio

KEYS = 40_000
MOST_KEYS_AT_ONCE = 1_000


class StoredCustomers:
    """A store that answers at once, with customers of equally many keys."""

    def __init__(self, customers):
        self.customers = customers

    async def snapshot(self, key):
        each = KEYS // self.customers
        tenants = [
            {"name": f"c{name}", "apiKeys": [f"{name}-{number}" for number in range(each)]}
            for name in range(self.customers)
        ]
        value = json.dumps({"version": 1, "tenants": tenants}).encode()
        return Snapshot(Row(key, value, 1), 1)


# Guards against requests that wait while the keys of many customers are digested: 40,000 keys of
# 100 customers took about 80 ms without a pause, as each customer's keys were counted alone.
@pytest.mark.parametrize("customers", [1, 80, 100, 400])
async def test_requests_go_on_while_many_keys_are_digested(anyio_backend, customers):
    directory = PlatformDirectory(StoredCustomers(customers), EventLog("node", 100))
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
    assert_that(table.customers.holder(key_digest(b"0-0")).name, Equals("c0"))
    assert_that(turns, GreaterThan(KEYS // MOST_KEYS_AT_ONCE - 1))
