"""Reads of chains of retained turns within the memory of the process."""

import anyio

from skylarkferry_core.customer_ids import id_as_sent
from skylarkferry_core.errors import (
    PlatformUnavailableError,
    SkylarkferryError,
    UnknownTurnError,
)
from skylarkferry_core.histories import NO_TURN, Turn, TurnCache, memory_bytes
from skylarkferry_core.ids import TurnId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.chain_memory import ChainMemory, ChainPlan, HeldChain
from skylarkferry_gateway.read_progress import ReadProgress
from skylarkferry_gateway.turn_rows import TurnHead, TurnRows


class ChainReader:
    """Read chains from the store, as far as their turns are not cached."""

    def __init__(self, rows: TurnRows, cache: TurnCache, memory: ChainMemory) -> None:
        self.rows = rows
        self.cache = cache
        self.memory = memory

    async def read(self, turn_id: TurnId, deadline_at: float, progress: ReadProgress) -> HeldChain:
        """Return the chain of turns that ends with ``turn_id``; the caller releases it.

        ``deadline_at`` limits the wait for memory.  Raise ``UnknownTurnError`` only if the store
        certainly has no such turn, ``PlatformUnavailableError`` if a turn of the chain cannot be
        read, and ``OverloadedError`` if there is no memory for it.
        """
        newest = await self._newest(turn_id, progress)
        plan = await self._plan(turn_id, newest.turn, progress)
        heads = {turn_id: newest}
        del newest
        chain = self.memory.try_hold(plan)
        if chain is None:
            heads.clear()  # what is not in the account is not kept while the chain waits
            chain = await self.memory.hold(plan, deadline_at)
        held_bytes = sum(len(turn.content) for turn in chain.by_id.values())
        progress.begin(plan.chain_bytes - held_bytes)
        try:
            await self._fill(chain, heads, progress)
        except BaseException:
            chain.release()
            raise
        return chain

    async def _newest(self, turn_id: TurnId, progress: ReadProgress) -> TurnHead:
        cached = self.cache.get(turn_id)
        if cached is not None:
            return TurnHead(cached)
        head = await self._read_head(turn_id, progress)
        if head is None:
            raise UnknownTurnError(f"no turn {id_as_sent(turn_id)}")
        return head

    async def _plan(self, turn_id: TurnId, newest: Turn, progress: ReadProgress) -> ChainPlan:
        """Return what has to be held for the chain that ends with a turn."""
        size = newest.chain_bytes or await self._measure(turn_id, progress)
        overhead = memory_bytes(turn_id, newest) - len(newest.content)
        return ChainPlan((*newest.ancestors, turn_id), size, overhead)

    async def _measure(self, turn_id: TurnId, progress: ReadProgress) -> int:
        """Return the most bytes of a chain whose turns do not record it."""
        size = 0
        turn_ids = [turn_id]
        while turn_ids:
            current = turn_ids.pop()
            cached = self.cache.get(current)
            head = TurnHead(cached) if cached else await self._ancestor(current, progress)
            size += head.most_bytes
            if head.turn.previous != NO_TURN:
                turn_ids.append(head.turn.previous)
        return size

    async def _fill(
        self, chain: HeldChain, heads: dict[TurnId, TurnHead], progress: ReadProgress
    ) -> None:
        """Read the turns that are not cached; older ones follow from the oldest that is known.

        ``heads`` holds first rows that were read already.
        """
        turn_ids = list(chain.plan.turn_ids)
        known = turn_ids
        while known:
            await self._read_all(chain, known, progress, heads)
            before = chain.by_id[turn_ids[0]].previous
            if before == NO_TURN:
                break
            await self._read_all(chain, [before], progress, heads)
            known = [*chain.by_id[before].ancestors]
            turn_ids = [*known, before, *turn_ids]
        chain.complete(turn_ids)

    async def _read_all(
        self,
        chain: HeldChain,
        turn_ids: list[TurnId],
        progress: ReadProgress,
        heads: dict[TurnId, TurnHead],
    ) -> None:
        """Read turns concurrently, their rests from their ``heads``; raise the first failure."""
        failures: list[SkylarkferryError] = []

        async def read(turn_id: TurnId) -> None:
            try:
                chain.add(turn_id, await self._read(turn_id, progress, heads.pop(turn_id, None)))
            except SkylarkferryError as error:
                failures.append(error)
                tasks.cancel_scope.cancel()

        missing = [turn_id for turn_id in turn_ids if turn_id not in chain.by_id]
        if missing:
            async with anyio.create_task_group() as tasks:
                for turn_id in missing:
                    tasks.start_soon(read, turn_id)
        if failures:
            raise failures[0]

    async def _read(self, turn_id: TurnId, progress: ReadProgress, head: TurnHead | None) -> Turn:
        cached = self.cache.get(turn_id)
        if cached is not None:
            return cached
        if head is None:
            head = await self._ancestor(turn_id, progress)
        return await self.rows.read_rest(turn_id, head, progress)

    async def _ancestor(self, turn_id: TurnId, progress: ReadProgress) -> TurnHead:
        """Return the first row of a turn that must exist, as a later one names it."""
        head = await self._read_head(turn_id, progress)
        if head is None:
            raise PlatformUnavailableError("an earlier turn of the chain is missing from the store")
        return head

    async def _read_head(self, turn_id: TurnId, progress: ReadProgress) -> TurnHead | None:
        if self.rows.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
            raise PlatformUnavailableError(
                "the store does not answer; the turn is not in this process's cache"
            )
        return await self.rows.read_head(turn_id, progress)
