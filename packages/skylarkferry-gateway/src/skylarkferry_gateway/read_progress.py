"""Progress of a read that consists of many store calls."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

_BASE64_FACTOR = 4 / 3
"""Bytes of an answer for each byte of content."""
_RATED_AFTER_S = 0.4
"""Time after which the rate of a read is known well enough to tell when it will end."""


class ReadProgress:
    """Bytes that have arrived of the ``missing_bytes`` of a read, and when any arrived last.

    ``calls`` is the number of store calls under way; ``is_needed`` is whether any request waits for
    the read.
    """

    def __init__(self) -> None:
        self.is_needed = True
        self.calls = 0
        self.arrived_bytes = 0
        self.missing_bytes = 0
        self.began_at = self.arrived_at = anyio.current_time()

    def begin(self, missing_bytes: int) -> None:
        """Begin to measure the rate of a read of so many bytes of content."""
        self.arrived_bytes = 0
        self.missing_bytes = round(missing_bytes * _BASE64_FACTOR)
        self.began_at = anyio.current_time()

    @contextmanager
    def call(self) -> Iterator[None]:
        """Count a call while it is under way."""
        if not self.calls:
            self.arrived_at = anyio.current_time()
        self.calls += 1
        try:
            yield
        finally:
            self.calls -= 1

    def on_arrival(self, count: int) -> None:
        """Take in that bytes of an answer have arrived."""
        self.arrived_bytes += count
        self.arrived_at = anyio.current_time()

    def silent_s(self) -> float:
        """Return for how long the calls under way have brought nothing, in seconds."""
        return anyio.current_time() - self.arrived_at if self.calls else 0.0

    def remaining_s(self) -> float | None:
        """Return how long the rest of the read takes at its rate, ``None`` if that is not known."""
        elapsed_s = anyio.current_time() - self.began_at
        if elapsed_s < _RATED_AFTER_S or not self.arrived_bytes:
            return None
        return max(self.missing_bytes - self.arrived_bytes, 0) * elapsed_s / self.arrived_bytes
