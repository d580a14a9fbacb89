"""A bound on requests per second."""


class RateLimit:
    """Token bucket that holds one second's worth, at least one; ``None`` means no bound."""

    def __init__(self, per_s: float | None) -> None:
        self.per_s = per_s
        self.capacity = max(per_s or 0.0, 1.0)
        self.tokens = self.capacity
        self.last = 0.0

    def try_acquire(self, now: float) -> bool:
        """Take one token at monotonic time ``now``; return whether there was one."""
        if self.per_s is None:
            return True
        self.tokens = min(self.capacity, self.tokens + (now - self.last) * self.per_s)
        self.last = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
