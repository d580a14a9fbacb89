"""Log lines and counters of changes in the set of upstreams."""

from enum import Enum

from skylarkferry_core.events import EventKind
from skylarkferry_daemon.log import NO_PROGRAM, EventLog
from skylarkferry_gateway.messages import UpstreamEntry
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.upstreams import Upstream


class LeavingSource(Enum):
    """Where a gateway learned that an upstream is leaving."""

    LIST = "list"
    RESPONSE = "response"


class UpstreamLog:
    """Log upstreams that are listed, leave or are no longer listed."""

    def __init__(self, log: EventLog, metrics: GatewayMetrics) -> None:
        self.log = log
        self.metrics = metrics

    def on_seen(self, upstream: Upstream) -> None:
        """Log a process that is listed for the first time."""
        self._emit(EventKind.GATEWAY_UPSTREAM_SEEN, upstream)

    def on_leaving(self, upstream: Upstream, source: LeavingSource) -> None:
        """Log and count an upstream that is leaving."""
        self.metrics.leaving_upstreams.labels(source=source.value).inc()
        self._emit(EventKind.GATEWAY_UPSTREAM_LEAVING, upstream, source=source.value)

    def on_gone(self, upstream: Upstream) -> None:
        """Log an upstream that is no longer listed."""
        self._emit(EventKind.GATEWAY_UPSTREAM_GONE, upstream)

    def on_outdated(self, entry: UpstreamEntry) -> None:
        """Log an entry that is older than one that was read before."""
        self.log.emit(
            EventKind.GATEWAY_ENTRY_OUTDATED,
            NO_PROGRAM,
            upstream=entry.upstream,
            born_ms=entry.born_ms,
            sequence=entry.sequence,
            leaving=entry.is_leaving,
        )

    def _emit(self, kind: EventKind, upstream: Upstream, **fields: str) -> None:
        entry = upstream.entry
        self.log.emit(
            kind,
            NO_PROGRAM,
            upstream=entry.upstream,
            service=entry.service,
            address=entry.address,
            domain=entry.failure_domain,
            born_ms=entry.born_ms,
            version=entry.software_version,
            **fields,
        )
