"""Choice of an upstream among candidates, by one observer's view of them."""

import random
from collections.abc import Callable, Sequence

import msgspec

from skylarkferry_core.document import SiteSpec
from skylarkferry_core.ids import Fingerprint, PoolName, UpstreamId
from skylarkferry_core.interfaces import Candidate, PlacementRequest, Speed
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.outcome_counts import suspects
from skylarkferry_core.placements import (
    CompletionPlacement,
    LeastDelayPlacement,
    LeastLoadPlacement,
    PrefixHashPlacement,
)
from skylarkferry_core.prefix_homes import PrefixHomes, first_home_engines
from skylarkferry_core.routes import EngineSpec
from skylarkferry_core.slowdowns import USUAL
from skylarkferry_core.speeds import SpeedEstimates
from skylarkferry_core.states import PoolKind, UpstreamState
from skylarkferry_gateway import defaults
from skylarkferry_gateway.placement_messages import PlacementQuery, SpeedSample
from skylarkferry_gateway.upstream_views import UpstreamView
from skylarkferry_gateway.upstreams import Upstream

_DOMAIN_CROSSING_S = 0.008
"""Cost of crossing failure domains (transfer, round trips), weighed against prefill time."""
_CONNECT_S = 0.004
"""Cost of a new connection (its round trip, the upstream's work), weighed against prefill time."""
_ASSUMED_OUTPUT_TOKENS = 256
"""Output assumed for a running request of unknown length; half of a typical maximum."""

ViewOf = Callable[[Upstream], UpstreamView]


class PlacementDecision(msgspec.Struct, frozen=True):
    """A chosen upstream with the inputs of the decision, which are logged."""

    upstream: Upstream
    cached_tokens: int
    requests: int
    report_age_s: float | None


class Placer:
    """Choose engines by estimated completion time, other upstreams by load or affinity.

    ``view_of`` returns the view of an upstream that the choice is based on; ``sample`` engines are
    compared.  With ``homes``, the views hold a part of the caches only, and shared prefixes are
    assigned to engines by hash.
    """

    def __init__(
        self,
        view_of: ViewOf,
        rng: random.Random,
        sample: int,
        homes: PrefixHomes | None = None,
    ) -> None:
        self.view_of = view_of
        self.speeds = SpeedEstimates(
            Speed(defaults.PREFILL_TOKENS_PER_S, defaults.DECODE_TOKENS_PER_S)
        )
        self.completion = CompletionPlacement(rng, sample=sample)
        self.least_load = LeastLoadPlacement(rng)
        self.least_delay = LeastDelayPlacement(rng)
        self.affinity = PrefixHashPlacement(rng)
        self.homes = homes

    def place(
        self,
        query: PlacementQuery,
        members: Sequence[Upstream],
        usable: Sequence[Upstream],
        engine: EngineSpec | None,
        now: float,
    ) -> PlacementDecision:
        """Return the choice among ``usable`` upstreams (not empty) of the service's ``members``."""
        counts = {item.entry.upstream: self.view_of(item).outcome_counts for item in members}
        suspected = suspects(counts, now)
        cached = self._cached_tokens(query, members, usable, engine, now)
        candidates = [
            self._candidate(
                item,
                engine,
                cached[item.entry.upstream],
                now,
                is_connected=item.entry.upstream in query.connected,
                is_healthy=item.entry.upstream not in suspected
                and self.view_of(item).breaker.allows(now),
            )
            for item in usable
        ]
        request = _placement_request(query)
        site = SiteSpec((query.failure_domain,), crossing_s=_DOMAIN_CROSSING_S)
        if engine is not None:
            chosen = self.completion.place(request, candidates, site)
        elif query.is_sticky and query.affinity_key:
            chosen = self.affinity.place(request, candidates, site)
        elif any(self.view_of(item).slowdown.is_reported for item in usable):
            chosen = self.least_delay.place(request, candidates, site)
        else:
            chosen = self.least_load.place(request, candidates, site)
        selected = next((item for item in usable if item.entry.upstream == chosen), usable[0])
        view = self.view_of(selected)
        return PlacementDecision(
            selected,
            cached[selected.entry.upstream],
            view.requests(now),
            view.report_age_s(now),
        )

    def observe_speed(self, upstream: Upstream, sample: SpeedSample, now: float) -> None:
        """Update an engine's speed from a call, without what its host was slowed down by then."""
        slowdown = self.view_of(upstream).slowdown
        if sample.decode_s > 0:
            slowdown.check(sample.output_tokens / sample.decode_s, now)
        factor = slowdown.value(now)
        self.speeds.observe(
            upstream.entry.upstream,
            sample.prefill_tokens,
            sample.prefill_s / factor,
            sample.output_tokens,
            sample.decode_s / factor,
        )

    def _cached_tokens(
        self,
        query: PlacementQuery,
        members: Sequence[Upstream],
        usable: Sequence[Upstream],
        engine: EngineSpec | None,
        now: float,
    ) -> dict[UpstreamId, int]:
        """Return the prompt tokens expected in each upstream's cache."""
        parts = query.prompt_parts
        cached = {
            item.entry.upstream: self.view_of(item).prompt_cache.cached(parts) for item in usable
        }
        if query.cached_upstream in cached:
            known = cached[query.cached_upstream]
            cached[query.cached_upstream] = max(known, query.cached_tokens)
        if engine is None or len(parts) < 2:
            return cached
        if self.homes is None:
            if any(cached.values()):
                return cached
            names = [item.entry.upstream for item in members if item.accepts_requests]
            first = first_home_engines(parts[0].part_id, names)
            return {item: parts[0].tokens if item in first else 0 for item in cached}
        return self._cached_at_homes(query, members, cached, engine, now)

    def _cached_at_homes(
        self,
        query: PlacementQuery,
        members: Sequence[Upstream],
        cached: dict[UpstreamId, int],
        engine: EngineSpec,
        now: float,
    ) -> dict[UpstreamId, int]:
        """Return the prompt tokens expected in each cache by an observer of few requests.

        If the prefixes in use do not all fit into an engine's cache, each prefix is assigned to a
        few engines: requests of all processes keep it cached there; other engines soon evict it.
        If all prefixes fit, this process's own requests show where a prefix is cached.  A prefix
        that is in none of these requests is expected on the engines to which every process sends it
        first.
        """
        assert self.homes is not None
        shared = query.prompt_parts[0]
        self.homes.record_use(shared.part_id, shared.tokens, now)
        names = [item.entry.upstream for item in members if item.accepts_requests]
        if self.homes.all_fit(engine.kv_tokens):
            if any(cached.values()):
                return cached
            first = first_home_engines(shared.part_id, names)
            return {item: shared.tokens if item in first else 0 for item in cached}
        homes = self.homes.home_engines(shared.part_id, names, engine.kv_tokens)
        return {
            upstream: max(tokens, shared.tokens) if upstream in homes else 0
            for upstream, tokens in cached.items()
        }

    def _candidate(
        self,
        item: Upstream,
        engine: EngineSpec | None,
        cached_tokens: int,
        now: float,
        *,
        is_connected: bool,
        is_healthy: bool,
    ) -> Candidate:
        view = self.view_of(item)
        requests = view.requests(now)
        slots = engine.slots if engine is not None else view.slots
        running = min(requests, slots)
        load = LoadReport(
            queued=requests - running,
            running=running,
            running_output_tokens=running * _ASSUMED_OUTPUT_TOKENS,
            slots=slots,
        )
        speed = self.speeds.speed(item.entry.upstream)
        slowdown = view.slowdown.value(now)
        if engine is not None and slowdown != USUAL:
            speed = Speed(
                speed.prefill_tokens_per_s / slowdown, speed.decode_tokens_per_s / slowdown
            )
        return Candidate(
            upstream=item.entry.upstream,
            pool=PoolName(item.entry.service),
            kind=PoolKind.MODEL if engine is not None else PoolKind.SERVICE,
            state=UpstreamState.LIVE if is_healthy else UpstreamState.SUSPECT,
            failure_domain=item.entry.failure_domain,
            load=load,
            cached_tokens=cached_tokens,
            speed=speed,
            connect_s=0.0 if is_connected else _CONNECT_S,
            slowdown=slowdown,
        )


def _placement_request(query: PlacementQuery) -> PlacementRequest:
    return PlacementRequest(
        program_id=query.program_id,
        prompt_tokens=query.prompt_tokens,
        output_tokens=min(query.output_tokens, _ASSUMED_OUTPUT_TOKENS),
        failure_domain=query.failure_domain,
        prefix=Fingerprint(query.affinity_key),
    )
