"""An entry's view of the upstreams: load, orders sent since, states and speeds."""

from collections import deque
from collections.abc import Callable, Mapping, Sequence

from skylarkferry_bench.upstreams import Upstream
from skylarkferry_core.breakers import Breaker
from skylarkferry_core.cache_estimates import CacheEstimates
from skylarkferry_core.ids import PoolName, UpstreamId
from skylarkferry_core.interfaces import Candidate, PlacementRequest
from skylarkferry_core.messages import CacheEvent, LoadReport
from skylarkferry_core.speeds import SpeedEstimates
from skylarkferry_core.states import PoolKind, UpstreamState

_GONE_AFTER_S = 10.0

Shares = Callable[[float], Mapping[PoolName, float]]


class UpstreamView:
    """An entry's view of one upstream; ``sent`` holds the time and prefill tokens of each order."""

    def __init__(self, upstream: Upstream, now: float) -> None:
        self.upstream = upstream
        self.load = LoadReport(
            slots=upstream.spec.slots,
            free_kv_tokens=upstream.spec.kv_tokens,
            kv_tokens=upstream.spec.kv_tokens,
        )
        self.taken_at = now
        self.sent: deque[tuple[float, int]] = deque()
        self.failed_at: float | None = None
        self.breaker = Breaker()

    def update(self, load: LoadReport, taken_at: float) -> None:
        """Apply a load report, unless a newer one was applied.

        The report includes the orders sent up to ``taken_at``, which are removed from ``sent``.
        """
        if taken_at < self.taken_at:
            return
        self.load = load
        self.taken_at = taken_at
        self.failed_at = None
        while self.sent and self.sent[0][0] <= taken_at:
            self.sent.popleft()

    def state(self, now: float) -> UpstreamState:
        """Return the state derived from reports and failed calls."""
        if self.failed_at is None:
            return UpstreamState.LIVE
        if now - self.failed_at > _GONE_AFTER_S:
            return UpstreamState.GONE
        return UpstreamState.SUSPECT


class UpstreamViews:
    """An entry's views of all upstreams."""

    def __init__(self, upstreams: Sequence[Upstream], shares: Shares, now: float) -> None:
        self.views = {upstream.name: UpstreamView(upstream, now) for upstream in upstreams}
        self.shares = shares
        self.cache_estimates = CacheEstimates()
        self.speeds = SpeedEstimates()

    def candidates(self, request: PlacementRequest, now: float) -> list[Candidate]:
        """Return the candidates for a call."""
        shares = self.shares(now)
        return [self._build_candidate(view, request, now, shares) for view in self.views.values()]

    def has_live_upstream(self, now: float) -> bool:
        """Return whether at least one upstream is live."""
        return any(view.state(now) is UpstreamState.LIVE for view in self.views.values())

    def record_sent(
        self, name: UpstreamId, request: PlacementRequest, prefill: int, now: float
    ) -> None:
        """Record an order that was sent to an upstream."""
        self.views[name].sent.append((now, prefill))
        self.cache_estimates.placed(name, request)

    def record_failure(self, name: UpstreamId, now: float) -> None:
        """Record that an upstream lost its calls and its cache."""
        view = self.views[name]
        view.failed_at = view.failed_at or now
        self.cache_estimates.lost(name)

    def update_load(self, upstream: Upstream, load: LoadReport, taken_at: float) -> None:
        """Apply a load report of an upstream."""
        self.views[upstream.name].update(load, taken_at)

    def update_cache(self, upstream: Upstream, events: Sequence[CacheEvent]) -> None:
        """Apply the cache events of an upstream."""
        for event in events:
            self.cache_estimates.observe(upstream.name, event)

    def _build_candidate(
        self,
        view: UpstreamView,
        request: PlacementRequest,
        now: float,
        shares: Mapping[PoolName, float],
    ) -> Candidate:
        upstream = view.upstream
        load = view.load
        cache_estimate = self.cache_estimates.estimate(upstream.name, request)
        return Candidate(
            upstream=upstream.name,
            pool=upstream.pool,
            kind=PoolKind.MODEL,
            state=view.state(now),
            failure_domain=upstream.domain,
            load=LoadReport(
                load.queued,
                load.running,
                load.queued_prefill_tokens,
                load.running_output_tokens,
                load.slots,
                load.free_kv_tokens,
                now - view.taken_at,
                load.kv_tokens,
                load.held_kv_tokens,
                load.reserved_kv_tokens,
            ),
            prefill_tokens_since_report=sum(tokens for _, tokens in view.sent),
            cached_tokens=cache_estimate.tokens,
            cache_confidence=cache_estimate.confidence,
            share=shares.get(upstream.pool, 0.0),
            calls_since_report=len(view.sent),
            speed=self.speeds.speed(upstream.name),
        )
