"""Ends of upstream processes, told apart by when each process was alive and when it had ended."""

import math

import msgspec

from skylarkferry_core.ids import CrashId
from skylarkferry_gateway.messages import UpstreamEntry


class EndSpan(msgspec.Struct, frozen=True):
    """Monotonic times between which a process ended: it was alive at one, gone by the other."""

    alive_at: float = -math.inf
    gone_by: float = math.inf

    def common(self, other: "EndSpan") -> "EndSpan | None":
        """Return the span of an end that lies in both, or ``None`` if there is none."""
        alive_at = max(self.alive_at, other.alive_at)
        gone_by = min(self.gone_by, other.gone_by)
        return EndSpan(alive_at, gone_by) if alive_at <= gone_by else None


def end_name(entry: UpstreamEntry, number: int) -> CrashId:
    """Return the name of an end of the upstream's process.

    The listed start time may be that of an earlier process, so several ends may be found under it;
    all gateways number them from 0.
    """
    return CrashId(f"{entry.upstream}.{entry.born_ms}.{number}")
