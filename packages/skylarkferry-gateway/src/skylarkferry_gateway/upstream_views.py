"""Load, prompt cache and failures of an upstream, as one observer sees them."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from enum import Enum

from skylarkferry_core.breakers import Breaker
from skylarkferry_core.outcome_counts import OutcomeCounts
from skylarkferry_core.slowdowns import SlowdownEstimate
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import PromptPart, ReportedLoad

_PROMPT_CACHE_SHARE = 0.8
"""Share of an engine's KV memory assumed to cache prompts; running requests use the rest."""
_MAX_PROMPT_PARTS = 8_192
"""Prompt parts in memory for an engine; clients state their sizes, which may be zero."""
_LOAD_HALF_LIFE_S = 0.5
"""Time after which half of the other requests in a report have probably ended."""
_CONNECT_FAILURE_WEIGHT = 3.0
"""Weight of a failed connect in the outcome counts; each further one costs a timeout."""


class AttemptOutcome(Enum):
    """How an attempt at an upstream ended."""

    ABANDONED = "abandoned"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


class PromptCacheEstimate:
    """Estimate of the prompt parts in an engine's cache, as an LRU bounded by its KV tokens."""

    def __init__(self) -> None:
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def add(self, parts: Iterable[PromptPart], limit_tokens: int) -> None:
        """Record the parts of a request as the most recently used ones."""
        for part in parts:
            tokens = max(part.tokens, 0)
            self.tokens += tokens - self.parts.pop(part.part_id, 0)
            self.parts[part.part_id] = tokens
        while self.parts and self._is_full(limit_tokens):
            self.tokens -= self.parts.popitem(last=False)[1]

    def _is_full(self, limit_tokens: int) -> bool:
        return self.tokens > limit_tokens or len(self.parts) > _MAX_PROMPT_PARTS

    def cached(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens in the longest run of leading parts that are cached."""
        tokens = 0
        for part in parts:
            if part.part_id not in self.parts:
                break
            tokens += min(part.tokens, self.parts[part.part_id])
        return tokens


class UpstreamView:
    """What one observer knows of an upstream from the attempts that it follows.

    ``in_flight`` counts the attempts that it follows, ``other_requests`` is the number of others
    that the upstream reported at ``reported_at``.
    """

    def __init__(self, slots: int) -> None:
        self.breaker = Breaker(max_open_s=defaults.BREAKER_MAX_OPEN_S)
        self.outcome_counts = OutcomeCounts()
        self.in_flight = 0
        self.other_requests = 0.0
        self.slots = max(slots, 1)
        self.reported_at: float | None = None
        self.prompt_cache = PromptCacheEstimate()
        self.slowdown = SlowdownEstimate()

    def update_load(self, load: ReportedLoad, followed: int, reported_at: float) -> None:
        """Record a reported load, which includes ``followed`` requests of this observer."""
        self.reported_at = reported_at
        self.other_requests = max(float(load.running + load.queued - followed), 0.0)
        self.slots = max(load.slots, 1)
        if load.slowdown is not None:
            self.slowdown.report(load.slowdown, reported_at)

    def requests(self, now: float) -> int:
        """Return the estimated number of requests at the upstream, from all gateways."""
        if self.reported_at is None:
            return self.in_flight
        remaining = 0.5 ** (max(now - self.reported_at, 0.0) / _LOAD_HALF_LIFE_S)
        return self.in_flight + round(self.other_requests * remaining)

    def report_age_s(self, now: float) -> float | None:
        """Return the age of the last reported load, ``None`` if there is none."""
        return now - self.reported_at if self.reported_at is not None else None

    def record_prompt(self, parts: Sequence[PromptPart], kv_tokens: int) -> None:
        """Record the prompt of a request that the upstream has accepted."""
        self.prompt_cache.add(parts, int(kv_tokens * _PROMPT_CACHE_SHARE))

    def record_outcome(self, outcome: AttemptOutcome, now: float) -> None:
        """Record how an attempt ended; a refusal indicates a fault only if there are free slots."""
        match outcome:
            case AttemptOutcome.ABANDONED:
                self.breaker.interrupted()
            case AttemptOutcome.SERVED:
                self.breaker.succeeded()
                self.outcome_counts.observe(now, is_failure=False)
            case AttemptOutcome.REFUSED:
                self.breaker.succeeded()
                is_full = self.requests(now) >= self.slots
                self.outcome_counts.observe(now, is_failure=not is_full)
            case AttemptOutcome.FAILED:
                self.breaker.failed(now)
                self.outcome_counts.observe(now, is_failure=True)
            case AttemptOutcome.UNREACHABLE:
                self.breaker.failed(now)
                self.outcome_counts.observe(now, True, _CONNECT_FAILURE_WEIGHT)
