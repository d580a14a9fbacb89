"""Estimates of an entry about programs: work, calls and outputs by class."""

from collections.abc import Hashable

_NEWEST_WEIGHT = 0.1


class MovingAverages:
    """Exponential moving averages by key; an unknown key has the value ``initial``."""

    def __init__(self, initial: float) -> None:
        self.initial = initial
        self.values: dict[Hashable, float] = {}

    def observe(self, key: Hashable, value: float) -> None:
        """Update the average of a key with a value."""
        current = self.values.get(key, value)
        self.values[key] = current + _NEWEST_WEIGHT * (value - current)

    def get(self, key: Hashable) -> float:
        """Return the average of a key, or the initial value."""
        return self.values.get(key, self.initial)


class ProgramEstimates:
    """Averages by program class and, for the token counts, by agent."""

    def __init__(self) -> None:
        self.work_s = MovingAverages(10.0)
        self.slot_s = MovingAverages(5.0)
        self.typical_tokens = MovingAverages(1_000.0)
        self.calls = MovingAverages(4.0)
        self.output_tokens = MovingAverages(100.0)
