"""Each service's assignment of streams to software versions, a row of the store for all."""

from collections.abc import Iterable, Sequence
from contextlib import suppress

import anyio
import msgspec

from skylarkferry_core.breakers import BreakerState
from skylarkferry_core.errors import (
    MalformedDataError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ServiceName
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_core.outcome_counts import suspects
from skylarkferry_core.rendezvous import weighted_choice
from skylarkferry_core.version_assignments import Assignment, VersionShares, are_similar
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.decoding import decode
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.messages import RequestMetadata, UpstreamEntry
from skylarkferry_gateway.service_versions import ServiceVersions, shares_by_service
from skylarkferry_gateway.store_calls import name_part, row_key
from skylarkferry_gateway.stream_origins import StreamOrigins
from skylarkferry_gateway.upstreams import Upstream

_ASSIGNMENT = msgspec.msgpack.Decoder(Assignment)
_PREFIX = row_key("assignments", "assignments", "")
_MAX_ROWS_PER_CALL = 50
"""Rows of one call, which has at most 100 entries: a condition and a write for each."""
_STEADY_S = 10.0
"""Time for which new shares are listed before streams are assigned by them."""
_HANDOVER_S = 2 * defaults.STREAM_KEEP_S
"""Time from the announcement of an assignment to its use.

Gateways learn of it within a few seconds, or within ``STREAM_KEEP_S`` if the store is away; no
stream that began before that can be resumed when the assignment is used, unless it was relayed for
longer than ``STREAM_RENEW_S`` and so has a row.
"""
_MAX_READ_GAP_S = 2 * defaults.ASSIGNMENTS_POLL_S
"""Longest time between two reads of a row that counts as following it."""
_MIN_PREFERRED = 2
"""Healthy upstreams of a version that are needed to send its streams only there."""


class _Known(msgspec.Struct, frozen=True):
    """An assignment as of the last read of its row, and since when reads have found this row."""

    assignment: Assignment
    row_version: int
    followed_from: float
    read_at: float


class VersionAssignments:
    """The assignments of all services.

    A stream that begins at its assigned version needs no row, so that it can go on even if every
    gateway ended and the store was away when it began.
    """

    def __init__(
        self,
        store: FailoverStore,
        versions: ServiceVersions,
        origins: StreamOrigins,
        gateways: GatewayList,
        log: EventLog,
    ) -> None:
        self.store = store
        self.versions = versions
        self.origins = origins
        self.gateways = gateways
        self.log = log
        self.known: dict[ServiceName, _Known] = {}
        self.refused: set[ServiceName] = set()
        """Services whose rows were malformed when they were read."""
        self.listed_from: dict[ServiceName, tuple[VersionShares, float]] = {}

    def needs_row(self, service: ServiceName, metadata: RequestMetadata, version: str) -> bool:
        """Return whether a stream that begins at a version needs a row."""
        known = self.known.get(service)
        return known is None or known.assignment.needs_row(metadata.assignment_key, version)

    def suitable(self, attempts: Attempts, usable: list[Upstream], now: float) -> list[Upstream]:
        """Return the upstreams at which a stream should begin.

        With the store, these are those of the version to which the listed shares lead, as few
        streams need a row then. Without it, they are those at which the stream needs no row: it
        could not be told from the others after a restart.
        """
        usable = self.versions.without_new(usable, now)
        service, metadata = attempts.service, attempts.request.metadata
        listed = self.versions.shares(service)
        if self.is_store_lost():
            return [
                item
                for item in usable
                if not self.needs_row(service, metadata, item.entry.software_version)
            ]
        if len(listed) <= 1:
            return usable
        preferred = _of_version(usable, weighted_choice(metadata.assignment_key, listed))
        healthy = self._healthy(service, preferred, now)
        return healthy if len(healthy) >= _MIN_PREFERRED else usable

    def _healthy(
        self, service: ServiceName, upstreams: list[Upstream], now: float
    ) -> list[Upstream]:
        members = self.versions.upstreams.for_service(service)
        suspected = suspects({item: item.local.outcome_counts for item in members}, now)
        return [item for item in upstreams if _is_serving(item) and item not in suspected]

    def is_sole(self, service: ServiceName, version: str | None) -> bool:
        """Return whether all streams of a service belong to one version."""
        known = self.known.get(service)
        return known is not None and known.assignment.is_sole(version)

    def is_store_lost(self) -> bool:
        """Return whether rows cannot be written now."""
        lost_s = max(self.store.unavailable_s(), self.origins.failing_s())
        return lost_s > defaults.STORE_LOST_AFTER_S

    async def read(self, service: ServiceName) -> Assignment | None:
        """Return the assignment in the store, or ``None``; raise ``PlatformUnavailableError``."""
        row = await self.store.read(_key(service))
        if row.version == 0:
            return None
        self._apply(service, row)
        known = self.known.get(service)
        return known.assignment if known is not None else None

    async def establish(self, entries: Sequence[UpstreamEntry]) -> None:
        """Read the assignments, and create those of services that have none.

        Until this succeeds, each stream of the service needs a row.
        """
        shares = shares_by_service(entries)
        if self.known.keys() | self.refused >= shares.keys():
            return
        with anyio.move_on_after(defaults.STORE_TIMEOUT_S):
            try:
                await self._read_all(shares)
                missing = [name for name in shares if name not in self.known.keys() | self.refused]
                if missing:
                    await self._create(missing[:_MAX_ROWS_PER_CALL], shares)
            except PlatformUnavailableError:
                return  # logged by the store client

    async def _read_all(self, services: Iterable[ServiceName]) -> None:
        rows = {row.key: row for row in await self.store.scan(_PREFIX)}
        for service in services:
            row = rows.get(_key(service))
            if row is not None:
                self._apply(service, row)

    async def _create(
        self, services: list[ServiceName], shares: dict[ServiceName, dict[str, int]]
    ) -> None:
        conditions = [Condition(_key(service), 0) for service in services]
        writes = [
            Write(_key(service), msgspec.msgpack.encode(Assignment(shares[service])))
            for service in services
        ]
        with suppress(WriteConflictError):  # another gateway was first
            await self.store.transact(conditions, writes)
        await self._read_all(shares)

    async def follow(self) -> None:
        """Read the assignments; the first gateway replaces those that do not match the list."""
        if all(self._is_settled(service) for service in self.versions.listed_shares):
            return
        try:
            await self._read_all(self.versions.listed_shares)
        except PlatformUnavailableError:
            return  # logged by the store client
        for service, listed in list(self.versions.listed_shares.items()):
            await self._follow(service, listed)

    def _is_settled(self, service: ServiceName) -> bool:
        """Return whether the service has one version, to which all its streams belong."""
        listed = self.versions.shares(service)
        return len(listed) == 1 and self.is_sole(service, next(iter(listed)))

    async def _follow(self, service: ServiceName, listed: VersionShares) -> None:
        now = anyio.current_time()
        before, since = self.listed_from.get(service, (listed, now))
        if not are_similar(before, listed):
            before, since = listed, now
        self.listed_from[service] = (before, since)
        known = self.known.get(service)
        if known is None or not self.gateways.is_first():
            return
        successor = known.assignment.successor(
            listed,
            is_steady=now - since >= _STEADY_S,
            is_known_everywhere=known.read_at - known.followed_from >= _HANDOVER_S,
        )
        if successor is not None:
            await self._replace(service, known, successor)

    async def _replace(self, service: ServiceName, known: _Known, successor: Assignment) -> None:
        condition = Condition(_key(service), known.row_version)
        write = Write(_key(service), msgspec.msgpack.encode(successor))
        try:
            await self.store.transact([condition], [write])
            await self.read(service)
        except (WriteConflictError, PlatformUnavailableError) as error:
            self.log.emit(
                EventKind.GATEWAY_STORE_RETRY, call="assignments", key=service, detail=error.detail
            )

    def _apply(self, service: ServiceName, row: Row) -> None:
        now = anyio.current_time()
        known = self.known.get(service)
        if known is not None and known.row_version > row.version:
            return
        if known is not None and known.row_version == row.version:
            # After a gap other gateways may have missed the announcement too.
            is_followed = now - known.read_at <= _MAX_READ_GAP_S
            followed_from = known.followed_from if is_followed else now
            self.known[service] = msgspec.structs.replace(
                known, followed_from=followed_from, read_at=now
            )
            return
        try:
            assignment = decode(_ASSIGNMENT.decode, row.value)
        except MalformedDataError as error:
            self.refused.add(service)
            self.log.emit(EventKind.GATEWAY_ROW_REFUSED, key=row.key, detail=error.detail)
            return
        self.known[service] = _Known(assignment, row.version, now, now)
        self.log.emit(
            EventKind.GATEWAY_STREAMS_ASSIGNED,
            service=service,
            row=row.version,
            current=_shares_text(assignment.current),
            following=_shares_text(assignment.following or {}),
        )


def _is_serving(upstream: Upstream) -> bool:
    is_failing = upstream.local.breaker.state is BreakerState.OPEN
    return upstream.accepts_requests and not is_failing


def _of_version(upstreams: list[Upstream], version: str | None) -> list[Upstream]:
    return [item for item in upstreams if item.entry.software_version == version]


def _key(service: ServiceName) -> str:
    return _PREFIX + name_part(service)


def _shares_text(shares: VersionShares) -> str:
    return ",".join(f"{version}:{slots}" for version, slots in sorted(shares.items())) or "none"
