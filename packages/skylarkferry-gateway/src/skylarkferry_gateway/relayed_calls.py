"""Store calls that a gateway makes for another one that does not reach the store itself."""

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
    """Which call of the store is made."""

    READ = "read"
    SCAN = "scan"
    TRANSACT = "transact"
    CHANGES = "changes"


class CallOutcome(Enum):
    """How a call ended; only ``UNCERTAIN`` leaves open whether a write took effect."""

    DONE = "done"
    CONFLICT = "conflict"
    HISTORY_LOST = "history_lost"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


class RelayedCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """One call; ``name`` is a row's key, a prefix or a table, ``after`` a version."""

    kind: CallKind
    name: str = ""
    after: int = 0
    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


class RelayedReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the call gave; ``version`` is the store's, or that of the rows written."""

    outcome: CallOutcome
    rows: list[Row] = []
    version: int = 0
    detail: str = ""


async def perform_call(store: Store, call: RelayedCall) -> RelayedReply:
    """Make a call at the store and return how it ended; a feed is asked without waiting."""
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


def raise_for_outcome(reply: RelayedReply) -> RelayedReply:
    """Return a reply whose call was done; raise the typed failure of any other."""
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
