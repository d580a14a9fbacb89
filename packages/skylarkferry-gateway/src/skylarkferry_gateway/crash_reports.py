"""Crash reports of all gateways, shared through the platform's store."""

import itertools
from collections import deque
from collections.abc import Sequence

import anyio
import msgspec
import xxhash

from skylarkferry_core.crashes import CrashRegistry
from skylarkferry_core.errors import HistoryLostError, MalformedDataError, PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CrashId, Fingerprint
from skylarkferry_core.interfaces import Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.completed_requests import CompletedRequests
from skylarkferry_gateway.decoding import decode
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.messages import UpstreamEntry
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.process_ends import EndSpan, end_name
from skylarkferry_gateway.store_calls import pause_after, row_key

_TABLE = "crashes"
_MAX_UNSENT = 1_000
"""Reports that wait for the store; beyond that, the oldest are dropped."""
_ANY_TIME = EndSpan()


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash: the request that was running, and the end of a process that it met."""

    fingerprint: Fingerprint
    crash: CrashId


_REPORT = msgspec.msgpack.Decoder(CrashReport)


class _Change(msgspec.Struct, frozen=True):
    """A report to write to the store, or to delete from it."""

    report: CrashReport
    is_withdrawal: bool


class CrashReports:
    """Record crashes in a registry, write them to the store, and follow those of other gateways.

    ``known_since`` holds the monotonic time at which each report became known here, ``spans`` when
    the process ended as far as this gateway can tell.
    """

    def __init__(
        self, store: Store, registry: CrashRegistry, log: EventLog, metrics: GatewayMetrics
    ) -> None:
        self.store = store
        self.registry = registry
        self.log = log
        self.metrics = metrics
        self.completed = CompletedRequests()
        self.known_since: dict[CrashReport, float] = {}
        self.spans: dict[CrashReport, EndSpan] = {}
        self.unsent: deque[_Change] = deque()
        self.added = anyio.Event()
        self.followed_version: int | None = None

    def add_end(
        self, fingerprint: Fingerprint, entry: UpstreamEntry, span: EndSpan, request_id: str
    ) -> None:
        """Record that a process ended under a request; attempts lost with one process count once.

        Two attempts were lost with the same process unless one began after the other's had ended.
        """
        for number in itertools.count():
            report = CrashReport(fingerprint, end_name(entry, number))
            known = self.spans.get(report)
            common = known.common(span) if known is not None else None
            if common is not None:
                self.spans[report] = common
                return
            if known is None and _Change(report, is_withdrawal=True) not in self.unsent:
                self.add(report, request_id, span)
                return

    def add(self, report: CrashReport, request_id: str, span: EndSpan = _ANY_TIME) -> None:
        """Record a crash that this gateway found, and queue its report to the others.

        A request that was completed lately is not suspected: other requests ran there as well.
        """
        if self.completed.is_recent(report.fingerprint, anyio.current_time()):
            self.log.emit(
                EventKind.GATEWAY_CRASH_DISMISSED,
                request=request_id,
                fingerprint=report.fingerprint,
                crash=report.crash,
            )
            return
        self._record(report, span, request_id)
        self._enqueue(_Change(report, is_withdrawal=False))

    def on_completed(self, fingerprint: Fingerprint) -> None:
        """Forget the crashes of a request that was completed, here and at the other gateways."""
        self.completed.add(fingerprint, anyio.current_time())
        if fingerprint in self.registry.crashes:
            self._withdraw(fingerprint)

    def _withdraw(self, fingerprint: Fingerprint) -> None:
        for report in [item for item in self.known_since if item.fingerprint == fingerprint]:
            self._withdraw_report(report)

    async def withdraw_old(self) -> None:
        """Withdraw reports that have been known for longer than ``CRASH_KEEP_S``."""
        limit = anyio.current_time() - defaults.CRASH_KEEP_S
        for report in [item for item, since in self.known_since.items() if since < limit]:
            self._withdraw_report(report)

    def _withdraw_report(self, report: CrashReport) -> None:
        self._forget(report)
        self._enqueue(_Change(report, is_withdrawal=True))

    def _enqueue(self, change: _Change) -> None:
        self.unsent.append(change)
        if len(self.unsent) > _MAX_UNSENT:
            self._log_failed(self.unsent.popleft(), "too many reports wait for the store")
        self.added.set()

    async def write(self) -> None:
        """Write queued changes until cancelled; a failed write is repeated until it succeeds."""
        delay_s = defaults.STORE_RETRY_S
        while True:
            if not self.unsent:
                self.added = anyio.Event()
                await self.added.wait()
            change = self.unsent[0]
            try:
                await self.store.transact([], [_write(change)])
            except PlatformUnavailableError as error:
                self._log_failed(change, error.detail)
                await anyio.sleep(delay_s)
                delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)
                continue
            delay_s = defaults.STORE_RETRY_S
            if self.unsent and self.unsent[0] is change:
                self.unsent.popleft()
            self.metrics.crash_reports.labels(outcome="stored").inc()
            self.log.emit(
                EventKind.GATEWAY_CRASH_SHARED,
                fingerprint=change.report.fingerprint,
                crash=change.report.crash,
                withdrawn=change.is_withdrawal,
            )

    def _log_failed(self, change: _Change, detail: str) -> None:
        self.metrics.crash_reports.labels(outcome="failed").inc()
        self.log.emit(
            EventKind.GATEWAY_STORE_RETRY, call=_TABLE, crash=change.report.crash, detail=detail
        )

    async def follow(self) -> None:
        """Apply the reports of other gateways until cancelled."""
        while True:
            asked_at = anyio.current_time()
            try:
                await self._follow_once()
            except PlatformUnavailableError:
                await anyio.sleep(defaults.STORE_RETRY_MAX_S)
            except HistoryLostError:
                self.followed_version = None
            await pause_after(asked_at)

    async def _follow_once(self) -> None:
        if self.followed_version is None:
            snapshot = await self.store.snapshot(row_key(_TABLE, "", ""))
            rows = await self.store.scan(row_key(_TABLE, "", ""))
            self._forget_missing({row.key for row in rows})
            self._apply(rows)
            self.followed_version = snapshot.version
        changes = await self.store.changes(
            _TABLE, self.followed_version, defaults.CRASHES_POLL_TIMEOUT_S
        )
        self._apply(changes.rows)
        self.followed_version = max(self.followed_version, changes.version)

    def _apply(self, rows: Sequence[Row]) -> None:
        for row in rows:
            if row.version and row.value:
                try:
                    report = _decode_report(row)
                except MalformedDataError as error:
                    self.log.emit(EventKind.GATEWAY_ROW_REFUSED, key=row.key, detail=error.detail)
                    continue
                self._record(report, EndSpan(gone_by=anyio.current_time()))
                if self.completed.is_recent(report.fingerprint, anyio.current_time()):
                    self._withdraw(report.fingerprint)
            else:
                self._forget_deleted(row.key)

    def _forget_deleted(self, key: str) -> None:
        for report in [item for item in self.known_since if _row_key(item) == key]:
            self._forget(report)

    def _forget_missing(self, keys: set[str]) -> None:
        """Forget the reports that others withdrew while their changes were not followed."""
        unsent = {change.report for change in self.unsent}
        for report in [item for item in self.known_since if _row_key(item) not in keys]:
            if report not in unsent:
                self._forget(report)

    def _forget(self, report: CrashReport) -> None:
        del self.known_since[report], self.spans[report]
        self.registry.forget(report.fingerprint, report.crash)
        self.metrics.quarantined.set(len(self.registry.quarantined()))
        self.log.emit(
            EventKind.GATEWAY_CRASH_FORGOTTEN, fingerprint=report.fingerprint, crash=report.crash
        )

    def _record(self, report: CrashReport, span: EndSpan, request_id: str = "") -> None:
        """Record a crash and log it, unless it is known already."""
        fingerprint, crash = report.fingerprint, report.crash
        if report in self.known_since or _Change(report, is_withdrawal=True) in self.unsent:
            return
        self.known_since[report] = anyio.current_time()
        self.spans[report] = span
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


def _decode_report(row: Row) -> CrashReport:
    """Decode a report; raise ``MalformedDataError`` also if it cannot be withdrawn by its key."""
    report = decode(_REPORT.decode, row.value)
    if _row_key(report) != row.key:
        raise MalformedDataError("the report belongs under another key")
    return report


def _write(change: _Change) -> Write:
    value = None if change.is_withdrawal else msgspec.msgpack.encode(change.report)
    return Write(_row_key(change.report), value)
