"""List of the running gateways: each one updates a row of its own in the store and reads all."""

import anyio
import msgspec
import xxhash

from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import NodeId, UpstreamId
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_core.request_limits import SlotTurn
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.store_calls import row_key

_PREFIX = row_key("gateways", "", "")
_VALUE = b"1"
_MAX_UNCHANGED_READS = 3
"""Reads without an update of its row after which a gateway counts as gone."""
_DELETE_AFTER_READS = 120
"""Reads without an update after which the row of a gateway is deleted; ten minutes."""
_JOIN_BEATS = 1.2
"""Beats after which all other gateways have read a new row."""


class _Sighting(msgspec.Struct):
    """Version of a gateway's row, and the number of later reads that found the same version."""

    version: int
    unchanged_reads: int = 0


class GatewayList:
    """The running gateways, as of the last read.

    While the store is away, the last list stays in use: reads are counted, not seconds.
    """

    def __init__(self, store: Store, node: NodeId, log: EventLog) -> None:
        self.store = store
        self.node = node
        self.log = log
        self.sightings: dict[str, _Sighting] = {}
        self.nodes: tuple[NodeId, ...] = ()
        self.known_from: float | None = None

    def turn(self, upstream: UpstreamId, now: float) -> SlotTurn | None:
        """Return the turn of this gateway at an upstream, or ``None`` until all others know it."""
        if self.known_from is None or now < self.known_from:
            return None
        # The gateways begin at another one for each upstream, so that its slots do not coincide.
        offset = xxhash.xxh64_intdigest(upstream.encode())
        gateways = len(self.nodes)
        return SlotTurn((self.nodes.index(self.node) + offset) % gateways, gateways)

    async def beat(self) -> None:
        """Update the row of this gateway and read those of all gateways."""
        try:
            if self.known_from is None:
                await self._join()
            else:
                await self._update_row()
            rows = await self.store.scan(_PREFIX)
        except PlatformUnavailableError:
            return  # logged by the store client
        self._apply(rows)
        await self._delete_old_rows(rows)

    async def _join(self) -> None:
        """Write the row; other gateways that know an earlier process of this node count it."""
        rows = await self.store.scan(_PREFIX)
        await self._update_row()
        self._apply(rows)
        is_listed = any(row.key == _PREFIX + self.node for row in rows)
        wait_s = 0.0 if is_listed else _JOIN_BEATS * defaults.GATEWAY_BEAT_S
        self.known_from = anyio.current_time() + wait_s

    async def _update_row(self) -> None:
        await self.store.transact([], [Write(_PREFIX + self.node, _VALUE)])

    def _apply(self, rows: list[Row]) -> None:
        sightings: dict[str, _Sighting] = {}
        for row in rows:
            seen = self.sightings.get(row.key)
            if seen is None or seen.version != row.version:
                seen = _Sighting(row.version)
            else:
                seen.unchanged_reads += 1
            sightings[row.key] = seen
        self.sightings = sightings
        running = {
            NodeId(key.removeprefix(_PREFIX))
            for key, seen in sightings.items()
            if seen.unchanged_reads < _MAX_UNCHANGED_READS
        }
        self._set_nodes(tuple(sorted(running | {self.node})))

    def _set_nodes(self, nodes: tuple[NodeId, ...]) -> None:
        if nodes == self.nodes:
            return
        before, self.nodes = set(self.nodes), nodes
        self.log.emit(
            EventKind.GATEWAY_LIST_CHANGED,
            gateways=len(nodes),
            joined=",".join(sorted(set(nodes) - before)),
            gone=",".join(sorted(before - set(nodes))),
        )

    async def _delete_old_rows(self, rows: list[Row]) -> None:
        """Delete the rows of gateways that ended long ago; the first gateway does it for all."""
        if self.nodes[0] != self.node:
            return
        for row in rows:
            if self.sightings[row.key].unchanged_reads < _DELETE_AFTER_READS:
                continue
            try:
                await self.store.transact([Condition(row.key, row.version)], [Write(row.key, None)])
            except (PlatformUnavailableError, WriteConflictError):
                return  # deleted after a later read, unless the gateway is back
