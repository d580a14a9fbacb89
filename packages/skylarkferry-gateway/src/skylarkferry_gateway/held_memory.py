"""Account of the bytes that this process holds for requests, with a share for each use."""

from collections.abc import Callable
from enum import Enum

from skylarkferry_core.errors import AnswerInvalidError
from skylarkferry_gateway import defaults

_UNCOUNTED_BYTES = 16_384
"""Bytes of each response that are not counted, so that small responses are always accepted."""


class MemoryUse(Enum):
    """What held bytes are for.

    ``RESPONSES`` includes the output of turns under way; ``TRANSFERS`` are the buffers of store
    calls that carry turns.
    """

    BODIES = "bodies"
    RESPONSES = "responses"
    STREAMS = "streams"
    TRANSFERS = "transfers"


class MemoryAccount:
    """Bytes held for all uses together, at most ``limit_bytes``.

    ``on_release`` is called whenever bytes were released.
    New work is admitted below a part of it only, so that work under way has room to end.
    """

    def __init__(self, process_limit_bytes: int) -> None:
        self.limit_bytes = int(process_limit_bytes * defaults.HELD_MEMORY_SHARE)
        self.used = 0
        self.was_full = False
        self.on_release: Callable[[], None] = _do_nothing
        self.shares = {
            use: MemoryShare(self, int(process_limit_bytes * share))
            for use, share in (
                (MemoryUse.BODIES, defaults.BODY_MEMORY_SHARE),
                (MemoryUse.RESPONSES, defaults.RESPONSE_MEMORY_SHARE),
                (MemoryUse.STREAMS, defaults.STREAM_MEMORY_SHARE),
                (MemoryUse.TRANSFERS, defaults.TRANSFER_MEMORY_SHARE),
            )
        }

    def admits(self, body_bytes: int) -> bool:
        """Return whether new work with a body of this size may begin."""
        limit = int(self.limit_bytes * defaults.NEW_WORK_MEMORY_SHARE)
        return self.used + body_bytes <= limit and self.shares[MemoryUse.BODIES].has_room(
            body_bytes
        )

    def is_full(self) -> bool:
        """Return whether new work is refused, until what is held is not even scarce any more."""
        if not self.admits(0):
            self.was_full = True
        elif not self.is_scarce():
            self.was_full = False
        return self.was_full

    def is_scarce(self) -> bool:
        """Return whether so much is held that clients have to read faster."""
        return self.used > self.limit_bytes * defaults.SCARCE_MEMORY_SHARE


class MemoryShare:
    """Bytes held for one use, at most ``limit_bytes``, within those of the account."""

    def __init__(self, account: MemoryAccount, limit_bytes: int) -> None:
        self.account = account
        self.limit_bytes = limit_bytes
        self.used = 0
        self.most_used = 0

    def has_room(self, count: int) -> bool:
        """Return whether as many bytes can be reserved."""
        has_share = self.used + count <= self.limit_bytes
        return has_share and self.account.used + count <= self.account.limit_bytes

    def reserve(self, count: int) -> bool:
        """Reserve bytes, or return False if that exceeds a limit."""
        if not self.has_room(count):
            return False
        self.add(count)
        return True

    def add(self, count: int) -> None:
        """Count bytes without a check of the limits."""
        self.used += count
        self.account.used += count
        self.most_used = max(self.most_used, self.used)

    def release(self, count: int) -> None:
        """Release reserved bytes."""
        self.used -= count
        self.account.used -= count
        if count:
            self.account.on_release()


class HeldBytes:
    """Memory that one request body, response or stream occupies."""

    def __init__(self, share: MemoryShare, uncounted: int = _UNCOUNTED_BYTES) -> None:
        self.share = share
        self.uncounted = uncounted
        self.reserved = 0

    def resize(self, size: int) -> bool:
        """Count a size; return False, with nothing changed, if that exceeds a limit."""
        counted = max(size - self.uncounted, 0)
        if counted > self.reserved and not self.share.reserve(counted - self.reserved):
            return False
        if counted < self.reserved:
            self.share.release(self.reserved - counted)
        self.reserved = counted
        return True

    def grow_to(self, size: int) -> None:
        """Count a response of this size so far; raise ``AnswerInvalidError`` beyond a limit."""
        if max(size - self.uncounted, 0) > self.reserved and not self.resize(size):
            raise AnswerInvalidError("large responses already use all memory for responses")

    def release(self) -> None:
        """Release the memory."""
        self.share.release(self.reserved)
        self.reserved = 0


def _do_nothing() -> None:
    return
