"""In-memory fakes of the platform with fault injection, and an event loop on virtual time."""

import asyncio
import selectors
from collections.abc import Sequence

import anyio

from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_core.ids import FailureDomain, NodeId, SiteName
from skylarkferry_core.interfaces import Condition, Host, Row, Write
from skylarkferry_daemon.settings import (
    EntrySettings,
    LeaseSettings,
    LimitSettings,
    PlatformSettings,
)
from skylarkferry_daemon.timers import TimerService

MIN_WAIT_S = 1e-6


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that advances its time to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__(_VirtualTimeSelector(self))
        self.virtual_s = 1_000.0

    def time(self):
        return self.virtual_s


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self, loop):
        super().__init__()
        self.loop = loop

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no task is ready and no timer is set")
        self.loop.virtual_s += timeout
        return super().select(0)


def run_virtual(function, *arguments):
    """Run an asynchronous function on a loop with virtual time."""
    options = {"loop_factory": VirtualTimeLoop}
    return anyio.run(function, *arguments, backend_options=options)


class RateTimers(TimerService):
    """Timers on a clock that runs ``rate`` times as fast as the loop's clock."""

    def __init__(self, rate):
        super().__init__()
        self.rate = rate

    def now(self):
        return super().now() * self.rate

    async def _wait(self):
        self.changed = anyio.Event()
        delay_s = (self.heap[0][0] - self.now()) / self.rate if self.heap else 3600.0
        delay_s = max(delay_s, MIN_WAIT_S)
        with anyio.move_on_after(delay_s):
            await self.changed.wait()


class FakeTable:
    """Rows in memory; row versions are table-wide revisions and are never reused."""

    def __init__(self):
        self.rows = {}
        self.revision = 0
        self.down = False
        self.writes = 0
        self.reads = 0

    def snapshot(self):
        """Return a separate table with the current rows."""
        copy = FakeTable()
        copy.rows = dict(self.rows)
        return copy

    async def read(self, key):
        await self._respond()
        self.reads += 1
        return self.rows.get(key, Row(key, b"", 0))

    async def scan(self, prefix):
        await self._respond()
        self.reads += 1
        return [self.rows[key] for key in sorted(self.rows) if key.startswith(prefix)]

    async def _respond(self):
        await anyio.sleep(0.001)
        if self.down:
            raise PlatformUnavailableError("down")

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        await self._respond()
        return self.apply(conditions, writes)

    def apply(self, conditions, writes):
        """Execute a transaction at once."""
        for condition in conditions:
            row = self.rows.get(condition.key)
            if condition.version != (row.version if row else 0):
                raise WriteConflictError(condition.key)
        self.revision += 1
        self.writes += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, write.value, self.revision)
        return self.revision


class FaultyTable:
    """One node's connection to the table, which loses answers, delays writes and can be paused."""

    def __init__(self, table):
        self.table = table
        self.lose_answers = 0
        self.delay_writes = 0
        self.disconnected = False
        self.resumed = anyio.Event()
        self.resumed.set()

    def pause(self):
        self.resumed = anyio.Event()

    async def read(self, key):
        return await self._when_connected(lambda: self.table.read(key))

    async def scan(self, prefix):
        return await self._when_connected(lambda: self.table.scan(prefix))

    async def _when_connected(self, request):
        await self.resumed.wait()
        if self.disconnected:
            raise PlatformUnavailableError("disconnected")
        answer = await request()
        await self.resumed.wait()
        return answer

    async def transact(self, conditions, writes):
        if self.delay_writes:
            return await self._transact_late(list(conditions), list(writes))
        version = await self._when_connected(lambda: self.table.transact(conditions, writes))
        if self.lose_answers:
            self.lose_answers -= 1
            raise PlatformUnavailableError("answer lost")
        return version

    async def _transact_late(self, conditions, writes):
        """Fail a transaction now and apply it to the table five seconds later."""
        self.delay_writes -= 1
        loop = asyncio.get_running_loop()
        loop.call_later(5.0, self._apply_late, conditions, writes)
        raise PlatformUnavailableError("no answer in time")

    def _apply_late(self, conditions, writes):
        try:
            self.table.apply(conditions, writes)
        except WriteConflictError:
            return


class FakeObjectStore:
    """Objects in memory."""

    def __init__(self):
        self.objects = {}

    async def put(self, key, body):
        self.objects[key] = body

    async def get(self, key):
        return self.objects.get(key)

    async def delete(self, key):
        self.objects.pop(key, None)


class FakeHostList:
    """A host list of entries, some of which are leaving."""

    def __init__(self, names):
        self.names = names
        self.leaving = set()

    async def hosts(self):
        domain = FailureDomain("a")
        return [
            Host(name, "entry", "127.0.0.1:1", domain, leaving=name in self.leaving)
            for name in self.names
        ]


def entry_settings(node, *, partitions=4, **limits):
    """Return settings of an entry that does not listen on any port."""
    return EntrySettings(
        node=NodeId(node),
        site=SiteName("arusha"),
        failure_domain=FailureDomain("arusha-a"),
        http_listen="127.0.0.1:1",
        rpc_listen=f"127.0.0.1:{1 + sum(node.encode())}",
        platform=PlatformSettings("http://t", "http://o", "http://h"),
        lease=LeaseSettings(partitions=partitions),
        limits=LimitSettings(**limits),
    )
