"""Turns that callers drive: their budget, the chain they continue, and the record they leave."""

import anyio
import msgspec

from skylarkferry_core.errors import (
    BadRequestError,
    PlatformUnavailableError,
    UnknownTurnError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.histories import NO_TURN, Turn, TurnCache, following_turn, prompt_of
from skylarkferry_core.ids import TurnId
from skylarkferry_core.interfaces import Condition, Write
from skylarkferry_core.routes import EngineSpec, Route
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.budgets import ProgramBudgets
from skylarkferry_gateway.messages import ClientRequest, Reservation
from skylarkferry_gateway.store_calls import key_of, part_of, retried, write_once
from skylarkferry_gateway.store_paths import StorePaths
from skylarkferry_gateway.stream_events import StreamEvent

TABLE = "turns"
_HEAD = "0000"
_CHUNK_BYTES = 45_000
"""Content in one row: in base64 and with its envelope within the store's 64 KiB a row."""
_CALL_BYTES = 600_000
"""Content in one store call: in base64 within the store's 1 MB a call."""


class TurnHead(msgspec.Struct, frozen=True, array_like=True):
    """First row of a stored turn; ``rows`` counts the rows that hold the rest of its content."""

    turn: Turn
    rows: int = 0


class TurnStore:
    """Turns that ended whole: in memory, and in the store before they count."""

    def __init__(self, store: StorePaths, cache: TurnCache, log: EventLog) -> None:
        self.store = store
        self.cache = cache
        self.log = log

    async def keep(self, turn_id: TurnId, turn: Turn, by: float) -> None:
        """Make a turn durable; raise ``PlatformUnavailableError`` when that is not certain."""
        part = part_of(turn_id)
        chunks = _chunks(turn.content)
        head = TurnHead(msgspec.structs.replace(turn, content=chunks[0]), len(chunks) - 1)
        for first in range(1, len(chunks), _CALL_BYTES // _CHUNK_BYTES):
            last = min(first + _CALL_BYTES // _CHUNK_BYTES, len(chunks))
            numbers = range(first, last)
            writes = [Write(key_of(TABLE, part, f"{n:04d}"), chunks[n]) for n in numbers]
            await write_once(self.store, [Condition(writes[0].key, 0)], writes, by)
        write = Write(key_of(TABLE, part, _HEAD), msgspec.msgpack.encode(head))
        try:
            await write_once(self.store, [Condition(write.key, 0)], [write], by)
        except WriteConflictError as error:
            raise BadRequestError("a turn with this request id was kept before") from error
        self.cache.put(turn_id, turn)

    async def chain(self, turn_id: TurnId, by: float) -> list[Turn]:
        """Return a turn's chain, oldest first.

        Raise ``UnknownTurnError`` when the store certainly has no such turn, and
        ``PlatformUnavailableError``.
        """
        chain: list[Turn] = []
        while turn_id != NO_TURN:
            newest = await self._turn(turn_id, by)
            if newest is None:
                raise UnknownTurnError(f"no turn {turn_id}")
            ancestors = await self._all(newest.ancestors, by)
            chain = [*ancestors, newest, *chain]
            turn_id = chain[0].previous
        return chain

    async def _all(self, turn_ids: tuple[TurnId, ...], by: float) -> list[Turn]:
        """Return turns that must exist, reading those not in memory side by side."""
        found = {turn_id: self.cache.get(turn_id) for turn_id in turn_ids}
        missing = [turn_id for turn_id, turn in found.items() if turn is None]

        async def read(turn_id: TurnId) -> None:
            try:
                found[turn_id] = await self._turn(turn_id, by)
            except PlatformUnavailableError as error:
                failures.append(error)

        failures: list[PlatformUnavailableError] = []
        if missing:
            async with anyio.create_task_group() as tasks:
                for turn_id in missing:
                    tasks.start_soon(read, turn_id)
            if failures:
                raise failures[0]
        turns = [turn for turn in found.values() if turn is not None]
        if len(turns) < len(turn_ids):
            raise PlatformUnavailableError("an earlier turn of the chain is gone")
        return turns

    async def _turn(self, turn_id: TurnId, by: float) -> Turn | None:
        known = self.cache.get(turn_id)
        if known is not None:
            return known
        if self.store.lost_s() > defaults.STORE_LOST_S:
            raise PlatformUnavailableError("the store does not answer; the turn is not known here")
        part = part_of(turn_id)
        row = await retried(lambda: self.store.read(key_of(TABLE, part, _HEAD)), by)
        if row.version == 0:
            return None
        head = msgspec.msgpack.decode(row.value, type=TurnHead)
        turn = head.turn
        if head.rows:
            rows = await retried(lambda: self.store.scan(key_of(TABLE, part, "")), by)
            rest = b"".join(item.value for item in rows[1 : head.rows + 1])
            turn = msgspec.structs.replace(turn, content=turn.content + rest)
        self.cache.put(turn_id, turn)
        return turn


def _chunks(content: bytes) -> list[bytes]:
    starts = range(0, max(len(content), 1), _CHUNK_BYTES)
    return [content[start : start + _CHUNK_BYTES] for start in starts]


class TurnWork:
    """One turn under way: listens to its stream, and settles and keeps it."""

    def __init__(
        self,
        request: ClientRequest,
        route: Route,
        engine: EngineSpec | None,
        parts: "TurnParts",
        by: float,
    ) -> None:
        self.request = request
        self.route = route
        self.parts = parts
        self.by = by
        self.turn_id = TurnId(request.facts.request_id)
        self.tokens_per_event = engine.tokens_per_event if engine is not None else 1
        self.tokens = 0
        self.output: list[bytes] = []
        self.chain: list[Turn] = []
        self.has_reserved = False

    async def begin(self) -> bytes:
        """Find the chain, reserve the budget and return the body for the upstream.

        Raise ``UnknownTurnError``, ``TokensSpentError`` or ``PlatformUnavailableError``.
        """
        facts = self.request.facts
        if self.route.retains_context:
            if self.parts.turns.store.is_isolated():
                raise PlatformUnavailableError("this process is cut off; no turn can be kept")
            if facts.last_event_id is not None:
                raise PlatformUnavailableError("the start of a retained turn is not known here")
            await self._find_chain()
        if facts.token_budget is not None and facts.program_id:
            await self.parts.budgets.reserve(
                Reservation(facts.program_id, facts.token_budget, self.turn_id, facts.output_tokens)
            )
            self.has_reserved = True
        return prompt_of(self.chain, self.request.body)

    async def _find_chain(self) -> None:
        previous = self.request.facts.previous_turn
        if not previous:
            return
        turns = self.parts.turns
        was_known = turns.cache.get(previous) is not None
        by = min(self.by, anyio.current_time() + defaults.CHAIN_WAIT_S)
        self.chain = await turns.chain(previous, by)
        if not was_known:
            self.parts.log.emit(
                EventKind.GATEWAY_CHAIN_READ,
                self.request.facts.program_id,
                request=self.turn_id,
                previous=previous,
                turns=len(self.chain),
            )

    def on_events(self, events: list[StreamEvent]) -> None:
        """Count events that are about to be sent."""
        self.tokens += len(events) * self.tokens_per_event
        if self.route.retains_context:
            self.output.extend(event.data + b"\n" for event in events)

    async def on_complete(self) -> None:
        """Make the turn durable before its stream ends."""
        if not self.route.retains_context:
            return
        started = anyio.current_time()
        content = self.request.body + b"".join(self.output)
        parent = self.chain[-1] if self.chain else None
        turn = following_turn(self.request.facts.previous_turn, parent, content)
        await self.parts.turns.keep(self.turn_id, turn, self.by)
        self.parts.log.emit(
            EventKind.GATEWAY_TURN_KEPT,
            self.request.facts.program_id,
            request=self.turn_id,
            bytes=len(content),
            ms=round((anyio.current_time() - started) * 1_000),
        )

    def settle(self) -> None:
        """Count what the turn handed out against its reservation."""
        if self.has_reserved:
            self.parts.budgets.settle(self.request.facts.program_id, self.turn_id, self.tokens)


class TurnParts(msgspec.Struct, frozen=True):
    """What all turns of a process share."""

    budgets: ProgramBudgets
    turns: TurnStore
    log: EventLog
