"""Store calls that a gateway makes on behalf of one that cannot reach the store."""

from enum import Enum

import anyio
import msgspec

from skylarkferry_core.errors import (
    HistoryLostError,
    OverloadedError,
    PlatformRefusedError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Span, Store
from skylarkferry_gateway.transfer_room import TransferRoom

MAX_ROW_BYTES = 49_152
"""Longest value of a row; in base64 it has the 64 KiB that the store accepts."""


class CallKind(Enum):
    """Kind of store call."""

    READ = "read"
    SCAN = "scan"
    TRANSACT = "transact"
    CHANGES = "changes"
    REMEMBERED = "remembered"
    """Not a call at the store: the result of the peer's own last read."""


class CallOutcome(Enum):
    """How a call ended; only ``UNCERTAIN`` means that a write may or may not have taken effect."""

    DONE = "done"
    CONFLICT = "conflict"
    HISTORY_LOST = "history_lost"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


class RelayedCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """One store call; ``name`` is a row key, a prefix or a table, ``after`` is a version.

    A scan with a number of ``rows`` is that of the names from ``first`` to before ``end``.
    """

    kind: CallKind
    name: str = ""
    after: int = 0
    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()
    first: str = ""
    end: str = ""
    rows: int = 0

    @property
    def span(self) -> Span | None:
        """Return the span of a scan, ``None`` if it is that of a whole part."""
        return Span(self.name, self.first, self.end, self.rows) if self.rows else None

    @property
    def content_bytes(self) -> int:
        """Return the most bytes of rows that the call carries, 0 if that is not known."""
        written = sum(len(write.value or b"") for write in self.writes)
        return written + self.rows * MAX_ROW_BYTES


class RelayedReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a call; ``version`` is that of the store, or of the rows written.

    ``age_s`` is the time since a remembered result was read.
    """

    outcome: CallOutcome
    rows: list[Row] = []
    version: int = 0
    detail: str = ""
    age_s: float = 0.0


async def perform_within_memory(
    store: Store, call: RelayedCall, transfers: TransferRoom | None
) -> RelayedReply:
    """Make a store call once there is memory for the rows that it carries."""
    if transfers is None or not call.content_bytes:
        return await perform_call(store, call)
    deadline_at = anyio.current_time() + defaults.PEER_STORE_TIMEOUT_S
    is_read = not call.writes
    try:
        async with transfers.hold(
            call.content_bytes, deadline_at, is_read=is_read, is_urgent=not is_read
        ):
            return await perform_call(store, call)
    except OverloadedError as error:
        return RelayedReply(CallOutcome.REFUSED, detail=error.detail)


async def perform_call(store: Store, call: RelayedCall) -> RelayedReply:
    """Make a store call and return its outcome; a change feed is read without waiting."""
    try:
        return await _perform(store, call)
    except WriteConflictError as error:
        return RelayedReply(CallOutcome.CONFLICT, detail=error.detail)
    except HistoryLostError as error:
        return RelayedReply(CallOutcome.HISTORY_LOST, detail=error.detail)
    except PlatformRefusedError as error:
        return RelayedReply(CallOutcome.REFUSED, detail=error.detail)
    except PlatformUnavailableError as error:
        return RelayedReply(CallOutcome.UNCERTAIN, detail=error.detail)


async def _perform(store: Store, call: RelayedCall) -> RelayedReply:
    match call.kind:
        case CallKind.READ:
            snapshot = await store.snapshot(call.name)
            return RelayedReply(CallOutcome.DONE, [snapshot.row], snapshot.version)
        case CallKind.SCAN:
            span = call.span
            rows = await (store.scan(call.name) if span is None else store.scan_span(span))
            return RelayedReply(CallOutcome.DONE, rows)
        case CallKind.CHANGES:
            changes = await store.changes(call.name, call.after, 0.0)
            return RelayedReply(CallOutcome.DONE, list(changes.rows), changes.version)
        case CallKind.TRANSACT:
            version = await store.transact(call.conditions, call.writes)
            return RelayedReply(CallOutcome.DONE, version=version)
        case CallKind.REMEMBERED:
            return RelayedReply(CallOutcome.REFUSED, detail="nothing is remembered")


def raise_for_outcome(reply: RelayedReply) -> RelayedReply:
    """Return the reply of a successful call; raise the typed error of any other outcome."""
    match reply.outcome:
        case CallOutcome.DONE:
            return reply
        case CallOutcome.CONFLICT:
            raise WriteConflictError(reply.detail)
        case CallOutcome.HISTORY_LOST:
            raise HistoryLostError(reply.detail)
        case CallOutcome.REFUSED:
            raise PlatformRefusedError(reply.detail)
        case CallOutcome.UNCERTAIN:
            raise PlatformUnavailableError(reply.detail)
