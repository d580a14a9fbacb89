"""Watchers that keep the upstream list and configuration as fresh as the bounds require."""

import math
from collections.abc import Collection

import anyio

from skylarkferry_admission.access import is_sendable
from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CustomerId, ServiceName
from skylarkferry_core.routes import RoutingTable
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.timers import TimerService
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Directory
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.route_changes import RouteChanges
from skylarkferry_gateway.service_versions import ServiceVersions
from skylarkferry_gateway.store_calls import pause_after
from skylarkferry_gateway.stream_origins import StreamOrigins
from skylarkferry_gateway.upstream_log import LeavingSource, UpstreamLog
from skylarkferry_gateway.upstreams import Upstream, Upstreams
from skylarkferry_gateway.version_assignments import VersionAssignments

_MAX_LOGGED_NAMES = 8
_MAX_LOGGED_CHARS = 40
"""Customers named in a log line about a configuration, and characters of each name."""


class UpstreamWatcher:
    """Read the upstream list periodically and log its changes."""

    def __init__(
        self,
        directory: Directory,
        upstreams: Upstreams,
        versions: ServiceVersions,
        assignments: VersionAssignments,
        *,
        log: UpstreamLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.directory = directory
        self.upstreams = upstreams
        self.versions = versions
        self.assignments = assignments
        self.log = log
        self.metrics = metrics
        self.has_read = False

    def subscribe(self, timers: TimerService) -> None:
        """Schedule the reads of the list and the closing of idle connections."""
        timers.every(defaults.UPSTREAMS_POLL_S, self.read)
        timers.every(1.0, self.close_idle)

    async def read(self) -> None:
        """Read the list once; if that fails, keep the previous list."""
        asked_at = anyio.current_time()
        try:
            entries = await self.directory.upstreams()
        except PlatformUnavailableError:
            self.versions.on_read_ended(asked_at)
            return
        await self.assignments.establish(entries)
        before = {key: item.entry for key, item in self.upstreams.upstreams.items()}
        leaving = {key for key, item in self.upstreams.upstreams.items() if item.is_leaving}
        outdated = self.upstreams.outdated
        gone = self.upstreams.update(entries, anyio.current_time())
        for entry in self.upstreams.outdated:
            if entry not in outdated:
                self.log.on_outdated(entry)
        self.versions.update(asked_at, anyio.current_time())
        self.has_read = True
        for upstream in gone:
            self.log.on_gone(upstream)
            await upstream.close_idle(anyio.current_time())
        for key, upstream in self.upstreams.upstreams.items():
            known = before.get(key)
            if known is None or known.born_ms != upstream.entry.born_ms:
                self.log.on_seen(upstream)
            elif upstream.is_leaving and key not in leaving:
                self.log.on_leaving(upstream, LeavingSource.LIST)
        for service, members in self.upstreams.by_service.items():
            self.metrics.upstreams.labels(service=service).set(len(members))
            self._count_slowdown(service, members)

    def _count_slowdown(self, service: ServiceName, members: list[Upstream]) -> None:
        """Show the mean slowdown of a service's hosts, if any reports one."""
        now = anyio.current_time()
        slowdowns = [item.local.slowdown for item in members if item.local.slowdown.is_reported]
        if slowdowns:
            mean = sum(slowdown.value(now) for slowdown in slowdowns) / len(slowdowns)
            self.metrics.slowdown.labels(service=service).set(mean)

    async def close_idle(self) -> None:
        """Close connections that are past their idle limit."""
        now = anyio.current_time()
        for upstream in list(self.upstreams.upstreams.values()):
            await upstream.close_idle(now)


class ConfigWatcher:
    """Follow the configuration; an older version never replaces a newer one.

    ``changes`` are those within the time for which a stream can be resumed.  ``confirmed_at`` is a
    monotonic time at which the current configuration was the latest one.
    """

    def __init__(
        self,
        directory: Directory,
        origins: StreamOrigins,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.directory = directory
        self.origins = origins
        self.log = log
        self.metrics = metrics
        self.current: RoutingTable | None = None
        self.confirmed_at = -math.inf
        self.changes = RouteChanges(defaults.STREAM_KEEP_S + defaults.STREAM_KEEP_MARGIN_S)

    async def run(self) -> None:
        """Apply new versions until cancelled."""
        delay_s = defaults.STORE_RETRY_S
        while True:
            asked_at = anyio.current_time()
            try:
                table = await self.directory.routing(defaults.CONFIG_POLL_TIMEOUT_S)
            except PlatformUnavailableError:
                await anyio.sleep(delay_s)
                delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)
                continue
            delay_s = defaults.STORE_RETRY_S
            if table is not None:
                self._apply(table)
            # The store answers within the wait; a process that was paused reads that much later.
            latest = asked_at + defaults.CONFIG_POLL_TIMEOUT_S
            self.confirmed_at = min(anyio.current_time(), latest) - self.directory.routing_age_s
            await pause_after(asked_at)

    def age_s(self, now: float) -> float:
        """Return the seconds since the configuration was confirmed to be current."""
        return now - self.confirmed_at

    def _apply(self, table: RoutingTable) -> None:
        if self.current is not None and table.version <= self.current.version:
            return
        before = self.current.version if self.current is not None else 0
        now = anyio.current_time()
        if self.current is None:
            self.changes.begin(now)
        else:
            # Gateways that start from now on do not see that the routes have led there.
            left = self.changes.update(self.current, table, now)
            if left:
                self.origins.store_rows_of(left)
        self.current = table
        self.metrics.config_version.set(table.version)
        self.log.emit(
            EventKind.GATEWAY_CONFIGURED,
            version=table.version,
            before=before,
            routes=len(table.routes),
            services=len(table.services),
        )
        if table.customers:
            self._log_faults(table)

    def _log_faults(self, table: RoutingTable) -> None:
        """Log keys and names of a configuration's customers that cannot be used."""
        customers = table.customers
        if customers.ambiguous:
            self.log.emit(
                EventKind.GATEWAY_KEYS_SHARED,
                version=table.version,
                keys=len(customers.ambiguous),
                customers=_some_names(customers.sharing),
            )
        unsendable = [name for name in customers.by_name if not is_sendable(name)]
        if unsendable:
            self.log.emit(
                EventKind.GATEWAY_CUSTOMERS_UNSENDABLE,
                version=table.version,
                customers=_some_names(unsendable),
            )


def _some_names(names: Collection[CustomerId]) -> str:
    """Return the number of customers, and some of their names in a bounded form."""
    first = sorted(names)[:_MAX_LOGGED_NAMES]
    return f"{len(names)}: " + ", ".join(ascii(name[:_MAX_LOGGED_CHARS]) for name in first)
