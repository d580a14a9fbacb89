"""Capacity that the upstreams give to a node's programs, estimated from their progress."""

_TIME_CONSTANT_S = 20.0
_UPDATE_INTERVAL_S = 2.0


class CapacityEstimate:
    """Estimate of the slots that serve this node.

    While calls wait at the upstreams, the estimate converges to the rate of completed work, since
    no more capacity is available; otherwise it returns to the nominal capacity. ``time_constant_s``
    is the time constant of both changes.
    """

    def __init__(self, time_constant_s: float = _TIME_CONSTANT_S) -> None:
        self.time_constant_s = time_constant_s
        self.capacity: float | None = None
        self.done_s = 0.0
        self.updated_at = 0.0

    def progressed(self, work_s: float) -> None:
        """Add completed work, in slot-seconds."""
        self.done_s += work_s

    def update(self, nominal: float, saturated: bool, now: float) -> float:
        """Return the capacity in slots; ``nominal`` is the number the upstreams offer this node."""
        if self.capacity is None:
            self.capacity = nominal
            self.updated_at = now
        elapsed_s = now - self.updated_at
        if elapsed_s >= _UPDATE_INTERVAL_S:
            target = min(self.done_s / elapsed_s, nominal) if saturated else nominal
            weight = min(elapsed_s / self.time_constant_s, 1.0)
            self.capacity += weight * (target - self.capacity)
            self.done_s = 0.0
            self.updated_at = now
        return min(self.capacity, nominal)
