"""List of the running gateways: each one updates a row of its own in the store and reads all."""

import math
from typing import Annotated

import anyio
import msgspec
import xxhash

from skylarkferry_core.coordination import host_shares
from skylarkferry_core.errors import (
    MalformedDataError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import NodeId, UpstreamId
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_core.request_limits import TimeSlots
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.decoding import check_address, decode
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.store_calls import retry_until, row_key

_PREFIX = row_key("gateways", "", "")
_MAX_UNCHANGED_READS = 3
"""Reads without an update of its row after which a gateway counts as gone."""
_DELETE_AFTER_READS = 120
"""Reads without an update after which the row of a gateway is deleted; ten minutes."""
_MAX_LOGGED_NAMES = 10
_MAX_CORES = 1_024
_MAX_LINK_BYTES_PER_S = 1e12
_JOIN_HEARTBEATS = 1.2
"""Heartbeats after which all other gateways have read a new row."""


class GatewayMember(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's row: its address for other gateways, and the cores and link of its host.

    The rate of the link is 0 if it is not known; earlier versions write and read rows without it.
    """

    address: str
    cores: Annotated[float, msgspec.Meta(gt=0, le=_MAX_CORES)]
    link_bytes_per_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_LINK_BYTES_PER_S)] = 0.0

    def encode(self) -> bytes:
        """Encode the row, as earlier versions do if the link is not known."""
        if not self.link_bytes_per_s:
            return msgspec.msgpack.encode((self.address, self.cores))
        return msgspec.msgpack.encode(self)


_MEMBER = msgspec.msgpack.Decoder(GatewayMember)


class _Sighting(msgspec.Struct):
    """Version of a gateway's row, and the number of later reads that found the same version."""

    version: int
    unchanged_reads: int = 0


class GatewayList:
    """The running gateways, as of the last read.

    While the store is away, the last list stays in use: reads are counted, not seconds.
    """

    def __init__(self, store: Store, node: NodeId, member: GatewayMember, log: EventLog) -> None:
        self.store = store
        self.node = node
        self.member = member
        self.members: dict[NodeId, GatewayMember] = {}
        self.log = log
        self.sightings: dict[str, _Sighting] = {}
        self.nodes: tuple[NodeId, ...] = ()
        self.unreadable: set[NodeId] = set()
        """Listed names whose rows are malformed; no gateway of that name may run."""
        self.known_from: float | None = None
        self.rejoined_from = -math.inf
        self.has_read_own = False
        """Whether the list was read after this gateway's row was written."""
        self.updated_at: float | None = None
        """Start of the last update of this gateway's row that was followed by a read."""

    def is_counted(self, now: float) -> bool:
        """Return whether all gateways that read the list certainly have this one in it."""
        if self.known_from is None or now < self.known_from or self.updated_at is None:
            return False
        return now >= self.rejoined_from and now - self.updated_at < self._listed_s()

    def _listed_s(self) -> float:
        """Return for how long no other gateway takes this one off the list after an update.

        The reads of others are an interval apart, and each may be late by half of one.
        """
        return (_MAX_UNCHANGED_READS - 0.5) * defaults.GATEWAY_HEARTBEAT_S

    def time_slots(self, upstream: UpstreamId, now: float) -> TimeSlots | None:
        """Return the time slots of this gateway, or ``None`` until all others know of it."""
        if self.known_from is None or now < self.known_from:
            return None
        # The order is rotated, so that slots at upstreams with equal limits do not coincide.
        offset = xxhash.xxh64_intdigest(upstream.encode())
        gateways = len(self.nodes)
        return TimeSlots((self.nodes.index(self.node) + offset) % gateways, gateways)

    def peer_addresses(self) -> set[str]:
        """Return the addresses of the other running gateways."""
        return {member.address for node, member in self.members.items() if node != self.node}

    def peer_shares(self) -> dict[str, float]:
        """Return by address what the hosts of the others can do for this gateway, 1 at most.

        It is empty while no link is known, as all hosts then count alike.
        """
        links = {node: member.link_bytes_per_s for node, member in self.members.items()}
        if not any(links.values()):
            return {}
        cores = {node: member.cores for node, member in self.members.items()}
        shares = host_shares(cores, links)
        return {self.members[node].address: share for node, share in shares.items()}

    def is_first(self) -> bool:
        """Return whether this gateway does what one gateway does for all."""
        readable = (node for node in self.nodes if node not in self.unreadable)
        return next(readable, None) == self.node

    async def send_heartbeat(self) -> None:
        """Update the row of this gateway and read those of all gateways."""
        began = anyio.current_time()
        deadline_at = began + defaults.GATEWAY_HEARTBEAT_S / 2
        try:
            if self.known_from is None:
                await self._join(deadline_at)
                self.updated_at = began
            else:
                await self._update_row(deadline_at)
                self._apply(await self._read(deadline_at))
                self.has_read_own = True
                if self.updated_at is None or began - self.updated_at > self._listed_s():
                    # Others may have taken this gateway off their lists meanwhile.
                    self.rejoined_from = began + _JOIN_HEARTBEATS * defaults.GATEWAY_HEARTBEAT_S
                self.updated_at = began
                await self._delete_old_rows()
        except PlatformUnavailableError:
            return  # logged by the store client

    async def read_joined(self) -> None:
        """Read which gateways join at the same time as this one; none counts as gone.

        Later, also in an outage, the list is read with the heartbeats only.
        """
        if self.known_from is None or anyio.current_time() >= self.known_from:
            return
        try:
            rows = await self._read(anyio.current_time() + defaults.GATEWAY_HEARTBEAT_S / 2)
        except PlatformUnavailableError:
            return  # logged by the store client
        self._apply(rows, counts_reads=False)
        self.has_read_own = True

    async def _join(self, deadline_at: float) -> None:
        """Add the row of this gateway; until all others have read it, it has no time slots.

        If the row exists, the others count this gateway already.
        """
        rows = await self._read(deadline_at)
        await self._update_row(deadline_at)
        self._apply(rows)
        is_counted = _PREFIX + self.node in self.sightings
        wait_s = 0.0 if is_counted else _JOIN_HEARTBEATS * defaults.GATEWAY_HEARTBEAT_S
        self.known_from = anyio.current_time() + wait_s

    async def _read(self, deadline_at: float) -> list[Row]:
        return await retry_until(lambda: self.store.scan(_PREFIX), deadline_at)

    async def _update_row(self, deadline_at: float) -> None:
        write = Write(_PREFIX + self.node, self.member.encode())
        await retry_until(lambda: self.store.transact([], [write]), deadline_at)

    def _apply(self, rows: list[Row], *, counts_reads: bool = True) -> None:
        sightings: dict[str, _Sighting] = {}
        for row in rows:
            seen = self.sightings.get(row.key)
            if seen is None or seen.version != row.version:
                seen = _Sighting(row.version)
            elif counts_reads:
                seen.unchanged_reads += 1
            sightings[row.key] = seen
        self.sightings = sightings
        running = {
            NodeId(key.removeprefix(_PREFIX))
            for key, seen in sightings.items()
            if seen.unchanged_reads < _MAX_UNCHANGED_READS
        }
        self.members = {self.node: self.member}
        self.unreadable = set()
        for row in rows:
            node = NodeId(row.key.removeprefix(_PREFIX))
            if node in running and node != self.node:
                member = self._decode_member(row)
                if member is None:
                    self.unreadable.add(node)
                else:
                    self.members[node] = member
        self._set_nodes(tuple(sorted(running | {self.node})))

    def _decode_member(self, row: Row) -> GatewayMember | None:
        """Decode a row of another gateway; one that is malformed names no gateway."""
        try:
            member = decode(_MEMBER.decode, row.value)
            check_address(member.address)
        except MalformedDataError as error:
            if self.sightings[row.key].unchanged_reads == 0:
                self.log.emit(EventKind.GATEWAY_ROW_REFUSED, key=row.key, detail=error.detail)
            return None
        return member

    def _set_nodes(self, nodes: tuple[NodeId, ...]) -> None:
        if nodes == self.nodes:
            return
        before, self.nodes = set(self.nodes), nodes
        self.log.emit(
            EventKind.GATEWAY_LIST_CHANGED,
            gateways=len(nodes),
            joined=_names_text(set(nodes) - before),
            gone=_names_text(before - set(nodes)),
        )

    async def _delete_old_rows(self) -> None:
        """Delete the rows of gateways that ended long ago; the first gateway does it for all."""
        if not self.is_first():
            return
        for key, seen in self.sightings.items():
            if seen.unchanged_reads < _DELETE_AFTER_READS:
                continue
            try:
                await self.store.transact([Condition(key, seen.version)], [Write(key, None)])
            except WriteConflictError:
                continue  # the gateway is back


def _names_text(nodes: set[NodeId]) -> str:
    """Format names for the log, which has the first few only."""
    return ",".join(sorted(nodes)[:_MAX_LOGGED_NAMES])
