"""Capacity that a node's programs get from the upstreams, learned from their progress."""

_TIME_CONSTANT_S = 20.0
_INTERVAL_S = 2.0


class CapacityEstimate:
    """Slots that work for this node: the nominal ones, or the measured ones under saturation.

    While calls wait at the upstreams, the measured rate of work is all that there is; else the
    estimate returns to the nominal capacity.  ``time_constant_s`` is that of both movements.
    """

    def __init__(self, time_constant_s: float = _TIME_CONSTANT_S) -> None:
        self.time_constant_s = time_constant_s
        self.capacity: float | None = None
        self.done_s = 0.0
        self.measured_at = 0.0

    def progressed(self, work_s: float) -> None:
        """Count work done, in slot-seconds."""
        self.done_s += work_s

    def update(self, nominal: float, saturated: bool, now: float) -> float:
        """Return the capacity in slots; ``nominal`` is what the upstreams offer this node."""
        if self.capacity is None:
            self.capacity = nominal
            self.measured_at = now
        elapsed_s = now - self.measured_at
        if elapsed_s >= _INTERVAL_S:
            target = min(self.done_s / elapsed_s, nominal) if saturated else nominal
            weight = min(elapsed_s / self.time_constant_s, 1.0)
            self.capacity += weight * (target - self.capacity)
            self.done_s = 0.0
            self.measured_at = now
        return min(self.capacity, nominal)
