import tracemalloc

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import LessThan

from skylarkferry_core.histories import MAX_ANCESTORS, Turn, TurnCache
from skylarkferry_core.ids import TurnId

LIMIT_BYTES = 1 << 20


@pytest.mark.parametrize("ancestors", [0, MAX_ANCESTORS])
@pytest.mark.parametrize("content_bytes", [0, 10, 2_000])
def test_memory_of_the_turn_cache_stays_within_its_limit(content_bytes, ancestors):
    """The turns are decoded, as those are that were read from the store."""
    cache = TurnCache(LIMIT_BYTES)
    tracemalloc.start()
    for number in range(8_000):
        ids = tuple(TurnId(f"turn-{number:08d}-{item:02d}") for item in range(ancestors))
        turn = Turn(TurnId("turn"), ids, bytes(content_bytes))
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(turn), type=Turn)
        cache.put(TurnId(f"turn-{number:08d}"), decoded)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert_that(held_bytes, LessThan(1.2 * LIMIT_BYTES))


def decoded(turn):
    """Return a turn whose ids are its own, as those of a turn that was read from the store."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(turn), type=Turn)


# Guards against ids of some KB that are counted as short ones: those before a short id in a chain,
# and those of turns that continue nothing.
@pytest.mark.parametrize("ancestors", [0, MAX_ANCESTORS - 1])
def test_memory_of_long_ids_stays_within_the_limit_of_the_cache(ancestors):
    cache = TurnCache(LIMIT_BYTES)
    long = "i" * 2_000
    tracemalloc.start()
    for number in range(1_000):
        ids = [TurnId(f"gears\u2044{number}-{item}-{long}") for item in range(ancestors)]
        last = TurnId("gears\u2044t")
        turn = Turn(last, (*ids, last), b"") if ancestors else Turn(TurnId(""), (), b"")
        cache.put(TurnId(f"gears\u2044{number}-{long}"), decoded(turn))
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert_that(held_bytes, LessThan(1.2 * LIMIT_BYTES))
