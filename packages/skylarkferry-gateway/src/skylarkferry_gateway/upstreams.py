"""What this process believes of the upstreams: entries, load, cached prompt parts, connections."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from skylarkferry_core.breakers import Breaker
from skylarkferry_core.ids import ServiceName, UpstreamId
from skylarkferry_core.outcome_counts import OutcomeCounts, suspects
from skylarkferry_gateway import defaults
from skylarkferry_gateway.http_client import HttpConnection, connect
from skylarkferry_gateway.messages import LoadAnswer, PromptPart, UpstreamEntry

_CACHE_SHARE = 0.8
"""Share of an engine's KV memory that is taken as its prompt cache; the rest runs requests."""


class PromptParts:
    """Prompt parts believed in an engine's cache, bounded by its KV tokens; the oldest go first."""

    def __init__(self) -> None:
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def add(self, parts: Iterable[PromptPart], limit_tokens: int) -> None:
        """Note parts that a request brought, as the most recently used ones."""
        for part in parts:
            self.tokens += part.tokens - self.parts.pop(part.part_id, 0)
            self.parts[part.part_id] = part.tokens
        while self.tokens > limit_tokens and self.parts:
            self.tokens -= self.parts.popitem(last=False)[1]

    def cached(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts that are all cached."""
        tokens = 0
        for part in parts:
            if part.part_id not in self.parts:
                break
            tokens += min(part.tokens, self.parts[part.part_id])
        return tokens


class Upstream:
    """One upstream; ``others`` estimates the requests that other processes have there."""

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry
        self.breaker = Breaker(max_open_s=defaults.BREAKER_MAX_OPEN_S)
        self.evidence = OutcomeCounts()
        self.idle: list[HttpConnection] = []
        self.in_flight = 0
        self.others = 0.0
        self.slots = max(entry.slots, 1)
        self.load_at: float | None = None
        self.prompts = PromptParts()
        self.is_misplaced = False
        self.vanished_at: float | None = None

    @property
    def takes_work(self) -> bool:
        """Tell whether new requests may go there."""
        return not (self.entry.is_leaving or self.is_misplaced)

    def on_load(self, load: LoadAnswer, now: float) -> None:
        """Take the load an answer reported; it still counts that answer's own request."""
        self.others = max(float(load.running + load.queued - self.in_flight), 0.0)
        self.slots = max(load.slots, 1)
        self.load_at = now

    def requests(self) -> int:
        """Return the estimated requests there, this process's and others'."""
        return self.in_flight + round(self.others)

    def remember(self, parts: Sequence[PromptPart], kv_tokens: int) -> None:
        """Note the prompt of a request that was sent there."""
        self.prompts.add(parts, int(kv_tokens * _CACHE_SHARE))

    async def take_connection(self, now: float, idle_limit_s: float) -> HttpConnection:
        """Return a fresh idle connection or a new one; raise ``UpstreamLostError``."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_fresh(now, idle_limit_s):
                return connection
            await connection.abort()
        return await connect(self.entry.address)

    async def return_unused(self, connection: HttpConnection) -> None:
        """Keep a connection on which nothing was sent, or close it."""
        if self.takes_work and len(self.idle) < defaults.POOL_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            await connection.abort()

    async def return_connection(self, connection: HttpConnection, idle_s: float | None) -> None:
        """Keep a connection whose exchange ended in order, or close it."""
        is_kept = connection.finish(idle_s) and len(self.idle) < defaults.POOL_IDLE_CONNECTIONS
        if is_kept and not self.entry.is_leaving and self.vanished_at is None:
            self.idle.append(connection)
        else:
            await connection.abort()

    async def close_idle(self, now: float) -> None:
        """Close idle connections that are past their limit, or all where no work may go."""
        closes_all = not self.takes_work or self.vanished_at is not None
        idle, self.idle = self.idle, []
        stale: list[HttpConnection] = []
        for connection in idle:
            is_kept = not closes_all and connection.is_fresh(now, defaults.POOL_IDLE_S)
            (self.idle if is_kept else stale).append(connection)
        for connection in stale:
            await connection.abort()


class Upstreams:
    """All upstreams by id, from successive reads of the platform's list."""

    def __init__(self) -> None:
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.by_service: dict[ServiceName, list[Upstream]] = {}
        self.read_at: float | None = None
        self.returned_at: float | None = None

    def of(self, service: ServiceName) -> list[Upstream]:
        """Return a service's upstreams, those that leave included."""
        return self.by_service.get(service, [])

    def suspects(self, service: ServiceName, now: float) -> set[UpstreamId]:
        """Return a service's upstreams that fail far more often than their peers."""
        evidence = {item.entry.upstream: item.evidence for item in self.of(service)}
        return suspects(evidence, now)

    def update(self, entries: Sequence[UpstreamEntry], now: float) -> list[Upstream]:
        """Take a read of the list and return the upstreams that are gone by it.

        An entry that vanished while the store could not be read is kept for a while after: the
        upstream may only be about to write it again.
        """
        if self.read_at is not None and now - self.read_at > defaults.LIST_OUTAGE_S:
            self.returned_at = now
        self.read_at = now
        listed = {entry.upstream: entry for entry in entries}
        gone = self._drop_missing(listed, now)
        for entry in listed.values():
            self._put(entry, now)
        self._index()
        return gone

    def _drop_missing(self, listed: dict[UpstreamId, UpstreamEntry], now: float) -> list[Upstream]:
        gone: list[Upstream] = []
        in_return = (
            self.returned_at is not None and now - self.returned_at < defaults.LAPSED_ENTRY_KEEP_S
        )
        for upstream_id, upstream in list(self.upstreams.items()):
            if upstream_id in listed:
                continue
            if in_return and not upstream.entry.is_leaving:
                continue
            upstream.vanished_at = now
            gone.append(self.upstreams.pop(upstream_id))
        return gone

    def _put(self, entry: UpstreamEntry, now: float) -> None:
        known = self.upstreams.get(entry.upstream)
        if known is None or _is_restarted(known.entry, entry):
            if known is not None:
                known.vanished_at = now
            self.upstreams[entry.upstream] = Upstream(entry)
            return
        if known.entry.address != entry.address:
            known.is_misplaced = False
        known.entry = entry

    def _index(self) -> None:
        self.by_service = {}
        for upstream in self.upstreams.values():
            self.by_service.setdefault(upstream.entry.service, []).append(upstream)


def _is_restarted(old: UpstreamEntry, new: UpstreamEntry) -> bool:
    return old.born_ms != new.born_ms or old.service != new.service
