"""Upstreams as one process sees them: entries, load and idle connections."""

from collections.abc import Sequence

import anyio

from skylarkferry_core.coordination import shard_count, shard_of
from skylarkferry_core.ids import ServiceName, UpstreamId
from skylarkferry_core.request_limits import UpstreamLimit
from skylarkferry_gateway import defaults
from skylarkferry_gateway.body_window import BodyWindow
from skylarkferry_gateway.http_client import HttpConnection, connect
from skylarkferry_gateway.messages import ClientRequest, UpstreamEntry
from skylarkferry_gateway.upstream_views import UpstreamView

_REMOVED_KEEP_S = 60.0
"""Time for which a removed upstream is kept; entries that lapse return within seconds."""


class Upstream:
    """One upstream, its idle connections, and what is known of its load.

    ``local`` follows the attempts of this gateway, ``shared`` those that gateways report to this
    one as the coordinator of the service.
    """

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry
        self.local = UpstreamView(entry.slots)
        self.shared = UpstreamView(entry.slots)
        self.idle: list[HttpConnection] = []
        self.has_announced_leaving = False
        self.limit: UpstreamLimit | None = None
        self.malformed_headers: tuple[str, ...] = ()
        self.is_misdirected = False
        self.is_slowdown_doubted = False
        self.removed_at: float | None = None
        self.bodies = BodyWindow(self._has_free_slot)

    def _has_free_slot(self) -> bool:
        return self.local.requests(anyio.current_time()) < self.local.slots

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent to the upstream."""
        return not (self.is_leaving or self.is_misdirected)

    @property
    def is_leaving(self) -> bool:
        """Return whether its entry or one of its responses said that it is leaving."""
        return self.entry.is_leaving or self.has_announced_leaving

    def has_idle_connection(self, now: float, idle_limit_s: float) -> bool:
        """Return whether an idle connection is within its limits; it may have been closed."""
        return any(connection.is_within_limits(now, idle_limit_s) for connection in self.idle)

    async def acquire_connection(
        self, now: float, idle_limit_s: float, request: ClientRequest
    ) -> HttpConnection:
        """Return a reusable idle connection or a new one; raise ``UpstreamLostError``.

        It has carried no request of another customer with the same id, whose late response could
        not be told from that to this request.
        """
        skipped: list[HttpConnection] = []
        try:
            while self.idle:
                connection = self.idle.pop()
                if connection.callers.has_other(request):
                    skipped.append(connection)
                elif connection.is_reusable(now, idle_limit_s):
                    return connection
                else:
                    await connection.abort()
        finally:
            self.idle.extend(reversed(skipped))
        return await connect(self.entry.address)

    async def release_connection(self, connection: HttpConnection, idle_s: float | None) -> None:
        """Pool a connection after its exchange if it can be reused, else close it."""
        keep = connection.finish(idle_s) and len(self.idle) < defaults.POOL_IDLE_CONNECTIONS
        if keep and not self.is_leaving and self.removed_at is None:
            self.idle.append(connection)
        else:
            await connection.abort()

    async def close_idle(self, now: float) -> None:
        """Close idle connections past their limit, or all if the upstream accepts no requests."""
        close_all = not self.accepts_requests or self.removed_at is not None
        idle, self.idle = self.idle, []
        stale: list[HttpConnection] = []
        for connection in idle:
            keep = not close_all and connection.is_reusable(now, defaults.POOL_IDLE_S)
            (self.idle if keep else stale).append(connection)
        for connection in stale:
            await connection.abort()


class Upstreams:
    """All upstreams by id, from successive reads of the platform's registry.

    ``removed`` holds those that are no longer listed, for what is known of their processes;
    ``outdated`` are the entries of the last read that are older than those read before.
    """

    def __init__(self) -> None:
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.removed: dict[UpstreamId, Upstream] = {}
        self.by_service: dict[ServiceName, list[Upstream]] = {}
        self.by_shard: dict[ServiceName, list[list[Upstream]]] = {}
        self.read_at: float | None = None
        self.recovered_at: float | None = None
        self.outdated: list[UpstreamEntry] = []

    def for_service(self, service: ServiceName) -> list[Upstream]:
        """Return a service's upstreams, including draining ones."""
        return self.by_service.get(service, [])

    def shards(self, service: ServiceName) -> list[list[Upstream]]:
        """Return a service's upstreams by shard."""
        if service not in self.by_shard:
            members = self.for_service(service)
            shards: list[list[Upstream]] = [[] for _ in range(shard_count(len(members)))]
            for upstream in members:
                shards[shard_of(upstream.entry.upstream, len(shards))].append(upstream)
            self.by_shard[service] = shards
        return self.by_shard[service]

    def update(self, entries: Sequence[UpstreamEntry], now: float) -> list[Upstream]:
        """Apply a read of the registry and return the upstreams that it removed.

        An entry that disappeared during a store outage is kept for a grace period after the outage,
        because the upstream may not have written the entry again yet.
        """
        if self.read_at is not None and now - self.read_at > defaults.LIST_OUTAGE_S:
            self.recovered_at = now
        self.read_at = now
        listed = {entry.upstream: entry for entry in entries}
        self.outdated = [entry for entry in entries if self._is_outdated(entry)]
        for entry in self.outdated:
            self._drop_outdated(listed, entry)
        removed = self._remove_missing(listed, now)
        for entry in listed.values():
            self._add_or_update(entry, now)
        self.removed.update((item.entry.upstream, item) for item in removed)
        self._forget_removed(now)
        self._rebuild_index()
        return removed

    def _is_outdated(self, entry: UpstreamEntry) -> bool:
        """Return whether a later entry of the same start was read before.

        A write of an upstream may be performed seconds after it was sent.
        """
        known = self.upstreams.get(entry.upstream) or self.removed.get(entry.upstream)
        if known is None or not entry.born_ms or _is_restarted(known.entry, entry):
            return False
        return entry.sequence < known.entry.sequence

    def _drop_outdated(self, listed: dict[UpstreamId, UpstreamEntry], entry: UpstreamEntry) -> None:
        """Replace an outdated entry by the later one, or drop it if that was removed."""
        current = self.upstreams.get(entry.upstream)
        if current is None:
            del listed[entry.upstream]
        else:
            listed[entry.upstream] = current.entry

    def _forget_removed(self, now: float) -> None:
        for upstream_id, upstream in list(self.removed.items()):
            if upstream.removed_at is None or now - upstream.removed_at > _REMOVED_KEEP_S:
                del self.removed[upstream_id]

    def _remove_missing(
        self, entries: dict[UpstreamId, UpstreamEntry], now: float
    ) -> list[Upstream]:
        removed: list[Upstream] = []
        in_grace_period = (
            self.recovered_at is not None and now - self.recovered_at < defaults.LAPSED_ENTRY_KEEP_S
        )
        for upstream_id, upstream in list(self.upstreams.items()):
            if upstream_id in entries:
                continue
            if in_grace_period and not upstream.is_leaving:
                continue
            upstream.removed_at = now
            removed.append(self.upstreams.pop(upstream_id))
        return removed

    def _add_or_update(self, entry: UpstreamEntry, now: float) -> None:
        current = self.upstreams.get(entry.upstream) or self._relisted(entry)
        if current is None or _is_restarted(current.entry, entry):
            if current is not None:
                current.removed_at = now
            self.upstreams[entry.upstream] = Upstream(entry)
            return
        if current.entry.address != entry.address:
            current.is_misdirected = False
        current.entry = entry

    def _relisted(self, entry: UpstreamEntry) -> Upstream | None:
        """Return the removed upstream whose process is listed again, if it is certainly the same.

        An entry may lapse for a while without the end of its process.
        """
        removed = self.removed.get(entry.upstream)
        if removed is None or not entry.born_ms or _is_restarted(removed.entry, entry):
            return None
        removed.removed_at = None
        self.upstreams[entry.upstream] = removed
        return removed

    def _rebuild_index(self) -> None:
        self.by_service = {}
        self.by_shard = {}
        for upstream in self.upstreams.values():
            self.by_service.setdefault(upstream.entry.service, []).append(upstream)


def _is_restarted(old: UpstreamEntry, new: UpstreamEntry) -> bool:
    return (
        old.born_ms != new.born_ms
        or old.service != new.service
        or old.software_version != new.software_version
    )
