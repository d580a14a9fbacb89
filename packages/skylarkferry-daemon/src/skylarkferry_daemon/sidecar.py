"""The sidecar role: queue, call table, fencing, drain and KV retention for one upstream."""

from collections.abc import Callable
from contextlib import AsyncExitStack

import anyio
import httpx
from anyio.abc import TaskGroup

from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import SidecarHeartbeat, StateNotice
from skylarkferry_core.kv_holds import KvHolds
from skylarkferry_core.members import MISSED_HEARTBEATS
from skylarkferry_core.states import PoolKind
from skylarkferry_daemon.background_tasks import BackgroundTasks
from skylarkferry_daemon.call_runner import CallRunner
from skylarkferry_daemon.crash_detector import CrashDetector
from skylarkferry_daemon.engine_poller import EnginePoller
from skylarkferry_daemon.kv_retention import KvRetention
from skylarkferry_daemon.settings import SidecarSettings
from skylarkferry_daemon.sidecar_metrics import SidecarCollector, metrics_app, serve_metrics
from skylarkferry_daemon.sidecar_service import SidecarService
from skylarkferry_daemon.sidecar_state import SidecarState
from skylarkferry_daemon.upstream_adapters import adapter_for, new_client
from skylarkferry_daemon.upstream_probe import UpstreamProbe
from skylarkferry_wire.methods import (
    PROCESS_TIMELINE,
    SIDECAR_DRAIN,
    SIDECAR_SEAL,
    SIDECAR_STREAM,
)
from skylarkferry_wire.servers import add_handlers, listen, new_server

RPC_GRACE_S = 1.0
DELIVERY_TIMEOUT_S = 5.0
EXPIRE_INTERVAL_S = 30.0
KV_RELEASE_INTERVAL_S = 1.0
IDLE_REPORT_CONNECTIONS = 1


class Sidecar:
    """One sidecar process: starts its components, drains and stops them."""

    def __init__(self, settings: SidecarSettings, stop: anyio.Event) -> None:
        self.settings = settings
        self.stop = stop
        self.state = SidecarState(settings)
        self.heartbeats_sent = 0

    async def run(self) -> None:
        """Serve until ``stop`` is set, then drain."""
        log = self.state.log
        async with (
            AsyncExitStack() as clients,
            anyio.create_task_group() as tasks,
            AsyncExitStack() as servers,
        ):
            runner = await self._start(clients, servers, tasks)
            log.emit(EventKind.PROCESS_STARTED, incarnation=self.state.incarnation)
            await self.stop.wait()
            await self._drain(runner)
            await servers.aclose()
            tasks.cancel_scope.cancel()
        log.emit(EventKind.PROCESS_STOPPED)

    async def _start(
        self, clients: AsyncExitStack, servers: AsyncExitStack, tasks: TaskGroup
    ) -> CallRunner:
        """Build the components and open the servers; tasks may use the clients until they end."""
        state = self.state
        url = self.settings.upstream_url
        client = await clients.enter_async_context(self._new_client())
        report_client = new_client(url, idle_connections=IDLE_REPORT_CONNECTIONS)
        await clients.enter_async_context(report_client)
        holds = KvHolds(self.settings.kv_unclaimed_s)
        kv_retention = KvRetention(report_client, holds, state)
        adapter = adapter_for(self.settings.kind, client)
        crash_detector = CrashDetector(state, UpstreamProbe(url))
        runner = CallRunner(state, adapter, crash_detector, kv_retention, tasks)
        tasks.start_soon(state.timers.run, BackgroundTasks(tasks, state.log))
        self._subscribe(runner, kv_retention, EnginePoller(report_client, state))
        app = metrics_app(SidecarCollector(state))
        serve_metrics(app, self.settings.metrics_listen, servers, tasks)
        await self._serve_rpc(SidecarService(state, runner, kv_retention, self.stop), servers)
        return runner

    def _new_client(self) -> httpx.AsyncClient:
        """Return the upstream's client; only engines stream, so only they get a read timeout."""
        silence_s = self.settings.silence_s if self.settings.kind is PoolKind.MODEL else None
        return new_client(self.settings.upstream_url, silence_s=silence_s)

    def _subscribe(
        self, runner: CallRunner, kv_retention: KvRetention, engine_poller: EnginePoller
    ) -> None:
        """Register the periodic tasks."""
        timers = self.state.timers
        timers.every(self.settings.heartbeat_s, self._send_heartbeat)
        timers.every(self.settings.heartbeat_s, runner.crash_detector.check_reachable)
        timers.every(EXPIRE_INTERVAL_S, self._expire)
        timers.every(self.settings.heartbeat_s, runner.start_held_calls)
        if self.settings.kind is PoolKind.MODEL:
            timers.every(self.settings.engine_poll_s, engine_poller.poll)
            timers.every(KV_RELEASE_INTERVAL_S, kv_retention.release_due)
            timers.every(self.settings.kv_sweep_s, kv_retention.sweep)

    async def _serve_rpc(self, service: SidecarService, stack: AsyncExitStack) -> None:
        server = new_server()
        add_handlers(
            server,
            {
                SIDECAR_STREAM: service.serve_stream,
                SIDECAR_SEAL: service.seal,
                SIDECAR_DRAIN: service.start_drain,
                PROCESS_TIMELINE: service.timeline,
            },
        )
        listen(server, self.settings.rpc_listen)
        await server.start()
        stack.push_async_callback(server.stop, RPC_GRACE_S)

    async def _send_heartbeat(self) -> None:
        """Send a heartbeat with state and load to all entries; end silent streams."""
        state = self.state
        self.heartbeats_sent += 1
        announced = state.drain.announced()
        events = state.pop_cache_events()
        state.hub.send_heartbeat(
            SidecarHeartbeat(self.heartbeats_sent, announced, state.load(), events)
        )
        silence_s = MISSED_HEARTBEATS * self.settings.heartbeat_s
        state.hub.end_silent(state.timers.now() - silence_s)

    async def _expire(self) -> None:
        self.state.table.expire(self.state.timers.now())

    async def _drain(self, runner: CallRunner) -> None:
        """Announce the drain, refuse queued calls, finish running ones and deliver outcomes."""
        state = self.state
        state.drain.start()
        state.log.emit(EventKind.PROCESS_STOPPING)
        state.log.emit(EventKind.UPSTREAM_LEAVING)
        state.hub.broadcast(StateNotice(state.drain.announced()))
        refusal = state.drain.refusal()
        assert refusal is not None
        runner.refuse_all_queued(refusal)
        with anyio.move_on_after(self.settings.stop_grace_s):
            await self._wait_for(state.is_idle)
        with anyio.move_on_after(DELIVERY_TIMEOUT_S):
            await self._wait_for(state.is_delivered)
        state.hub.end_all()

    async def _wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; check it whenever ``state.progress`` is set."""
        while not condition():
            await self.state.progress.wait()


async def run_sidecar(settings: SidecarSettings, stop: anyio.Event) -> None:
    """Serve as a sidecar until ``stop`` is set, then drain."""
    await Sidecar(settings, stop).run()
