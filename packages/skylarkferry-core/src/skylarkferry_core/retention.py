"""Retention of a program's KV cache at an engine while a tool runs."""

import math

import msgspec

from skylarkferry_core.ids import ToolName
from skylarkferry_core.interfaces import Speed
from skylarkferry_core.messages import LoadReport

_WEIGHT_OF_NEWEST = 0.1
_UPPER_DEVIATIONS = 3.0
_MAX_KEEP_S = 120.0


class Pause(msgspec.Struct, frozen=True):
    """Estimated length of a tool's pause: mean and mean deviation, in seconds."""

    mean_s: float
    deviation_s: float

    @property
    def upper_s(self) -> float:
        """Return an upper estimate that few pauses exceed."""
        return self.mean_s + _UPPER_DEVIATIONS * self.deviation_s


class PauseEstimates:
    """Exponentially weighted estimates of the pause of each tool or sub-agent."""

    def __init__(self) -> None:
        self.pauses: dict[ToolName, Pause] = {}

    def observe(self, tool: ToolName, pause_s: float) -> None:
        """Update the estimate from a pause that ended."""
        known = self.pauses.get(tool)
        if known is None:
            self.pauses[tool] = Pause(pause_s, pause_s / 2)
            return
        error_s = pause_s - known.mean_s
        mean_s = known.mean_s + _WEIGHT_OF_NEWEST * error_s
        deviation_s = known.deviation_s + _WEIGHT_OF_NEWEST * (abs(error_s) - known.deviation_s)
        self.pauses[tool] = Pause(mean_s, deviation_s)

    def pause(self, tool: ToolName, expected_s: float) -> Pause:
        """Return the tool's pause; for an unknown tool, use ``expected_s`` from the document."""
        return self.pauses.get(tool, Pause(expected_s, expected_s / 2))


class Retention:
    """Keep the cache during a pause if recomputing it costs more than holding it."""

    def __init__(self, max_keep_s: float = _MAX_KEEP_S) -> None:
        self.max_keep_s = max_keep_s

    def keep_s(self, pause: Pause, tokens: int, speed: Speed, load: LoadReport) -> float:
        """Return the seconds to keep ``tokens`` of cache; 0 leaves the cache to LRU eviction."""
        holding_s = self.holding_s(pause, tokens, load)
        prefill_s = tokens / speed.prefill_tokens_per_s
        if holding_s > prefill_s:
            return 0.0
        return min(pause.upper_s, self.max_keep_s)

    def holding_s(self, pause: Pause, tokens: int, load: LoadReport) -> float:
        """Return the engine seconds that the held memory takes from other programs.

        Holding costs nothing while all memory is free; if none is free, holding a fraction of the
        memory idles the same fraction of the engine.
        """
        if load.kv_tokens <= 0:
            return 0.0
        pressure = 1.0 - min(load.free_kv_tokens / load.kv_tokens, 1.0)
        if pressure >= 1.0 and tokens > load.kv_tokens:
            return math.inf
        return pause.mean_s * pressure * tokens / load.kv_tokens
