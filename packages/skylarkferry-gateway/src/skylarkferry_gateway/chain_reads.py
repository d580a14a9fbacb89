"""Chains that requests need: from memory, or by a read that all requests for a chain share."""

import math
from copy import copy

import anyio

from skylarkferry_core.errors import (
    OverloadedError,
    PlatformUnavailableError,
    SkylarkferryError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.histories import NO_TURN, TurnCache
from skylarkferry_core.ids import TurnId
from skylarkferry_daemon.background_tasks import TaskStarter
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.chain_memory import ChainMemory, ChainPlan, HeldChain
from skylarkferry_gateway.chain_reader import ChainReader
from skylarkferry_gateway.read_progress import ReadProgress

_CHECK_S = 0.1
"""Interval between checks of a read's progress."""


class SharedRead:
    """A read of one chain; it goes on while a request that left may come back for it."""

    def __init__(self) -> None:
        self.progress = ReadProgress()
        self.scope = anyio.CancelScope(deadline=-math.inf)
        self.waiters = 0
        self.done = anyio.Event()
        self.chain: HeldChain | None = None
        self.error: SkylarkferryError = PlatformUnavailableError("the read of the turns was ended")

    def join(self, needed_until: float) -> None:
        """Add a request, whose client may come back until a monotonic time."""
        self.waiters += 1
        self.progress.is_needed = True
        self.scope.deadline = max(self.scope.deadline, needed_until)

    def leave(self) -> None:
        """Remove a request that does not wait any more."""
        self.waiters -= 1
        self.progress.is_needed = self.waiters > 0
        if self.chain is not None:
            self.chain.release()

    def end(self) -> None:
        """Hand the chain to the requests that wait for it."""
        if self.chain is not None:
            self.chain.uses = self.waiters
            if not self.waiters:
                self.chain.release()
        self.done.set()


class ChainReads:
    """Give requests the chains that they continue."""

    def __init__(
        self, reader: ChainReader, cache: TurnCache, memory: ChainMemory, log: EventLog
    ) -> None:
        self.reader = reader
        self.cache = cache
        self.memory = memory
        self.log = log
        self.tasks: TaskStarter | None = None
        self.reads: dict[TurnId, SharedRead] = {}
        memory.on_shortage = self._end_unneeded

    async def hold(self, turn_id: TurnId, deadline_at: float, needed_until: float) -> HeldChain:
        """Return the chain of turns that ends with ``turn_id``; the caller releases it.

        A read that is too slow for ``deadline_at`` goes on for a later try, until ``needed_until``.
        Raise as ``ChainReader.read`` does, and ``OverloadedError`` for such a read.
        """
        chain = self._from_cache(turn_id)
        if chain is not None:
            return chain
        read = self.reads.get(turn_id)
        if read is None or read.scope.cancel_called:
            read = self.reads[turn_id] = SharedRead()
            assert self.tasks is not None
            self.tasks.start_soon(self._read, turn_id, read, deadline_at)
        read.join(max(needed_until, deadline_at))
        try:
            return await self._wait(turn_id, read, deadline_at)
        except BaseException:
            read.leave()
            raise

    def _from_cache(self, turn_id: TurnId) -> HeldChain | None:
        """Return the chain if all of its turns are cached and have room."""
        turn_ids: list[TurnId] = []
        size = 0
        following = turn_id
        while following != NO_TURN:
            newest = self.cache.get(following)
            if newest is None:
                return None
            known = [*newest.ancestors, following]
            turns = [turn for turn in map(self.cache.get, known) if turn is not None]
            if len(turns) < len(known):
                return None
            size += sum(len(turn.content) for turn in turns)
            turn_ids = [*known, *turn_ids]
            following = turns[0].previous
        chain = self.memory.try_hold(ChainPlan(tuple(turn_ids), size, 0))
        if chain is not None:
            chain.complete(turn_ids)
        return chain

    async def _read(self, turn_id: TurnId, read: SharedRead, deadline_at: float) -> None:
        try:
            with read.scope:
                read.chain = await self.reader.read(turn_id, deadline_at, read.progress)
        except SkylarkferryError as error:
            read.error = error
        finally:
            if self.reads.get(turn_id) is read:
                del self.reads[turn_id]
            read.end()

    async def _wait(self, turn_id: TurnId, read: SharedRead, deadline_at: float) -> HeldChain:
        while not read.done.is_set():
            self._check(turn_id, read, deadline_at)
            with anyio.move_on_after(_CHECK_S):
                await read.done.wait()
        if read.chain is None:
            raise copy(read.error)
        return read.chain

    def _check(self, turn_id: TurnId, read: SharedRead, deadline_at: float) -> None:
        """Raise an error if the store is silent or the read will not end in time."""
        silent_s = read.progress.silent_s()
        remaining_s = read.progress.remaining_s()
        ends_at = anyio.current_time() + (remaining_s or 0.0)
        if silent_s < defaults.CHAIN_SILENCE_S and ends_at < deadline_at:
            return
        self.log.emit(
            EventKind.GATEWAY_CHAIN_UNREAD,
            previous=turn_id,
            arrived_bytes=read.progress.arrived_bytes,
            missing_bytes=read.progress.missing_bytes,
            silent_ms=round(silent_s * 1_000),
            remaining_ms=round(remaining_s * 1_000) if remaining_s is not None else "none",
        )
        if silent_s >= defaults.CHAIN_SILENCE_S:
            raise PlatformUnavailableError("the store did not answer in time")
        raise OverloadedError(
            "the turns before this one are still being read",
            retry_after_s=round(max(remaining_s or 0.0, defaults.RETRY_AFTER_S), 3),
        )

    def _end_unneeded(self) -> None:
        """End reads for which no request waits, as others need their memory."""
        for read in self.reads.values():
            if not read.waiters:
                read.scope.cancel()
