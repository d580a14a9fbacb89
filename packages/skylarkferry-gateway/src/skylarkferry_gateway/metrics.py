"""Counters and latency histograms of the gateway."""

from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from skylarkferry_core.histories import TurnCache
from skylarkferry_gateway.held_memory import MemoryAccount

_LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0)
_PLACEMENT_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05)


class GatewayMetrics:
    """Metrics of one gateway process in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "skylarkferry_gateway_requests",
            "Client requests by route kind and outcome.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.access_refusals = Counter(
            "skylarkferry_gateway_access_refusals",
            "Requests refused for want of a key that is certainly valid, by cause.",
            ["cause"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "skylarkferry_gateway_request_seconds",
            "Time from a request's last byte to its answer's last byte.",
            ["kind"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.first_event = Histogram(
            "skylarkferry_gateway_first_event_seconds",
            "Time from a request's last byte to its stream's first event.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.failed_sends = Counter(
            "skylarkferry_gateway_failed_sends",
            "Sends to upstreams without an answer that counts, by code.",
            ["outcome"],
            registry=self.registry,
        )
        self.upstream_connections = Counter(
            "skylarkferry_gateway_upstream_connections",
            "Attempts by the connection that they use: a new or an idle one.",
            ["state"],
            registry=self.registry,
        )
        self.skipped_responses = Counter(
            "skylarkferry_gateway_skipped_responses",
            "Responses that were read and not used, by why they are not the request's.",
            ["reason"],
            registry=self.registry,
        )
        self.store_calls = Counter(
            "skylarkferry_gateway_store_calls",
            "Calls to the platform's store by kind and outcome.",
            ["call", "outcome"],
            registry=self.registry,
        )
        self.store_latency = Histogram(
            "skylarkferry_gateway_store_seconds",
            "Time of calls to the platform's store that were answered.",
            ["call"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.requests_under_way = Gauge(
            "skylarkferry_gateway_requests_under_way",
            "Client requests under way.",
            registry=self.registry,
        )
        self.upstreams = Gauge(
            "skylarkferry_gateway_upstreams",
            "Listed upstreams by service.",
            ["service"],
            registry=self.registry,
        )
        self.slowdown = Gauge(
            "skylarkferry_gateway_slowdown",
            "Mean slowdown of a service's hosts, from those that report one.",
            ["service"],
            registry=self.registry,
        )
        self.config_version = Gauge(
            "skylarkferry_gateway_config_version",
            "Version of the routing table in force.",
            registry=self.registry,
        )
        self.crash_checks = Counter(
            "skylarkferry_gateway_crash_checks",
            "Lost attempts by what is known of the upstream process.",
            ["outcome"],
            registry=self.registry,
        )
        self.crash_reports = Counter(
            "skylarkferry_gateway_crash_reports",
            "Writes of crash reports to the store by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.quarantined = Gauge(
            "skylarkferry_gateway_quarantined_requests",
            "Distinct requests in quarantine.",
            registry=self.registry,
        )
        self.quarantine_refusals = Counter(
            "skylarkferry_gateway_quarantine_refusals",
            "Requests rejected because of their quarantine.",
            registry=self.registry,
        )
        self.leaving_upstreams = Counter(
            "skylarkferry_gateway_leaving_upstreams",
            "Upstreams that began to leave, by where this gateway learned it first.",
            ["source"],
            registry=self.registry,
        )
        self.limited_attempts = Counter(
            "skylarkferry_gateway_limited_attempts",
            "Attempts sent to upstreams that name a request limit.",
            registry=self.registry,
        )
        self.limit_refusals = Counter(
            "skylarkferry_gateway_limit_refusals",
            "Attempts not made because all usable upstreams had reached their request limits.",
            registry=self.registry,
        )
        self.stream_resumptions = Counter(
            "skylarkferry_gateway_stream_resumptions",
            "Streams that clients resumed, by where the version that began them was found.",
            ["source"],
            registry=self.registry,
        )
        self.start_time_checks = Counter(
            "skylarkferry_gateway_start_time_checks",
            "Engines asked for their process before a stream was sent, by what they reported.",
            ["outcome"],
            registry=self.registry,
        )
        self.stream_records = Counter(
            "skylarkferry_gateway_stream_records",
            "Rows of streams for other gateways by outcome of their write.",
            ["outcome"],
            registry=self.registry,
        )
        self.told_streams = Counter(
            "skylarkferry_gateway_told_streams",
            "Streams told between gateways at planned stops by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.placements = Counter(
            "skylarkferry_gateway_placements",
            "Attempts by who chose the upstream: a coordinator, or this gateway's own view.",
            ["source"],
            registry=self.registry,
        )
        self.placement_latency = Histogram(
            "skylarkferry_gateway_placement_seconds",
            "Time from a question to a coordinator to its answer.",
            buckets=_PLACEMENT_BUCKETS,
            registry=self.registry,
        )
        self.coordinated_attempts = Gauge(
            "skylarkferry_gateway_coordinated_attempts",
            "Attempts of all gateways that this one follows as a coordinator.",
            registry=self.registry,
        )
        self.quota_charges = Counter(
            "skylarkferry_gateway_quota_charges",
            "Tokens of customers' quotas taken for attempts: from stock, or asked of the owner.",
            ["source"],
            registry=self.registry,
        )
        self.quota_returns = Counter(
            "skylarkferry_gateway_quota_returns",
            "Tokens given back because the request had certainly not run.",
            registry=self.registry,
        )
        self.quota_refusals = Counter(
            "skylarkferry_gateway_quota_refusals",
            "Requests refused because of their customer's quota, by what their program had done.",
            ["program"],
            registry=self.registry,
        )
        self.quota_exchanges = Counter(
            "skylarkferry_gateway_quota_exchanges",
            "Questions to owners of quotas by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.quota_owner_changes = Counter(
            "skylarkferry_gateway_quota_owner_changes",
            "Changes of the owner that this gateway asks for a shard of the quotas.",
            registry=self.registry,
        )
        self.datagrams_dropped = Counter(
            "skylarkferry_gateway_datagrams_dropped",
            "Datagrams between gateways that were not sent or not understood, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "skylarkferry_gateway_held_bytes",
            "Bytes that the process holds, by what they are for.",
            ["use"],
            registry=self.registry,
        )
        self.memory_refusals = Counter(
            "skylarkferry_gateway_memory_refusals",
            "Requests refused because the process held too many bytes.",
            registry=self.registry,
        )
        self.chain_refusals = Counter(
            "skylarkferry_gateway_chain_refusals",
            "Turns refused because there was no memory for the turns before them.",
            registry=self.registry,
        )
        self.body_refusals = Counter(
            "skylarkferry_gateway_body_refusals",
            "Requests refused because their upstream had no room for large request bodies.",
            registry=self.registry,
        )
        self.body_wait = Histogram(
            "skylarkferry_gateway_body_wait_seconds",
            "Time for which a request body waited until its upstream had room for it.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.slow_streams = Counter(
            "skylarkferry_gateway_slow_streams",
            "Streams read ahead of slow clients, and those ended for lack of memory.",
            ["outcome"],
            registry=self.registry,
        )
        self.task_failures = Counter(
            "skylarkferry_gateway_task_failures",
            "Background tasks that failed with an unexpected error, by task.",
            ["task"],
            registry=self.registry,
        )
        self.dropped_lines = Counter(
            "skylarkferry_gateway_dropped_log_lines",
            "Log lines dropped to stay within the bound.",
            registry=self.registry,
        )

    def follow_memory(self, account: MemoryAccount, turns: TurnCache) -> None:
        """Show what the account and the cache hold whenever the metrics are read."""
        for use, share in account.shares.items():
            self.held_bytes.labels(use=use.value).set_function(partial(getattr, share, "used"))
        self.held_bytes.labels(use="turn_cache").set_function(
            lambda: turns.held_bytes - turns.in_use_bytes
        )
        self.held_bytes.labels(use="turns_in_use").set_function(lambda: turns.in_use_bytes)
        self.held_bytes.labels(use="turns_reserved").set_function(lambda: turns.reserved_bytes)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
