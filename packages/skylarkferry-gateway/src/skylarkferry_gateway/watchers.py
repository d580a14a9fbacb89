"""Watchers of the platform: upstreams and configuration, kept as fresh as the bounds need."""

import anyio

from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.routes import RoutingTable
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.timers import TimerService
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Directory
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.upstreams import Upstream, Upstreams


class UpstreamWatcher:
    """Read the list of upstreams at an interval and log what changes."""

    def __init__(
        self, directory: Directory, upstreams: Upstreams, log: EventLog, metrics: GatewayMetrics
    ) -> None:
        self.directory = directory
        self.upstreams = upstreams
        self.log = log
        self.metrics = metrics
        self.has_read = False

    def subscribe(self, timers: TimerService) -> None:
        """Read at every interval."""
        timers.every(defaults.UPSTREAMS_POLL_S, self.read)
        timers.every(1.0, self.close_idle)

    async def read(self) -> None:
        """Read the list once; when that fails the last one stays."""
        try:
            entries = await self.directory.upstreams()
        except PlatformUnavailableError:
            return
        before = {key: item.entry for key, item in self.upstreams.upstreams.items()}
        gone = self.upstreams.update(entries, anyio.current_time())
        self.has_read = True
        for upstream in gone:
            self._log(EventKind.GATEWAY_UPSTREAM_GONE, upstream)
            await upstream.close_idle(anyio.current_time())
        for key, upstream in self.upstreams.upstreams.items():
            known = before.get(key)
            if known is None or known.born_ms != upstream.entry.born_ms:
                self._log(EventKind.GATEWAY_UPSTREAM_SEEN, upstream)
            elif upstream.entry.is_leaving and not known.is_leaving:
                self._log(EventKind.GATEWAY_UPSTREAM_LEAVING, upstream)
        for service, members in self.upstreams.by_service.items():
            self.metrics.upstreams.labels(service=service).set(len(members))

    def _log(self, kind: EventKind, upstream: Upstream) -> None:
        entry = upstream.entry
        self.log.emit(
            kind,
            upstream=entry.upstream,
            service=entry.service,
            address=entry.address,
            domain=entry.failure_domain,
            born_ms=entry.born_ms,
        )

    async def close_idle(self) -> None:
        """Close idle connections past their limit."""
        now = anyio.current_time()
        for upstream in list(self.upstreams.upstreams.values()):
            await upstream.close_idle(now)


class ConfigWatcher:
    """Follow the configuration; a version never goes back."""

    def __init__(
        self,
        directory: Directory,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.directory = directory
        self.log = log
        self.metrics = metrics
        self.current: RoutingTable | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        delay_s = defaults.STORE_RETRY_S
        while True:
            try:
                table = await self.directory.routing(defaults.CONFIG_POLL_TIMEOUT_S)
            except PlatformUnavailableError:
                await anyio.sleep(delay_s)
                delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)
                continue
            delay_s = defaults.STORE_RETRY_S
            if table is not None:
                self._apply(table)

    def _apply(self, table: RoutingTable) -> None:
        if self.current is not None and table.version <= self.current.version:
            return
        before = self.current.version if self.current is not None else 0
        self.current = table
        self.metrics.config_version.set(table.version)
        self.log.emit(
            EventKind.GATEWAY_CONFIGURED,
            version=table.version,
            before=before,
            routes=len(table.routes),
            services=len(table.services),
        )
