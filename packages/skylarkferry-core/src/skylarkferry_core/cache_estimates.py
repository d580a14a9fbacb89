"""What a node believes of the prefix caches of the engines."""

import math
from collections import OrderedDict

import msgspec

from skylarkferry_core.ids import ProgramId, RunId, UpstreamId
from skylarkferry_core.interfaces import PlacementRequest
from skylarkferry_core.messages import CacheEvent

_ENTRIES_PER_UPSTREAM = 4_096
_SHARED = RunId("")


class CacheEstimate(msgspec.Struct, frozen=True):
    """Prompt tokens believed in an engine's cache and the trust in it, 0 to 1."""

    tokens: int = 0
    confidence: float = 1.0


class Held(msgspec.Struct):
    """Cached tokens of one run or prefix, and the engine's doubt when they were last heard of."""

    tokens: int
    doubt: float


class EngineCacheEstimates:
    """Beliefs about one engine: cached tokens of each run of a program and of shared prefixes.

    ``entries`` has a program id or the fingerprint of a prefix as its key, oldest first.
    ``doubt`` grows with each missed event by the chance that it concerned a given entry.
    """

    def __init__(self, capacity: int = _ENTRIES_PER_UPSTREAM) -> None:
        self.capacity = capacity
        self.entries: OrderedDict[str, dict[RunId, Held]] = OrderedDict()
        self.sequence: int | None = None
        self.doubt = 0.0

    def put(self, key: str, run_id: RunId, tokens: int) -> None:
        """Believe that ``tokens`` are cached; 0 means none."""
        runs = self.entries.pop(key, {})
        runs.pop(run_id, None)
        if tokens > 0:
            runs[run_id] = Held(tokens, self.doubt)
        if runs:
            self.entries[key] = runs
        if len(self.entries) > self.capacity:
            self.entries.popitem(last=False)

    def get(self, key: str, run_id: RunId) -> CacheEstimate:
        """Return the tokens believed cached and the trust in them."""
        runs = self.entries.get(key)
        held = runs.get(run_id) if runs else None
        if held is None:
            return CacheEstimate()
        return CacheEstimate(held.tokens, math.exp(held.doubt - self.doubt))

    def count(self, event: CacheEvent) -> None:
        """Follow the sequence; a gap raises the doubt of everything heard of before."""
        if self.sequence is None:
            self.sequence = event.sequence
            return
        missed = event.sequence - self.sequence - 1
        if missed > 0:
            self.doubt += missed / max(len(self.entries), 1)
        self.sequence = max(event.sequence, self.sequence)


class CacheEstimates:
    """Beliefs about all engines: own placements first, corrected by late cache events."""

    def __init__(self) -> None:
        self.engines: dict[UpstreamId, EngineCacheEstimates] = {}

    def placed(self, upstream: UpstreamId, request: PlacementRequest) -> None:
        """Note a call that was sent: its prompt is cached there soon."""
        engine = self._engine(upstream)
        engine.put(request.program_id, request.run_id, request.prompt_tokens)
        if request.prefix:
            engine.put(request.prefix, _SHARED, request.prefix_tokens)

    def finished(self, upstream: UpstreamId, request: PlacementRequest, tokens: int) -> None:
        """Note a call's end: prompt and output, ``tokens`` in all, are cached there."""
        self._engine(upstream).put(request.program_id, request.run_id, tokens)

    def observe(self, upstream: UpstreamId, event: CacheEvent) -> None:
        """Correct the belief by an event of the engine."""
        engine = self._engine(upstream)
        engine.count(event)
        if event.prefix:
            engine.put(event.prefix, _SHARED, event.cached_tokens)
        else:
            engine.put(event.program_id, event.run_id, event.cached_tokens)

    def released(self, program_id: ProgramId) -> None:
        """Forget all runs of a program that ended."""
        for engine in self.engines.values():
            engine.entries.pop(program_id, None)

    def lost(self, upstream: UpstreamId) -> None:
        """Forget an engine that restarted or left."""
        self.engines.pop(upstream, None)

    def estimate(self, upstream: UpstreamId, request: PlacementRequest) -> CacheEstimate:
        """Return what of a call's prompt is believed cached at an engine."""
        engine = self.engines.get(upstream)
        if engine is None:
            return CacheEstimate()
        own = engine.get(request.program_id, request.run_id)
        shared = engine.get(request.prefix, _SHARED) if request.prefix else CacheEstimate()
        best = max(own, shared, key=_expected_tokens)
        return CacheEstimate(min(best.tokens, request.prompt_tokens), best.confidence)

    def _engine(self, upstream: UpstreamId) -> EngineCacheEstimates:
        return self.engines.setdefault(upstream, EngineCacheEstimates())


def _expected_tokens(belief: CacheEstimate) -> float:
    return belief.tokens * belief.confidence
