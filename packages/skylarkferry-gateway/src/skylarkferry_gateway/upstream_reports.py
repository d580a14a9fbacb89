"""Reports of upstreams about themselves, taken from response heads."""

from msgspec import UnsetType

from skylarkferry_core.events import EventKind
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.limit_shares import LimitShares
from skylarkferry_gateway.messages import UpstreamReport
from skylarkferry_gateway.upstream_log import LeavingSource, UpstreamLog
from skylarkferry_gateway.upstreams import Upstream


class UpstreamReports:
    """Apply reports to upstreams, and log what changes."""

    def __init__(self, limits: LimitShares, upstream_log: UpstreamLog, log: EventLog) -> None:
        self.limits = limits
        self.upstream_log = upstream_log
        self.log = log

    def apply(self, upstream: Upstream, report: UpstreamReport, now: float) -> None:
        """Apply the report of an upstream's latest response."""
        if report.load is not None:
            upstream.local.update_load(report.load, upstream.local.in_flight, now)
            self._log_doubt(upstream)
        if report.is_leaving:
            self._apply_leaving(upstream)
        if not isinstance(report.limit_per_s, UnsetType):
            self._apply_limit(upstream, report.limit_per_s)
        self._log_malformed(upstream, report.malformed)

    def _log_doubt(self, upstream: Upstream) -> None:
        """Log when the changes of a reported slowdown begin or cease to be doubted."""
        is_doubted = upstream.local.slowdown.is_doubted
        if is_doubted != upstream.is_slowdown_doubted:
            upstream.is_slowdown_doubted = is_doubted
            self.log.emit(
                EventKind.GATEWAY_SLOWDOWN_DOUBTED,
                upstream=upstream.entry.upstream,
                service=upstream.entry.service,
                doubted=is_doubted,
            )

    def _apply_leaving(self, upstream: Upstream) -> None:
        """Record that the process is leaving, which is final."""
        if not upstream.is_leaving:
            self.upstream_log.on_leaving(upstream, LeavingSource.RESPONSE)
        upstream.has_announced_leaving = True

    def _apply_limit(self, upstream: Upstream, limit_per_s: float | None) -> None:
        before = upstream.limit.per_s if upstream.limit is not None else None
        if limit_per_s == before:
            return
        self.limits.set_limit(upstream, limit_per_s)
        self.log.emit(
            EventKind.GATEWAY_LIMIT_CHANGED,
            upstream=upstream.entry.upstream,
            before=_limit_text(before),
            after=_limit_text(limit_per_s),
        )

    def _log_malformed(self, upstream: Upstream, malformed: tuple[str, ...]) -> None:
        """Log malformed headers, unless those of the previous response were the same."""
        if malformed and malformed != upstream.malformed_headers:
            self.log.emit(
                EventKind.GATEWAY_REPORT_REFUSED,
                upstream=upstream.entry.upstream,
                detail=", ".join(malformed),
            )
        upstream.malformed_headers = malformed


def _limit_text(limit_per_s: float | None) -> str:
    return "none" if limit_per_s is None else f"{limit_per_s:g}"
