"""Retained turns as rows of the platform's store."""

import math

import anyio
import msgspec

from skylarkferry_core.errors import (
    BadRequestError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.histories import Turn
from skylarkferry_core.ids import TurnId
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_gateway import defaults
from skylarkferry_gateway.decoding import decode
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.interfaces import Span
from skylarkferry_gateway.read_progress import ReadProgress
from skylarkferry_gateway.store_calls import key_part, row_key, write_once
from skylarkferry_gateway.transfer_room import TransferRoom

_TABLE = "turns"
CHUNK_BYTES = 45_000
"""Bytes of content per row; with base64 and envelope, a row stays within the store's 64 KiB."""
_WRITE_ROWS = 13
"""Rows per write; in base64, a call stays within the store's 1 MB."""
_READ_ROWS = 4
"""Rows per read, a quarter of a megabyte in base64."""


class TurnHead(msgspec.Struct, frozen=True, array_like=True):
    """First row of a stored turn; ``rows`` is the number of rows with the rest of its content."""

    turn: Turn
    rows: int = 0

    @property
    def most_bytes(self) -> int:
        """Return the most bytes that the whole content can have."""
        return len(self.turn.content) + self.rows * CHUNK_BYTES


_HEAD = msgspec.msgpack.Decoder(TurnHead)


class TurnRows:
    """Write and read turns, in calls of a bounded size."""

    def __init__(self, store: FailoverStore, transfers: TransferRoom) -> None:
        self.store = store
        self.transfers = transfers

    async def write(self, turn_id: TurnId, turn: Turn, deadline_at: float) -> None:
        """Make a turn durable; raise ``PlatformUnavailableError`` if that may have failed."""
        part = key_part(turn_id)
        content = turn.content
        count = max(-(-len(content) // CHUNK_BYTES), 1)
        for first in range(1, count, _WRITE_ROWS):
            numbers = range(first, min(first + _WRITE_ROWS, count))
            size = min(len(numbers) * CHUNK_BYTES, len(content) - first * CHUNK_BYTES)
            async with self.transfers.hold(size, deadline_at, is_urgent=True):
                writes = [
                    Write(row_key(_TABLE, part, _name(n)), _chunk(content, n)) for n in numbers
                ]
                await write_once(self.store, [Condition(writes[0].key, 0)], writes, deadline_at)
        head = TurnHead(msgspec.structs.replace(turn, content=_chunk(content, 0)), count - 1)
        size = len(head.turn.content)
        async with self.transfers.hold(size, deadline_at, is_urgent=True):
            write = Write(row_key(_TABLE, part, _name(0)), msgspec.msgpack.encode(head))
            try:
                await write_once(self.store, [Condition(write.key, 0)], [write], deadline_at)
            except WriteConflictError as error:
                raise BadRequestError("a turn with this request id is already stored") from error

    async def read_head(self, turn_id: TurnId, progress: ReadProgress) -> TurnHead | None:
        """Return the first row of a turn, or ``None`` if the store certainly has no such turn.

        Raise ``PlatformUnavailableError`` if it cannot be read.
        """
        rows = await self._read_rows(turn_id, 0, 1, progress)
        return decode(_HEAD.decode, rows[0].value) if rows else None

    async def read_rest(self, turn_id: TurnId, head: TurnHead, progress: ReadProgress) -> Turn:
        """Return the whole turn that begins with ``head``; raise as ``read_head`` does."""
        if not head.rows:
            return head.turn
        parts = [head.turn.content]
        for first in range(1, head.rows + 1, _READ_ROWS):
            end = min(first + _READ_ROWS, head.rows + 1)
            rows = await self._read_rows(turn_id, first, end, progress)
            if len(rows) < end - first:
                raise PlatformUnavailableError("rows of the turn are missing from the store")
            parts.extend(row.value for row in rows)
        async with self.transfers.hold(head.most_bytes // defaults.TRANSFER_COPIES, is_urgent=True):
            return msgspec.structs.replace(head.turn, content=b"".join(parts))

    async def _read_rows(
        self, turn_id: TurnId, first: int, end: int, progress: ReadProgress
    ) -> list[Row]:
        span = Span(row_key(_TABLE, key_part(turn_id), ""), _name(first), _name(end), end - first)
        size = span.rows * CHUNK_BYTES
        async with self.transfers.hold(size, is_read=True, is_urgent=first > 0):
            with progress.call():
                return await self._scan(span, progress)

    async def _scan(self, span: Span, progress: ReadProgress) -> list[Row]:
        """Read rows, again for a while after a first failure if a request waits for them."""
        delay_s = defaults.STORE_RETRY_S
        retry_until = math.inf
        while True:
            try:
                return await self.store.scan_span(span, progress.on_arrival)
            except PlatformUnavailableError:
                now = anyio.current_time()
                retry_until = min(retry_until, now + defaults.CHAIN_SILENCE_S)
                if not progress.is_needed or now + delay_s >= retry_until:
                    raise
            await anyio.sleep(delay_s)
            delay_s = min(delay_s * 2, defaults.STORE_RETRY_MAX_S)


def _name(number: int) -> str:
    return f"{number:04d}"


def _chunk(content: bytes, number: int) -> bytes:
    return content[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES]
