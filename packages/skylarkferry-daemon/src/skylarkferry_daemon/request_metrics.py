"""Metrics of the HTTP interface for callers and operators."""

from prometheus_client import Counter, Gauge

REQUESTS = Counter(
    "skylarkferry_http_requests", "HTTP requests by route and status.", ("route", "status")
)
STREAMS_OPEN = Gauge("skylarkferry_http_streams_open", "Event streams open to callers.")
DOCUMENT_VERSION = Gauge("skylarkferry_document_version", "Document version in force here.")
