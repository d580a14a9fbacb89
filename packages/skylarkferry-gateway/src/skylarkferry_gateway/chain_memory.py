"""Memory of the chains of turns that requests under way need, given out in order of arrival."""

from collections.abc import Callable

import anyio
import msgspec

from skylarkferry_core.errors import OverloadedError
from skylarkferry_core.events import EventKind
from skylarkferry_core.histories import Turn, TurnCache, memory_bytes
from skylarkferry_core.ids import TurnId
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.room_queue import RoomQueue

_WAIT_SHARE = 1 / 3
"""Part of the time left for which a chain may wait for memory, so that a retry elsewhere fits."""
_NEWEST_WEIGHT = 0.2
"""Weight of the newest chain in the mean time for which chains are held."""


class ChainPlan(msgspec.Struct, frozen=True):
    """What is known of a chain before it is read.

    ``turn_ids`` are the newest turns, oldest first; ``chain_bytes`` is the size of all contents,
    ``overhead_bytes`` the most memory of a turn beside its content.
    """

    turn_ids: tuple[TurnId, ...]
    chain_bytes: int
    overhead_bytes: int

    @property
    def most_bytes(self) -> int:
        """Return the memory of the chain if none of its turns is in the cache."""
        return self.chain_bytes + len(self.turn_ids) * self.overhead_bytes


class ChainMemory:
    """Memory of all chains in use, within the limit of the cache of turns.

    ``on_shortage`` is called when a chain has to wait.
    """

    def __init__(self, cache: TurnCache, log: EventLog, metrics: GatewayMetrics) -> None:
        self.cache = cache
        self.log = log
        self.metrics = metrics
        self.queue = RoomQueue()
        self.waiting_bytes = 0
        self.hold_s = 0.0
        self.on_shortage: Callable[[], None] = _do_nothing

    def try_hold(self, plan: ChainPlan) -> "HeldChain | None":
        """Return the chain with its memory, or ``None`` if it has to wait for it."""
        chain = HeldChain(self, plan)
        return chain if not self.queue.waiting and chain.take() else None

    async def hold(self, plan: ChainPlan, deadline_at: float) -> "HeldChain":
        """Return the chain once there is room for all of it; raise ``OverloadedError``."""
        chain = HeldChain(self, plan)
        self.on_shortage()
        wait_s = max(deadline_at - anyio.current_time(), 0) * _WAIT_SHARE
        expected_s = self.expected_wait_s(plan.most_bytes)
        if plan.most_bytes > self.cache.limit_bytes or expected_s > wait_s:
            raise self._refusal(plan, expected_s)
        self.waiting_bytes += plan.most_bytes
        try:
            with anyio.fail_after(wait_s):
                await self.queue.wait(chain.take, chain.release)
        except TimeoutError as error:
            raise self._refusal(plan, self.expected_wait_s(0)) from error
        finally:
            self.waiting_bytes -= plan.most_bytes
        return chain

    def expected_wait_s(self, count: int) -> float:
        """Return when as many bytes are expected to have room, behind those that wait, in seconds.

        What is taken now is expected to return within the time for which chains were held of late;
        0 before the first one was released.
        """
        taken = self.cache.in_use_bytes + self.cache.reserved_bytes
        missing = self.waiting_bytes + count - (self.cache.limit_bytes - taken)
        return max(missing, 0) / max(taken, 1) * self.hold_s

    def on_released(self, held_s: float) -> None:
        """Take in for how long a chain was held, and admit those that wait."""
        weight = _NEWEST_WEIGHT if self.hold_s else 1.0
        self.hold_s += weight * (held_s - self.hold_s)
        self.queue.admit()

    def _refusal(self, plan: ChainPlan, expected_s: float) -> OverloadedError:
        retry_after_s = max(expected_s, defaults.RETRY_AFTER_S)
        self.metrics.chain_refusals.inc()
        self.log.emit(
            EventKind.GATEWAY_CHAIN_REFUSED,
            bytes=plan.chain_bytes,
            in_use_bytes=self.cache.in_use_bytes,
            reserved_bytes=self.cache.reserved_bytes,
            waiting_bytes=self.waiting_bytes,
            limit_bytes=self.cache.limit_bytes,
            retry_after_ms=round(retry_after_s * 1_000),
        )
        return OverloadedError(
            "this process has no memory for the turns before this one",
            retry_after_s=round(retry_after_s, 3),
        )


class HeldChain:
    """A chain of turns that stays in memory until each of its ``uses`` has released it.

    ``turns`` is oldest first.
    """

    def __init__(self, memory: ChainMemory, plan: ChainPlan) -> None:
        self.memory = memory
        self.cache = memory.cache
        self.plan = plan
        self.by_id: dict[TurnId, Turn] = {}
        self.turns: list[Turn] = []
        self.reserved = 0
        self.taken_at: float | None = None
        self.uses = 1

    def take(self) -> bool:
        """Use the turns that are cached and reserve the rest, or change nothing without room."""
        cached = {turn_id: self.cache.get(turn_id) for turn_id in self.plan.turn_ids}
        found = {turn_id: turn for turn_id, turn in cached.items() if turn is not None}
        idle_bytes = sum(
            memory_bytes(turn_id, turn)
            for turn_id, turn in found.items()
            if turn_id not in self.cache.in_use
        )
        missing = self.plan.most_bytes - len(found) * self.plan.overhead_bytes
        missing = max(missing - sum(len(turn.content) for turn in found.values()), 0)
        if not self.cache.has_room(idle_bytes + missing):
            return False
        for turn_id, turn in found.items():
            self.cache.use(turn_id, turn)
        self.by_id = found
        self.reserved = missing
        self.cache.reserve(missing)
        self.taken_at = anyio.current_time()
        return True

    def add(self, turn_id: TurnId, turn: Turn) -> None:
        """Add a turn that was read, in the memory that is reserved for it."""
        if turn_id in self.by_id:
            return
        self._unreserve(min(memory_bytes(turn_id, turn), self.reserved))
        self.cache.use(turn_id, turn)
        self.by_id[turn_id] = turn

    def complete(self, turn_ids: list[TurnId]) -> None:
        """Set the order of the turns, and give back what is reserved beyond them."""
        self.turns = [self.by_id[turn_id] for turn_id in turn_ids]
        self._unreserve(self.reserved)
        self.memory.queue.admit()

    def release(self) -> None:
        """End one use; the turns then stay in the cache as long as there is room."""
        self.uses -= 1
        if self.uses > 0:
            return
        taken_at, self.taken_at = self.taken_at, None
        if taken_at is None:
            return
        self._unreserve(self.reserved)
        self.turns = []
        by_id, self.by_id = self.by_id, {}
        for turn_id in by_id:
            self.cache.release(turn_id)
        self.memory.on_released(anyio.current_time() - taken_at)

    def _unreserve(self, count: int) -> None:
        self.reserved -= count
        self.cache.unreserve(count)


def _do_nothing() -> None:
    return
