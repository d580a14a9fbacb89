"""Ways to the store: this process's own, and through gateways that still reach it."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import anyio

from skylarkferry_core.errors import PlatformRefusedError, PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.interfaces import Condition, Row, Write
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.interfaces import Changes, Snapshot, Store
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

Result = TypeVar("Result")

_PEERS_A_CALL = 2
"""Peers asked for one call: the store may turn both of two gateways away, rarely three."""
_PROBE_KEY = "crashes//probe"
"""A row that nobody writes, read to find out whether the store answers again."""


class FailoverStore:
    """A store that is reached through peers while it does not answer this process."""

    def __init__(
        self,
        direct: Store,
        peers: PeerClient,
        addresses: Callable[[], set[str]],
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self.direct = direct
        self.peers = peers
        self.addresses = addresses
        self.rng = rng
        self.log = log
        self.last_peer = ""
        self.avoided: dict[str, float] = {}
        self.is_relayed = False
        self.failed_at: float | None = None

    async def read(self, key: str) -> Row:
        """Return the row, at version 0 when absent; raise ``PlatformUnavailableError``."""
        return (await self.snapshot(key)).row

    async def snapshot(self, key: str) -> Snapshot:
        """Return a row and the version to follow changes from."""

        async def relayed() -> Snapshot:
            reply = await self._relayed(RelayedCall(CallKind.READ, key))
            return Snapshot(reply.rows[0], reply.version)

        return await self._call(lambda: self.direct.snapshot(key), relayed)

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``, in key order."""

        async def relayed() -> list[Row]:
            return (await self._relayed(RelayedCall(CallKind.SCAN, prefix))).rows

        return await self._call(lambda: self.direct.scan(prefix), relayed)

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Write all or nothing and return the new version of the written rows.

        Raise ``WriteConflictError``, ``PlatformRefusedError`` when nothing was done, and
        ``PlatformUnavailableError`` when the write may have taken effect.
        """
        call = RelayedCall(CallKind.TRANSACT, conditions=tuple(conditions), writes=tuple(writes))

        async def relayed() -> int:
            return (await self._relayed(call)).version

        return await self._call(
            lambda: self.direct.transact(conditions, writes), relayed, is_write=True
        )

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version, waiting for the first one at most ``wait_s``.

        Raise ``HistoryLostError`` when they are gone and ``PlatformUnavailableError``.
        """

        async def relayed() -> Changes:
            reply = await self._relayed(RelayedCall(CallKind.CHANGES, table, after))
            if not reply.rows:
                await anyio.sleep(min(wait_s, defaults.UPSTREAMS_POLL_S))
            return Changes(reply.rows, reply.version)

        return await self._call(lambda: self.direct.changes(table, after, wait_s), relayed)

    def lost_s(self) -> float:
        """Return for how many seconds neither way has led to the store; 0 when one does."""
        return 0.0 if self.is_relayed else self.direct.lost_s()

    def is_isolated(self) -> bool:
        """Tell whether neither the store nor the peers asked last answer this process."""
        is_lost = self.lost_s() > defaults.STORE_LOST_AFTER_S
        return is_lost and self.peers.silent_at > self.peers.answered_at

    def retry_after_s(self) -> float:
        """Return when a request refused for want of the store may come again, in seconds.

        Its client comes to another gateway then, which serves it if only this one is cut off.
        """
        if self.is_isolated():
            return defaults.ISOLATED_RETRY_AFTER_S
        return defaults.OUTAGE_RETRY_AFTER_S

    async def probe(self) -> None:
        """Find out whether the store answers this process again."""
        if self.direct.lost_s() == 0:
            return
        try:
            await self.direct.read(_PROBE_KEY)
        except PlatformUnavailableError:
            return  # the client of the store has logged it

    async def _call(
        self,
        direct: Callable[[], Awaitable[Result]],
        relayed: Callable[[], Awaitable[Result]],
        *,
        is_write: bool = False,
    ) -> Result:
        """Make a call on the way that works; repeat it on the other one if it was not done."""
        if self.direct.lost_s() > defaults.STORE_LOST_AFTER_S and self._may_relay():
            try:
                return await relayed()
            except _NoPeerError:
                pass  # logged by the change to this process's own way
        try:
            found = await direct()
        except PlatformUnavailableError as error:
            is_done_perhaps = is_write and not isinstance(error, PlatformRefusedError)
            if is_done_perhaps or not self._may_relay():
                raise
            try:
                return await relayed()
            except _NoPeerError:
                raise error from None
        self._set_relayed(False, "the store answers")
        return found

    def _may_relay(self) -> bool:
        """Tell whether some peer may reach the store, unless none did just now."""
        now = anyio.current_time()
        return self.failed_at is None or now - self.failed_at > defaults.RELAY_BACKOFF_S

    async def _relayed(self, call: RelayedCall) -> RelayedReply:
        """Make a call through the first peer that can; raise ``_NoPeerError`` when none was asked.

        A write that a peer may have made is not repeated through another one.
        """
        for address in self._candidates():
            try:
                reply = await self.peers.store(address, call)
                found = raise_for_outcome(reply)
            except (PeerDownError, PeerSilentError, PlatformUnavailableError) as error:
                self.avoided[address] = anyio.current_time() + defaults.PEER_BACKOFF_S
                is_undone = isinstance(error, PlatformRefusedError | PeerUnreachableError)
                if call.kind is CallKind.TRANSACT and not is_undone:
                    raise PlatformUnavailableError(f"through {address}: {error.detail}") from error
                continue
            self.last_peer = address
            self._set_relayed(True, address)
            return found
        self.failed_at = anyio.current_time()
        self._set_relayed(False, "no peer reaches the store")
        raise _NoPeerError("no peer reaches the store")

    def _candidates(self) -> list[str]:
        now = anyio.current_time()
        found = [item for item in self.addresses() if self.avoided.get(item, 0.0) <= now]
        found.sort(key=lambda item: (item != self.last_peer, self.rng.random()))
        return found[:_PEERS_A_CALL]

    def _set_relayed(self, is_relayed: bool, detail: str) -> None:
        if is_relayed:
            self.failed_at = None
        if is_relayed != self.is_relayed:
            self.is_relayed = is_relayed
            lost_s = f"{self.direct.lost_s():.3f}"
            self.log.emit(
                EventKind.GATEWAY_STORE_PATH, relayed=is_relayed, lost_s=lost_s, detail=detail
            )


class _NoPeerError(PlatformRefusedError):
    """No peer was asked, or none reached the store; nothing was done."""
