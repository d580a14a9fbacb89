"""The system under test: gateway processes, stand-ins for store and upstreams, and links."""

import json
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import anyio
from anyio.abc import Listener, SocketStream, TaskGroup

from skylarkferry_soak.callers import HOST, GatewayEndpoint
from skylarkferry_soak.checks import CRASH_MARKER, TOKENS_PER_EVENT
from skylarkferry_soak.observations import Observations, UpstreamRun
from skylarkferry_soak.proxy import Link
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import Replica
from skylarkferry_standins.row_store import RowStore, StoreFault
from skylarkferry_standins.wire_server import WireReply, WireRequest, WireServer

GRACE_S = 5
"""Grace period of the processes: shorter than the platform's 8 s to fit more stops into a run."""
_LAST_CONNECTIONS_S = 0.2
"""Time in which connections of processes that were killed still arrive."""
_ENGINES = 4
_TOOLS = 3
ENGINE_VERSIONS = ("v1", "v2")
_REQUEST_WORK_S = 0.02
"""Time an upstream works on a request; the time of a turn on the users' data sheets."""
_EXIT_TIMEOUT_S = 10.0
"""Maximum time to wait for a killed process to exit."""
_BOOT_VARIABLE = "SKYLARKFERRY_BOOT"
_ROUTE_OPTIONS: dict[str, dict[str, object]] = {
    "/order/": {"kind": "non_idempotent", "service": "tools"},
    "/get/": {"kind": "idempotent", "service": "tools"},
    "/turn/": {"kind": "streaming", "service": "engine", "retentionS": 60.0},
    "/resume/": {"kind": "streaming", "service": "engine", "retentionS": 60.0, "resumable": True},
    "/resume-once/": {
        "kind": "streaming",
        "service": "engine",
        "retentionS": 60.0,
        "resumable": True,
        "maxAttempts": 1,
    },
    "/kept/": {
        "kind": "streaming",
        "service": "engine",
        "retentionS": 60.0,
        "retainContext": True,
    },
}


class Upstream:
    """A stand-in replica with its listener and the link in front of it."""

    def __init__(self, name: str, service: str, version: str, observations: Observations) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.observations = observations
        self.replica = Replica(name)
        self.replica.work_s = _REQUEST_WORK_S
        self.target = free_address()
        self.link = Link(f"upstream {name}", free_address(), self.target)
        self.state = "ready"
        self.crash: Callable[[Upstream], Awaitable[WireReply]] | None = None

    async def handle(self, request: WireRequest) -> WireReply:
        """Handle a request and record whether it ran."""
        before = len(self.replica.runs)
        reply = await self.replica.handle(request)
        new_runs = self.replica.runs[before:]
        now = anyio.current_time()
        for run in new_runs:
            is_resumption = "last-event-id" in run.headers
            self.observations.runs.append(
                UpstreamRun(
                    run.request_id,
                    self.name,
                    run.body,
                    now,
                    self.version,
                    is_resumption,
                    self.replica.born_ms,
                )
            )
        if new_runs and self.crash is not None and CRASH_MARKER in request.body:
            return await self.crash(self)
        return reply

    async def listen(self, tasks: TaskGroup) -> None:
        """Listen for connections."""
        host, _, port = self.target.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), reuse_port=True
        )
        tasks.start_soon(_accept, listener, WireServer(self.handle), tasks)


async def _accept(listener: Listener[SocketStream], server: WireServer, tasks: TaskGroup) -> None:
    try:
        await listener.serve(server.serve, task_group=tasks)
    except* anyio.ClosedResourceError:
        pass  # the listener was closed


class GatewayProcess:
    """A gateway process with its own loopback address."""

    def __init__(self, number: int, directory: Path) -> None:
        self.name = f"gateway-{number}"
        self.ip = f"127.{os.getpid() % 250 + 2}.{time.monotonic_ns() // 1_000 % 250}.{number + 2}"
        self.endpoint = GatewayEndpoint(self.name, f"{self.ip}:8149", f"{self.ip}:8141")
        self.client_link = Link(f"clients of {self.name}", free_address(), self.endpoint.address)
        self.endpoint.address = self.client_link.address
        self.store_link = Link(f"store of {self.name}", free_address(), "")
        self.settings_path = directory / f"{self.name}.toml"
        self.log_path = directory / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.is_restarting = False
        self.restarted = anyio.Event()

    def write_settings(self) -> None:
        """Write the boot file as the platform does."""
        text = f"""
            nodeName = "{self.name}"
            ip = "{self.ip}"
            zone = "a"
            portRange = [7380, 7395]
            [listen]
            front = "{self.ip}:8149"
            ready = "{self.ip}:8141"
            [limits]
            memoryMb = 170
            [bounds]
            graceS = {GRACE_S}
            [platform]
            address = "{self.store_link.address}"
        """
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, _BOOT_VARIABLE: str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "skylarkferry_platform"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only, if it is still running."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def wait_until_exited(self) -> None:
        """Wait until the process has exited."""
        while self.process is not None and self.process.poll() is None:  # noqa: ASYNC110
            await anyio.sleep(0.02)


class Testbed:
    """All processes, stand-ins and links of a run."""

    def __init__(self, tasks: TaskGroup, directory: Path, observations: Observations) -> None:
        self.tasks = tasks
        self.directory = directory
        self.observations = observations
        self.store = RowStore()
        self.store_address = free_address()
        self.store_delay_s = 0.0
        self.upstreams: dict[str, Upstream] = {}
        self.crash: Callable[[Upstream], Awaitable[WireReply]] | None = None
        self.gateways: list[GatewayProcess] = []
        self.version = 1
        self.added_versions: list[int] = []

    async def start(self, gateways: int) -> None:
        """Start the stand-ins, links and gateway processes."""
        server = WireServer(self._handle_store_request)
        host, _, port = self.store_address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        self.tasks.start_soon(listener.serve, server.serve)
        self.write_configuration()
        for number in range(_ENGINES):
            await self.add_upstream(f"engine-{number}", "engine")
        for number in range(_TOOLS):
            await self.add_upstream(f"tool-{number}", "tools")
        for number in range(gateways):
            await self._add_gateway(number)

    async def _add_gateway(self, number: int) -> None:
        gateway = GatewayProcess(number, self.directory)
        gateway.store_link.target = self.store_address
        await gateway.store_link.run(self.tasks)
        await gateway.client_link.run(self.tasks)
        gateway.write_settings()
        self.gateways.append(gateway)
        self.start_gateway(gateway)

    def start_gateway(self, gateway: GatewayProcess) -> None:
        """Start a gateway process and record the time."""
        gateway.start()
        self.observations.process_starts.setdefault(gateway.name, []).append(anyio.current_time())

    async def _handle_store_request(self, request: WireRequest) -> WireReply:
        if self.store_delay_s:
            await anyio.sleep(self.store_delay_s)
        return await self.store.handle(request)

    def write_configuration(self) -> None:
        """Store the configuration document as an operator does."""
        kinds: dict[str, dict[str, object]] = {
            **_ROUTE_OPTIONS,
            **{
                f"/added-{n}/": {"kind": "idempotent", "service": "tools"}
                for n in self.added_versions
            },
        }
        common = {"host": HOST, "timeoutMs": 3_000, "targetLatencyMs": 200, "maxAttempts": 2}
        routes = [{"name": key, "prefix": key, **common, **kind} for key, kind in kinds.items()]
        engine = {"slots": 8, "kvCapacity": 100_000, "tokensPerEvent": TOKENS_PER_EVENT}
        services = [{"name": "tools"}, {"name": "engine", "engine": engine}]
        document = {"version": self.version, "routes": routes, "services": services}
        self.store.put("op", "", "config", json.dumps(document).encode())

    async def add_upstream(
        self, name: str, service: str, link: Link | None = None, version: str | None = None
    ) -> Upstream:
        """Start an upstream behind a new link, or behind an existing ``link``, and register it."""
        if version is None:
            version = ENGINE_VERSIONS[len(self.upstreams) % 2] if service == "engine" else "v1"
        upstream = self.upstreams[name] = Upstream(name, service, version, self.observations)
        upstream.crash = self.crash
        await upstream.listen(self.tasks)
        if link is None:
            await upstream.link.run(self.tasks)
        else:
            link.target = upstream.target
            upstream.link = link
        self.register_upstream(upstream)
        return upstream

    def crash_with(self, crash: Callable[[Upstream], Awaitable[WireReply]]) -> None:
        """Set how an upstream crashes when it runs a crashing request."""
        self.crash = crash
        for upstream in self.upstreams.values():
            upstream.crash = crash

    def register_upstream(self, upstream: Upstream) -> None:
        """Write the registry entry of an upstream, as a real upstream does itself."""
        entry = {
            "service": upstream.service,
            "address": upstream.link.address,
            "zone": "a",
            "version": upstream.version,
            "slots": 8,
            "state": upstream.state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": upstream.replica.born_ms,
        }
        self.store.put("servers", "", upstream.name, json.dumps(entry).encode())

    def unregister_upstream(self, upstream: Upstream) -> None:
        """Remove the registry entry of an upstream."""
        self.store.delete("servers", "", upstream.name)

    def links(self) -> list[Link]:
        """Return the links of all gateways and upstreams."""
        own = [
            link for gateway in self.gateways for link in (gateway.store_link, gateway.client_link)
        ]
        return [*own, *(upstream.link for upstream in self.upstreams.values())]

    def set_store_fault(self, fault: StoreFault, rng: random.Random, share: float = 1.0) -> None:
        """Make a random share of the store calls fail with ``fault``."""
        self.store.fault = lambda request: fault if rng.random() < share else StoreFault.NONE

    def clear_store_fault(self) -> None:
        """Stop the failures of store calls and perform the delayed calls."""
        self.store.fault = lambda request: StoreFault.NONE
        self.store.perform_late()


@asynccontextmanager
async def running_testbed(
    directory: Path, observations: Observations, gateways: int
) -> AsyncIterator[Testbed]:
    """Run a testbed; at the end, kill its processes by their ids and cancel its tasks."""
    async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
        testbed = Testbed(tasks, directory, observations)
        stack.callback(tasks.cancel_scope.cancel)
        stack.callback(_kill_all, testbed)
        await testbed.start(gateways)
        yield testbed
        _kill_all(testbed)
        # The event loop raises for a connection that arrives in the step in which a listener ends.
        await anyio.sleep(_LAST_CONNECTIONS_S)
        tasks.cancel_scope.cancel()


def _kill_all(testbed: Testbed) -> None:
    for gateway in testbed.gateways:
        gateway.signal(signal.SIGKILL)
        if gateway.process is not None:
            gateway.process.wait(_EXIT_TIMEOUT_S)
