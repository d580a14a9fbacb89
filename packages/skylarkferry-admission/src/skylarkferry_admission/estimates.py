"""Learnt estimates of when a request would have its first event and complete at an upstream."""

import math
from collections import deque
from enum import Enum

import msgspec

from skylarkferry_core.ids import UpstreamId

_DECAY = 0.97
"""Weight of the past against each new outcome: about 30 outcomes, a second of a busy engine."""
_MIN_WEIGHT = 3.0
"""Outcomes of an upstream below which the outcomes of all upstreams are used instead."""
_MIN_SLOPE_VARIATION = 0.05
"""Relative spread of the inputs below which no slope is learnt from them."""
_MIN_SLOWDOWN, _MAX_SLOWDOWN = 0.1, 20.0
_SLOWDOWN_WEIGHT = 0.2
"""Weight of a newly reported slowdown, which changes many times per second."""
_MAX_DURATION_S = 60.0
_MAX_TOKENS = 10_000_000
MAX_SLOWER = 2.0
"""An upstream that takes this many times as long as the best one, queue included, gets nothing that
can wait for the best one."""
_OUTCOMES_KEPT = 400
_OUTCOMES_PER_UPDATE = 10
_MIN_ESTIMATE_S = 1e-4
MIN_OUTCOMES = 50
"""Outcomes after which a request may be rejected by estimates; their 95th percentile is then known
from more than two outcomes."""
_MIN_FACTOR, _MAX_FACTOR = 0.05, 20.0
"""Bounds of the correction by past errors, so that estimates wrong by ten times are corrected."""


class Work(msgspec.Struct, frozen=True):
    """What a request asks of an upstream: prompt tokens to prefill and output tokens to decode."""

    uncached_tokens: int
    output_tokens: int


class Estimate(msgspec.Struct, frozen=True):
    """Seconds until a request's first event and until it completes."""

    first_event_s: float
    completion_s: float


class Outcome(msgspec.Struct, frozen=True):
    """A completed request: its work, and what it met; ``requests`` were there before it."""

    work: Work
    requests: int
    slots: int
    first_event_s: float
    completion_s: float


class LinearFit:
    """A line through recent observations, by least squares with exponential forgetting."""

    def __init__(self) -> None:
        self.weight = 0.0
        self.x = self.y = self.xx = self.xy = 0.0

    def observe(self, x: float, y: float) -> None:
        """Record an observation."""
        self.weight = self.weight * _DECAY + 1.0
        self.x = self.x * _DECAY + x
        self.y = self.y * _DECAY + y
        self.xx = self.xx * _DECAY + x * x
        self.xy = self.xy * _DECAY + x * y

    def value(self, x: float) -> float:
        """Return the line's value at ``x``; it does not fall with ``x`` and stays positive."""
        mean_x, mean_y = self.x / self.weight, self.y / self.weight
        variance = self.xx / self.weight - mean_x * mean_x
        slope = 0.0
        if variance > (_MIN_SLOPE_VARIATION * max(mean_x, 1.0)) ** 2:
            slope = max((self.xy / self.weight - mean_x * mean_y) / variance, 0.0)
        return max(mean_y + slope * (x - mean_x), 0.1 * mean_y)


class _Quantity(Enum):
    """What is learnt of an upstream, in seconds at a slowdown of 1."""

    FIRST_EVENT = "first_event"
    """Time to the first event in a free slot, by uncached prompt tokens."""
    TOKEN = "token"
    """Time of an output token, by the requests that run beside."""
    SERVICE = "service"
    """Time from start to completion."""


_INITIAL = {_Quantity.FIRST_EVENT: 0.05, _Quantity.TOKEN: 0.002, _Quantity.SERVICE: 0.3}
"""Estimates before any outcome: the order of magnitude of current accelerators."""
_Fits = dict[_Quantity, LinearFit]


def _new_fits() -> _Fits:
    return {quantity: LinearFit() for quantity in _Quantity}


class ErrorDistribution:
    """Errors of recent estimates."""

    def __init__(self) -> None:
        self.ratios: deque[float] = deque(maxlen=_OUTCOMES_KEPT)
        self.errors_s: deque[float] = deque(maxlen=_OUTCOMES_KEPT)
        self.outcomes = 0
        self.low_ratio = self.median_ratio = 1.0
        self.p50_s = self.p95_s = 0.0

    def observe(self, estimated_s: float, actual_s: float) -> None:
        """Record an estimate and what came of it."""
        if not (_is_duration(estimated_s) and _is_duration(actual_s)):
            return
        self.ratios.append(actual_s / max(estimated_s, _MIN_ESTIMATE_S))
        self.errors_s.append(abs(actual_s - estimated_s))
        self.outcomes += 1
        if self.outcomes % _OUTCOMES_PER_UPDATE == 0:
            self._update()

    def _update(self) -> None:
        ratios, errors = sorted(self.ratios), sorted(self.errors_s)
        self.low_ratio = _bounded(_quantile(ratios, 0.05))
        self.median_ratio = _bounded(_quantile(ratios, 0.5))
        self.p50_s, self.p95_s = _quantile(errors, 0.5), _quantile(errors, 0.95)

    @property
    def is_known(self) -> bool:
        """Return whether there are enough outcomes for a rejection to rest on the estimates."""
        return self.outcomes >= MIN_OUTCOMES


class CompletionEstimates:
    """Estimates for the upstreams of one service, learnt from what completed there."""

    def __init__(self) -> None:
        self.by_upstream: dict[UpstreamId, _Fits] = {}
        self.pooled = _new_fits()
        self.slowdowns: dict[UpstreamId, float] = {}
        self.errors = ErrorDistribution()
        self.output_share = 1.0

    def estimate(self, upstream: UpstreamId, work: Work, requests: int, slots: int) -> Estimate:
        """Return the estimate for a request that arrives after ``requests`` others."""
        slots = max(slots, 1)
        running = min(max(requests, 0), slots - 1)
        queued = max(requests - slots + 1, 0)
        slowdown = self.slowdowns.get(upstream, 1.0)
        wait_s = queued * self.service_s(upstream) / slots
        first_s = slowdown * self._value(upstream, _Quantity.FIRST_EVENT, work.uncached_tokens)
        tokens = min(max(work.output_tokens, 0), _MAX_TOKENS) * self.output_share
        decode_s = slowdown * tokens * self._value(upstream, _Quantity.TOKEN, running)
        first_event_s = min(wait_s + first_s, _MAX_DURATION_S)
        return Estimate(first_event_s, min(first_event_s + decode_s, _MAX_DURATION_S))

    def service_s(self, upstream: UpstreamId) -> float:
        """Return the mean time from the start of a request to its completion."""
        return self._value(upstream, _Quantity.SERVICE, 0) * self.slowdowns.get(upstream, 1.0)

    def mean_service_s(self) -> float:
        """Return the mean time from the start of a request to its completion at any upstream."""
        fit = self.pooled[_Quantity.SERVICE]
        return fit.value(0) if fit.weight else _INITIAL[_Quantity.SERVICE]

    def _value(self, upstream: UpstreamId, quantity: _Quantity, x: float) -> float:
        fits = self.by_upstream.get(upstream, self.pooled)
        fit = fits[quantity]
        if fit.weight < _MIN_WEIGHT:
            fit = self.pooled[quantity]
        return fit.value(min(max(x, 0), _MAX_TOKENS)) if fit.weight else _INITIAL[quantity]

    def report_slowdown(self, upstream: UpstreamId, slowdown: float) -> None:
        """Record how long work takes at an upstream relative to the usual."""
        if not 0 < slowdown < math.inf:
            return
        bounded = min(max(slowdown, _MIN_SLOWDOWN), _MAX_SLOWDOWN)
        known = self.slowdowns.get(upstream, bounded)
        self.slowdowns[upstream] = known + _SLOWDOWN_WEIGHT * (bounded - known)

    def observe(self, upstream: UpstreamId, outcome: Outcome, actual_tokens: int) -> None:
        """Learn from a request that completed."""
        first_s, completion_s = outcome.first_event_s, outcome.completion_s
        if not (_is_duration(first_s) and _is_duration(completion_s) and first_s <= completion_s):
            return
        slowdown = self.slowdowns.get(upstream, 1.0)
        if 0 < actual_tokens <= _MAX_TOKENS and outcome.work.output_tokens > 0:
            share = min(actual_tokens / outcome.work.output_tokens, 1.0)
            self.output_share += (1.0 - _DECAY) * (share - self.output_share)
        running = min(max(outcome.requests, 0), max(outcome.slots, 1) - 1)
        has_waited = outcome.requests >= outcome.slots
        token_s = (completion_s - first_s) / max(actual_tokens, 1) / slowdown
        for fits in (self.by_upstream.setdefault(upstream, _new_fits()), self.pooled):
            if actual_tokens > 0:
                fits[_Quantity.TOKEN].observe(running, token_s)
            if not has_waited:
                uncached = min(max(outcome.work.uncached_tokens, 0), _MAX_TOKENS)
                fits[_Quantity.FIRST_EVENT].observe(uncached, first_s / slowdown)
                fits[_Quantity.SERVICE].observe(0, completion_s / slowdown)

    def forget(self, known: set[UpstreamId]) -> None:
        """Forget all upstreams but the ``known`` ones."""
        for upstream in self.by_upstream.keys() - known:
            del self.by_upstream[upstream]
        for upstream in self.slowdowns.keys() - known:
            del self.slowdowns[upstream]


def _is_duration(seconds: float) -> bool:
    """Return False for what another process may send instead, such as NaN."""
    return 0 <= seconds <= _MAX_DURATION_S


def _bounded(ratio: float) -> float:
    return min(max(ratio, _MIN_FACTOR), _MAX_FACTOR)


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
