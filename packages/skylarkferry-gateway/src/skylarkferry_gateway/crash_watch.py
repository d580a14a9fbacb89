"""Quarantine of requests that crash upstreams, shared by all gateways through the store."""

from collections import deque
from collections.abc import Sequence

import anyio
import msgspec
import xxhash

from skylarkferry_core.crashes import CrashRegistry
from skylarkferry_core.errors import (
    HistoryLostError,
    OverloadedError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CrashId, Fingerprint
from skylarkferry_core.interfaces import Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.timers import TimerService
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.process_checks import CheckResult, ProcessChecker, ProcessState
from skylarkferry_gateway.store_calls import key_part, row_key
from skylarkferry_gateway.upstreams import Upstream

_TABLE = "crashes"
_QUARANTINE_CRASHES = 3
"""Crashes of different upstreams after which a request is quarantined; the bound is three."""

_MAX_UNDECIDED = 1_000
"""Lost attempts that wait for the upstream list; beyond that, the oldest are given up."""
_LIST_EVIDENCE_S = 6.0
"""Age up to which a lost attempt is explained by the list: an entry lapses within 5 s."""


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt that was lost at monotonic time ``lost_at``, and the latest check for a crash."""

    request: ClientRequest
    upstream: Upstream
    lost_at: float
    result: CheckResult


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash: the request that was running, and the attempt under which a process ended."""

    fingerprint: Fingerprint
    crash: CrashId


def fingerprint_of(request: ClientRequest) -> Fingerprint | None:
    """Return a digest shared by all repeats of a request; ``None`` if nothing identifies them."""
    metadata = request.metadata
    caller = metadata.program_id or metadata.affinity_key
    if not caller and not request.body:
        return None
    digest = xxhash.xxh128(request.target)
    for part in (caller.encode(), metadata.run_id.encode(), request.body):
        digest.update(b"\0" + part)
    return Fingerprint(digest.hexdigest())


class CrashWatch:
    """Record which requests ran when an upstream crashed, and share them through the store."""

    def __init__(
        self, store: Store, checker: ProcessChecker, log: EventLog, metrics: GatewayMetrics
    ) -> None:
        self.store = store
        self.checker = checker
        self.log = log
        self.metrics = metrics
        self.registry = CrashRegistry(_QUARANTINE_CRASHES)
        self.followed_version: int | None = None
        self.undecided: deque[LostAttempt] = deque(maxlen=_MAX_UNDECIDED)

    def subscribe(self, timers: TimerService) -> None:
        """Schedule the decisions that wait for the upstream list."""
        timers.every(defaults.UPSTREAMS_POLL_S, self.decide_by_list)

    def check(self, request: ClientRequest) -> None:
        """Raise ``OverloadedError`` for a quarantined request, before it is sent."""
        if not self.registry.crashes:
            return
        fingerprint = fingerprint_of(request)
        if fingerprint is not None and self.registry.is_quarantined(fingerprint):
            self.metrics.quarantine_refusals.inc()
            self.log.emit(
                EventKind.GATEWAY_QUARANTINE_APPLIED,
                request.metadata.program_id,
                request=request.metadata.request_id,
                fingerprint=fingerprint,
                crashes=len(self.registry.crashes.get(fingerprint, ())),
            )
            raise OverloadedError(
                "the request crashed upstreams before",
                retry_after_s=defaults.QUARANTINE_RETRY_AFTER_S,
            )

    async def on_attempt_lost(self, request: ClientRequest, upstream: Upstream) -> None:
        """Record the request if the upstream's process ended while it ran there.

        The way in which the attempt was lost does not matter: a process that ends resets its
        connections, closes them, or leaves them silent.
        """
        lost_at = anyio.current_time()
        result = await self.checker.check(upstream)
        attempt = LostAttempt(request, upstream, lost_at, result)
        self._log_check(attempt)
        if result.state is ProcessState.ENDED:
            await self._on_crash(attempt)
        else:
            self.undecided.append(attempt)

    async def decide_by_list(self) -> None:
        """Decide on attempts that no connection could explain, by the latest upstream list.

        A process that is back before the check accepts connections; its entry then tells that it
        was started anew.
        """
        read_at = self.checker.upstreams.read_at
        attempts = list(self.undecided)
        self.undecided.clear()
        for attempt in attempts:
            result = self.checker.check_list(attempt.upstream, attempt.result)
            if result.state is ProcessState.ENDED:
                decided = msgspec.structs.replace(attempt, result=result)
                self._log_check(decided)
                await self._on_crash(decided)
            elif read_at is None or read_at < attempt.lost_at + _LIST_EVIDENCE_S:
                self.undecided.append(attempt)

    async def _on_crash(self, attempt: LostAttempt) -> None:
        request, upstream = attempt.request, attempt.upstream
        fingerprint = fingerprint_of(request)
        if fingerprint is None:
            return
        # The listed start time may be that of an earlier process, so the attempt names the crash.
        crash = CrashId(f"{key_part(request.metadata.request_id)}.{upstream.entry.upstream}")
        self._record(CrashReport(fingerprint, crash), request.metadata.request_id)
        key = row_key(_TABLE, "", f"{fingerprint}.{crash}")
        value = msgspec.msgpack.encode(CrashReport(fingerprint, crash))
        try:
            await self.store.transact([], [Write(key, value)])
        except (PlatformUnavailableError, WriteConflictError) as error:
            self.metrics.crash_reports.labels(outcome="failed").inc()
            self.log.emit(
                EventKind.GATEWAY_STORE_RETRY, call="crashes", crash=crash, detail=error.detail
            )
            return
        self.metrics.crash_reports.labels(outcome="stored").inc()
        self.log.emit(EventKind.GATEWAY_CRASH_SHARED, fingerprint=fingerprint, crash=crash)

    def _log_check(self, attempt: LostAttempt) -> None:
        request, upstream, result = attempt.request, attempt.upstream, attempt.result
        self.metrics.crash_checks.labels(outcome=result.state.value).inc()
        self.log.emit(
            EventKind.GATEWAY_CRASH_CHECKED,
            request.metadata.program_id,
            request=request.metadata.request_id,
            fingerprint=fingerprint_of(request) or "none",
            upstream=upstream.entry.upstream,
            born_ms=upstream.entry.born_ms,
            state=result.state.value,
            detail=result.detail,
        )

    def _record(self, report: CrashReport, request_id: str = "") -> None:
        was_quarantined = self.registry.is_quarantined(report.fingerprint)
        self.registry.on_crash(report.fingerprint, report.crash)
        is_quarantined_now = self.registry.is_quarantined(report.fingerprint)
        self.metrics.quarantined.set(len(self.registry.quarantined()))
        kind = EventKind.GATEWAY_CRASH_SUSPECTED
        if is_quarantined_now and not was_quarantined:
            kind = EventKind.GATEWAY_QUARANTINED
        self.log.emit(kind, request=request_id, fingerprint=report.fingerprint, crash=report.crash)

    async def follow(self) -> None:
        """Apply crash reports of other gateways until cancelled."""
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
