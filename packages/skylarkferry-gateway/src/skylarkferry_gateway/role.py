"""Assembly of the gateway role: listeners, watchers and graceful shutdown."""

import random
import time
from contextlib import AsyncExitStack

import anyio
import xxhash
from anyio.abc import SocketStream

from skylarkferry_admission.quota_limits import QuotaMargin
from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.histories import TurnCache
from skylarkferry_core.routes import ClientLimits
from skylarkferry_daemon.background_tasks import BackgroundTasks
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.timers import TimerService
from skylarkferry_gateway import defaults
from skylarkferry_gateway.access import AccessControl
from skylarkferry_gateway.accounts import AccountManager
from skylarkferry_gateway.budgets import ProgramBudgets
from skylarkferry_gateway.chain_memory import ChainMemory
from skylarkferry_gateway.chain_reader import ChainReader
from skylarkferry_gateway.chain_reads import ChainReads
from skylarkferry_gateway.coordinator import PlacementCoordinator
from skylarkferry_gateway.coordinators import Coordinators
from skylarkferry_gateway.crash_watch import CrashWatch
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.gateway import Gateway
from skylarkferry_gateway.gateway_list import GatewayList, GatewayMember
from skylarkferry_gateway.held_memory import MemoryAccount, MemoryUse
from skylarkferry_gateway.http_server import ClientConnection, Handler, ReceivedRequest
from skylarkferry_gateway.interfaces import Platform
from skylarkferry_gateway.limit_shares import LimitShares
from skylarkferry_gateway.listeners import Listeners, Serve, accept_waiting
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.ownership import OWNER_LIST, OwnerTable
from skylarkferry_gateway.ownership_renewal import OwnershipRenewal
from skylarkferry_gateway.partition_claims import PartitionClaims
from skylarkferry_gateway.partition_successors import PartitionSuccessors
from skylarkferry_gateway.peers import PeerCallers, PeerClient, PeerServer
from skylarkferry_gateway.placement_calls import PlacementCalls
from skylarkferry_gateway.process_checks import ProcessChecker
from skylarkferry_gateway.quota_exchange import QuotaExchange
from skylarkferry_gateway.quota_messages import QUOTA_SHARDS
from skylarkferry_gateway.quota_owners import OwnedPools, QuotaOwnerRanks
from skylarkferry_gateway.quotas import QuotaStage
from skylarkferry_gateway.relay_context import RelayContext
from skylarkferry_gateway.request_memory import RequestMemory
from skylarkferry_gateway.selection import UpstreamSelector
from skylarkferry_gateway.service_versions import ServiceVersions
from skylarkferry_gateway.settings import GatewaySettings
from skylarkferry_gateway.stream_handover import StreamHandover
from skylarkferry_gateway.stream_origins import StreamOrigins
from skylarkferry_gateway.stream_resumptions import StreamResumptions
from skylarkferry_gateway.transfer_room import TransferRoom
from skylarkferry_gateway.turn_rows import TurnRows
from skylarkferry_gateway.turns import TurnServices, TurnStore
from skylarkferry_gateway.upstream_log import UpstreamLog
from skylarkferry_gateway.upstreams import Upstreams
from skylarkferry_gateway.version_assignments import VersionAssignments
from skylarkferry_gateway.watchers import ConfigWatcher, UpstreamWatcher

_INTERNAL_LIMITS = ClientLimits(idle_s=30.0)


class GatewayRole:
    """One gateway process."""

    def __init__(
        self, settings: GatewaySettings, platform: Platform, log: EventLog, metrics: GatewayMetrics
    ) -> None:
        self.settings = settings
        rng = random.Random(settings.incarnation)
        peers = PeerClient(settings.peer_listen)
        self.callers = PeerCallers()
        self.store = store = FailoverStore(
            platform.store, peers, self._peers, self._peer_shares, rng=rng, log=log
        )
        directory = platform.directory(store)
        store.remembered.names = frozenset({*directory.names(), OWNER_LIST})
        self.log = log
        self.metrics = metrics
        self.timers = TimerService()
        self.upstreams = Upstreams()
        self.gateways = GatewayList(
            store,
            settings.node,
            GatewayMember(settings.peer_listen, settings.cores, settings.link_bytes_per_s),
            log,
        )
        limits = LimitShares(self.gateways, time.time)
        versions = ServiceVersions(self.upstreams)
        self.origins = StreamOrigins(store, self.gateways, log, metrics)
        self.handover = StreamHandover(self.origins, self.gateways, peers, log, metrics)
        self.assignments = VersionAssignments(store, versions, self.origins, self.gateways, log)
        resumptions = StreamResumptions(
            self.origins,
            versions,
            self.assignments,
            store,
            rng,
            gateways=self.gateways,
            log=log,
            metrics=metrics,
        )
        cache = TurnCache(int(settings.memory_bytes * defaults.TURN_CACHE_MEMORY_SHARE))
        self.owners = OwnerTable(store, settings.incarnation, settings.peer_listen, log)
        successors = PartitionSuccessors(self.gateways, peers, log)
        self.accounts = AccountManager(store, self.owners, log, successors)
        self.claims = PartitionClaims(self.owners, self.accounts, self.gateways)
        self.renewal = OwnershipRenewal(self.owners, self.accounts)
        self.budgets = ProgramBudgets(self.owners, self.accounts, store, successors, log)
        self.memory = memory = MemoryAccount(settings.memory_bytes)
        self.request_memory = RequestMemory(memory, log, metrics)
        metrics.follow_memory(memory, cache)
        self.transfers = TransferRoom(memory, settings.link_bytes_per_s)
        turns = self._turns(cache)
        turn_services = TurnServices(self.budgets, turns, memory.shares[MemoryUse.RESPONSES], log)
        checker = ProcessChecker(self.upstreams, rng)
        self.crashes = CrashWatch(store, checker, log, metrics)
        self.config = ConfigWatcher(directory, self.origins, log, metrics)
        self.upstream_watcher = UpstreamWatcher(
            directory,
            self.upstreams,
            versions,
            self.assignments,
            log=UpstreamLog(log, metrics),
            metrics=metrics,
        )
        self.coordinator = PlacementCoordinator(self.upstreams, self.config, rng)
        self.placement_calls = PlacementCalls(settings.peer_listen, self.coordinator, log, metrics)
        selector = UpstreamSelector(
            self.upstreams,
            self.assignments,
            limits,
            Coordinators(self.gateways, log),
            self.placement_calls,
            domain=settings.failure_domain,
            rng=rng,
        )
        self.context = context = RelayContext(
            platform.codec, selector, self.crashes, resumptions, memory, log=log, metrics=metrics
        )
        access = AccessControl(
            self.config, platform.codec, settings.revocation, log=log, metrics=metrics
        )
        self.quotas = self._quotas()
        self.gateway = Gateway(
            context, self.config, turn_services, store, access=access, quotas=self.quotas
        )
        self.is_listening = False
        self.is_stopping = False
        self.was_ready = False
        self.clients: set[ClientConnection] = set()
        self.client_left = anyio.Event()

    def _turns(self, cache: TurnCache) -> TurnStore:
        """Build the parts that store turns and read their chains within the memory account."""
        rows = TurnRows(self.store, self.transfers)
        memory = ChainMemory(cache, self.log, self.metrics)
        reader = ChainReader(rows, cache, memory)
        self.chains = ChainReads(reader, cache, memory, self.log)
        return TurnStore(rows, cache, self.chains)

    def _quotas(self) -> QuotaStage:
        """Build the stage of customers' quotas and its exchange with other gateways."""
        bounds = self.settings.quota_bounds
        margin = QuotaMargin()
        if bounds is not None:
            margin = QuotaMargin(bounds.window_s, bounds.over, bounds.slack)
        clock = suspension_clock
        nonce = xxhash.xxh32_intdigest(self.settings.incarnation.encode())
        owned = OwnedPools(nonce, margin, clock)
        self.placement_calls.answer_quota = owned.answer
        ranks = QuotaOwnerRanks(self.gateways, self.log, self.metrics)
        exchanges = [
            QuotaExchange(
                shard,
                ranks,
                owned,
                self.placement_calls,
                margin=margin,
                clock=clock,
                log=self.log,
                metrics=self.metrics,
            )
            for shard in range(QUOTA_SHARDS)
        ]
        return QuotaStage(exchanges, self.config, clock, self.log, self.metrics)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set and the requests in progress have ended."""
        async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
            self.background = background = BackgroundTasks(tasks, self.log, self._count_failure)
            self.budgets.tasks = self.accounts.tasks = self.context.tasks = background
            self.chains.tasks = background
            self._start_background_work(background)
            listeners = Listeners(background, self.log)
            peer_server = PeerServer(
                self.accounts,
                self.store.direct,
                self.origins,
                self.store.remembered,
                self.callers,
                transfers=self.transfers,
            )
            optional = [
                (self.settings.metrics_listen, self._answer_metrics),
                (self.settings.peer_listen, peer_server.handle),
            ]
            for address, handler in optional:
                await listeners.listen_if_possible(stack, address, self._internal_server(handler))
            await listeners.listen(
                stack, self.settings.ready_listen, self._internal_server(self._answer_ready)
            )
            clients = await stack.enter_async_context(AsyncExitStack())
            listener = await listeners.listen(
                clients, self.settings.client_listen, self._serve_client
            )
            clients.push_async_callback(accept_waiting, listener)
            self.is_listening = True
            self.log.emit(
                EventKind.GATEWAY_STARTED,
                listen=self.settings.client_listen,
                domain=self.settings.failure_domain,
                incarnation=self.settings.incarnation,
            )
            await stop.wait()
            await self._stop(clients, background)
            tasks.cancel_scope.cancel()

    def _start_background_work(self, background: BackgroundTasks) -> None:
        """Start what runs beside the requests; an error in one part leaves the others running."""
        background.keep_running(self.timers.run, background)
        background.keep_running(self.config.run)
        background.keep_running(self.crashes.reports.follow)
        background.keep_running(self.crashes.reports.write)
        background.keep_running(self.origins.write)
        background.keep_running(self.placement_calls.run)
        background.keep_running(self.owners.write_list)
        for exchange in self.quotas.exchanges:
            background.keep_running(exchange.run, self.quotas.current)
        background.start_soon(self.upstream_watcher.read)
        background.start_soon(self._read_owners)
        background.start_soon(self.gateways.send_heartbeat)
        self.upstream_watcher.subscribe(self.timers)
        self.crashes.subscribe(self.timers)
        self.timers.every(defaults.ATTEMPTS_SWEEP_S, self._forget_expired_attempts)
        self.timers.every(defaults.ASSIGNMENTS_POLL_S, self.assignments.follow)
        self.timers.every(defaults.STREAM_RENEW_S / 4, self.origins.renew_rows)
        self.timers.every(defaults.STREAMS_SWEEP_S, self.origins.delete_old)
        self.timers.every(defaults.STREAMS_SWEEP_S, self.origins.delete_rows_of_ended_gateways)
        self.timers.every(defaults.OWNERS_POLL_S, self._read_owners)
        self.timers.every(defaults.UPSTREAMS_POLL_S, self.store.probe)
        self.timers.every(defaults.PEER_IDLE_S, self.store.peers.close_idle)
        self.timers.every(defaults.ACCOUNTS_SWEEP_S, self.accounts.delete_idle_accounts)
        self.timers.every(defaults.ACCOUNTS_SWEEP_S, self.renewal.renew_all)
        self.timers.every(defaults.GATEWAY_HEARTBEAT_S, self.gateways.send_heartbeat)
        self.timers.every(defaults.QUOTA_JOIN_INTERVAL_S, self.quotas.follow_joining_gateways)

    def _count_failure(self, task: str) -> None:
        self.metrics.task_failures.labels(task=task).inc()

    async def _serve_client(self, stream: SocketStream) -> None:
        client = ClientConnection(
            stream,
            self.gateway.limits,
            self.gateway.handle,
            lambda: self.is_stopping,
            self.request_memory,
        )
        self.clients.add(client)
        try:
            await client.serve()
        finally:
            self.clients.discard(client)
            self.client_left.set()

    def _internal_server(self, handler: Handler) -> Serve:
        async def serve(stream: SocketStream) -> None:
            await ClientConnection(stream, lambda: _INTERNAL_LIMITS, handler, _never).serve()

        return serve

    async def _forget_expired_attempts(self) -> None:
        self.coordinator.forget_expired(anyio.current_time())
        self.metrics.coordinated_attempts.set(len(self.coordinator.attempts))

    def is_ready(self) -> bool:
        """Return True if this process can serve new connections; log each change."""
        is_known = self.config.current is not None and self.upstream_watcher.has_read
        is_known = is_known and self.is_listening
        is_ready = (
            is_known
            and not self.is_stopping
            and self.store.unavailable_s() < defaults.NOT_READY_AFTER_S
            and not self.memory.is_full()
        )
        if is_ready != self.was_ready:
            self.was_ready = is_ready
            self.log.emit(
                EventKind.GATEWAY_READINESS,
                ready=is_ready,
                store_lost_ms=round(self.store.unavailable_s() * 1_000),
                stopping=self.is_stopping,
                memory_full=self.memory.is_full(),
            )
        return is_ready

    async def _answer_ready(self, received: ReceivedRequest, client: ClientConnection) -> None:
        status = 200 if self.is_ready() else 503
        await client.respond(status, [(b"content-type", b"text/plain")], b"")

    async def _answer_metrics(self, received: ReceivedRequest, client: ClientConnection) -> None:
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await client.respond(200, headers, self.metrics.text())

    def _peers(self) -> set[str]:
        """Return the owners of partitions, or while no list was read, who has called this one."""
        return self.owners.peers() or set(self.callers.addresses)

    def _peer_shares(self) -> dict[str, float]:
        return self.gateways.peer_shares()

    async def _read_owners(self) -> None:
        now = anyio.current_time()
        try:
            await self.owners.refresh(now, now + defaults.OWNERS_POLL_S)
        except PlatformUnavailableError:
            return
        if not self.is_stopping:
            await self.claims.claim_unowned()

    async def _stop(self, clients: AsyncExitStack, background: BackgroundTasks) -> None:
        """Finish requests that were read, hand over streams and partitions, within the grace."""
        began = anyio.current_time()
        end = began + self.settings.grace_s - defaults.STOP_MARGIN_S
        self.is_stopping = self.coordinator.is_stopping = True
        planned_stop = self.gateway.planned_stop
        planned_stop.begin(end)
        self.log.emit(EventKind.GATEWAY_STOPPING, connections=len(self.clients))
        for client in list(self.clients):
            client.close_if_idle()
        await anyio.sleep(min(defaults.STOP_ACCEPTING_AFTER_S, self.settings.grace_s / 2))
        planned_stop.is_accepting = False
        await clients.aclose()
        first_request_by = planned_stop.first_request_by()
        for client in list(self.clients):
            client.close_if_idle(first_request_by)
        with anyio.move_on_at(end):
            await background.contain(self.handover.run)()
            while self.clients:
                self.client_left = anyio.Event()
                await self.client_left.wait()
        release_end = end + defaults.STOP_MARGIN_S / 2
        with anyio.move_on_at(release_end):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(background.contain(self.accounts.release_all), release_end)
                # Streams may have begun since, and other ending gateways may have told theirs.
                self.origins.has_told = True
                await background.contain(self.handover.run)()
        self.log.emit(EventKind.GATEWAY_STOPPED, connections=len(self.clients))


def suspension_clock() -> float:
    """Return the seconds of a clock that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _never() -> bool:
    return False
