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
    the ids of the newest ``MAX_ANCESTORS`` preceding turns, oldest first.
    """

    previous: TurnId
    ancestors: tuple[TurnId, ...]
    content: bytes


def following_turn(previous: TurnId, parent: Turn | None, content: bytes) -> Turn:
    """Return the turn that follows ``parent``."""
    if parent is None:
        return Turn(NO_TURN, (), content)
    return Turn(previous, (*parent.ancestors, previous)[-MAX_ANCESTORS:], content)


class TurnCache:
    """LRU cache of turns, bounded by the memory that they take in bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.turns: OrderedDict[TurnId, Turn] = OrderedDict()

    def put(self, turn_id: TurnId, turn: Turn) -> None:
        """Add or replace a turn, then evict until the cache fits its limit."""
        self._drop(turn_id)
        self.turns[turn_id] = turn
        self.held_bytes += _memory_bytes(turn_id, turn)
        while self.held_bytes > self.limit_bytes and self.turns:
            self._drop(next(iter(self.turns)))

    def get(self, turn_id: TurnId) -> Turn | None:
        """Return a turn and mark it as recently used, or return ``None``."""
        turn = self.turns.get(turn_id)
        if turn is not None:
            self.turns.move_to_end(turn_id)
        return turn

    def _drop(self, turn_id: TurnId) -> None:
        dropped = self.turns.pop(turn_id, None)
        if dropped is not None:
            self.held_bytes -= _memory_bytes(turn_id, dropped)


def _memory_bytes(turn_id: TurnId, turn: Turn) -> int:
    ids = sum(max(getsizeof(item), _ANCESTOR_BYTES) for item in turn.ancestors)
    # Callers choose their ids: each is counted, as one may be some KB long and the next short.
    ids += sum(max(getsizeof(item) - _ANCESTOR_BYTES, 0) for item in (turn_id, turn.previous))
    return len(turn.content) + _TURN_BYTES + ids


def prompt_of(chain: Sequence[Turn], content: bytes) -> bytes:
    """Return the upstream request body: the chain's contents, oldest first, then the new input."""
    return b"".join([*(turn.content for turn in chain), content])
