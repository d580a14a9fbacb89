"""Retained context: the turns of a program, each linked to the turn that it continues."""

from collections import OrderedDict
from collections.abc import Sequence
from sys import getsizeof

import msgspec

from skylarkferry_core.ids import TurnId

NO_TURN = TurnId("")
MAX_ANCESTORS = 64
"""Number of ancestor ids in a stored turn; one round of parallel reads loads as many turns."""

_TURN_BYTES = 400
"""Memory of a cached turn beside its content, its ancestors and the excess of long ids."""
_ANCESTOR_BYTES = 80
"""Least memory of an ancestor's id, which a turn read from the store shares with no other."""


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """A completed turn.

    ``content`` is the input, then each event's data followed by a line feed; ``ancestors`` holds
    the ids of the newest ``MAX_ANCESTORS`` preceding turns, oldest first.  ``chain_bytes`` is the
    size of the contents of the turn and of all before it, 0 if its writer did not record it.
    """

    previous: TurnId
    ancestors: tuple[TurnId, ...]
    content: bytes
    chain_bytes: int = 0


class Lineage(msgspec.Struct, frozen=True):
    """What a turn records of the chain that it continues; the default continues nothing."""

    previous: TurnId = NO_TURN
    ancestors: tuple[TurnId, ...] = ()
    chain_bytes: int = 0

    def turn(self, content: bytes) -> Turn:
        """Return the turn with this content."""
        return Turn(self.previous, self.ancestors, content, self.chain_bytes + len(content))


def lineage_after(previous: TurnId, chain: Sequence[Turn]) -> Lineage:
    """Return the lineage of a turn that follows ``chain``, of which ``previous`` is the last."""
    ancestors = (*chain[-1].ancestors, previous)[-MAX_ANCESTORS:]
    return Lineage(previous, ancestors, sum(len(turn.content) for turn in chain))


class TurnInUse(msgspec.Struct):
    """A turn that requests under way need, and the number of these requests."""

    turn: Turn
    uses: int = 1


class TurnCache:
    """Turns in memory, at most ``limit_bytes`` including what is reserved for turns to be read.

    ``turns`` holds those that no request needs, the least recently used first; they are evicted to
    make room.  ``in_use`` holds those that requests under way need.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.in_use_bytes = 0
        self.reserved_bytes = 0
        self.turns: OrderedDict[TurnId, Turn] = OrderedDict()
        self.in_use: dict[TurnId, TurnInUse] = {}

    def put(self, turn_id: TurnId, turn: Turn) -> None:
        """Add a turn, then evict until the cache fits its limit."""
        if turn_id in self.in_use:
            return
        self._drop(turn_id)
        self.turns[turn_id] = turn
        self.held_bytes += memory_bytes(turn_id, turn)
        self._evict()

    def get(self, turn_id: TurnId) -> Turn | None:
        """Return a turn and mark it as recently used, or return ``None``."""
        if turn_id in self.in_use:
            return self.in_use[turn_id].turn
        turn = self.turns.get(turn_id)
        if turn is not None:
            self.turns.move_to_end(turn_id)
        return turn

    def use(self, turn_id: TurnId, turn: Turn) -> None:
        """Keep a turn until ``release``; the caller has made sure that there is room."""
        if turn_id in self.in_use:
            self.in_use[turn_id].uses += 1
            return
        self._drop(turn_id)
        size = memory_bytes(turn_id, turn)
        self.in_use[turn_id] = TurnInUse(turn)
        self.held_bytes += size
        self.in_use_bytes += size
        self._evict()

    def release(self, turn_id: TurnId) -> None:
        """End one use; without any other, the turn may be evicted."""
        used = self.in_use[turn_id]
        used.uses -= 1
        if used.uses:
            return
        del self.in_use[turn_id]
        size = memory_bytes(turn_id, used.turn)
        self.in_use_bytes -= size
        self.held_bytes -= size
        self.put(turn_id, used.turn)

    def has_room(self, count: int) -> bool:
        """Return whether as many bytes fit beside what is in use and reserved."""
        return self.in_use_bytes + self.reserved_bytes + count <= self.limit_bytes

    def reserve(self, count: int) -> None:
        """Reserve memory for turns to be read; the caller has made sure that there is room."""
        self.reserved_bytes += count
        self._evict()

    def unreserve(self, count: int) -> None:
        """Give back reserved memory."""
        self.reserved_bytes -= count

    def _evict(self) -> None:
        while self.turns and self.held_bytes + self.reserved_bytes > self.limit_bytes:
            self._drop(next(iter(self.turns)))

    def _drop(self, turn_id: TurnId) -> None:
        dropped = self.turns.pop(turn_id, None)
        if dropped is not None:
            self.held_bytes -= memory_bytes(turn_id, dropped)


def memory_bytes(turn_id: TurnId, turn: Turn) -> int:
    """Return the memory of a turn in the cache."""
    ids = sum(max(getsizeof(item), _ANCESTOR_BYTES) for item in turn.ancestors)
    # Callers choose their ids: each is counted, as one may be some KB long and the next short.
    ids += sum(max(getsizeof(item) - _ANCESTOR_BYTES, 0) for item in (turn_id, turn.previous))
    return len(turn.content) + _TURN_BYTES + ids


def prompt_of(chain: Sequence[Turn], content: bytes) -> tuple[bytes, ...]:
    """Return the upstream request body in parts: the chain's contents, oldest first, and the input.

    The parts are those that stand in memory already; they are not copied.
    """
    return (*(turn.content for turn in chain), content)
