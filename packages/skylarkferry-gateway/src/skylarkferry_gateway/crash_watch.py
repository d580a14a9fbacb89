"""Requests that crash the upstreams that run them: found, told to all gateways, and refused."""

from collections.abc import Sequence

import anyio
import msgspec
import xxhash

from skylarkferry_core.crashes import CrashRegistry
from skylarkferry_core.errors import (
    HistoryLostError,
    OverloadedError,
    PlatformUnavailableError,
    UpstreamLostError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CrashId, Fingerprint
from skylarkferry_core.interfaces import Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.http_client import connect
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.store_calls import row_key
from skylarkferry_gateway.upstreams import Upstream

_TABLE = "crashes"
_CRASHES_TO_REFUSE = 3
"""Crashes of different upstreams after which a request runs no more: the bound is the third."""
_PROBE_S = 0.3
"""Connect timeout of the check whether an upstream that broke off has crashed."""


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash: the request that ran there, and the upstream's start that ended."""

    fingerprint: Fingerprint
    crash: CrashId


def fingerprint_of(request: ClientRequest) -> Fingerprint | None:
    """Return what a request has in common with its repeats; ``None`` where nothing tells it."""
    metadata = request.metadata
    caller = metadata.program_id or metadata.affinity_key
    if not caller and not request.body:
        return None
    digest = xxhash.xxh128(request.target)
    for part in (caller.encode(), metadata.run_id.encode(), request.body):
        digest.update(b"\0" + part)
    return Fingerprint(digest.hexdigest())


class CrashWatch:
    """Note which requests ran when an upstream crashed; share them over the store."""

    def __init__(self, store: Store, log: EventLog) -> None:
        self.store = store
        self.log = log
        self.registry = CrashRegistry(_CRASHES_TO_REFUSE)
        self.followed: int | None = None

    def check(self, request: ClientRequest) -> None:
        """Raise ``OverloadedError`` for a request that may run no more; it did not run."""
        if not self.registry.crashes:
            return
        fingerprint = fingerprint_of(request)
        if fingerprint is not None and self.registry.is_quarantined(fingerprint):
            raise OverloadedError(
                "the request crashed upstreams before",
                retry_after_s=defaults.QUARANTINE_RETRY_AFTER_S,
            )

    async def on_connection_lost(self, request: ClientRequest, upstream: Upstream) -> None:
        """Find out whether an upstream that broke off crashed, and note the request if so."""
        fingerprint = fingerprint_of(request)
        if fingerprint is None or not await self._is_down(upstream):
            return
        crash = CrashId(f"{upstream.entry.upstream}.{upstream.entry.born_ms}")
        self._note(CrashReport(fingerprint, crash), request.metadata.request_id)
        key = row_key(_TABLE, "", f"{fingerprint}.{crash}")
        value = msgspec.msgpack.encode(CrashReport(fingerprint, crash))
        try:
            await self.store.transact([], [Write(key, value)])
        except (PlatformUnavailableError, WriteConflictError) as error:
            self.log.emit(EventKind.GATEWAY_STORE_RETRY, call="crashes", detail=error.detail)

    async def _is_down(self, upstream: Upstream) -> bool:
        try:
            connection = await connect(upstream.entry.address, _PROBE_S)
        except UpstreamLostError:
            return True
        await upstream.release_unused(connection)
        return False

    def _note(self, report: CrashReport, request_id: str = "") -> None:
        was_refused = self.registry.is_quarantined(report.fingerprint)
        self.registry.on_crash(report.fingerprint, report.crash)
        is_refused = self.registry.is_quarantined(report.fingerprint)
        kind = EventKind.GATEWAY_CRASH_SUSPECTED
        if is_refused and not was_refused:
            kind = EventKind.GATEWAY_QUARANTINED
        self.log.emit(kind, request=request_id, fingerprint=report.fingerprint, crash=report.crash)

    async def follow(self) -> None:
        """Take what other gateways note, until cancelled."""
        while True:
            try:
                await self._follow_once()
            except PlatformUnavailableError:
                await anyio.sleep(defaults.STORE_RETRY_MAX_S)
            except HistoryLostError:
                self.followed = None

    async def _follow_once(self) -> None:
        if self.followed is None:
            snapshot = await self.store.snapshot(row_key(_TABLE, "", ""))
            self._take(await self.store.scan(row_key(_TABLE, "", "")))
            self.followed = snapshot.version
        changes = await self.store.changes(_TABLE, self.followed, defaults.CRASHES_POLL_TIMEOUT_S)
        self._take(changes.rows)
        self.followed = max(self.followed, changes.version)

    def _take(self, rows: Sequence[Row]) -> None:
        for row in rows:
            if row.version and row.value:
                self._note(msgspec.msgpack.decode(row.value, type=CrashReport))
