"""Hybrid logical clock that orders events across processes."""

_LOGICAL_BITS = 10
_MICROSECONDS_PER_S = 1_000_000


class HybridClock:
    """Create time stamps such that an effect never sorts before its cause.

    A stamp is an integer: wall microseconds shifted by 10 bits, plus a logical counter.
    """

    def __init__(self) -> None:
        self.last = 0

    def stamp(self, wall_s: float) -> int:
        """Return a stamp above all earlier ones; ``wall_s`` is in seconds since the epoch."""
        physical = int(wall_s * _MICROSECONDS_PER_S) << _LOGICAL_BITS
        self.last = max(physical, self.last + 1)
        return self.last

    def observe(self, remote: int) -> None:
        """Advance the clock to a stamp received from another process."""
        self.last = max(self.last, remote)


def wall_time_s(stamp: int) -> float:
    """Return the wall time of a stamp, in seconds since the epoch."""
    return (stamp >> _LOGICAL_BITS) / _MICROSECONDS_PER_S
