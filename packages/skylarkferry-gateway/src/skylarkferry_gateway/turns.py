"""Caller-driven turns: their budget, the chain they continue, and their stored record."""

import anyio
import msgspec

from skylarkferry_core.customer_ids import id_as_sent
from skylarkferry_core.errors import (
    AnswerInvalidError,
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
from skylarkferry_gateway.decoding import decode
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.held_memory import HeldBytes, MemoryShare
from skylarkferry_gateway.messages import ClientRequest, Reservation
from skylarkferry_gateway.store_calls import key_part, retry_until, row_key, write_once
from skylarkferry_gateway.stream_events import StreamEvent

_TABLE = "turns"
_HEAD_NAME = "0000"
_CHUNK_BYTES = 45_000
"""Bytes of content per row; with base64 and envelope, a row stays within the store's 64 KiB."""
_CALL_BYTES = 600_000
"""Bytes of content per store call; in base64, a call stays within the store's 1 MB."""


class TurnHead(msgspec.Struct, frozen=True, array_like=True):
    """First row of a stored turn; ``rows`` is the number of rows with the rest of its content."""

    turn: Turn
    rows: int = 0


_HEAD = msgspec.msgpack.Decoder(TurnHead)


class TurnStore:
    """Completed turns, cached in memory; each is written to the store before its stream ends."""

    def __init__(self, store: FailoverStore, cache: TurnCache, log: EventLog) -> None:
        self.store = store
        self.cache = cache
        self.log = log

    async def save(self, turn_id: TurnId, turn: Turn, deadline_at: float) -> None:
        """Make a turn durable; raise ``PlatformUnavailableError`` if that may have failed."""
        part = key_part(turn_id)
        chunks = _split(turn.content)
        head = TurnHead(msgspec.structs.replace(turn, content=chunks[0]), len(chunks) - 1)
        for first in range(1, len(chunks), _CALL_BYTES // _CHUNK_BYTES):
            end = min(first + _CALL_BYTES // _CHUNK_BYTES, len(chunks))
            numbers = range(first, end)
            writes = [Write(row_key(_TABLE, part, f"{n:04d}"), chunks[n]) for n in numbers]
            await write_once(self.store, [Condition(writes[0].key, 0)], writes, deadline_at)
        write = Write(row_key(_TABLE, part, _HEAD_NAME), msgspec.msgpack.encode(head))
        try:
            await write_once(self.store, [Condition(write.key, 0)], [write], deadline_at)
        except WriteConflictError as error:
            raise BadRequestError("a turn with this request id is already stored") from error
        self.cache.put(turn_id, turn)

    async def load_chain(self, turn_id: TurnId, deadline_at: float) -> list[Turn]:
        """Return the chain of turns that ends with ``turn_id``, oldest first.

        Raise ``UnknownTurnError`` only if the store certainly has no such turn, and
        ``PlatformUnavailableError`` if a turn of the chain cannot be read.
        """
        chain: list[Turn] = []
        while turn_id != NO_TURN:
            newest = await self._load(turn_id, deadline_at)
            if newest is None:
                raise UnknownTurnError(f"no turn {id_as_sent(turn_id)}")
            ancestors = await self._load_all(newest.ancestors, deadline_at)
            chain = [*ancestors, newest, *chain]
            turn_id = chain[0].previous
        return chain

    async def _load_all(self, turn_ids: tuple[TurnId, ...], deadline_at: float) -> list[Turn]:
        """Return turns that must exist; those not in memory are read concurrently."""
        found = {turn_id: self.cache.get(turn_id) for turn_id in turn_ids}
        missing = [turn_id for turn_id, turn in found.items() if turn is None]

        async def read(turn_id: TurnId) -> None:
            try:
                found[turn_id] = await self._load(turn_id, deadline_at)
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
            raise PlatformUnavailableError("an earlier turn of the chain is missing from the store")
        return turns

    async def _load(self, turn_id: TurnId, deadline_at: float) -> Turn | None:
        cached = self.cache.get(turn_id)
        if cached is not None:
            return cached
        if self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
            raise PlatformUnavailableError(
                "the store does not answer; the turn is not in this process's cache"
            )
        part = key_part(turn_id)
        row = await retry_until(
            lambda: self.store.read(row_key(_TABLE, part, _HEAD_NAME)), deadline_at
        )
        if row.version == 0:
            return None
        head = decode(_HEAD.decode, row.value)
        turn = head.turn
        if head.rows:
            rows = await retry_until(
                lambda: self.store.scan(row_key(_TABLE, part, "")), deadline_at
            )
            rest = b"".join(item.value for item in rows[1 : head.rows + 1])
            turn = msgspec.structs.replace(turn, content=turn.content + rest)
        self.cache.put(turn_id, turn)
        return turn


def _split(content: bytes) -> list[bytes]:
    starts = range(0, max(len(content), 1), _CHUNK_BYTES)
    return [content[start : start + _CHUNK_BYTES] for start in starts]


class ActiveTurn:
    """One turn in progress: records its stream, stores the turn and settles its budget."""

    def __init__(
        self,
        request: ClientRequest,
        route: Route,
        engine: EngineSpec | None,
        turn_services: "TurnServices",
        deadline_at: float,
    ) -> None:
        self.request = request
        self.route = route
        self.turn_services = turn_services
        self.deadline_at = deadline_at
        self.turn_id = request.metadata.turn_id
        self.tokens_per_event = engine.tokens_per_event if engine is not None else 1
        self.tokens = 0
        self.output = bytearray()
        self.held = HeldBytes(turn_services.memory)
        self.chain: list[Turn] = []
        self.has_reserved = False

    async def begin(self) -> bytes:
        """Read the chain, reserve the budget and return the request body for the upstream.

        Raise ``UnknownTurnError``, ``TokensSpentError`` or ``PlatformUnavailableError``.
        """
        metadata = self.request.metadata
        if self.route.retains_context:
            if self.turn_services.turns.store.is_isolated():
                raise PlatformUnavailableError(
                    "this gateway reaches neither store nor peers; the turn cannot be stored"
                )
            if metadata.last_event_id is not None:
                raise PlatformUnavailableError(
                    "a retained turn cannot be resumed: its start is not known here"
                )
            await self._read_chain()
        if metadata.token_budget is not None and metadata.program_id:
            await self.turn_services.budgets.reserve(
                Reservation(
                    metadata.program_id, metadata.token_budget, self.turn_id, metadata.output_tokens
                )
            )
            self.has_reserved = True
        return prompt_of(self.chain, self.request.body)

    async def _read_chain(self) -> None:
        previous = self.request.metadata.previous_turn
        if not previous:
            return
        turns = self.turn_services.turns
        was_known = turns.cache.get(previous) is not None
        deadline_at = min(self.deadline_at, anyio.current_time() + defaults.CHAIN_READ_TIMEOUT_S)
        self.chain = await turns.load_chain(previous, deadline_at)
        if not was_known:
            self.turn_services.log.emit(
                EventKind.GATEWAY_CHAIN_READ,
                self.request.metadata.program_id,
                request=self.request.metadata.request_id,
                previous=previous,
                turns=len(self.chain),
            )

    def on_events(self, events: list[StreamEvent]) -> None:
        """Count and record events before they are sent to the client.

        Raise ``AnswerInvalidError`` if the turn becomes too large to be kept.
        """
        if self.route.retains_context:
            added = b"".join(event.data + b"\n" for event in events)
            size = len(self.output) + len(added)
            if size > defaults.MAX_ANSWER_BYTES:
                raise AnswerInvalidError(
                    f"the turn's output exceeds {defaults.MAX_ANSWER_BYTES} bytes"
                )
            self.held.grow_to(size)
            self.output += added
        self.tokens += len(events) * self.tokens_per_event

    async def on_complete(self) -> None:
        """Make the turn durable before its stream ends."""
        if not self.route.retains_context:
            return
        started = anyio.current_time()
        content = self.request.body + self.output
        parent = self.chain[-1] if self.chain else None
        turn = following_turn(self.request.metadata.previous_turn, parent, content)
        await self.turn_services.turns.save(self.turn_id, turn, self.deadline_at)
        self.turn_services.log.emit(
            EventKind.GATEWAY_TURN_KEPT,
            self.request.metadata.program_id,
            request=self.request.metadata.request_id,
            bytes=len(content),
            ms=round((anyio.current_time() - started) * 1_000),
        )

    def settle(self) -> None:
        """Settle the reservation with the tokens that were sent, and release the turn's memory."""
        self.held.release()
        if self.has_reserved:
            self.turn_services.budgets.settle(
                self.request.metadata.program_id, self.turn_id, self.tokens
            )


class TurnServices(msgspec.Struct, frozen=True):
    """Services that all turns of a process share."""

    budgets: ProgramBudgets
    turns: TurnStore
    memory: MemoryShare
    log: EventLog
