"""Test rig: gateways on loopback with stand-ins for the platform's store and the replicas."""

import contextlib
import itertools
import json
import socket
from contextlib import asynccontextmanager
from enum import Enum

import anyio
import httpx

from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import FailureDomain, Incarnation, NodeId
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.interfaces import Platform
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.role import GatewayRole
from skylarkferry_gateway.settings import GatewaySettings
from skylarkferry_platform.codec import PlatformHeaders
from skylarkferry_platform.directory import PlatformDirectory
from skylarkferry_platform.store import PlatformStore
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import Behaviour, Replica
from skylarkferry_standins.row_store import RowStore
from skylarkferry_standins.wire_server import WireServer

HOST = "shop.example"
TIMEOUT_S = 20.0
GRACE_S = 5.0
TOKENS_PER_EVENT = 10
MAX_OUTPUT_TOKENS = 100

ROUTES = {
    "/get/": {"kind": "idempotent", "service": "tools", "maxAttempts": 2},
    "/order/": {"kind": "non_idempotent", "service": "tools", "maxAttempts": 2},
    "/once/": {"kind": "non_idempotent", "service": "tools", "maxAttempts": 1},
    "/turn/": {"kind": "streaming", "service": "engine", "retentionS": 60.0, "maxAttempts": 2},
    "/resume/": {
        "kind": "streaming",
        "service": "engine",
        "retentionS": 60.0,
        "maxAttempts": 2,
        "resumable": True,
    },
    "/resume-once/": {
        "kind": "streaming",
        "service": "engine",
        "retentionS": 60.0,
        "maxAttempts": 1,
        "resumable": True,
    },
    "/kept/": {
        "kind": "streaming",
        "service": "engine",
        "retentionS": 60.0,
        "maxAttempts": 2,
        "retainContext": True,
    },
}
ENGINE = {"slots": 4, "kvCapacity": 100_000, "tokensPerEvent": TOKENS_PER_EVENT}


def config(version=1, routes=None, limits=None, **more):
    """Return a configuration document in the operator's format."""
    common = {"host": HOST, "timeoutMs": 2_000, "targetLatencyMs": 200, "priority": 1}
    chosen = ROUTES if routes is None else routes
    return {
        "version": version,
        "routes": [
            {"name": prefix, "prefix": prefix, **common, **route}
            for prefix, route in chosen.items()
        ],
        "services": [{"name": "tools"}, {"name": "engine", "engine": ENGINE}],
        "limits": limits or {"maxHeaderBytes": 8_192, "maxBodyBytes": 200_000},
        **more,
    }


def large_config(count, version):
    """Return a configuration with ``count`` more routes and a newest one, ``/newest/``."""
    plain = {"kind": "idempotent", "service": "tools"}
    more = {f"/more-{number:05d}/": plain for number in range(count)}
    return config(version, {**ROUTES, **more, "/newest/": plain})


def entry(replica, service, address, state="ready", **fields):
    """Return a replica's row in the registry."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": state,
        "coldLeftMs": 0,
        "sequence": 1,
        "born": 1,
        **fields,
    }


async def wait_until(condition):
    """Wait until a condition holds."""
    with anyio.fail_after(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


CRASH_MARKER = b"crash"
"""A request with these bytes in its target or body ends each crashing replica that runs it."""


class AfterCrash(Enum):
    """What a replica's address does after the replica's process ended."""

    REFUSES = "refuses"
    SILENT = "silent"
    RESTARTED = "restarted"
    """A new process accepts connections at once, under the same id with a later start time."""


class Rig:
    """A store, replicas by name and gateways."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.store = RowStore()
        self.store_address = free_address()
        self.replicas = {}
        self.addresses = {}
        self.servers = {}
        self.gateways = []
        self.errors = []
        self.expects_task_failures = False
        self.births = itertools.count(2)
        self.stack = contextlib.ExitStack()

    async def start(self):
        await self.listen(self.store_address, WireServer(self.store.handle))
        self.configure(config())

    def configure(self, document):
        self.store.put("op", "", "config", json.dumps(document).encode())

    async def listen(self, address, server):
        host, _, port = address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        self.tasks.start_soon(self._accept, listener, server)
        return listener

    async def _accept(self, listener, server):
        try:
            await listener.serve(server.serve, task_group=self.tasks)
        except* anyio.ClosedResourceError:
            pass

    async def add_replica(self, name, service="tools", **fields):
        replica = self.replicas[name] = Replica(name)
        address = self.addresses[name] = free_address()
        server = self.servers[name] = WireServer(replica.handle)
        replica.listener = await self.listen(address, server)
        self.register_replica(name, service, **fields)
        return replica

    def register_replica(self, name, service="tools", **fields):
        if name in self.replicas:
            self.replicas[name].born_ms = fields.get("born", 1)
        row = entry(name, service, self.addresses[name], **fields)
        self.store.put("servers", "", name, json.dumps(row).encode())

    async def add_crashing_replica(self, name, service, ending, after=AfterCrash.REFUSES):
        """Add a replica that runs a crashing request, ends its response so, and crashes."""
        replica = await self.add_replica(name, service)

        def behaviour(request):
            if CRASH_MARKER not in request.target.encode() + request.body:
                return Behaviour.SERVE
            self.tasks.start_soon(self._crash, name, service, after)
            return ending

        replica.work_s = 0.05  # the address changes before the connection ends
        replica.behaviour = behaviour
        return replica

    async def _crash(self, name, service, after):
        if after is AfterCrash.RESTARTED:
            self.register_replica(name, service, born=next(self.births))
            return
        await self.replicas[name].listener.aclose()
        if after is AfterCrash.SILENT:
            self.silence(self.addresses[name])

    def silence(self, address):
        """Make new connections to an address hang, as if its host had lost power."""
        host, _, port = address.rpartition(":")
        listener = self.stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        for _ in range(3):  # fill the queue of new connections
            client = self.stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex((host, int(port)))

    def arrivals(self):
        """Return the number of requests that reached replicas."""
        return sum(len(replica.received_ids) for replica in self.replicas.values())

    async def add_store_listener(self, fault):
        """Return another address of the store, with its own faults."""
        address = free_address()

        async def handle(request):
            return await self.store.handle_with_fault(request, fault(request))

        await self.listen(address, WireServer(handle))
        return address

    async def add_gateway(
        self, name="gateway-1", store_address=None, prepare=lambda gateway: None, **settings
    ):
        """Start a gateway and wait until it knows its surroundings; ``prepare`` may change it."""
        settings = self.settings(name, **settings)
        log = EventLog(settings.node, 1_000)
        metrics = GatewayMetrics()
        store = PlatformStore(store_address or self.store_address, log, metrics)
        platform = Platform(store, lambda path: PlatformDirectory(path, log), PlatformHeaders())
        gateway = GatewayRole(settings, platform, log, metrics)
        gateway.stop = anyio.Event()
        gateway.scope = anyio.CancelScope()
        gateway.ended = anyio.Event()
        self.gateways.append(gateway)
        prepare(gateway)
        self.tasks.start_soon(self._run, gateway)
        listed = {name for name in self.replicas if self.store.value("servers", "", name)}
        await wait_until(
            lambda: gateway.is_listening
            and gateway.config.current is not None
            and gateway.owners.read_at is not None
            and set(gateway.upstreams.upstreams) >= listed
        )
        return gateway

    def settings(self, name, **more):
        """Return the settings of one more gateway."""
        return GatewaySettings(
            node=NodeId(name),
            incarnation=Incarnation(f"{name}.{len(self.gateways)}"),
            failure_domain=FailureDomain("a"),
            client_listen=free_address(),
            ready_listen=free_address(),
            metrics_listen=free_address(),
            peer_listen=free_address(),
            memory_bytes=200 << 20,
            grace_s=GRACE_S,
            **more,
        )

    async def _run(self, gateway):
        try:
            with gateway.scope:
                await gateway.run(gateway.stop)
        except Exception as error:
            self.errors.append(error)  # raised here, it would cancel the runner of all tests
        finally:
            gateway.ended.set()

    async def stop_gateways(self):
        """End all gateways, so that none connects to a stand-in whose listener is cancelled.

        The event loop raises for a connection that arrives in the step of the cancellation.
        """
        for gateway in self.gateways:
            gateway.scope.cancel()
        for gateway in self.gateways:
            await gateway.ended.wait()

    def add_task_failures(self):
        """Count failed background tasks as errors of their gateways."""
        for gateway in self.gateways:
            for event in gateway.log.ring:
                if event.number == EventKind.TASK_FAILED.number and "task" in event.fields:
                    self.errors.append(AssertionError(f"{event.node}: {event.fields}"))

    def url(self, path, gateway=None):
        chosen = gateway or self.gateways[0]
        return f"http://{chosen.settings.client_listen}{path}"


@asynccontextmanager
async def rig():
    """Run the stand-ins and stop them and all gateways when the context exits.

    An error that ended a gateway or one of its background tasks is raised after that.
    """
    async with anyio.create_task_group() as tasks:
        running = Rig(tasks)
        with running.stack:
            await running.start()
            yield running
            await running.stop_gateways()
            tasks.cancel_scope.cancel()
    if not running.expects_task_failures:
        running.add_task_failures()
    if running.errors:
        raise ExceptionGroup("gateways ended with errors", running.errors)


def headers(request_id, deadline_ms=2_000, **more):
    """Return the headers of a client request."""
    fields = {f"Skylarkferry-{name.replace('_', '-')}": str(value) for name, value in more.items()}
    return {
        "Host": HOST,
        "Skylarkferry-Request-Id": request_id,
        "Skylarkferry-Deadline-Ms": str(deadline_ms),
        **fields,
    }


def turn_headers(
    request_id, program="program", budget=10_000, max_output_tokens=MAX_OUTPUT_TOKENS, **more
):
    """Return the headers of a turn's request."""
    return headers(
        request_id,
        Program_Id=program,
        Session_Id="session",
        Token_Budget=budget,
        Token_Usage=f"50,{max_output_tokens}",
        **more,
    )


def forget_connections(gateway):
    """Let idle connections expire, so that the next choice does not depend on them."""
    for upstream in gateway.upstreams.upstreams.values():
        for connection in upstream.idle:
            connection.idle_s = -1.0


@asynccontextmanager
async def disconnecting_client(rig, path, fields, body=b""):
    """Send a request whose client disconnects when the context exits."""
    async with anyio.create_task_group() as tasks:

        async def send_request():
            await send(rig, path, fields, body)

        tasks.start_soon(send_request)
        yield
        tasks.cancel_scope.cancel()


async def send(rig, path, fields, body=b"", *, method="POST", gateway=None):
    """Send one request on a new connection and return the complete response."""
    async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
        url = rig.url(path, gateway)
        return await client.request(method, url, headers=fields, content=body)
