"""Detection and quarantine of requests that crash the upstreams that run them."""

from collections import deque

import anyio
import msgspec
import xxhash

from skylarkferry_core.crashes import CrashRegistry
from skylarkferry_core.customer_ids import customer_scope
from skylarkferry_core.errors import OverloadedError, SkylarkferryError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import Fingerprint, ProgramId
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.timers import TimerService
from skylarkferry_gateway import defaults
from skylarkferry_gateway.crash_reports import CrashReports
from skylarkferry_gateway.interfaces import Store
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.process_checks import CheckResult, ProcessChecker, ProcessState
from skylarkferry_gateway.process_ends import EndSpan
from skylarkferry_gateway.upstreams import Upstream

_QUARANTINE_CRASHES = 3
"""Crashes of different upstreams after which a request is quarantined; the bound is three."""
_MAX_UNDECIDED = 1_000
"""Lost attempts that wait for the upstream list; beyond that, the oldest are given up."""
_LIST_EVIDENCE_S = 6.0
"""Age up to which a lost attempt is explained by the list: an entry lapses within 5 s."""


class LostAttempt(msgspec.Struct, frozen=True):
    """A lost attempt, when its upstream's process can have ended, and the latest check for that."""

    request_id: str
    program_id: ProgramId
    fingerprints: tuple[Fingerprint, ...]
    upstream: Upstream
    span: EndSpan
    result: CheckResult


def fingerprints_of(request: ClientRequest) -> tuple[Fingerprint, ...]:
    """Return digests of a request: of its content, and of its content with its caller if known.

    A repeat shares at least one of them.  The first recognizes it whoever sends it; the second
    still does if others complete requests with the same content.  The content is the path, the body
    and the turn that is continued; a repeat may have another query.  Requests of two customers
    share none.
    """
    metadata = request.metadata
    digest = xxhash.xxh128(request.path.encode("latin-1") + b"\0" + request.body)
    contexts = [b"\0turn\0" + metadata.previous_turn.encode()]
    caller = metadata.program_id or metadata.affinity_key
    if caller:
        contexts.append(b"\0caller\0" + caller.encode())
    scope = customer_scope(request.customer.name) if request.customer is not None else ""
    return tuple(Fingerprint(scope + _digest_with(digest, context)) for context in contexts)


def _digest_with(digest: xxhash.xxh128, data: bytes) -> str:
    extended = digest.copy()
    extended.update(data)
    return extended.hexdigest()


class CrashWatch:
    """Find out which requests ran when an upstream crashed, and reject those that did so often."""

    def __init__(
        self, store: Store, checker: ProcessChecker, log: EventLog, metrics: GatewayMetrics
    ) -> None:
        self.checker = checker
        self.log = log
        self.metrics = metrics
        self.registry = CrashRegistry(_QUARANTINE_CRASHES)
        self.reports = CrashReports(store, self.registry, log, metrics)
        self.undecided: deque[LostAttempt] = deque(maxlen=_MAX_UNDECIDED)

    def subscribe(self, timers: TimerService) -> None:
        """Schedule the decisions that wait for the upstream list, and the sweeps."""
        timers.every(defaults.UPSTREAMS_POLL_S, self.decide_by_list)
        timers.every(defaults.CRASHES_SWEEP_S, self.reports.withdraw_old)

    def refusal(self, request: ClientRequest) -> SkylarkferryError | None:
        """Return the error for a quarantined request, or ``None`` if it may be sent."""
        if not self.registry.crashes:
            return None
        quarantined = filter(self.registry.is_quarantined, fingerprints_of(request))
        fingerprint = next(quarantined, None)
        if fingerprint is None:
            return None
        self.metrics.quarantine_refusals.inc()
        self.log.emit(
            EventKind.GATEWAY_QUARANTINE_APPLIED,
            request.metadata.program_id,
            request=request.metadata.request_id,
            fingerprint=fingerprint,
            crashes=len(self.registry.crashes.get(fingerprint, ())),
        )
        return OverloadedError(
            "the request crashed upstreams before",
            retry_after_s=defaults.QUARANTINE_RETRY_AFTER_S,
        )

    def on_completed(self, request: ClientRequest) -> None:
        """Record that an upstream has completed a request, and withdraw its crash reports."""
        for fingerprint in fingerprints_of(request):
            self.reports.on_completed(fingerprint)

    async def on_attempt_lost(
        self, request: ClientRequest, upstream: Upstream, alive_at: float
    ) -> None:
        """Record the request if the upstream's process ended while it ran there.

        The process was alive at monotonic time ``alive_at``, as its connection shows.
        The way in which the attempt was lost does not matter: a process that ends resets its
        connections, closes them, or leaves them silent.
        """
        span = EndSpan(alive_at, anyio.current_time())
        result = await self.checker.check(upstream)
        metadata = request.metadata
        attempt = LostAttempt(
            metadata.request_id,
            metadata.program_id,
            fingerprints_of(request),
            upstream,
            span,
            result,
        )
        self._log_check(attempt)
        if result.state is ProcessState.ENDED:
            self._on_crash(attempt)
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
                self._on_crash(decided)
            elif read_at is None or read_at < attempt.span.gone_by + _LIST_EVIDENCE_S:
                self.undecided.append(attempt)

    def _on_crash(self, attempt: LostAttempt) -> None:
        entry = attempt.upstream.entry
        for fingerprint in attempt.fingerprints:
            self.reports.add_end(fingerprint, entry, attempt.span, attempt.request_id)

    def _log_check(self, attempt: LostAttempt) -> None:
        entry, result = attempt.upstream.entry, attempt.result
        self.metrics.crash_checks.labels(outcome=result.state.value).inc()
        self.log.emit(
            EventKind.GATEWAY_CRASH_CHECKED,
            attempt.program_id,
            request=attempt.request_id,
            fingerprint=",".join(attempt.fingerprints),
            upstream=entry.upstream,
            born_ms=entry.born_ms,
            state=result.state.value,
            detail=result.detail,
        )
