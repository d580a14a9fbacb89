"""Service and software version that began resumable streams, shared through the store."""

from collections import OrderedDict, deque
from collections.abc import Collection, Sequence

import anyio
import msgspec

from skylarkferry_core.errors import (
    MalformedDataError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ServiceName
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.decoding import decode
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.messages import StreamOrigin, ToldStream
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.store_calls import key_part, row_key

_ORIGIN = msgspec.msgpack.Decoder(StreamOrigin)
_TABLE = "streams"
_PART = "streams"
_MAX_STREAMS = 8_192
_MAX_TOLD = 8_192
"""Streams of other gateways in memory; beyond that, those told first are forgotten."""
_MAX_UNSENT = 4_000
"""Rows that wait for the store; beyond that, the oldest are dropped."""
_MAX_BACKLOG = 2_000
"""Rows of streams whose routes have moved that wait behind all others."""
_ROWS_PER_CALL = 50
"""Rows of one call, which has at most 100 entries: a condition and a write for each."""
_CALLS_PER_S = 100.0
"""Write calls of all gateways together; one part of the store takes 250 a second."""
_DELETE_AFTER_S = 600.0
"""Time after which a row that nobody deleted is deleted, since it was first seen or renewed."""


class _Known(msgspec.Struct, frozen=True):
    """An origin in memory, and the monotonic time at which it became known."""

    origin: StreamOrigin
    known_at: float


class _Active:
    """A stream that is relayed now, by one or more requests."""

    def __init__(self, origin: StreamOrigin, now: float) -> None:
        self.origin = origin
        self.renewed_at = now
        self.relays = 0


class StreamRow:
    """A row that is queued for the store; ``stored`` is set when it is there.

    A renewal is written also if the row has the same value already.
    """

    def __init__(self, write: Write, *, is_renewal: bool = False) -> None:
        self.write = write
        self.is_renewal = is_renewal
        self.stored = anyio.Event()


class _Sighting(msgspec.Struct, frozen=True):
    """Version of a row, and the monotonic time at which it was first seen."""

    version: int
    seen_at: float


class StreamOrigins:
    """Origins of the streams that this gateway has relayed, by the id of the attempt that began it.

    Only streams whose version does not follow from their assignment have rows, and those that are
    relayed for long, as their assignment may be replaced meanwhile. Rows are written in batches, at
    a rate that all gateways share, renewed while their streams are relayed, and deleted when these
    cannot be resumed any more. The gateway that wrote a row last deletes it.

    ``active`` holds the streams that are relayed now, ``versions`` the versions of the rows that
    this gateway has written. ``told`` holds streams that ending gateways told this one of, by their
    ids as in row keys. It never replaces what this gateway knows itself.
    """

    def __init__(
        self, store: Store, gateways: GatewayList, log: EventLog, metrics: GatewayMetrics
    ) -> None:
        self.store = store
        self.gateways = gateways
        self.log = log
        self.metrics = metrics
        self.known: OrderedDict[str, _Known] = OrderedDict()
        self.told: OrderedDict[str, _Known] = OrderedDict()
        self.has_told = False
        self.active: dict[str, _Active] = {}
        self.unsent: deque[Write] = deque()
        self.backlog: deque[Write] = deque()
        self.rows: dict[str, StreamRow] = {}
        self.written: OrderedDict[str, float] = OrderedDict()
        self.versions: dict[str, int] = {}
        self.sightings: dict[str, _Sighting] = {}
        self.failing_since: float | None = None
        self.added = anyio.Event()

    def remember(self, stream: str, origin: StreamOrigin) -> None:
        """Keep the origin of a stream that this gateway relays."""
        now = anyio.current_time()
        self.known[stream] = _Known(origin, now)
        self.known.move_to_end(stream)
        oldest = next(iter(self.known.values()))
        if len(self.known) > _MAX_STREAMS or now - oldest.known_at > defaults.STREAM_KEEP_S:
            self.known.popitem(last=False)

    def on_relayed(self, stream: str, origin: StreamOrigin) -> None:
        """Keep a stream for as long as it is relayed."""
        self.remember(stream, origin)
        active = self.active.setdefault(stream, _Active(origin, anyio.current_time()))
        active.relays += 1

    def on_relay_ended(self, stream: str) -> None:
        """Count the time for which a stream can be resumed from now on."""
        active = self.active[stream]
        active.relays -= 1
        if active.relays:
            return
        del self.active[stream]
        self.remember(stream, active.origin)
        self._postpone_deletion(_key(stream))

    def store_row(self, stream: str, origin: StreamOrigin) -> StreamRow:
        """Queue the row of a stream; a later row of the same stream replaces it."""
        return self._store(StreamRow(Write(_key(stream), msgspec.msgpack.encode(origin))))

    def renew_row(self, stream: str, origin: StreamOrigin) -> None:
        """Queue the row of a stream that goes on, also if another gateway has written it."""
        key = _key(stream)
        if key not in self.rows:
            self._store(StreamRow(Write(key, msgspec.msgpack.encode(origin)), is_renewal=True))

    def store_rows_of(self, services: Collection[ServiceName]) -> None:
        """Queue the rows of the streams of these services that can be resumed and have none.

        They are written after all others, since a stream that begins waits for its row.
        """
        writes = [
            Write(row_key(_TABLE, _PART, item.stream), msgspec.msgpack.encode(item.origin))
            for item in self.resumable()
            if item.origin.service in services
        ]
        missing = [write for write in writes if write.key not in self.written]
        queued = missing[: _MAX_BACKLOG - len(self.backlog)]
        for write in queued:
            self._register(StreamRow(write))
        self.backlog.extend(queued)
        self.added.set()
        if len(queued) < len(missing):
            self.log.emit(
                EventKind.GATEWAY_STORE_RETRY,
                call=_TABLE,
                detail=f"too many rows wait; {len(missing) - len(queued)} get none",
            )

    def _store(self, row: StreamRow) -> StreamRow:
        self._register(row)
        self._enqueue(row.write)
        return row

    def _register(self, row: StreamRow) -> None:
        self.rows[row.write.key] = row
        self.written[row.write.key] = anyio.current_time()
        self.written.move_to_end(row.write.key)

    async def renew_rows(self) -> None:
        """Queue the rows of streams that have been relayed since they were renewed last."""
        now = anyio.current_time()
        for stream, active in self.active.items():
            if now - active.renewed_at >= defaults.STREAM_RENEW_S:
                active.renewed_at = now
                self.renew_row(stream, active.origin)

    def _postpone_deletion(self, key: str) -> None:
        if key in self.written:
            self.written[key] = anyio.current_time()
            self.written.move_to_end(key)

    def failing_s(self) -> float:
        """Return the seconds since rows could be written last; 0 if they can."""
        return 0.0 if self.failing_since is None else anyio.current_time() - self.failing_since

    def get(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream that this gateway has relayed or was told of."""
        active = self.active.get(stream)
        if active is not None:
            return active.origin
        known = self.known.get(stream)
        if known is None:
            known = self.told.get(key_part(stream))
            if known is not None and not _can_resume(known, anyio.current_time()):
                return None
        return known.origin if known is not None else None

    def take(self, streams: Sequence[ToldStream]) -> int:
        """Keep the origins that a gateway tells when it ends; return how many were new."""
        now = anyio.current_time()
        taken = 0
        for item in streams:
            told = _Known(item.origin, now - item.age_s)
            # An id that is not its own row key names another stream than this row does.
            is_id = key_part(item.stream) == item.stream
            known = self.known.get(item.stream) if is_id else None
            known = known or self.told.get(item.stream)
            if known is None and _can_resume(told, now):
                self.told[item.stream] = told
                taken += 1
            elif known is not None and known.origin != item.origin:
                self.refuse(f"{item.stream}: {item.origin} instead of {known.origin}")
        while len(self.told) > _MAX_TOLD:
            self.told.popitem(last=False)
        self.metrics.told_streams.labels(outcome="taken").inc(taken)
        self.log.emit(EventKind.GATEWAY_STREAMS_TAKEN, streams=len(streams), taken=taken)
        return taken

    def refuse(self, detail: str) -> None:
        """Count and log what another gateway told and this one does not use."""
        self.metrics.told_streams.labels(outcome="refused").inc()
        self.log.emit(EventKind.GATEWAY_STREAMS_REFUSED, detail=detail)

    def resumable(self) -> list[ToldStream]:
        """Return the streams in memory that can still be resumed, the latest first."""
        now = anyio.current_time()
        latest = self.told | {key_part(stream): known for stream, known in self.known.items()}
        for stream, active in self.active.items():
            latest[key_part(stream)] = _Known(active.origin, now)
        streams = [
            ToldStream(stream, known.origin, now - known.known_at)
            for stream, known in latest.items()
            if _can_resume(known, now)
        ]
        return sorted(streams, key=lambda item: item.age_s)

    async def read(self, stream: str) -> StreamOrigin | None:
        """Return the stored origin of a stream; raise ``PlatformUnavailableError``."""
        row = await self.store.read(_key(stream))
        if row.version == 0 or not row.value:
            return None
        try:
            return decode(_ORIGIN.decode, row.value)
        except MalformedDataError as error:
            self.log.emit(EventKind.GATEWAY_ROW_REFUSED, key=row.key, detail=error.detail)
            raise

    def _enqueue(self, write: Write) -> None:
        self.unsent.append(write)
        if len(self.unsent) > _MAX_UNSENT:
            self._on_dropped(self.unsent.popleft())
        self.added.set()

    def _on_dropped(self, write: Write) -> None:
        self.metrics.stream_records.labels(outcome="dropped").inc()
        self._forget_row(write)
        if write.value is None:
            self.versions.pop(write.key, None)
        self.log.emit(
            EventKind.GATEWAY_STORE_RETRY,
            call=_TABLE,
            detail=f"too many rows wait for the store; {write.key} is dropped",
        )

    async def write(self) -> None:
        """Write queued rows until cancelled; a failed call is repeated."""
        while True:
            if not self.unsent and not self.backlog:
                self.added = anyio.Event()
                await self.added.wait()
            await self._write_batch()
            await anyio.sleep(max(len(self.gateways.nodes), 1) / _CALLS_PER_S)

    async def _write_batch(self) -> None:
        batch = [self.unsent.popleft() for _ in range(min(len(self.unsent), _ROWS_PER_CALL))]
        spare = _ROWS_PER_CALL - len(batch)
        batch.extend(self.backlog.popleft() for _ in range(min(len(self.backlog), spare)))
        latest = {write.key: write for write in batch}
        began = anyio.current_time()
        try:
            await self._transact(list(latest.values()))
        except (PlatformUnavailableError, WriteConflictError) as error:
            if self.failing_since is None:
                self.failing_since = began
            self.unsent.extendleft(reversed(batch))
            self.metrics.stream_records.labels(outcome="failed").inc(len(batch))
            self.log.emit(
                EventKind.GATEWAY_STORE_RETRY, call=_TABLE, rows=len(batch), detail=error.detail
            )
            await anyio.sleep(defaults.STORE_RETRY_MAX_S)
            return
        self.failing_since = None
        self.metrics.stream_records.labels(outcome="stored").inc(len(batch))
        for write in latest.values():
            row = self._forget_row(write)
            if row is not None:
                row.stored.set()

    async def _transact(self, writes: Sequence[Write]) -> None:
        """Write rows that are as this gateway left them.

        A call that takes effect late thus replaces no row, and a row is not deleted once another
        gateway has renewed it.
        """
        conditions = [Condition(write.key, self.versions.get(write.key, 0)) for write in writes]
        try:
            version = await self.store.transact(conditions, writes)
        except WriteConflictError:
            for write in writes:
                await self._write_alone(write)
            return
        for write in writes:
            self._on_written(write, version)

    async def _write_alone(self, write: Write) -> None:
        row = await self.store.read(write.key)
        version = row.version
        if self._has_to_write(write, row):
            version = await self.store.transact([Condition(write.key, row.version)], [write])
        self._on_written(write, version)

    def _has_to_write(self, write: Write, row: Row) -> bool:
        if write.value is None:
            return row.version != 0 and row.version == self.versions.get(write.key)
        queued = self.rows.get(write.key)
        return row.value != write.value or (queued is not None and queued.is_renewal)

    def _on_written(self, write: Write, version: int) -> None:
        if write.value is not None:
            self.versions[write.key] = version
        else:
            self.versions.pop(write.key, None)

    def _forget_row(self, write: Write) -> StreamRow | None:
        """Forget a row that is written or dropped, unless a later one was queued meanwhile."""
        row = self.rows.get(write.key)
        if row is None or row.write is not write:
            return None
        return self.rows.pop(write.key)

    async def delete_old(self) -> None:
        """Forget streams that cannot be resumed any more, and queue the deletion of their rows."""
        now = anyio.current_time()
        for stream in [item for item, told in self.told.items() if not _can_resume(told, now)]:
            del self.told[stream]
        for stream in self.active:
            self._postpone_deletion(_key(stream))
        limit = now - defaults.STREAM_KEEP_S - defaults.STREAM_KEEP_MARGIN_S
        while self.written and next(iter(self.written.values())) < limit:
            self._enqueue(Write(self.written.popitem(last=False)[0], None))

    async def delete_rows_of_ended_gateways(self) -> None:
        """Queue the deletion of rows that nobody deleted; the first gateway does it for all."""
        if not self.gateways.is_first():
            return
        try:
            rows = await self.store.scan(row_key(_TABLE, _PART, ""))
        except PlatformUnavailableError:
            return  # logged by the store client
        now = anyio.current_time()
        before, self.sightings = self.sightings, {}
        for row in rows:
            seen = before.get(row.key)
            if seen is None or seen.version != row.version:
                seen = _Sighting(row.version, now)
            self.sightings[row.key] = seen
            if now - seen.seen_at >= _DELETE_AFTER_S:
                self.versions[row.key] = row.version
                self._enqueue(Write(row.key, None))


def _can_resume(known: _Known, now: float) -> bool:
    return now - known.known_at < defaults.STREAM_KEEP_S


def _key(stream: str) -> str:
    return row_key(_TABLE, _PART, key_part(stream))
