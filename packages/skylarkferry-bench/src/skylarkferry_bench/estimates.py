"""What an entry learns of programs: their work, calls and outputs by class."""

from collections.abc import Hashable

_WEIGHT_OF_NEWEST = 0.1


class MovingAverages:
    """Moving averages by key; an unknown key has ``initial``."""

    def __init__(self, initial: float) -> None:
        self.initial = initial
        self.values: dict[Hashable, float] = {}

    def observe(self, key: Hashable, value: float) -> None:
        """Learn a value."""
        known = self.values.get(key, value)
        self.values[key] = known + _WEIGHT_OF_NEWEST * (value - known)

    def get(self, key: Hashable) -> float:
        """Return the average of a key."""
        return self.values.get(key, self.initial)


class ProgramEstimates:
    """Averages of programs by class and of turns by agent."""

    def __init__(self) -> None:
        self.work_s = MovingAverages(10.0)
        self.slot_s = MovingAverages(5.0)
        self.typical_tokens = MovingAverages(1_000.0)
        self.calls = MovingAverages(4.0)
        self.output_tokens = MovingAverages(100.0)
