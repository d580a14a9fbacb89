"""Slowdown of an upstream's host at this moment, from the figures that the upstream reports."""

import math

USUAL = 1.0
"""Slowdown of a host at which work takes as long as usual."""
_SMOOTHING_S = 0.08
"""Time constant of the smoothing; a host is slow for 600 ms at a time, and its figure jitters."""
_HALF_LIFE_S = 0.3
"""Age at which a figure tells half as much; half of the time for which a host stays slow."""
_MAX_FACTOR = 4.0
"""Largest factor from the usual that is used, in both directions; bounds what a wrong figure does.

A host that is paused for longer than that is found by its failures.
"""
_SCATTER_WEIGHT = 0.05
"""Weight of the newest call in the scatter of speeds; calls of different length are frequent."""
_MIN_CALLS = 20
"""Calls after which the scatter is compared."""
_MAX_SCATTER_RATIO = 1.1
_SCATTER_MARGIN = 0.01
"""Scatter that the correction may add, for figures that jitter by some 10%."""


class SlowdownEstimate:
    """Reported slowdown, smoothed over time; an old one approaches the mean of the earlier ones.

    Changes of the figure are doubted while the speeds measured scatter more if the slowdown is
    taken out of them than as they are: then the figure changes and the speed does not.
    """

    def __init__(self) -> None:
        self.recent = USUAL
        self.mean = USUAL
        self.reported_at: float | None = None
        self.measured = _Scatter()
        self.corrected = _Scatter()

    def report(self, slowdown: float, at: float) -> None:
        """Record a reported figure; one that is no positive number or older than another is not."""
        if not 0 < slowdown < math.inf:
            return
        bounded = min(max(slowdown, USUAL / _MAX_FACTOR), USUAL * _MAX_FACTOR)
        if self.reported_at is None:
            self.recent = self.mean = bounded
        elif at < self.reported_at:
            return
        else:
            elapsed_s = at - self.reported_at
            weight = 1.0 - math.exp(-elapsed_s / _SMOOTHING_S)
            self.recent += weight * (bounded - self.recent)
            self.mean += weight * _SCATTER_WEIGHT * (bounded - self.mean)
        self.reported_at = at

    @property
    def is_reported(self) -> bool:
        """Return whether the upstream has reported its slowdown."""
        return self.reported_at is not None

    @property
    def is_doubted(self) -> bool:
        """Return whether the figures contradict the speeds measured."""
        if self.measured.count < _MIN_CALLS:
            return False
        limit = self.measured.square * _MAX_SCATTER_RATIO + _SCATTER_MARGIN
        return self.corrected.square > limit

    def value(self, now: float) -> float:
        """Return the slowdown to expect, the mean of the reports if their changes are doubted."""
        if self.reported_at is None:
            return USUAL
        return self.mean if self.is_doubted else self._expected(now)

    def _expected(self, now: float) -> float:
        if self.reported_at is None:
            return USUAL
        age_s = max(now - self.reported_at, 0.0)
        return self.mean + (self.recent - self.mean) * 0.5 ** (age_s / _HALF_LIFE_S)

    def check(self, units_per_s: float, now: float) -> None:
        """Compare the figure with the speed of a call that has just ended."""
        if not self.is_reported or not 0 < units_per_s < math.inf:
            return
        speed = math.log(units_per_s)
        self.measured.add(speed)
        self.corrected.add(speed + math.log(self._expected(now)))


class _Scatter:
    """Moving mean and mean squared deviation of a figure."""

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.square = 0.0

    def add(self, value: float) -> None:
        """Add the newest figure."""
        self.count += 1
        weight = max(_SCATTER_WEIGHT, 1.0 / self.count)
        deviation = value - self.mean
        self.mean += weight * deviation
        self.square = (1.0 - weight) * (self.square + weight * deviation * deviation)
