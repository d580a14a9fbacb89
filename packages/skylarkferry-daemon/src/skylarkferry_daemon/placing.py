"""The place stage: candidates from the sidecar streams, choice by the placement policy."""

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
from skylarkferry_core.placements import wait_s
from skylarkferry_core.states import UpstreamState
from skylarkferry_daemon.interfaces import Documents, Sidecars

_USABLE = (UpstreamState.LIVE, UpstreamState.SUSPECT)


class Target(msgspec.Struct, frozen=True):
    """Where a call may go: every pool that serves a model, or one pool."""

    model: ModelName | None = None
    pool: PoolName | None = None

    @property
    def name(self) -> str:
        """Return the name whose calls share one retry budget."""
        return self.model or self.pool or ""


class Placer:
    """Choose upstreams for the calls of an entry."""

    def __init__(
        self,
        placement: Placement,
        sidecars: Sidecars,
        documents: Documents,
        site: SiteName,
        failure_domain: FailureDomain,
    ) -> None:
        self.placement = placement
        self.sidecars = sidecars
        self.documents = documents
        self.site = site
        self.failure_domain = failure_domain
        self.last: dict[ProgramId, UpstreamId] = {}

    def place(
        self,
        target: Target,
        program_id: ProgramId,
        prompt_tokens: int,
        output_tokens: int,
        avoid: Collection[UpstreamId],
    ) -> UpstreamId | None:
        """Return the upstream for a call, or ``None`` when none may take it.

        Upstreams in ``avoid`` are used only when no other is left.
        """
        candidates = self._candidates(target)
        fresh = [candidate for candidate in candidates if candidate.upstream not in avoid]
        request = PlacementRequest(
            program_id=program_id,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            failure_domain=self.failure_domain,
            last_upstream=self.last.get(program_id, UpstreamId("")),
        )
        chosen = self.placement.place(request, fresh or candidates, self._site())
        if chosen is not None and target.model is not None:
            self.last[program_id] = chosen
        return chosen

    def shortest_wait_s(self, model: ModelName) -> float:
        """Return the wait, in seconds, at the upstream of a model that has the shortest queue."""
        candidates = self._candidates(Target(model=model))
        return min((wait_s(candidate) for candidate in candidates), default=0.0)

    def forget(self, program_id: ProgramId) -> None:
        """Drop what is kept of an ended program."""
        self.last.pop(program_id, None)

    def _candidates(self, target: Target) -> Sequence[Candidate]:
        if target.model is not None:
            found = self.sidecars.model_candidates(target.model)
        else:
            found = self.sidecars.candidates(target.pool or PoolName(""))
        return [candidate for candidate in found if candidate.state in _USABLE]

    def _site(self) -> SiteSpec:
        found = self.documents.current.sites.get(self.site)
        return found or SiteSpec(failure_domains=(self.failure_domain,))
