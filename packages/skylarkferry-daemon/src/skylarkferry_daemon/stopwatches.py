"""Measurement of a call's time on its upstream."""

from skylarkferry_core.messages import Timing
from skylarkferry_daemon.timers import TimerService


class Stopwatch:
    """Measures the time since its creation, and from its creation to the first output."""

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.started_at = timers.now()
        self.first_output_at: float | None = None

    def record_output(self) -> None:
        """Record output; only the first one sets the time."""
        if self.first_output_at is None:
            self.first_output_at = self.timers.now()

    def timing(self) -> Timing:
        """Return the times so far; a call without output has only ``run_s``."""
        run_s = self.timers.now() - self.started_at
        if self.first_output_at is None:
            return Timing(run_s=run_s)
        first_s = self.first_output_at - self.started_at
        return Timing(first_s, run_s - first_s, run_s)
