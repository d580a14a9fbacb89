"""Placement of calls: candidates from the sidecar streams, choice by the placement policy."""

from collections.abc import Collection, Sequence

import msgspec

from skylarkferry_core.document import SiteSpec
from skylarkferry_core.ids import (
    FailureDomain,
    ModelName,
    PoolName,
    ProgramId,
    SiteName,
    UpstreamId,
)
from skylarkferry_core.interfaces import Candidate, Placement, PlacementRequest
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.placements import wait_s
from skylarkferry_core.states import UpstreamState
from skylarkferry_daemon.estimates import Estimates
from skylarkferry_daemon.interfaces import Documents, Sidecars

_USABLE = (UpstreamState.LIVE, UpstreamState.SUSPECT)


class CallTarget(msgspec.Struct, frozen=True):
    """Pools that may take a call: every pool that serves a model, or one pool."""

    model: ModelName | None = None
    pool: PoolName | None = None

    @property
    def name(self) -> str:
        """Return the name whose calls share one retry budget."""
        return self.model or self.pool or ""


class PlacedUpstream(msgspec.Struct, frozen=True):
    """The chosen upstream and the prompt tokens that are expected in its cache."""

    upstream: UpstreamId
    cached_tokens: int = 0


class Placer:
    """Chooses upstreams for the calls of an entry."""

    def __init__(
        self,
        *,
        placement: Placement,
        sidecars: Sidecars,
        documents: Documents,
        estimates: Estimates,
        site: SiteName,
        failure_domain: FailureDomain,
    ) -> None:
        self.placement = placement
        self.sidecars = sidecars
        self.documents = documents
        self.estimates = estimates
        self.site = site
        self.failure_domain = failure_domain
        self.last_upstreams: dict[ProgramId, UpstreamId] = {}

    def place(
        self, target: CallTarget, request: PlacementRequest, avoid: Collection[UpstreamId]
    ) -> PlacedUpstream | None:
        """Return the upstream for a call, or ``None`` when no upstream may take it.

        Upstreams in ``avoid`` are used only when no other upstream may take the call.
        """
        last_upstream = self.last_upstreams.get(request.program_id, UpstreamId(""))
        request = msgspec.structs.replace(
            request, failure_domain=self.failure_domain, last_upstream=last_upstream
        )
        candidates = [self._with_estimates(item, request) for item in self._candidates(target)]
        untried = [candidate for candidate in candidates if candidate.upstream not in avoid]
        chosen = self.placement.place(request, untried or candidates, self._site())
        if chosen is None:
            return None
        estimate = self.sidecars.cache_estimates.estimate(chosen, request)
        if target.model is not None:
            self.last_upstreams[request.program_id] = chosen
            self.sidecars.cache_estimates.placed(chosen, request)
        return PlacedUpstream(chosen, int(estimate.tokens * estimate.confidence))

    def _with_estimates(self, candidate: Candidate, request: PlacementRequest) -> Candidate:
        """Add this entry's estimates to a candidate.

        An upstream whose breaker blocks calls counts as suspect: it is used only if no upstream
        is live.
        """
        estimate = self.sidecars.cache_estimates.estimate(candidate.upstream, request)
        state = candidate.state
        if not self.estimates.allows(candidate.upstream):
            state = UpstreamState.SUSPECT
        return msgspec.structs.replace(
            candidate,
            state=state,
            speed=self.estimates.speeds.speed(candidate.upstream),
            cached_tokens=estimate.tokens,
            cache_confidence=estimate.confidence,
        )

    def load(self, upstream: UpstreamId, target: CallTarget) -> LoadReport:
        """Return the last reported load of an upstream."""
        for candidate in self._candidates(target):
            if candidate.upstream == upstream:
                return candidate.load
        return LoadReport()

    def live(self, model: ModelName) -> list[Candidate]:
        """Return the live upstreams of a model."""
        found = self._candidates(CallTarget(model=model))
        return [candidate for candidate in found if candidate.state is UpstreamState.LIVE]

    def shortest_wait_s(self, model: ModelName) -> float:
        """Return the shortest expected wait, in seconds, at the upstreams of a model."""
        candidates = self._candidates(CallTarget(model=model))
        return min((wait_s(candidate) for candidate in candidates), default=0.0)

    def forget(self, program_id: ProgramId) -> None:
        """Drop the last upstream of an ended program."""
        self.last_upstreams.pop(program_id, None)

    def _candidates(self, target: CallTarget) -> Sequence[Candidate]:
        if target.model is not None:
            found = self.sidecars.model_candidates(target.model)
        else:
            found = self.sidecars.candidates(target.pool or PoolName(""))
        return [candidate for candidate in found if candidate.state in _USABLE]

    def _site(self) -> SiteSpec:
        found = self.documents.current.sites.get(self.site)
        return found or SiteSpec(failure_domains=(self.failure_domain,))
