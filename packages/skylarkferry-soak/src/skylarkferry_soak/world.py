"""The system under test: gateways as processes, stand-ins of store and upstreams, links between."""

import json
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path as FilePath

import anyio
from anyio.abc import Listener, SocketStream, TaskGroup

from skylarkferry_soak.callers import HOST, Entrance
from skylarkferry_soak.checks import TOKENS_PER_EVENT
from skylarkferry_soak.observations import Observations, RunSeen
from skylarkferry_soak.proxy import Link
from skylarkferry_standins.child_processes import free_address
from skylarkferry_standins.replica import Replica
from skylarkferry_standins.row_store import RowStore, StoreFault
from skylarkferry_standins.wire_server import WireReply, WireRequest, WireServer

GRACE_S = 5
"""Grace period of the processes: shorter than the platform's 8 s, so that more stops fit."""
_ENGINES = 4
_TOOLS = 3
_WORK_S = 0.02
"""Time of one request at an upstream: the work of a turn on the users' sheets."""
_END_S = 10.0
"""Longest wait for a killed process to be gone."""
_BOOT_VARIABLE = "SKYLARKFERRY_BOOT"
_KINDS: dict[str, dict[str, object]] = {
    "/order/": {"kind": "non_idempotent", "service": "tools"},
    "/get/": {"kind": "idempotent", "service": "tools"},
    "/turn/": {"kind": "streaming", "service": "engine", "retentionS": 60.0},
    "/resume/": {"kind": "streaming", "service": "engine", "retentionS": 60.0, "resumable": True},
    "/kept/": {
        "kind": "streaming",
        "service": "engine",
        "retentionS": 60.0,
        "retainContext": True,
    },
}


class Upstream:
    """A stand-in replica with its listener and the link before it."""

    def __init__(self, name: str, service: str, seen: Observations) -> None:
        self.name = name
        self.service = service
        self.seen = seen
        self.replica = Replica(name)
        self.replica.work_s = _WORK_S
        self.target = free_address()
        self.link = Link(f"upstream {name}", free_address(), self.target)
        self.state = "ready"

    async def handle(self, request: WireRequest) -> WireReply:
        """Answer a request and note whether it ran."""
        before = len(self.replica.runs)
        reply = await self.replica.handle(request)
        now = anyio.current_time()
        for run in self.replica.runs[before:]:
            self.seen.runs.append(RunSeen(run.request_id, self.name, run.body, now))
        return reply

    async def listen(self, tasks: TaskGroup) -> None:
        """Take connections."""
        host, _, port = self.target.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), reuse_port=True
        )
        tasks.start_soon(_accept, listener, WireServer(self.handle), tasks)


async def _accept(listener: Listener[SocketStream], server: WireServer, tasks: TaskGroup) -> None:
    try:
        await listener.serve(server.serve, task_group=tasks)
    except* anyio.ClosedResourceError:
        pass  # the upstream was taken away


class GatewayProcess:
    """One gateway as a process of its own, on a loopback address of its own."""

    def __init__(self, number: int, directory: FilePath) -> None:
        self.name = f"gateway-{number}"
        self.ip = f"127.{os.getpid() % 250 + 2}.{time.monotonic_ns() // 1_000 % 250}.{number + 2}"
        self.entrance = Entrance(self.name, f"{self.ip}:8149", f"{self.ip}:8141")
        self.clients = Link(f"clients of {self.name}", free_address(), self.entrance.address)
        self.entrance.address = self.clients.address
        self.store = Link(f"store of {self.name}", free_address(), "")
        self.settings_path = directory / f"{self.name}.toml"
        self.log_path = directory / f"{self.name}.log"
        self.child: subprocess.Popen[bytes] | None = None
        self.is_restarting = False
        self.restarted = anyio.Event()

    def write_settings(self) -> None:
        """Write the settings file as the platform does."""
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
            address = "{self.store.address}"
        """
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, _BOOT_VARIABLE: str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "skylarkferry_platform"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone, if it still runs."""
        if self.child is not None and self.child.poll() is None:
            os.kill(self.child.pid, number)

    async def ended(self) -> None:
        """Wait for the end of the process."""
        while self.child is not None and self.child.poll() is None:  # noqa: ASYNC110
            await anyio.sleep(0.02)


class World:
    """Everything that runs, by name."""

    def __init__(self, tasks: TaskGroup, directory: FilePath, seen: Observations) -> None:
        self.tasks = tasks
        self.directory = directory
        self.seen = seen
        self.store = RowStore()
        self.store_address = free_address()
        self.store_slow_s = 0.0
        self.upstreams: dict[str, Upstream] = {}
        self.gateways: list[GatewayProcess] = []
        self.version = 1
        self.added: list[int] = []

    async def start(self, gateways: int) -> None:
        """Start stand-ins, links and processes, and wait until all gateways are ready."""
        server = WireServer(self._answer_store)
        host, _, port = self.store_address.rpartition(":")
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
        self.tasks.start_soon(listener.serve, server.serve)
        self.configure()
        for number in range(_ENGINES):
            await self.add_upstream(f"engine-{number}", "engine")
        for number in range(_TOOLS):
            await self.add_upstream(f"tool-{number}", "tools")
        for number in range(gateways):
            await self._add_gateway(number)

    async def _add_gateway(self, number: int) -> None:
        gateway = GatewayProcess(number, self.directory)
        gateway.store.target = self.store_address
        await gateway.store.run(self.tasks)
        await gateway.clients.run(self.tasks)
        gateway.write_settings()
        self.gateways.append(gateway)
        self.boot(gateway)

    def boot(self, gateway: GatewayProcess) -> None:
        """Start a gateway's process and note when."""
        gateway.start()
        self.seen.boots.setdefault(gateway.name, []).append(anyio.current_time())

    async def _answer_store(self, request: WireRequest) -> WireReply:
        if self.store_slow_s:
            await anyio.sleep(self.store_slow_s)
        return await self.store.handle(request)

    def configure(self) -> None:
        """Write the configuration as the operator does."""
        kinds: dict[str, dict[str, object]] = {
            **_KINDS,
            **{f"/added-{n}/": {"kind": "idempotent", "service": "tools"} for n in self.added},
        }
        common = {"host": HOST, "timeoutMs": 3_000, "targetLatencyMs": 200, "maxAttempts": 2}
        routes = [{"name": key, "prefix": key, **common, **kind} for key, kind in kinds.items()]
        engine = {"slots": 8, "kvCapacity": 100_000, "tokensPerEvent": TOKENS_PER_EVENT}
        services = [{"name": "tools"}, {"name": "engine", "engine": engine}]
        document = {"version": self.version, "routes": routes, "services": services}
        self.store.put("op", "", "config", json.dumps(document).encode())

    async def add_upstream(self, name: str, service: str, link: Link | None = None) -> Upstream:
        """Start an upstream, behind a link of its own or one that another had, and list it."""
        upstream = self.upstreams[name] = Upstream(name, service, self.seen)
        await upstream.listen(self.tasks)
        if link is None:
            await upstream.link.run(self.tasks)
        else:
            link.target = upstream.target
            upstream.link = link
        self.list_upstream(upstream)
        return upstream

    def list_upstream(self, upstream: Upstream) -> None:
        """Write an upstream's entry as it does itself."""
        entry = {
            "service": upstream.service,
            "address": upstream.link.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": upstream.state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": 1,
        }
        self.store.put("servers", "", upstream.name, json.dumps(entry).encode())

    def unlist(self, upstream: Upstream) -> None:
        """Remove an upstream's entry."""
        self.store.delete("servers", "", upstream.name)

    def links(self) -> list[Link]:
        """Return all links."""
        own = [link for gateway in self.gateways for link in (gateway.store, gateway.clients)]
        return [*own, *(upstream.link for upstream in self.upstreams.values())]

    def store_fails(self, fault: StoreFault, seed: random.Random, share: float = 1.0) -> None:
        """Let a share of the store's calls fail."""
        self.store.fault = lambda request: fault if seed.random() < share else StoreFault.NONE

    def store_recovers(self) -> None:
        """End what goes wrong with the store's calls, and perform those that were held back."""
        self.store.fault = lambda request: StoreFault.NONE
        self.store.perform_late()


@asynccontextmanager
async def running(directory: FilePath, seen: Observations, gateways: int) -> AsyncIterator[World]:
    """Run a world; its processes are ended by their ids and its tasks cancelled."""
    async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
        world = World(tasks, directory, seen)
        stack.callback(tasks.cancel_scope.cancel)
        stack.callback(_kill_all, world)
        await world.start(gateways)
        yield world
        _kill_all(world)
        tasks.cancel_scope.cancel()


def _kill_all(world: World) -> None:
    for gateway in world.gateways:
        gateway.signal(signal.SIGKILL)
        if gateway.child is not None:
            gateway.child.wait(_END_S)
