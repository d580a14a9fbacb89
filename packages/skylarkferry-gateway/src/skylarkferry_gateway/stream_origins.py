"""Service and software version that began each resumable stream, shared through the store."""

from collections import OrderedDict, deque
from collections.abc import Callable

import anyio
import msgspec

from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ServiceName
from skylarkferry_core.interfaces import Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.messages import StreamOrigin
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.store_calls import key_part, row_key

_TABLE = "streams"
_PART = "streams"
_MAX_STREAMS = 8_192
_MAX_UNSENT = 4_000
"""Rows that wait for the store; beyond that, the oldest are dropped."""
_ROWS_PER_CALL = 100
_CALLS_PER_S = 100.0
"""Write calls of all gateways together; one part of the store takes 250 a second."""
_DELETE_AFTER_MS = 600_000
"""Age at which rows of ended gateways are deleted; clocks of gateways differ by seconds."""
_MS_PER_S = 1_000


class _Row(msgspec.Struct, frozen=True, array_like=True):
    """A stored origin; ``began_ms`` is the Unix time of its record."""

    origin: StreamOrigin
    began_ms: int


class _Known(msgspec.Struct, frozen=True):
    """An origin in memory; ``is_stored`` if its row was queued or read from the store."""

    origin: StreamOrigin
    known_at: float
    is_stored: bool


class StreamOrigins:
    """Origins of the streams that this gateway has relayed, by the id of the attempt that began it.

    Rows are written in batches, at a rate that all gateways share, and deleted when the streams
    cannot be resumed any more.
    """

    def __init__(
        self,
        store: Store,
        gateways: GatewayList,
        wall_clock: Callable[[], float],
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.store = store
        self.gateways = gateways
        self.wall_clock = wall_clock
        self.log = log
        self.metrics = metrics
        self.known: OrderedDict[str, _Known] = OrderedDict()
        self.unsent: deque[Write] = deque()
        self.stored: deque[tuple[float, str]] = deque()
        self.added = anyio.Event()

    def record(self, stream: str, origin: StreamOrigin, *, is_shared: bool) -> None:
        """Record the origin of a stream that is about to send its first event here.

        ``is_shared`` tells whether other gateways need it.
        """
        self._remember(stream, origin, is_shared)
        if is_shared:
            self._enqueue(stream, origin)

    def remember(self, stream: str, origin: StreamOrigin) -> None:
        """Keep an origin that was read from the store or told by another gateway."""
        self._remember(stream, origin, True)

    def _remember(self, stream: str, origin: StreamOrigin, is_stored: bool) -> None:
        now = anyio.current_time()
        self.known[stream] = _Known(origin, now, is_stored)
        self.known.move_to_end(stream)
        oldest = next(iter(self.known.values()))
        if len(self.known) > _MAX_STREAMS or now - oldest.known_at > defaults.STREAM_KEEP_S:
            self.known.popitem(last=False)

    def share(self, service: ServiceName) -> None:
        """Store the origins of a service's streams that only this gateway knows."""
        for stream, known in self.known.items():
            if known.origin.service == service and not known.is_stored:
                self.known[stream] = msgspec.structs.replace(known, is_stored=True)
                self._enqueue(stream, known.origin)

    def get(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream as far as this gateway has relayed it."""
        known = self.known.get(stream)
        return known.origin if known is not None else None

    async def read(self, stream: str) -> StreamOrigin | None:
        """Return the stored origin of a stream; raise ``PlatformUnavailableError``."""
        row = await self.store.read(_key(stream))
        if row.version == 0 or not row.value:
            return None
        return msgspec.msgpack.decode(row.value, type=_Row).origin

    def _enqueue(self, stream: str, origin: StreamOrigin) -> None:
        row = _Row(origin, int(self.wall_clock() * _MS_PER_S))
        self.unsent.append(Write(_key(stream), msgspec.msgpack.encode(row)))
        self.stored.append((anyio.current_time(), _key(stream)))
        if len(self.unsent) > _MAX_UNSENT:
            self._on_dropped(self.unsent.popleft())
        self.added.set()

    def _on_dropped(self, write: Write) -> None:
        self.metrics.stream_records.labels(outcome="dropped").inc()
        self.log.emit(
            EventKind.GATEWAY_STORE_RETRY,
            call=_TABLE,
            detail=f"too many rows wait for the store; {write.key} is dropped",
        )

    async def write(self) -> None:
        """Write queued rows until cancelled; a failed call is repeated."""
        while True:
            if not self.unsent:
                self.added = anyio.Event()
                await self.added.wait()
            await self._write_batch()
            await anyio.sleep(max(len(self.gateways.nodes), 1) / _CALLS_PER_S)

    async def _write_batch(self) -> None:
        batch = [self.unsent.popleft() for _ in range(min(len(self.unsent), _ROWS_PER_CALL))]
        latest = {write.key: write for write in batch}
        try:
            await self.store.transact([], list(latest.values()))
        except PlatformUnavailableError as error:
            self.unsent.extendleft(reversed(batch))
            self.metrics.stream_records.labels(outcome="failed").inc(len(batch))
            self.log.emit(
                EventKind.GATEWAY_STORE_RETRY, call=_TABLE, rows=len(batch), detail=error.detail
            )
            await anyio.sleep(defaults.STORE_RETRY_MAX_S)
            return
        self.metrics.stream_records.labels(outcome="stored").inc(len(batch))

    async def delete_old(self) -> None:
        """Queue the deletion of the rows whose streams cannot be resumed any more."""
        limit = anyio.current_time() - defaults.STREAM_KEEP_S - defaults.STREAM_KEEP_MARGIN_S
        while self.stored and self.stored[0][0] < limit:
            self.unsent.append(Write(self.stored.popleft()[1], None))
            self.added.set()

    async def delete_rows_of_ended_gateways(self) -> None:
        """Queue the deletion of rows that nobody deleted; the first gateway does it for all."""
        if not self.gateways.is_first():
            return
        try:
            rows = await self.store.scan(row_key(_TABLE, _PART, ""))
        except PlatformUnavailableError:
            return  # logged by the store client
        limit_ms = int(self.wall_clock() * _MS_PER_S) - _DELETE_AFTER_MS
        for row in rows:
            if msgspec.msgpack.decode(row.value, type=_Row).began_ms < limit_ms:
                self.unsent.append(Write(row.key, None))
                self.added.set()


def _key(stream: str) -> str:
    return row_key(_TABLE, _PART, key_part(stream))
