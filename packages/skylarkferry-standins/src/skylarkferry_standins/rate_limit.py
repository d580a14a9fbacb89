"""Limit on requests per second."""


class RateLimit:
    """Token bucket that holds one second's tokens, at least one; ``None`` means no limit."""

    def __init__(self, per_s: float | None) -> None:
        self.per_s = per_s
        self.capacity = max(per_s or 0.0, 1.0)
        self.tokens = self.capacity
        self.updated_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Take one token at monotonic time ``now``; return whether one was available."""
        if self.per_s is None:
            return True
        self.tokens = min(self.capacity, self.tokens + (now - self.updated_at) * self.per_s)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
