"""Crash reports of all gateways, shared through the platform's store."""

from collections import deque
from collections.abc import Sequence

import anyio
import msgspec
import xxhash

from skylarkferry_core.crashes import CrashRegistry
from skylarkferry_core.errors import (
    HistoryLostError,
    PlatformUnavailableError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CrashId, Fingerprint
from skylarkferry_core.interfaces import Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.store_calls import row_key

_TABLE = "crashes"
_MAX_UNSENT = 1_000
"""Reports that wait for the store; beyond that, the oldest are dropped."""


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash: the request that was running, and the attempt under which a process ended."""

    fingerprint: Fingerprint
    crash: CrashId


class CrashReports:
    """Record crashes in a registry, write them to the store, and follow those of other gateways."""

    def __init__(
        self, store: Store, registry: CrashRegistry, log: EventLog, metrics: GatewayMetrics
    ) -> None:
        self.store = store
        self.registry = registry
        self.log = log
        self.metrics = metrics
        self.unsent: deque[CrashReport] = deque()
        self.added = anyio.Event()
        self.followed_version: int | None = None

    def add(self, report: CrashReport, request_id: str) -> None:
        """Record a crash that this gateway found, and queue its report to the others."""
        self._record(report, request_id)
        self.unsent.append(report)
        if len(self.unsent) > _MAX_UNSENT:
            self._log_failed(self.unsent.popleft(), "too many reports wait for the store")
        self.added.set()

    async def write(self) -> None:
        """Write queued reports until cancelled; a failed write is repeated until it succeeds."""
        delay_s = defaults.STORE_RETRY_S
        while True:
            if not self.unsent:
                self.added = anyio.Event()
                await self.added.wait()
            report = self.unsent[0]
            try:
                await self.store.transact([], [Write(_row_key(report), _encode(report))])
            except PlatformUnavailableError as error:
                self._log_failed(report, error.detail)
                await anyio.sleep(delay_s)
                delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)
                continue
            delay_s = defaults.STORE_RETRY_S
            if self.unsent and self.unsent[0] is report:
                self.unsent.popleft()
            self.metrics.crash_reports.labels(outcome="stored").inc()
            self.log.emit(
                EventKind.GATEWAY_CRASH_SHARED, fingerprint=report.fingerprint, crash=report.crash
            )

    def _log_failed(self, report: CrashReport, detail: str) -> None:
        self.metrics.crash_reports.labels(outcome="failed").inc()
        self.log.emit(EventKind.GATEWAY_STORE_RETRY, call=_TABLE, crash=report.crash, detail=detail)

    async def follow(self) -> None:
        """Apply the reports of other gateways until cancelled."""
        while True:
            try:
                await self._follow_once()
            except PlatformUnavailableError:
                await anyio.sleep(defaults.STORE_RETRY_MAX_S)
            except HistoryLostError:
                self.followed_version = None

    async def _follow_once(self) -> None:
        if self.followed_version is None:
            snapshot = await self.store.snapshot(row_key(_TABLE, "", ""))
            self._apply(await self.store.scan(row_key(_TABLE, "", "")))
            self.followed_version = snapshot.version
        changes = await self.store.changes(
            _TABLE, self.followed_version, defaults.CRASHES_POLL_TIMEOUT_S
        )
        self._apply(changes.rows)
        self.followed_version = max(self.followed_version, changes.version)

    def _apply(self, rows: Sequence[Row]) -> None:
        for row in rows:
            if row.version and row.value:
                self._record(msgspec.msgpack.decode(row.value, type=CrashReport))

    def _record(self, report: CrashReport, request_id: str = "") -> None:
        """Record a crash and log it, unless it is known already."""
        fingerprint, crash = report.fingerprint, report.crash
        if crash in self.registry.crashes.get(fingerprint, ()):
            return
        was_quarantined = self.registry.is_quarantined(fingerprint)
        self.registry.on_crash(fingerprint, crash)
        self.metrics.quarantined.set(len(self.registry.quarantined()))
        kind = EventKind.GATEWAY_CRASH_SUSPECTED
        if self.registry.is_quarantined(fingerprint) and not was_quarantined:
            kind = EventKind.GATEWAY_QUARANTINED
        self.log.emit(kind, request=request_id, fingerprint=fingerprint, crash=crash)


def _row_key(report: CrashReport) -> str:
    crash = xxhash.xxh128_hexdigest(report.crash.encode())
    return row_key(_TABLE, "", f"{report.fingerprint}.{crash}")


def _encode(report: CrashReport) -> bytes:
    return msgspec.msgpack.encode(report)
