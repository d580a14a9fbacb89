from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.prefix_homes import PrefixHomes, first_home_engines

ENGINES = [UpstreamId(f"e{number}") for number in range(20)]


def homes_with(prefixes, tokens=10_000):
    found = PrefixHomes()
    for number in range(prefixes):
        found.record_use(f"p{number}", tokens, 0.0)
    return found


def test_every_engine_keeps_prefixes_that_all_fit():
    homes = homes_with(4)
    assert_that(homes.home_engines("p0", ENGINES, 100_000), Equals(frozenset(ENGINES)))


def test_each_prefix_gets_a_subset_of_the_engines_if_not_all_prefixes_fit():
    homes = homes_with(20)
    sets = [homes.home_engines(f"p{number}", ENGINES, 100_000) for number in range(20)]
    assert_that({len(found) for found in sets}, Equals({5}))
    assert_that(len(set(sets)), GreaterThan(15))


def test_homes_are_the_same_in_every_process_and_order():
    first, second = homes_with(20), homes_with(20)
    found = first.home_engines("p3", ENGINES, 100_000)
    assert_that(second.home_engines("p3", ENGINES[::-1], 100_000), Equals(found))


def test_loss_of_an_engine_moves_only_its_own_prefixes():
    homes = homes_with(20)
    before = homes.home_engines("p3", ENGINES, 100_000)
    other = next(engine for engine in ENGINES if engine not in before)
    after = homes.home_engines("p3", [engine for engine in ENGINES if engine != other], 100_000)
    assert_that(after, Equals(before))


def test_prefix_has_at_least_two_homes():
    assert_that(homes_with(500).home_engines("p3", ENGINES, 20_000), HasLength(2))


def test_unused_prefixes_are_dropped():
    homes = homes_with(20)
    homes.record_use("p0", 10_000, 100.0)
    assert_that(homes.home_engines("p0", ENGINES, 100_000), Equals(frozenset(ENGINES)))


def test_all_processes_try_the_same_engines_first():
    found = first_home_engines("p3", ENGINES)
    assert_that(found, HasLength(2))
    assert_that(first_home_engines("p3", ENGINES[::-1]), Equals(found))
