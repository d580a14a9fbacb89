"""Admission of client requests by the memory that this process holds."""

from skylarkferry_core.errors import OverloadedError
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import HeldBytes, MemoryAccount, MemoryUse
from skylarkferry_gateway.metrics import GatewayMetrics


class RequestMemory:
    """Refuse requests beyond the memory account, and count the bodies of the others."""

    def __init__(self, account: MemoryAccount, log: EventLog, metrics: GatewayMetrics) -> None:
        self.account = account
        self.log = log
        self.metrics = metrics

    def admit(self, body_bytes: int) -> HeldBytes:
        """Return the memory for a body of which the head states this size, 0 if none.

        Raise ``OverloadedError`` if there is no room for new work.
        """
        if not self.account.admits(body_bytes):
            raise self._refusal(body_bytes)
        return HeldBytes(self.account.shares[MemoryUse.BODIES], uncounted=0)

    def grow(self, held: HeldBytes, size: int) -> None:
        """Count a body of this size so far; raise ``OverloadedError`` beyond the limits."""
        if not held.resize(size):
            raise self._refusal(size)

    def _refusal(self, body_bytes: int) -> OverloadedError:
        self.metrics.memory_refusals.inc()
        self.log.emit(
            EventKind.GATEWAY_MEMORY_FULL,
            body_bytes=body_bytes,
            held_bytes=self.account.used,
            limit_bytes=self.account.limit_bytes,
        )
        return OverloadedError(
            "this process holds too many bytes for other requests",
            retry_after_s=defaults.RETRY_AFTER_S,
        )
