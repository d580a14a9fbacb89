"""Store calls that a gateway makes on behalf of one that cannot reach the store."""

from enum import Enum

import msgspec

from skylarkferry_core.errors import (
    HistoryLostError,
    PlatformRefusedError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_gateway.interfaces import Store


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
    """One store call; ``name`` is a row key, a prefix or a table, ``after`` is a version."""

    kind: CallKind
    name: str = ""
    after: int = 0
    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


class RelayedReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a call; ``version`` is that of the store, or of the rows written.

    ``age_s`` is the time since a remembered result was read.
    """

    outcome: CallOutcome
    rows: list[Row] = []
    version: int = 0
    detail: str = ""
    age_s: float = 0.0


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
            return RelayedReply(CallOutcome.DONE, await store.scan(call.name))
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
