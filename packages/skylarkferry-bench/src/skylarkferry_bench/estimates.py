"""What an entry learns of programs: their work, calls and outputs by class."""

from collections.abc import Hashable

_WEIGHT_OF_NEWEST = 0.1


class Averages:
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
        self.work_s = Averages(10.0)
        self.slot_s = Averages(5.0)
        self.typical_tokens = Averages(1_000.0)
        self.calls = Averages(4.0)
        self.output_tokens = Averages(100.0)
