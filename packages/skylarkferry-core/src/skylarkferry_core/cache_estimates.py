"""Estimates of the contents of the engines' prefix caches, as one node knows them."""

import math
from collections import OrderedDict

import msgspec

from skylarkferry_core.ids import ProgramId, RunId, UpstreamId
from skylarkferry_core.interfaces import PlacementRequest
from skylarkferry_core.messages import CacheEvent

_MAX_ENTRIES_PER_UPSTREAM = 4_096
_NO_RUN = RunId("")


class CacheEstimate(msgspec.Struct, frozen=True):
    """Prompt tokens estimated in an engine's cache, and the confidence in them, 0 to 1."""

    tokens: int = 0
    confidence: float = 1.0


class CachedTokens(msgspec.Struct):
    """Cached tokens of one run or prefix, and the engine's uncertainty when they were reported."""

    tokens: int
    uncertainty: float


class EngineCacheEstimates:
    """Estimates for one engine: cached tokens of each run of a program and of shared prefixes.

    The keys of ``entries`` are program ids and prefix fingerprints, least recently updated first.
    ``uncertainty`` grows with each missed event by the probability that the event concerned a given
    entry.
    """

    def __init__(self, capacity: int = _MAX_ENTRIES_PER_UPSTREAM) -> None:
        self.capacity = capacity
        self.entries: OrderedDict[str, dict[RunId, CachedTokens]] = OrderedDict()
        self.sequence: int | None = None
        self.uncertainty = 0.0

    def put(self, key: str, run_id: RunId, tokens: int) -> None:
        """Set the number of cached tokens; 0 removes the entry."""
        runs = self.entries.pop(key, {})
        runs.pop(run_id, None)
        if tokens > 0:
            runs[run_id] = CachedTokens(tokens, self.uncertainty)
        if runs:
            self.entries[key] = runs
        if len(self.entries) > self.capacity:
            self.entries.popitem(last=False)

    def get(self, key: str, run_id: RunId) -> CacheEstimate:
        """Return the estimated cached tokens and the confidence in them."""
        runs = self.entries.get(key)
        cached = runs.get(run_id) if runs else None
        if cached is None:
            return CacheEstimate()
        return CacheEstimate(cached.tokens, math.exp(cached.uncertainty - self.uncertainty))

    def count(self, event: CacheEvent) -> None:
        """Follow the event sequence; a gap raises the uncertainty of all earlier entries."""
        if self.sequence is None:
            self.sequence = event.sequence
            return
        missed = event.sequence - self.sequence - 1
        if missed > 0:
            self.uncertainty += missed / max(len(self.entries), 1)
        self.sequence = max(event.sequence, self.sequence)


class CacheEstimates:
    """Estimates for all engines, based on this node's placements and corrected by cache events."""

    def __init__(self) -> None:
        self.engines: dict[UpstreamId, EngineCacheEstimates] = {}

    def placed(self, upstream: UpstreamId, request: PlacementRequest) -> None:
        """Record a call that was sent to an engine, which will cache the call's prompt."""
        engine = self._engine(upstream)
        engine.put(request.program_id, request.run_id, request.prompt_tokens)
        if request.prefix:
            engine.put(request.prefix, _NO_RUN, request.prefix_tokens)

    def finished(self, upstream: UpstreamId, request: PlacementRequest, tokens: int) -> None:
        """Record the end of a call: the engine cached prompt and output, ``tokens`` in total."""
        self._engine(upstream).put(request.program_id, request.run_id, tokens)

    def observe(self, upstream: UpstreamId, event: CacheEvent) -> None:
        """Update the estimate from an event of the engine."""
        engine = self._engine(upstream)
        engine.count(event)
        if event.prefix:
            engine.put(event.prefix, _NO_RUN, event.cached_tokens)
        else:
            engine.put(event.program_id, event.run_id, event.cached_tokens)

    def released(self, program_id: ProgramId) -> None:
        """Drop all runs of a program that ended."""
        for engine in self.engines.values():
            engine.entries.pop(program_id, None)

    def lost(self, upstream: UpstreamId) -> None:
        """Drop the estimates for an engine that restarted or left."""
        self.engines.pop(upstream, None)

    def estimate(self, upstream: UpstreamId, request: PlacementRequest) -> CacheEstimate:
        """Return the part of a call's prompt estimated to be cached at an engine."""
        engine = self.engines.get(upstream)
        if engine is None:
            return CacheEstimate()
        own = engine.get(request.program_id, request.run_id)
        shared = engine.get(request.prefix, _NO_RUN) if request.prefix else CacheEstimate()
        best = max(own, shared, key=_expected_tokens)
        return CacheEstimate(min(best.tokens, request.prompt_tokens), best.confidence)

    def _engine(self, upstream: UpstreamId) -> EngineCacheEstimates:
        return self.engines.setdefault(upstream, EngineCacheEstimates())


def _expected_tokens(estimate: CacheEstimate) -> float:
    return estimate.tokens * estimate.confidence
