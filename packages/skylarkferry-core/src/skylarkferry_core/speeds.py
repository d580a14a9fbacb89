"""Speeds of upstreams, estimated from the calls they ran."""

import math

from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.interfaces import Speed

_WEIGHT_OF_NEWEST = 0.2
_MIN_PREFILL_TOKENS = 64
_MIN_DECODE_TOKENS = 4
_MIN_DURATION_S = 1e-4
_INITIAL = Speed()


class SpeedEstimates:
    """Moving averages of each upstream's speed; an unknown speed is the mean of the others."""

    def __init__(self, initial: Speed = _INITIAL) -> None:
        self.initial = initial
        self.speeds: dict[UpstreamId, Speed] = {}

    def observe(
        self,
        upstream: UpstreamId,
        prefill_tokens: int,
        prefill_s: float,
        output_tokens: int,
        decode_s: float,
    ) -> None:
        """Update from a call: prefill of uncached tokens up to the first output, then decoding."""
        known = self.speed(upstream)
        prefill = known.prefill_tokens_per_s
        if prefill_tokens >= _MIN_PREFILL_TOKENS and _is_duration(prefill_s):
            prefill = _updated_average(prefill, prefill_tokens / max(prefill_s, _MIN_DURATION_S))
        decode = known.decode_tokens_per_s
        if output_tokens >= _MIN_DECODE_TOKENS and _is_duration(decode_s):
            decode = _updated_average(decode, output_tokens / max(decode_s, _MIN_DURATION_S))
        self.speeds[upstream] = Speed(prefill, decode)

    def speed(self, upstream: UpstreamId) -> Speed:
        """Return the upstream's speed, or the mean of the others if it is unknown."""
        known = self.speeds.get(upstream)
        return known if known is not None else self._mean()

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the speed of an upstream that restarted."""
        self.speeds.pop(upstream, None)

    def _mean(self) -> Speed:
        if not self.speeds:
            return self.initial
        count = len(self.speeds)
        prefill = sum(speed.prefill_tokens_per_s for speed in self.speeds.values())
        decode = sum(speed.decode_tokens_per_s for speed in self.speeds.values())
        return Speed(prefill / count, decode / count)


def _is_duration(seconds: float) -> bool:
    """Return False for what another process may send instead, such as NaN."""
    return 0 <= seconds < math.inf


def _updated_average(average: float, newest: float) -> float:
    return average + _WEIGHT_OF_NEWEST * (newest - average)
