"""State of one upstream at an entry, from host list, heartbeats and notices."""

import msgspec

from skylarkferry_core.ids import Incarnation
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.states import UpstreamState

NO_INCARNATION = Incarnation("")
MISSED_HEARTBEATS = 3
HOST_LIST_LAG_S = 5.0


class Member:
    """State of one upstream; ``LEAVING`` is final within one incarnation."""

    def __init__(self, heartbeat_s: float) -> None:
        self.silence_s = MISSED_HEARTBEATS * heartbeat_s
        self.incarnation = NO_INCARNATION
        self.incarnation_since = 0.0
        self.announced = UpstreamState.SUSPECT
        self.leaving_incarnation: Incarnation | None = None
        self.connected = False
        self.listed = True
        self.listed_leaving_since: float | None = None
        self.last_frame_at = 0.0
        self.load = LoadReport()
        self.load_at = 0.0

    def on_welcome(
        self, incarnation: Incarnation, state: UpstreamState, load: LoadReport, now: float
    ) -> None:
        """Process the first frame of a new stream."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.incarnation_since = now
        self.connected = True
        self.on_state(state, now)
        self.on_load(load, now)

    def on_state(self, state: UpstreamState, now: float) -> None:
        """Process an announced state."""
        self.last_frame_at = now
        self.announced = state
        if state is UpstreamState.LEAVING:
            self.leaving_incarnation = self.incarnation

    def on_load(self, load: LoadReport, now: float) -> None:
        """Process a load report."""
        self.load = load
        self.load_at = now

    def on_frame(self, now: float) -> None:
        """Record that a frame arrived on the stream."""
        self.last_frame_at = now

    def on_listed(self, leaving: bool, now: float) -> None:
        """Process the host list's entry; a new leaving mark applies to the current incarnation."""
        self.listed = True
        if not leaving:
            self.listed_leaving_since = None
            return
        if self.listed_leaving_since is None:
            self.listed_leaving_since = now
            self.leaving_incarnation = self.incarnation

    def on_unlisted(self) -> None:
        """Record that the host list no longer contains the upstream."""
        self.listed = False

    def on_disconnected(self) -> None:
        """Record that the stream ended."""
        self.connected = False

    def is_silent(self, now: float) -> bool:
        """Return whether the stream is silent for so long that it has to be replaced."""
        return now - self.last_frame_at > self.silence_s

    def state(self, now: float) -> UpstreamState:
        """Return the state that placement uses."""
        if self._is_leaving(now):
            return UpstreamState.LEAVING
        if not self.connected:
            return UpstreamState.SUSPECT if self.listed else UpstreamState.GONE
        if self.is_silent(now):
            return UpstreamState.SUSPECT
        return self.announced

    def _is_leaving(self, now: float) -> bool:
        """Return whether this incarnation is leaving.

        A leaving mark that is older than this incarnation may belong to the previous one; the mark
        applies only if the host list shows it for longer than the list can lag.
        """
        if self.leaving_incarnation == self.incarnation:
            return True
        if self.listed_leaving_since is None:
            return False
        return now - max(self.incarnation_since, self.listed_leaving_since) > HOST_LIST_LAG_S

    def aged_load(self, now: float) -> LoadReport:
        """Return the last load report with its current age."""
        age_s = self.load.age_s + max(now - self.load_at, 0.0)
        return msgspec.structs.replace(self.load, age_s=age_s)
