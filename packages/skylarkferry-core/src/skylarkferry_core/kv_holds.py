"""Choice of the KV caches that an engine may hold and of those it has to free."""

import msgspec

from skylarkferry_core.ids import ProgramId
from skylarkferry_core.messages import Fence

RETRY_S = 1.0
MAX_RETRY_S = 30.0
UNCLAIMED_S = 60.0


class Hold(msgspec.Struct):
    """Hold of one program: its running calls, and the time until which its cache is kept.

    ``program_ended`` requests the release as soon as the last call ends.
    """

    fence: Fence
    running: int = 0
    keep_until: float | None = None
    program_ended: bool = False


class Release(msgspec.Struct):
    """A cache to free; ``due`` is the time of the next attempt and ``delay_s`` the delay after."""

    fence: Fence | None
    due: float
    delay_s: float = RETRY_S


class KvHolds:
    """Decide what to free: caches of ended programs, expired holds and unclaimed caches."""

    def __init__(self, unclaimed_s: float = UNCLAIMED_S) -> None:
        self.unclaimed_s = unclaimed_s
        self.holds: dict[ProgramId, Hold] = {}
        self.releases: dict[ProgramId, Release] = {}
        self.unclaimed: dict[ProgramId, float] = {}

    def on_started(self, program_id: ProgramId, fence: Fence) -> None:
        """Record that a model call of a program started; its cache is in use again."""
        hold = self.holds.setdefault(program_id, Hold(fence))
        hold.fence = fence
        hold.running += 1
        hold.keep_until = None
        self.releases.pop(program_id, None)
        self.unclaimed.pop(program_id, None)

    def on_ended(self, program_id: ProgramId, keep_s: float, now: float) -> None:
        """Record the end of a call; ``keep_s`` 0 leaves eviction to the engine or the sweep."""
        hold = self.holds.get(program_id)
        if hold is None:
            return
        hold.running = max(hold.running - 1, 0)
        if hold.running:
            return
        if hold.program_ended:
            self.on_release(program_id, hold.fence, now)
        elif keep_s > 0:
            hold.keep_until = now + keep_s
        else:
            del self.holds[program_id]
            self.unclaimed[program_id] = now

    def on_release(self, program_id: ProgramId, fence: Fence, now: float) -> None:
        """Record that a program ended; its last calls may still be running."""
        hold = self.holds.get(program_id)
        if hold is not None and hold.running:
            hold.program_ended = True
            return
        self.holds.pop(program_id, None)
        self.unclaimed.pop(program_id, None)
        self.releases[program_id] = Release(fence, now)

    def due(self, now: float) -> list[tuple[ProgramId, Fence | None]]:
        """Return the releases to request from the engine now."""
        self._expire_holds(now)
        return [
            (program_id, release.fence)
            for program_id, release in self.releases.items()
            if release.due <= now
        ]

    def _expire_holds(self, now: float) -> None:
        """Turn expired holds into releases."""
        for program_id, hold in list(self.holds.items()):
            if hold.keep_until is not None and hold.keep_until <= now:
                self.on_release(program_id, hold.fence, now)

    def on_freed(self, program_id: ProgramId) -> None:
        """Record that the engine confirmed a release."""
        self.releases.pop(program_id, None)

    def on_failed(self, program_id: ProgramId, now: float) -> None:
        """Schedule another attempt with exponential backoff."""
        release = self.releases.get(program_id)
        if release is not None:
            release.due = now + release.delay_s
            release.delay_s = min(release.delay_s * 2, MAX_RETRY_S)

    def on_listing(self, cached: set[ProgramId], now: float) -> list[ProgramId]:
        """Process the engine's list of cached programs; return the orphans that are freed now."""
        self.unclaimed = {key: at for key, at in self.unclaimed.items() if key in cached}
        for program_id in cached - self.holds.keys() - self.releases.keys():
            self.unclaimed.setdefault(program_id, now)
        orphans = [key for key, at in self.unclaimed.items() if now - at >= self.unclaimed_s]
        for program_id in orphans:
            del self.unclaimed[program_id]
            self.releases[program_id] = Release(None, now)
        return orphans
