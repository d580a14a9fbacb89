"""Selection of a request's service and upstream from this process's view of the upstreams."""

import random

import msgspec

from skylarkferry_core.document import SiteSpec
from skylarkferry_core.ids import (
    FailureDomain,
    Fingerprint,
    PoolName,
    ProgramId,
    ServiceName,
    UpstreamId,
)
from skylarkferry_core.interfaces import Candidate, PlacementRequest, Speed
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.placements import (
    CompletionPlacement,
    LeastLoadPlacement,
    PrefixHashPlacement,
)
from skylarkferry_core.prefix_homes import PrefixHomes, first_home_engines
from skylarkferry_core.routes import EngineSpec, Route
from skylarkferry_core.shifts import pool_for_new_program
from skylarkferry_core.speeds import SpeedEstimates
from skylarkferry_core.states import PoolKind, UpstreamState
from skylarkferry_gateway import defaults
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.limit_shares import LimitShares
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.service_versions import ServiceVersions
from skylarkferry_gateway.upstreams import Upstream, Upstreams

_DOMAIN_CROSSING_S = 0.008
"""Cost of crossing failure domains (transfer, round trips), weighed against prefill time."""
_ASSUMED_OUTPUT_TOKENS = 256
"""Output assumed for a running request of unknown length; half of a typical maximum."""


class PlacementDecision(msgspec.Struct, frozen=True):
    """A chosen upstream with the inputs of the decision, which are logged."""

    upstream: Upstream
    cached_tokens: int
    requests: int
    report_age_s: float | None


class Placer:
    """Select upstreams: engines by estimated completion time, others by load or affinity."""

    def __init__(
        self,
        upstreams: Upstreams,
        versions: ServiceVersions,
        limits: LimitShares,
        domain: FailureDomain,
        rng: random.Random,
    ) -> None:
        self.upstreams = upstreams
        self.versions = versions
        self.limits = limits
        self.domain = domain
        self.speeds = SpeedEstimates(
            Speed(defaults.PREFILL_TOKENS_PER_S, defaults.DECODE_TOKENS_PER_S)
        )
        self.completion = CompletionPlacement(rng, sample=8)
        self.least_load = LeastLoadPlacement(rng)
        self.affinity = PrefixHashPlacement(rng)
        self.homes = PrefixHomes()
        self.site = SiteSpec((domain,), crossing_s=_DOMAIN_CROSSING_S)

    def choose_service(self, request: ClientRequest, route: Route) -> ServiceName:
        """Return the request's service; with weighted services, a program's requests share one."""
        if len(route.shares) == 1:
            return route.shares[0].service
        metadata = request.metadata
        attempt = metadata.resumed_request or metadata.request_id
        key = metadata.program_id or metadata.affinity_key or attempt
        weights = {PoolName(share.service): share.weight for share in route.shares}
        chosen = pool_for_new_program(ProgramId(key), weights)
        return ServiceName(chosen) if chosen is not None else route.shares[0].service

    def place(self, attempts: Attempts, now: float) -> PlacementDecision | None:
        """Return the upstream to send to, or ``None`` if no untried one accepts requests."""
        request, route, engine = attempts.request, attempts.route, attempts.engine
        usable = [item for item in self._untried(attempts) if self.limits.allows_request(item)]
        if not usable:
            return None
        if route.is_resumable and attempts.required_version is None:
            usable = self.versions.without_new(usable, now)
        suspects = self.upstreams.suspects(attempts.service, now)
        cached = self._cached_tokens(attempts, usable, now)
        candidates = [
            self._candidate(
                item,
                engine,
                cached[item.entry.upstream],
                item.entry.upstream not in suspects and item.breaker.allows(now),
            )
            for item in usable
        ]
        placement_request = self._placement_request(request)
        if engine is not None:
            chosen = self.completion.place(placement_request, candidates, self.site)
        elif route.is_sticky and request.metadata.affinity_key:
            chosen = self.affinity.place(placement_request, candidates, self.site)
        else:
            chosen = self.least_load.place(placement_request, candidates, self.site)
        selected = next((item for item in usable if item.entry.upstream == chosen), usable[0])
        cached_tokens = cached[selected.entry.upstream]
        reported_at = selected.reported_at
        report_age_s = now - reported_at if reported_at is not None else None
        return PlacementDecision(selected, cached_tokens, selected.requests(), report_age_s)

    def has_untried(self, attempts: Attempts) -> bool:
        """Return whether an untried upstream accepts requests now."""
        return any(self.limits.allows_request(upstream) for upstream in self._untried(attempts))

    def is_limited(self, attempts: Attempts) -> bool:
        """Return whether untried upstreams would accept the request if not for their limits."""
        return any(not self.limits.allows_request(upstream) for upstream in self._untried(attempts))

    def _untried(self, attempts: Attempts) -> list[Upstream]:
        return [
            upstream
            for upstream in self.upstreams.for_service(attempts.service)
            if upstream.accepts_requests and attempts.accepts(upstream)
        ]

    def _cached_tokens(
        self, attempts: Attempts, usable: list[Upstream], now: float
    ) -> dict[UpstreamId, int]:
        """Return the prompt tokens expected in each upstream's cache.

        If the prefixes in use do not all fit into an engine's cache, each prefix is assigned to a
        few engines: requests of all processes keep it cached there; other engines soon evict it.
        If all prefixes fit, this process's own requests show where a prefix is cached.  A prefix
        that is in none of these requests is expected on the engines to which every process sends it
        first.
        """
        parts = attempts.request.metadata.prompt_parts
        cached = {item.entry.upstream: item.prompt_cache.cached(parts) for item in usable}
        if attempts.engine is None or len(parts) < 2:
            return cached
        self.homes.record_use(parts[0].part_id, parts[0].tokens, now)
        members = [
            item.entry.upstream
            for item in self.upstreams.for_service(attempts.service)
            if item.accepts_requests
        ]
        shared = parts[0]
        if self.homes.all_fit(attempts.engine.kv_tokens):
            if any(cached.values()):
                return cached
            first = first_home_engines(shared.part_id, members)
            return {item: shared.tokens if item in first else 0 for item in cached}
        homes = self.homes.home_engines(shared.part_id, members, attempts.engine.kv_tokens)
        return {
            upstream: max(tokens, shared.tokens) if upstream in homes else 0
            for upstream, tokens in cached.items()
        }

    def _placement_request(self, request: ClientRequest) -> PlacementRequest:
        metadata = request.metadata
        return PlacementRequest(
            program_id=metadata.program_id,
            prompt_tokens=prompt_tokens(request),
            output_tokens=min(metadata.output_tokens, _ASSUMED_OUTPUT_TOKENS),
            failure_domain=self.domain,
            prefix=Fingerprint(metadata.affinity_key),
        )

    def _candidate(
        self,
        item: Upstream,
        engine: EngineSpec | None,
        cached_tokens: int,
        is_healthy: bool,
    ) -> Candidate:
        requests = item.requests()
        slots = engine.slots if engine is not None else item.slots
        running = min(requests, slots)
        load = LoadReport(
            queued=requests - running,
            running=running,
            running_output_tokens=running * _ASSUMED_OUTPUT_TOKENS,
            slots=slots,
        )
        return Candidate(
            upstream=item.entry.upstream,
            pool=PoolName(item.entry.service),
            kind=PoolKind.MODEL if engine is not None else PoolKind.SERVICE,
            state=UpstreamState.LIVE if is_healthy else UpstreamState.SUSPECT,
            failure_domain=item.entry.failure_domain,
            load=load,
            cached_tokens=cached_tokens,
            speed=self.speeds.speed(item.entry.upstream),
        )


def prompt_tokens(request: ClientRequest) -> int:
    """Return the length of a request's prompt: as given by the client, or the sum of its parts."""
    metadata = request.metadata
    return max(metadata.prompt_tokens, sum(part.tokens for part in metadata.prompt_parts))
