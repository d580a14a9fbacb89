"""Bound on the memory that large responses of upstreams occupy while they are read."""

from skylarkferry_core.errors import AnswerInvalidError

_UNCOUNTED_BYTES = 65_536
"""Bytes of each response that are not counted, so that small responses are always accepted."""


class ResponseMemory:
    """Bytes of large responses that this process holds, at most ``limit_bytes``."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used = 0
        self.most_used = 0

    def reserve(self, count: int) -> None:
        """Reserve bytes; raise ``AnswerInvalidError`` if that exceeds the limit."""
        if self.used + count > self.limit_bytes:
            raise AnswerInvalidError("large responses already use all memory for responses")
        self.used += count
        self.most_used = max(self.most_used, self.used)

    def release(self, count: int) -> None:
        """Release reserved bytes."""
        self.used -= count


class HeldResponse:
    """Memory that one response occupies."""

    def __init__(self, memory: ResponseMemory) -> None:
        self.memory = memory
        self.reserved = 0

    def grow_to(self, size: int) -> None:
        """Count a response of this size so far; raise ``AnswerInvalidError`` beyond the limit."""
        counted = max(size - _UNCOUNTED_BYTES, 0)
        if counted > self.reserved:
            self.memory.reserve(counted - self.reserved)
            self.reserved = counted

    def release(self) -> None:
        """Release the memory of the response."""
        self.memory.release(self.reserved)
        self.reserved = 0
