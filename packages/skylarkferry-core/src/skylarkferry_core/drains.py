"""Drain state of a sidecar; a drain is announced once and cannot be cancelled."""

from skylarkferry_core.errors import SkylarkferryError, UpstreamLeavingError
from skylarkferry_core.states import UpstreamState

RETRY_AFTER_S = 1.0


class DrainState:
    """State that a sidecar announces for its upstream."""

    def __init__(self) -> None:
        self.leaving = False
        self.reachable = True

    def start(self) -> bool:
        """Start draining; return whether it was not draining before."""
        is_new = not self.leaving
        self.leaving = True
        return is_new

    def refusal(self) -> SkylarkferryError | None:
        """Return the error for new work, or ``None`` if work is accepted."""
        if not self.leaving:
            return None
        return UpstreamLeavingError("the upstream is leaving", retry_after_s=RETRY_AFTER_S)

    def announced(self) -> UpstreamState:
        """Return the state to announce."""
        if self.leaving:
            return UpstreamState.LEAVING
        return UpstreamState.LIVE if self.reachable else UpstreamState.SUSPECT
