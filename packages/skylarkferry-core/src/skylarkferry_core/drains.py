"""Draining of a sidecar: announced once, never taken back."""

from skylarkferry_core.errors import SkylarkferryError, UpstreamLeavingError
from skylarkferry_core.states import UpstreamState

RETRY_AFTER_S = 1.0


class DrainState:
    """The state a sidecar announces of its upstream."""

    def __init__(self) -> None:
        self.leaving = False
        self.reachable = True

    def start(self) -> bool:
        """Begin to drain; tell whether this is news."""
        is_news = not self.leaving
        self.leaving = True
        return is_news

    def refusal(self) -> SkylarkferryError | None:
        """Return why new work is refused, or ``None``."""
        if not self.leaving:
            return None
        return UpstreamLeavingError("the upstream is leaving", retry_after_s=RETRY_AFTER_S)

    def announced(self) -> UpstreamState:
        """Return the state to announce."""
        if self.leaving:
            return UpstreamState.LEAVING
        return UpstreamState.LIVE if self.reachable else UpstreamState.SUSPECT
