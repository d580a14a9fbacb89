"""Fakes and builders for the tests of sidecars and links."""

import asyncio
from contextlib import asynccontextmanager, suppress

import anyio
import hypercorn.asyncio
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.responses import JSONResponse, PlainTextResponse, StreamingResponse
from starlette.routing import Route

from skylarkferry_core.document import Document, PoolSpec
from skylarkferry_core.errors import WriteConflictError
from skylarkferry_core.ids import (
    CallId,
    CustomerId,
    Epoch,
    FailureDomain,
    Fingerprint,
    Incarnation,
    ModelName,
    NodeId,
    PartitionNumber,
    PoolName,
    ProgramId,
    ToolName,
    UpstreamId,
)
from skylarkferry_core.interfaces import Host, Row
from skylarkferry_core.messages import ChatMessage, Fence, ModelWork, Order, ToolWork
from skylarkferry_core.states import ChatRole, PoolKind, Priority, UpstreamState
from skylarkferry_daemon.links import SidecarLinks
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.quarantine import Quarantine
from skylarkferry_daemon.settings import SidecarSettings
from skylarkferry_daemon.sidecar import run_sidecar
from skylarkferry_daemon.timers import TimerService
from skylarkferry_standins.ports import free_address

POOL = PoolName("pool")
UPSTREAM = UpstreamId("up-1")
DOMAIN = FailureDomain("arusha-a")
PROGRAM = ProgramId("0001-aa")


def fence(epoch=1, partition=1):
    return Fence(PartitionNumber(partition), Epoch(epoch))


def tool_order(call="c", *, repeatable=False, epoch=1, **fields):
    values = {
        "call_id": CallId(f"{PROGRAM}/{call}"),
        "program_id": PROGRAM,
        "customer": CustomerId("gearworks"),
        "fence": fence(epoch),
        "priority": Priority.NORMAL,
        "repeatable": repeatable,
        "remaining_s": 60.0,
        "slack_s": 30.0,
        "timeout_s": 30.0,
        "fingerprint": Fingerprint(f"f-{call}"),
        "work": ToolWork(ToolName("order"), "/tools/order", "{}"),
    }
    return Order(**(values | fields))


def model_order(call="m", text="size a gear", **fields):
    work = ModelWork(ModelName("model"), (ChatMessage(ChatRole.USER, text),), (), 64)
    return tool_order(call, **({"repeatable": True, "work": work} | fields))


class FakeUpstream:
    """An engine and tool service in one; responses wait until ``gate`` is set.

    Cache releases are answered once ``release_gate`` is set.
    """

    def __init__(self):
        self.address = free_address()
        self.gate = anyio.Event()
        self.gate.set()
        self.release_gate = anyio.Event()
        self.release_gate.set()
        self.started = anyio.Event()
        self.calls = []
        self.headers = []
        self.released = []
        self.cached = {}
        self.status = 200
        self.words = ["Module", " two", " fits"]

    @property
    def url(self):
        return f"http://{self.address}"

    def hold(self):
        self.gate = anyio.Event()
        self.started = anyio.Event()

    async def tool(self, request):
        self.calls.append(request.headers["idempotency-key"])
        self.headers.append(dict(request.headers))
        self.started.set()
        await self.gate.wait()
        return JSONResponse({"ordered": len(self.calls)}, self.status)

    async def complete(self, request):
        self.calls.append(request.headers["x-request-id"])
        self.headers.append(dict(request.headers))
        self.started.set()

        async def events():
            for index, word in enumerate(self.words):
                yield f'data: {{"choices":[{{"delta":{{"content":"{word}"}}}}]}}\n\n'
                if index == 0:
                    await self.gate.wait()
            yield 'data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}\n\n'
            yield "data: [DONE]\n\n"

        return StreamingResponse(events(), self.status, media_type="text/event-stream")

    async def release(self, request):
        body = await request.json()
        self.released.append(body["prompt_cache_key"])
        await self.release_gate.wait()
        return JSONResponse({})

    async def listing(self, _):
        return JSONResponse({"programs": self.cached})

    def app(self):
        routes = [
            Route("/v1/chat/completions", self.complete, methods=["POST"]),
            Route("/v1/kv/release", self.release, methods=["POST"]),
            Route("/v1/kv", self.listing),
            Route("/tools/order", self.tool, methods=["POST"]),
            Route("/", lambda _: PlainTextResponse("")),
        ]
        return Starlette(routes=routes)

    @asynccontextmanager
    async def served(self):
        config = Config()
        config.bind = [self.address]
        config.graceful_timeout = 0.1
        config.errorlog = None
        stopped = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def serve():
                with suppress(asyncio.InvalidStateError):
                    await hypercorn.asyncio.serve(self.app(), config, shutdown_trigger=stopped.wait)

            tasks.start_soon(serve)
            await wait_until_open(self.address)
            try:
                yield self
            finally:
                self.gate.set()
                self.release_gate.set()
                stopped.set()


async def wait_until_open(address):
    host, _, port = address.partition(":")
    while True:
        try:
            await (await anyio.connect_tcp(host, int(port))).aclose()
        except OSError:
            await anyio.sleep(0.01)
        else:
            return


async def wait_until(condition):
    while True:
        if condition():
            return
        await anyio.sleep(0.01)


class FakeTable:
    """An in-memory table with versions and conditional writes."""

    def __init__(self):
        self.rows = {}

    async def read(self, key):
        return self.rows.get(key, Row(key, b"", 0))

    async def scan(self, prefix):
        return [row for key, row in sorted(self.rows.items()) if key.startswith(prefix)]

    async def transact(self, conditions, writes):
        for condition in conditions:
            if (await self.read(condition.key)).version != condition.version:
                raise WriteConflictError(condition.key)
        for write in writes:
            version = self.rows.get(write.key, Row(write.key, b"", 0)).version + 1
            self.rows[write.key] = Row(write.key, write.value, version)
            if write.value is None:
                del self.rows[write.key]
        return 1


class FakeHosts:
    """A host list that tests can change."""

    def __init__(self, *hosts):
        self.list = list(hosts)

    async def hosts(self):
        return list(self.list)


class FakeDocuments:
    """A document with one pool."""

    def __init__(self, kind=PoolKind.TOOL):
        pool = PoolSpec(kind=kind, models=(ModelName("model"),))
        self.current = Document(version=3, pools={POOL: pool})


class RecordingSink:
    """Collects a call's output and checks that it has no gap."""

    def __init__(self):
        self.text = ""

    def on_chunk(self, chunk):
        assert chunk.offset == len(self.text)
        self.text += chunk.text


class RunningSidecar:
    """A sidecar that runs in the test's process."""

    def __init__(self, upstream, kind=PoolKind.TOOL, **settings):
        self.settings = SidecarSettings(
            **(
                {
                    "upstream": UPSTREAM,
                    "pool": POOL,
                    "kind": kind,
                    "failure_domain": DOMAIN,
                    "rpc_listen": free_address(),
                    "metrics_listen": free_address(),
                    "upstream_url": upstream.url,
                    "heartbeat_s": 0.1,
                }
                | settings
            )
        )
        self.stop = anyio.Event()
        self.stopped = anyio.Event()

    @property
    def host(self):
        return Host(UPSTREAM, "sidecar", self.settings.rpc_listen, DOMAIN, POOL)

    async def run(self):
        await run_sidecar(self.settings, self.stop)
        self.stopped.set()


@asynccontextmanager
async def open_links(hosts, documents, table=None, node="entry-1"):
    timers = TimerService()
    log = EventLog(node, 1_000)
    links = SidecarLinks(
        node=NodeId(node),
        incarnation=Incarnation(f"{node}-incarnation"),
        host_list=hosts,
        documents=documents,
        quarantine=Quarantine(table or FakeTable(), log),
        timers=timers,
        log=log,
        hosts_poll_s=0.05,
        heartbeat_s=0.1,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run, tasks)
        tasks.start_soon(links.run)
        yield links
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def open_sidecar(kind=PoolKind.TOOL, **settings):
    """Yield a fake upstream, its sidecar and an entry's links that are connected to it."""
    upstream = FakeUpstream()
    sidecar = RunningSidecar(upstream, kind, **settings)
    hosts = FakeHosts(sidecar.host)
    async with anyio.create_task_group() as tasks, upstream.served():
        tasks.start_soon(sidecar.run)
        async with open_links(hosts, FakeDocuments(kind)) as links:
            await wait_until(lambda: upstream_state(links) is UpstreamState.LIVE)
            yield upstream, sidecar, links
        sidecar.stop.set()
        upstream.gate.set()
        await sidecar.stopped.wait()
        tasks.cancel_scope.cancel()


def upstream_state(links):
    views = links.hosts()
    return views[0].state if views else None


class SilentProxy:
    """Forwards TCP connections; ``silence`` stops forwarding on the connections open then."""

    def __init__(self, target):
        self.target = target
        self.address = free_address()
        self.accepted = 0
        self.silenced = 0

    def silence(self):
        self.silenced = self.accepted

    async def run(self):
        host, _, port = self.address.partition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        await listener.serve(self.forward)

    async def forward(self, client):
        self.accepted += 1
        number = self.accepted
        host, _, port = self.target.partition(":")
        with suppress(OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            server = await anyio.connect_tcp(host, int(port))
            async with server, client, anyio.create_task_group() as tasks:
                tasks.start_soon(self.copy, client, server, number)
                tasks.start_soon(self.copy, server, client, number)

    async def copy(self, source, sink, number):
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            while True:
                data = await source.receive()
                if number <= self.silenced:
                    await anyio.sleep_forever()
                await sink.send(data)
