"""Detection of upstream crashes and of the requests running at the time."""

import math

from skylarkferry_core.calls import Call
from skylarkferry_core.crashes import Suspicion
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import CrashNotice, StateNotice
from skylarkferry_core.ids import CrashId
from skylarkferry_daemon.sidecar_state import SidecarState
from skylarkferry_daemon.upstream_probe import UpstreamProbe


class CrashDetector:
    """Distinguishes crashes from broken connections and reports crashes to all entries."""

    def __init__(self, state: SidecarState, probe: UpstreamProbe) -> None:
        self.state = state
        self.probe = probe
        self.crashed_at = -math.inf

    async def on_broken_connection(self, call: Call) -> None:
        """Probe the upstream after a call's connection broke; record a crash if it is down."""
        if await self.probe.accepts_connections():
            return
        if call.started_at > self.crashed_at:
            self._record_crash()
        self.set_reachable(False)
        if call.order.fingerprint:
            self._report_suspect(call)

    def _record_crash(self) -> None:
        """Count a new crash; broken calls that started before this crash belong to it."""
        self.crashed_at = self.state.timers.now()
        self.state.upstream_crashes += 1
        self.state.log.emit(EventKind.UPSTREAM_CRASHED, running=len(self.state.table.running))

    def _report_suspect(self, call: Call) -> None:
        order = call.order
        state = self.state
        crash = CrashId(f"{state.settings.upstream}/{state.incarnation}/{state.upstream_crashes}")
        alone = order.alone or order.fingerprint in state.crash_registry.suspects()
        verdict = state.crash_registry.on_crash(order.fingerprint, crash)
        kind = EventKind.REQUEST_SUSPECTED
        if verdict is Suspicion.QUARANTINED:
            kind = EventKind.REQUEST_QUARANTINED
        state.log.emit(kind, order.program_id, fingerprint=order.fingerprint, alone=alone)
        state.hub.broadcast(CrashNotice(order.fingerprint, alone, crash))

    def set_reachable(self, reachable: bool) -> None:
        """Announce a change in whether the upstream accepts connections."""
        drain = self.state.drain
        if drain.reachable is reachable:
            return
        drain.reachable = reachable
        kind = EventKind.UPSTREAM_REACHABLE if reachable else EventKind.UPSTREAM_UNREACHABLE
        self.state.log.emit(kind)
        self.state.hub.broadcast(StateNotice(drain.announced()))

    async def check_reachable(self) -> None:
        """Probe an unreachable upstream and announce it once it accepts connections again."""
        if not self.state.drain.reachable and await self.probe.accepts_connections():
            self.set_reachable(True)
