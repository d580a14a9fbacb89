"""Store client that fails over from the direct path to gateways that still reach the store."""

import math
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TypeVar

import anyio

from skylarkferry_core.errors import PlatformRefusedError, PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Changes, Snapshot, Span, Store, ignore_arrival
from skylarkferry_gateway.outage_retries import OutageRetries
from skylarkferry_gateway.peers import (
    PeerClient,
    PeerDownError,
    PeerSilentError,
    PeerUnreachableError,
)
from skylarkferry_gateway.relayed_calls import (
    CallKind,
    RelayedCall,
    RelayedReply,
    raise_for_outcome,
)
from skylarkferry_gateway.remembered_rows import RememberedRows

Result = TypeVar("Result")

_PEERS_PER_CALL = 2
"""Peers asked per call: the store may refuse two gateways at once, but rarely three."""
_MIN_PEER_SHARE = 0.01
"""Least share of a peer, so that each is asked at times."""
_PROBE_KEY = "crashes//probe"
"""A row that is never written; it is read to check if the store answers again."""


class FailoverStore:
    """A store that is called through peers while it does not answer this process.

    ``peer_shares`` returns what the hosts of peers can do for others, 1 where it is not known.
    """

    def __init__(
        self,
        direct: Store,
        peers: PeerClient,
        peer_addresses: Callable[[], set[str]],
        peer_shares: Callable[[], Mapping[str, float]],
        *,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self.direct = direct
        self.peers = peers
        self.peer_addresses = peer_addresses
        self.peer_shares = peer_shares
        self.rng = rng
        self.log = log
        self.last_peer = ""
        self.avoided_until: dict[str, float] = {}
        self.is_relayed = False
        self.relay_failed_at: float | None = None
        self.remembered = RememberedRows()
        self.retries = OutageRetries(rng)

    async def read(self, key: str) -> Row:
        """Return the row, with version 0 if absent; raise ``PlatformUnavailableError``."""
        return (await self.snapshot(key)).row

    async def snapshot(self, key: str) -> Snapshot:
        """Return a row and the version after which to follow its changes."""

        async def relayed() -> Snapshot:
            reply = await self._relayed(RelayedCall(CallKind.READ, key))
            return Snapshot(reply.rows[0], reply.version)

        try:
            snapshot = await self._call(lambda: self.direct.snapshot(key), relayed)
        except PlatformUnavailableError:
            reply = await self._remembered_at_peers(key)
            if reply is None or not reply.rows:
                raise
            return Snapshot(reply.rows[0], reply.version, reply.age_s)
        self.remembered.keep_snapshot(key, snapshot)
        return snapshot

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``, in key order."""

        async def relayed() -> list[Row]:
            return (await self._relayed(RelayedCall(CallKind.SCAN, prefix))).rows

        try:
            rows = await self._call(lambda: self.direct.scan(prefix), relayed)
        except PlatformUnavailableError:
            reply = await self._remembered_at_peers(prefix)
            if reply is None:
                raise
            return reply.rows
        self.remembered.keep_rows(prefix, rows)
        return rows

    async def scan_span(
        self, span: Span, on_arrival: Callable[[int], None] = ignore_arrival
    ) -> list[Row]:
        """Return the rows of a span, in key order; raise ``PlatformUnavailableError``.

        ``on_arrival`` is called with the number of bytes of the answer whenever some arrive, and
        with 0 when a peer tells that it works.
        """

        async def relayed() -> list[Row]:
            call = RelayedCall(
                CallKind.SCAN, span.prefix, first=span.first, end=span.end, rows=span.rows
            )
            rows = (await self._relayed(call, on_arrival)).rows
            # A peer of an earlier version returns all rows of the part.
            names = [row.key.rpartition("/")[2] for row in rows]
            return [
                row for row, name in zip(rows, names, strict=True) if span.first <= name < span.end
            ]

        return await self._call(lambda: self.direct.scan_span(span, on_arrival), relayed)

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Apply all writes atomically and return the new version of the written rows.

        Raise ``WriteConflictError``, ``PlatformRefusedError`` if nothing was written, and
        ``PlatformUnavailableError`` if the write may have taken effect.
        """
        call = RelayedCall(CallKind.TRANSACT, conditions=tuple(conditions), writes=tuple(writes))

        async def relayed() -> int:
            return (await self._relayed(call)).version

        return await self._call(
            lambda: self.direct.transact(conditions, writes), relayed, is_write=True
        )

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version, waiting at most ``wait_s`` for the first.

        Raise ``HistoryLostError`` if the store no longer has them, and
        ``PlatformUnavailableError``.
        """

        async def relayed() -> Changes:
            reply = await self._relayed(RelayedCall(CallKind.CHANGES, table, after))
            if not reply.rows:
                await anyio.sleep(min(wait_s, defaults.UPSTREAMS_POLL_S))
            return Changes(reply.rows, reply.version)

        changes = await self._call(lambda: self.direct.changes(table, after, wait_s), relayed)
        self.remembered.keep_changes(table, changes)
        return changes

    async def _remembered_at_peers(self, name: str) -> RelayedReply | None:
        """Return what a peer read last under a name that this process has never read.

        A process that starts while the store is away thus knows what its peers know. It is no
        read of the store: nothing is concluded from what is absent.
        """
        if not self.remembered.may_borrow(name):
            return None
        addresses = sorted(self.peer_addresses(), key=lambda item: self.rng.random())
        for address in addresses[:_PEERS_PER_CALL]:
            try:
                reply = await self.peers.store(address, RelayedCall(CallKind.REMEMBERED, name))
                raise_for_outcome(reply)
            except (PeerDownError, PeerSilentError, PlatformUnavailableError):
                continue
            if not self.remembered.may_borrow(name):
                return None  # another call has read it meanwhile
            self.remembered.borrowed.add(name)
            self.log.emit(
                EventKind.GATEWAY_ROWS_FROM_PEER,
                name=name,
                peer=address,
                rows=len(reply.rows),
                age_ms=round(reply.age_s * 1_000),
            )
            return reply
        return None

    def unavailable_s(self) -> float:
        """Return the seconds for which neither path has reached the store; 0 if one does."""
        return 0.0 if self.is_relayed else self.direct.unavailable_s()

    def is_isolated(self) -> bool:
        """Return True if neither the store nor the most recently asked peers answer."""
        is_lost = self.unavailable_s() > defaults.STORE_LOST_AFTER_S
        return is_lost and self.peers.silent_at > self.peers.answered_at

    def retry_after_s(self, time_left_s: float) -> float:
        """Return the Retry-After, in seconds, of a request refused because the store is lost.

        ``time_left_s`` is how long its client still waits, infinite if that is not known. If only
        this gateway is cut off, the retry reaches another one, which can serve it.
        """
        if self.is_isolated():
            return defaults.ISOLATED_RETRY_AFTER_S
        self.retries.observe(self.unavailable_s())
        return self.retries.retry_after_s(time_left_s)

    async def probe(self) -> None:
        """Read from the store if it is lost, to check whether it answers again."""
        self.retries.observe(self.unavailable_s())
        if self.direct.unavailable_s() == 0:
            return
        try:
            await self.direct.read(_PROBE_KEY)
        except PlatformUnavailableError:
            return  # logged by the store client

    async def _call(
        self,
        direct: Callable[[], Awaitable[Result]],
        relayed: Callable[[], Awaitable[Result]],
        *,
        is_write: bool = False,
    ) -> Result:
        """Make a call on the path that works; if it had no effect, repeat it on the other path."""
        if self.direct.unavailable_s() > defaults.STORE_LOST_AFTER_S and self._can_relay():
            try:
                return await relayed()
            except _NoPeerError:
                pass  # logged by the switch to the direct path
        try:
            result = await direct()
        except PlatformUnavailableError as error:
            may_be_done = is_write and not isinstance(error, PlatformRefusedError)
            if may_be_done or not self._can_relay():
                raise
            try:
                return await relayed()
            except _NoPeerError:
                raise error from None
        self._set_relayed(False, "the store answers")
        return result

    def _can_relay(self) -> bool:
        """Return False for ``RELAY_BACKOFF_S`` after a call for which no peer reached the store."""
        now = anyio.current_time()
        return self.relay_failed_at is None or now - self.relay_failed_at > defaults.RELAY_BACKOFF_S

    async def _relayed(
        self, call: RelayedCall, on_arrival: Callable[[int], None] = ignore_arrival
    ) -> RelayedReply:
        """Make a call through the first peer that succeeds; raise ``_NoPeerError`` if none does.

        A write that a peer may have performed is not repeated through another peer.
        """
        for address in self._candidates():
            try:
                reply = await self.peers.store(address, call, on_arrival)
                result = raise_for_outcome(reply)
            except (PeerDownError, PeerSilentError, PlatformUnavailableError) as error:
                self.avoided_until[address] = anyio.current_time() + defaults.PEER_BACKOFF_S
                had_no_effect = isinstance(error, PlatformRefusedError | PeerUnreachableError)
                if call.kind is CallKind.TRANSACT and not had_no_effect:
                    raise PlatformUnavailableError(f"through {address}: {error.detail}") from error
                continue
            self.last_peer = address
            self._set_relayed(True, address)
            return result
        self.relay_failed_at = anyio.current_time()
        self._set_relayed(False, "no peer reaches the store")
        raise _NoPeerError("no peer reaches the store")

    def _candidates(self) -> list[str]:
        now = anyio.current_time()
        candidates = [
            item for item in self.peer_addresses() if self.avoided_until.get(item, 0.0) <= now
        ]
        shares = self.peer_shares()
        candidates.sort(key=lambda item: (item != self.last_peer, self._delay(shares.get(item))))
        return candidates[:_PEERS_PER_CALL]

    def _delay(self, share: float | None) -> float:
        """Return a random time; a peer is the first in proportion to its share.

        Without shares the order of the peers is that of the random numbers.
        """
        return -math.log(1.0 - self.rng.random()) / max(share or 1.0, _MIN_PEER_SHARE)

    def _set_relayed(self, is_relayed: bool, detail: str) -> None:
        if is_relayed:
            self.relay_failed_at = None
        if is_relayed != self.is_relayed:
            self.is_relayed = is_relayed
            lost_s = f"{self.direct.unavailable_s():.3f}"
            self.log.emit(
                EventKind.GATEWAY_STORE_PATH, relayed=is_relayed, lost_s=lost_s, detail=detail
            )


class _NoPeerError(PlatformRefusedError):
    """No peer was asked or none reached the store; the call had no effect."""
