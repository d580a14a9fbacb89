"""Choice of the service and the upstream of a request, from what this process believes."""

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
from skylarkferry_core.prefix_homes import PrefixHomes, first_homes
from skylarkferry_core.routes import EngineSpec, Route
from skylarkferry_core.shifts import pool_for_new_program
from skylarkferry_core.speeds import SpeedEstimates
from skylarkferry_core.states import PoolKind, UpstreamState
from skylarkferry_gateway import defaults
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.upstreams import Upstream, Upstreams

_CROSSING_S = 0.008
"""Weight of a crossing between failure domains: its bytes and round trips, against a prefill."""
_MEAN_OUTPUT_TOKENS = 256
"""Output of a running request whose length nobody knows; half a usual maximum."""


class Choice(msgspec.Struct, frozen=True):
    """A chosen upstream with the inputs that decided: for the log."""

    upstream: Upstream
    cached_tokens: int
    requests: int
    load_age_s: float | None


class Placer:
    """Choose upstreams: engines by estimated completion, other services by load or affinity."""

    def __init__(self, upstreams: Upstreams, domain: FailureDomain, seed: random.Random) -> None:
        self.upstreams = upstreams
        self.domain = domain
        self.speeds = SpeedEstimates(
            Speed(defaults.PREFILL_TOKENS_PER_S, defaults.DECODE_TOKENS_PER_S)
        )
        self.completion = CompletionPlacement(seed, sample=8)
        self.least_load = LeastLoadPlacement(seed)
        self.affinity = PrefixHashPlacement(seed)
        self.homes = PrefixHomes()
        self.site = SiteSpec((domain,), crossing_s=_CROSSING_S)

    def service(self, request: ClientRequest, route: Route) -> ServiceName:
        """Return the service of a request; all requests of a program share one where weights do."""
        if len(route.shares) == 1:
            return route.shares[0].service
        facts = request.facts
        key = facts.program_id or facts.affinity_key or facts.request_id
        weights = {PoolName(share.service): share.weight for share in route.shares}
        chosen = pool_for_new_program(ProgramId(key), weights)
        return ServiceName(chosen) if chosen is not None else route.shares[0].service

    def place(self, attempts: Attempts, now: float) -> Choice | None:
        """Return the upstream to send to, or ``None`` when no untried one may take requests."""
        request, route, engine = attempts.request, attempts.route, attempts.engine
        usable = self._untried(attempts)
        if not usable:
            return None
        suspects = self.upstreams.suspects(attempts.service, now)
        cached = self._cached(attempts, usable, now)
        candidates = [
            self._candidate(
                item,
                engine,
                cached[item.entry.upstream],
                item.entry.upstream not in suspects and item.breaker.allows(now),
            )
            for item in usable
        ]
        wanted = self._wanted(request)
        if engine is not None:
            chosen = self.completion.place(wanted, candidates, self.site)
        elif route.is_sticky and request.facts.affinity_key:
            chosen = self.affinity.place(wanted, candidates, self.site)
        else:
            chosen = self.least_load.place(wanted, candidates, self.site)
        found = next((item for item in usable if item.entry.upstream == chosen), usable[0])
        cached_tokens = cached[found.entry.upstream]
        load_age_s = now - found.load_at if found.load_at is not None else None
        return Choice(found, cached_tokens, found.requests(), load_age_s)

    def has_untried(self, attempts: Attempts) -> bool:
        """Tell whether another upstream may take the request."""
        return bool(self._untried(attempts))

    def _untried(self, attempts: Attempts) -> list[Upstream]:
        return [
            upstream
            for upstream in self.upstreams.of(attempts.service)
            if upstream.takes_work and upstream not in attempts.tried
        ]

    def _cached(
        self, attempts: Attempts, usable: list[Upstream], now: float
    ) -> dict[UpstreamId, int]:
        """Return the prompt tokens expected in each upstream's cache.

        Where prefixes do not all fit, the engines that keep the prompt's have it from any process's
        requests, and the others will drop it soon.  Where they do, only a prefix that this process
        has sent nowhere yet is taken to be where all processes send it first.
        """
        parts = attempts.request.facts.prompt_parts
        found = {item.entry.upstream: item.prompts.cached(parts) for item in usable}
        if attempts.engine is None or len(parts) < 2:
            return found
        self.homes.record_use(parts[0].part_id, parts[0].tokens, now)
        members = [
            item.entry.upstream for item in self.upstreams.of(attempts.service) if item.takes_work
        ]
        shared = parts[0]
        if self.homes.all_fit(attempts.engine.kv_tokens):
            if any(found.values()):
                return found
            first = first_homes(shared.part_id, members)
            return {item: shared.tokens if item in first else 0 for item in found}
        homes = self.homes.homes(shared.part_id, members, attempts.engine.kv_tokens)
        return {
            upstream: max(tokens, shared.tokens) if upstream in homes else 0
            for upstream, tokens in found.items()
        }

    def _wanted(self, request: ClientRequest) -> PlacementRequest:
        facts = request.facts
        return PlacementRequest(
            program_id=facts.program_id,
            prompt_tokens=prompt_tokens(request),
            output_tokens=min(facts.output_tokens, _MEAN_OUTPUT_TOKENS),
            failure_domain=self.domain,
            prefix=Fingerprint(facts.affinity_key),
        )

    def _candidate(
        self,
        item: Upstream,
        engine: EngineSpec | None,
        cached_tokens: int,
        is_sound: bool,
    ) -> Candidate:
        requests = item.requests()
        slots = engine.slots if engine is not None else item.slots
        running = min(requests, slots)
        load = LoadReport(
            queued=requests - running,
            running=running,
            running_output_tokens=running * _MEAN_OUTPUT_TOKENS,
            slots=slots,
        )
        return Candidate(
            upstream=item.entry.upstream,
            pool=PoolName(item.entry.service),
            kind=PoolKind.MODEL if engine is not None else PoolKind.SERVICE,
            state=UpstreamState.LIVE if is_sound else UpstreamState.SUSPECT,
            failure_domain=item.entry.failure_domain,
            load=load,
            cached_tokens=cached_tokens,
            speed=self.speeds.speed(item.entry.upstream),
        )


def prompt_tokens(request: ClientRequest) -> int:
    """Return the tokens of a request's prompt: as counted, or the sum of its parts."""
    facts = request.facts
    return max(facts.prompt_tokens, sum(part.tokens for part in facts.prompt_parts))
