"""Each service's assignment of streams to software versions, a row of the store for all."""

from collections.abc import Sequence
from contextlib import suppress

import anyio
import msgspec

from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ServiceName
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_core.rendezvous import weighted_choice
from skylarkferry_core.version_assignments import Assignment, VersionShares, are_similar
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.messages import RequestMetadata, UpstreamEntry
from skylarkferry_gateway.service_versions import ServiceVersions, shares_by_service
from skylarkferry_gateway.store_calls import key_part, row_key
from skylarkferry_gateway.upstreams import Upstream

_PREFIX = row_key("assignments", "assignments", "")
_MAX_ROWS_PER_CALL = 100
_STEADY_S = 10.0
"""Time for which new shares are listed before streams are assigned by them."""
_HANDOVER_S = 2 * defaults.STREAM_KEEP_S
"""Time from the announcement of an assignment to its use.

Gateways learn of it within a few seconds, or within ``STREAM_KEEP_S`` if the store is away; no
stream that began before that can be resumed when the assignment is used.
"""
_MIN_PREFERRED = 2
"""Upstreams of a version that must be usable for its streams to be sent only there."""


class _Known(msgspec.Struct, frozen=True):
    """An assignment, the version of its row, and since when this process has followed that row."""

    assignment: Assignment
    row_version: int
    followed_from: float


class VersionAssignments:
    """The assignments of all services.

    A stream that begins at its assigned version needs no row, so that it can go on even if every
    gateway ended and the store was away when it began.
    """

    def __init__(
        self,
        store: FailoverStore,
        versions: ServiceVersions,
        gateways: GatewayList,
        log: EventLog,
    ) -> None:
        self.store = store
        self.versions = versions
        self.gateways = gateways
        self.log = log
        self.known: dict[ServiceName, _Known] = {}
        self.listed_from: dict[ServiceName, tuple[VersionShares, float]] = {}

    def needs_row(self, service: ServiceName, metadata: RequestMetadata, version: str) -> bool:
        """Return whether a stream that begins at a version needs a row."""
        known = self.known.get(service)
        return known is None or known.assignment.needs_row(metadata.assignment_key, version)

    def suitable(
        self, service: ServiceName, metadata: RequestMetadata, usable: list[Upstream], now: float
    ) -> list[Upstream]:
        """Return the upstreams at which a stream should begin.

        With the store, these are those of the version to which the listed shares lead, as few
        streams need a row then. Without it, they are those of the assigned version, unless that
        version has left: a stream elsewhere could not be told from the others after a restart.
        """
        key = metadata.assignment_key
        listed = self.versions.shares(service)
        usable = self.versions.without_new(usable, now)
        if not self.is_store_lost():
            if len(listed) <= 1:
                return usable
            preferred = _of_version(usable, weighted_choice(key, listed))
            return preferred if len(preferred) >= _MIN_PREFERRED else usable
        known = self.known.get(service)
        version = known.assignment.version(key) if known is not None else None
        return _of_version(usable, version) if version in listed else usable

    def is_sole(self, service: ServiceName, version: str | None) -> bool:
        """Return whether all streams of a service belong to one version."""
        known = self.known.get(service)
        return known is not None and known.assignment.is_sole(version)

    def is_store_lost(self) -> bool:
        """Return whether rows cannot be written now."""
        return self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S

    async def read(self, service: ServiceName) -> Assignment | None:
        """Return the assignment in the store, or ``None``; raise ``PlatformUnavailableError``."""
        row = await self.store.read(_key(service))
        if row.version == 0:
            return None
        self._apply(service, row)
        return self.known[service].assignment

    async def establish(self, entries: Sequence[UpstreamEntry]) -> None:
        """Read the assignments, and create those of services that have none.

        Until this succeeds, each stream of the service needs a row.
        """
        shares = shares_by_service(entries)
        if self.known.keys() >= shares.keys():
            return
        with anyio.move_on_after(defaults.STORE_TIMEOUT_S):
            try:
                await self._read_all(shares)
                missing = [name for name in shares if name not in self.known]
                if missing:
                    await self._create(missing[:_MAX_ROWS_PER_CALL], shares)
            except PlatformUnavailableError:
                return  # logged by the store client

    async def _read_all(self, shares: dict[ServiceName, dict[str, int]]) -> None:
        rows = {row.key: row for row in await self.store.scan(_PREFIX)}
        for service in shares:
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
        """Read the assignments that do not match the list; the first gateway replaces them."""
        for service, listed in list(self.versions.listed_shares.items()):
            known = self.known.get(service)
            if not listed or known is None:
                continue
            assignment = known.assignment
            if assignment.following is None and are_similar(assignment.current, listed):
                self.listed_from.pop(service, None)
                continue
            await self._follow(service, listed)

    async def _follow(self, service: ServiceName, listed: VersionShares) -> None:
        now = anyio.current_time()
        before, since = self.listed_from.get(service, (listed, now))
        if not are_similar(before, listed):
            before, since = listed, now
        self.listed_from[service] = (before, since)
        try:
            assignment = await self.read(service)
        except PlatformUnavailableError:
            self._restart_following(service, now)
            return
        if assignment is None or not self.gateways.is_first():
            return
        known = self.known[service]
        successor = assignment.successor(
            listed,
            is_steady=now - since >= _STEADY_S,
            is_known_everywhere=now - known.followed_from >= _HANDOVER_S,
        )
        if successor is not None:
            await self._replace(service, known, successor)

    def _restart_following(self, service: ServiceName, now: float) -> None:
        """Count the handover anew: other gateways may not reach the store either."""
        known = self.known[service]
        self.known[service] = msgspec.structs.replace(known, followed_from=now)

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
        known = self.known.get(service)
        if known is not None and known.row_version >= row.version:
            return
        assignment = msgspec.msgpack.decode(row.value, type=Assignment)
        self.known[service] = _Known(assignment, row.version, anyio.current_time())
        self.log.emit(
            EventKind.GATEWAY_STREAMS_ASSIGNED,
            service=service,
            row=row.version,
            current=_shares_text(assignment.current),
            following=_shares_text(assignment.following or {}),
        )


def _of_version(upstreams: list[Upstream], version: str | None) -> list[Upstream]:
    return [item for item in upstreams if item.entry.software_version == version]


def _key(service: ServiceName) -> str:
    return _PREFIX + key_part(service)


def _shares_text(shares: VersionShares) -> str:
    return ",".join(f"{version}:{slots}" for version, slots in sorted(shares.items())) or "none"
