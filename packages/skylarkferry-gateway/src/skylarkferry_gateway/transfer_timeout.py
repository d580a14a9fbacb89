"""Timeout of an answer that may be long: it limits the pauses, and the whole only generously."""

import anyio


class TransferTimeout:
    """Moves the deadline of a scope as an answer makes progress.

    The scope's own deadline limits the wait for the first progress, ``pause_s`` each later pause,
    and ``total_s`` the time from the first progress to the end.
    """

    def __init__(self, scope: anyio.CancelScope, pause_s: float, total_s: float) -> None:
        self.scope = scope
        self.pause_s = pause_s
        self.total_s = total_s
        self.ends_at: float | None = None

    def on_progress(self) -> None:
        """Allow for another pause."""
        now = anyio.current_time()
        if self.ends_at is None:
            self.ends_at = now + self.total_s
        self.scope.deadline = min(now + self.pause_s, self.ends_at)
