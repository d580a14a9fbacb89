"""Large request bodies on their way to one upstream, which wait for each other in order."""

from collections.abc import Callable

from skylarkferry_gateway import defaults
from skylarkferry_gateway.room_queue import RoomQueue


class BodyWindow:
    """Bound of the large bodies that an upstream still has to read, or would have to queue.

    ``unread_bytes`` are being sent; ``unanswered_bytes`` are being sent, or were sent and have no
    answer yet.  The latter count if the upstream has no free slot, and has to keep what it reads.
    """

    def __init__(self, has_free_slot: Callable[[], bool]) -> None:
        self.has_free_slot = has_free_slot
        self.queue = RoomQueue()
        self.unread_bytes = 0
        self.unanswered_bytes = 0

    def has_room_for(self, body_bytes: int) -> bool:
        """Return whether a body of this size may be sent at once."""
        if body_bytes <= defaults.COUNTED_BODY_BYTES:
            return True
        return not self.queue.waiting and self.fits(body_bytes)

    def fits(self, body_bytes: int) -> bool:
        """Return whether there is room for a body; one above the limit is sent alone."""
        taken = self.unread_bytes
        if not self.has_free_slot():
            taken = max(taken, self.unanswered_bytes)
        return not taken or taken + body_bytes <= defaults.UPSTREAM_BODY_BYTES


class BodyInWindow:
    """One body on its way; it counts from ``enter`` on."""

    def __init__(self, window: BodyWindow, size: int) -> None:
        self.window = window
        self.size = size
        self.unread = 0
        self.unanswered = 0

    async def enter(self) -> None:
        """Wait until the body may be sent, after those that came before."""
        await self.window.queue.wait(self._take, self.leave)

    def _take(self) -> bool:
        if not self.window.fits(self.size):
            return False
        self.unread = self.unanswered = self.size
        self.window.unread_bytes += self.size
        self.window.unanswered_bytes += self.size
        return True

    def on_sent(self) -> None:
        """Take in that the body has left this host, but for ``UNSENT_BYTES``."""
        self.window.unread_bytes -= self.unread
        self.unread = 0
        self.window.queue.admit()

    def on_answered(self) -> None:
        """Take in that the upstream works on the request."""
        self.window.unanswered_bytes -= self.unanswered
        self.unanswered = 0
        self.window.queue.admit()

    def leave(self) -> None:
        """End the exchange of the body."""
        self.on_sent()
        self.on_answered()
