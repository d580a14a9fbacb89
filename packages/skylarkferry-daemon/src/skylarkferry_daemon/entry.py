"""The entry role: serves callers, drives programs and dispatches their calls to sidecars."""

import random
import secrets
from contextlib import AsyncExitStack

import anyio
import httpx
from anyio.abc import TaskGroup

from skylarkferry_core.admissions import ADMISSIONS, DEFAULT_ADMISSION
from skylarkferry_core.errors import NotFoundError
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import DrainRequest
from skylarkferry_core.ids import Incarnation, UpstreamId
from skylarkferry_core.placements import DEFAULT_PLACEMENT, PLACEMENTS
from skylarkferry_daemon.admission_control import AdmissionController
from skylarkferry_daemon.background_tasks import BackgroundTasks
from skylarkferry_daemon.call_placement import Placer
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.directory import ProgramDirectory
from skylarkferry_daemon.documents import TableDocuments
from skylarkferry_daemon.edge import Edge
from skylarkferry_daemon.entry_service import EntryService
from skylarkferry_daemon.estimates import Estimates
from skylarkferry_daemon.forwarding import SystemPrograms
from skylarkferry_daemon.http_server import serve_http
from skylarkferry_daemon.links import SidecarLinks
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.ownership import PartitionOwnership
from skylarkferry_daemon.peers import Peers
from skylarkferry_daemon.platform import PlatformServices, connect_platform
from skylarkferry_daemon.quarantine import Quarantine
from skylarkferry_daemon.service_relay import ServiceRelay
from skylarkferry_daemon.settings import EntrySettings
from skylarkferry_daemon.timelines import TimelineCollector
from skylarkferry_daemon.timers import TimerService
from skylarkferry_daemon.tokens import TokenIndex
from skylarkferry_wire.methods import SIDECAR_DRAIN
from skylarkferry_wire.servers import listen, new_server

RPC_GRACE_S = 2.0
DRAIN_TIMEOUT_S = 5.0
INCARNATION_BYTES = 6


class EntryProcess:
    """One entry process: builds its components, starts them and stops them."""

    def __init__(self, settings: EntrySettings, stop: anyio.Event) -> None:
        self.settings = settings
        self.stop = stop
        self.log = EventLog(settings.node, settings.limits.ring_events)
        self.timers = TimerService()
        self.incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))

    async def run(self) -> None:
        """Serve until ``stop`` is set; then hand over partitions and finish open requests."""
        async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
            tasks.start_soon(self.timers.run, BackgroundTasks(tasks, self.log))
            client = await stack.enter_async_context(httpx.AsyncClient())
            services = connect_platform(client, self.settings.platform)
            self._build(services, await stack.enter_async_context(Peers()), tasks)
            await self._serve(stack, tasks)
            tasks.cancel_scope.cancel()
        self.log.emit(EventKind.PROCESS_STOPPED)

    def _build(self, services: PlatformServices, peers: Peers, tasks: TaskGroup) -> None:
        """Create the components and connect them."""
        settings = self.settings
        self.documents = TableDocuments(services.table, self.log)
        self.ownership = PartitionOwnership(settings, services, self.timers, self.log)
        self.links = SidecarLinks(
            node=settings.node,
            incarnation=self.incarnation,
            host_list=services.host_list,
            documents=self.documents,
            quarantine=Quarantine(services.table, self.log),
            timers=self.timers,
            log=self.log,
            hosts_poll_s=settings.platform.hosts_poll_s,
        )
        self.context = self._context()
        self.directory = ProgramDirectory(
            context=self.context,
            ownership=self.ownership,
            admission_controller=AdmissionController(
                self.context, self.ownership, settings.limits.programs_under_way
            ),
            partitions=settings.lease.partitions,
            ended_kept=settings.limits.ended_programs_kept,
            tasks=tasks,
        )
        relay = ServiceRelay(self.context, self.incarnation)
        self.peers = peers
        self.programs = SystemPrograms(
            directory=self.directory,
            ownership=self.ownership,
            peers=peers,
            relay=relay,
            tasks=tasks,
        )

    def _context(self) -> EntryContext:
        randomness = random.Random(self.incarnation)
        estimates = Estimates()
        placer = Placer(
            placement=PLACEMENTS[DEFAULT_PLACEMENT](randomness),
            sidecars=self.links,
            documents=self.documents,
            estimates=estimates,
            site=self.settings.site,
            failure_domain=self.settings.failure_domain,
        )
        return EntryContext(
            journal=self.ownership.journal,
            sidecars=self.links,
            documents=self.documents,
            placer=placer,
            estimates=estimates,
            admission=ADMISSIONS[DEFAULT_ADMISSION](),
            log=self.log,
            randomness=randomness,
        )

    async def _serve(self, stack: AsyncExitStack, tasks: TaskGroup) -> None:
        server = new_server()
        EntryService(self.directory, self.programs, self.log).register(server)
        listen(server, self.settings.rpc_listen)
        await server.start()
        stack.push_async_callback(server.stop, RPC_GRACE_S)
        await self.documents.refresh()
        self.timers.every(self.settings.document_poll_s, self.documents.refresh)
        tasks.start_soon(self.links.run)
        tasks.start_soon(self.ownership.run, self.directory)
        self.log.emit(EventKind.PROCESS_STARTED, incarnation=self.incarnation)
        async with anyio.create_task_group() as stopping:
            stopping.start_soon(self._hand_over_at_stop)
            await serve_http(
                self._edge(),
                self.settings.http_listen,
                self.stop.wait,
                self.settings.stop_grace_s,
            )

    async def _hand_over_at_stop(self) -> None:
        """Hand over the partitions on a planned stop; open streams continue at the new owners."""
        await self.stop.wait()
        self.log.emit(EventKind.PROCESS_STOPPING)
        await self.ownership.hand_over()

    def _edge(self) -> Edge:
        collector = TimelineCollector(self.log, self.ownership, self.links, self.peers)
        return Edge(
            programs=self.programs,
            documents=self.documents,
            sidecars=self.links,
            log=self.log,
            limits=self.settings.limits,
            drain=self._drain,
            timeline=collector.collect,
            stopping=self.stop.is_set,
            tokens=TokenIndex(self.settings.bootstrap_token_hash),
        )

    async def _drain(self, upstream: UpstreamId, reason: str) -> None:
        """Order a sidecar to drain; raise ``NotFoundError`` or the connection's error."""
        for host in self.links.hosts():
            if host.upstream == upstream:
                request = DrainRequest(reason)
                await self.peers.call(host.address, SIDECAR_DRAIN, request, DRAIN_TIMEOUT_S)
                return
        raise NotFoundError(f"there is no upstream '{upstream}'")


async def run_entry(settings: EntrySettings, stop: anyio.Event) -> None:
    """Serve as an entry until ``stop`` is set; then hand over and finish open requests."""
    await EntryProcess(settings, stop).run()
