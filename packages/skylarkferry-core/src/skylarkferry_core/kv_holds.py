"""Which programs' KV cache an engine may hold, and which it has to free."""

import msgspec

from skylarkferry_core.ids import ProgramId
from skylarkferry_core.messages import Fence

RETRY_S = 1.0
MAX_RETRY_S = 30.0
UNCLAIMED_S = 60.0


class Hold(msgspec.Struct):
    """One program's claim: calls that run, and until when the cache is kept after them.

    ``program_ended`` asks for the release as soon as the last call ends.
    """

    fence: Fence
    running: int = 0
    keep_until: float | None = None
    program_ended: bool = False


class Release(msgspec.Struct):
    """A cache to free; ``due`` is the next try and ``delay_s`` the pause after it."""

    fence: Fence | None
    due: float
    delay_s: float = RETRY_S


class KvHolds:
    """Decide what to free: ended programs, holds that lapsed, and what nobody claims."""

    def __init__(self, unclaimed_s: float = UNCLAIMED_S) -> None:
        self.unclaimed_s = unclaimed_s
        self.holds: dict[ProgramId, Hold] = {}
        self.releases: dict[ProgramId, Release] = {}
        self.unclaimed: dict[ProgramId, float] = {}

    def on_started(self, program_id: ProgramId, fence: Fence) -> None:
        """Note that a model call of a program runs; its cache is in use again."""
        hold = self.holds.setdefault(program_id, Hold(fence))
        hold.fence = fence
        hold.running += 1
        hold.keep_until = None
        self.releases.pop(program_id, None)
        self.unclaimed.pop(program_id, None)

    def on_ended(self, program_id: ProgramId, keep_s: float, now: float) -> None:
        """Note a call's end; ``keep_s`` of 0 leaves the cache to the engine and the sweep."""
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
        """Note that a program ended; its last calls may still run."""
        hold = self.holds.get(program_id)
        if hold is not None and hold.running:
            hold.program_ended = True
            return
        self.holds.pop(program_id, None)
        self.unclaimed.pop(program_id, None)
        self.releases[program_id] = Release(fence, now)

    def due(self, now: float) -> list[tuple[ProgramId, Fence | None]]:
        """Return what to order from the engine now."""
        self._lapse(now)
        return [
            (program_id, release.fence)
            for program_id, release in self.releases.items()
            if release.due <= now
        ]

    def _lapse(self, now: float) -> None:
        """Turn holds whose time is over into releases."""
        for program_id, hold in list(self.holds.items()):
            if hold.keep_until is not None and hold.keep_until <= now:
                self.on_release(program_id, hold.fence, now)

    def on_freed(self, program_id: ProgramId) -> None:
        """Note that the engine confirmed."""
        self.releases.pop(program_id, None)

    def on_failed(self, program_id: ProgramId, now: float) -> None:
        """Try again later, more and more seldom."""
        release = self.releases.get(program_id)
        if release is not None:
            release.due = now + release.delay_s
            release.delay_s = min(release.delay_s * 2, MAX_RETRY_S)

    def on_listing(self, cached: set[ProgramId], now: float) -> list[ProgramId]:
        """Take the engine's list of cached programs; return orphans that are freed now."""
        self.unclaimed = {key: at for key, at in self.unclaimed.items() if key in cached}
        for program_id in cached - self.holds.keys() - self.releases.keys():
            self.unclaimed.setdefault(program_id, now)
        orphans = [key for key, at in self.unclaimed.items() if now - at >= self.unclaimed_s]
        for program_id in orphans:
            del self.unclaimed[program_id]
            self.releases[program_id] = Release(None, now)
        return orphans
