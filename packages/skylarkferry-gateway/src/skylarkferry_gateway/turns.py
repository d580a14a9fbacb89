"""Caller-driven turns: their budget, the chain they continue, and their stored record."""

import math

import anyio
import msgspec

from skylarkferry_core.errors import AnswerInvalidError, PlatformUnavailableError
from skylarkferry_core.events import EventKind
from skylarkferry_core.histories import Lineage, Turn, TurnCache, lineage_after, prompt_of
from skylarkferry_core.ids import TurnId
from skylarkferry_core.routes import EngineSpec, Route
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.budgets import ProgramBudgets
from skylarkferry_gateway.chain_memory import HeldChain
from skylarkferry_gateway.chain_reads import ChainReads
from skylarkferry_gateway.held_memory import HeldBytes, MemoryShare
from skylarkferry_gateway.messages import ClientRequest, Reservation
from skylarkferry_gateway.stream_events import StreamEvent
from skylarkferry_gateway.turn_rows import TurnRows


class TurnStore:
    """Completed turns, cached in memory; each is written to the store before its stream ends."""

    def __init__(
        self,
        rows: TurnRows,
        cache: TurnCache,
        chains: ChainReads,
    ) -> None:
        self.rows = rows
        self.store = rows.store
        self.cache = cache
        self.chains = chains

    async def save(self, turn_id: TurnId, turn: Turn, deadline_at: float) -> None:
        """Make a turn durable; raise ``PlatformUnavailableError`` if that may have failed."""
        await self.rows.write(turn_id, turn, deadline_at)
        self.cache.put(turn_id, turn)


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
        self.chain: HeldChain | None = None
        self.lineage = Lineage()
        self.has_reserved = False

    async def begin(self) -> tuple[bytes, ...]:
        """Read the chain, reserve the budget and return the parts of the body for the upstream.

        Raise ``OverloadedError``, ``UnknownTurnError``, ``TokensSpentError`` or
        ``PlatformUnavailableError``.
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
        return prompt_of(self.chain.turns if self.chain is not None else [], self.request.body)

    async def _read_chain(self) -> None:
        previous = self.request.metadata.previous_turn
        if not previous:
            return
        turns = self.turn_services.turns
        was_known = turns.cache.get(previous) is not None
        began = anyio.current_time()
        deadline_at = self.deadline_at - defaults.DEADLINE_SLACK_S - defaults.MIN_ATTEMPT_S
        finish_s = self.request.metadata.finish_s
        needed_until = self.request.received_at + finish_s if math.isfinite(finish_s) else 0.0
        self.chain = await turns.chains.hold(previous, deadline_at, needed_until)
        self.lineage = lineage_after(previous, self.chain.turns)
        if not was_known:
            self.turn_services.log.emit(
                EventKind.GATEWAY_CHAIN_READ,
                self.request.metadata.program_id,
                request=self.request.metadata.request_id,
                previous=previous,
                turns=len(self.chain.turns),
                bytes=self.chain.plan.chain_bytes,
                ms=round((anyio.current_time() - began) * 1_000),
            )

    def on_accepted(self) -> None:
        """Release the chain, which only another attempt would need."""
        chain, self.chain = self.chain, None
        if chain is not None:
            chain.release()

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
        turn = self.lineage.turn(content)
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
        self.on_accepted()
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
