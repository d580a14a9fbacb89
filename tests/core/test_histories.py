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
