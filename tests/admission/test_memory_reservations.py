from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_admission.memory_reservations import MemoryNeed, MemoryReservations
from skylarkferry_core.ids import UpstreamId

ENGINE = UpstreamId("e")
LIMIT = 20_000


def need(own=2_000, **parts):
    return MemoryNeed(parts, own)


# Guards against prompts that several requests share and that are counted once for each.
def test_shared_part_is_held_once():
    memory = MemoryReservations()
    for number in range(3):
        assert_that(memory.fits(ENGINE, need(shared=12_600), LIMIT), Equals(True))
        memory.reserve(number, ENGINE, need(shared=12_600))
    assert_that(memory.tokens[ENGINE], Equals(18_600))
    assert_that(memory.fits(ENGINE, need(shared=12_600), LIMIT), Equals(False))
    assert_that(memory.fits(ENGINE, need(other=2_000, own=0), LIMIT), Equals(False))
    memory.release(0)
    assert_that(memory.fits(ENGINE, need(shared=12_600), LIMIT), Equals(True))


# Guards against a request that is larger than an engine and therefore waits for ever.
def test_request_that_is_too_large_gets_an_engine_of_its_own():
    memory = MemoryReservations()
    assert_that(memory.fits(ENGINE, need(own=10**12), LIMIT), Equals(True))
    memory.reserve(1, ENGINE, need(own=10))
    assert_that(memory.fits(ENGINE, need(own=10**12), LIMIT), Equals(False))


# Guards against tokens that stay reserved because clients state different sizes of one part.
def test_nothing_stays_reserved_after_all_requests_ended():
    memory = MemoryReservations()
    rng = Random(2)
    for number in range(500):
        size = rng.choice([-5, 0, 100, 10**15])
        memory.reserve(rng.randrange(40), ENGINE, need(own=size, a=rng.randrange(500), b=size))
        if number % 3 == 0:
            memory.release(rng.randrange(40))
    for key in range(40):
        memory.release(key)
    assert_that((memory.reserved, memory.parts, memory.tokens), Equals(({}, {}, {})))
