from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.prefix_homes import PrefixHomes, first_homes

ENGINES = [UpstreamId(f"e{number}") for number in range(20)]
SLOTS = 4
PROMPT = 12_000


def homes_with(prefixes, tokens=10_000, uses=1):
    found = PrefixHomes()
    for _ in range(uses):
        for number in range(prefixes):
            found.note(f"p{number}", tokens, PROMPT, 0.0)
    return found


def kept(homes, prefix, engines=ENGINES, room=50_000):
    """Return a prefix's engines where full places leave ``room`` tokens."""
    return homes.homes(prefix, engines, SLOTS * PROMPT + room, SLOTS)


def test_every_engine_keeps_prefixes_that_all_fit():
    assert_that(kept(homes_with(4), "p0"), Equals(frozenset(ENGINES)))


def test_prefixes_that_do_not_all_fit_share_the_engines():
    homes = homes_with(20)
    sets = [kept(homes, f"p{number}") for number in range(20)]
    assert_that({len(found) for found in sets}, Equals({5}))
    assert_that(len(set(sets)), GreaterThan(15))


def test_prefix_in_wide_use_has_more_homes():
    homes = homes_with(20)
    for _ in range(20):
        homes.note("p3", 10_000, PROMPT, 0.0)
    assert_that(len(kept(homes, "p3")), GreaterThan(3 * len(kept(homes, "p4"))))


def test_homes_are_the_same_in_every_process_and_order():
    found = kept(homes_with(20), "p3")
    assert_that(kept(homes_with(20), "p3", ENGINES[::-1]), Equals(found))


def test_loss_of_an_engine_moves_only_its_own_prefixes():
    homes = homes_with(20)
    before = kept(homes, "p3")
    other = next(engine for engine in ENGINES if engine not in before)
    rest = [engine for engine in ENGINES if engine != other]
    assert_that(kept(homes, "p3", rest), Equals(before))


def test_prefix_has_two_homes_at_least():
    assert_that(kept(homes_with(500), "p3", room=0), HasLength(2))


def test_prefixes_out_of_use_are_forgotten():
    homes = homes_with(20)
    homes.note("p0", 10_000, PROMPT, 100.0)
    assert_that(homes.prefixes, HasLength(1))
    assert_that(kept(homes, "p0"), Equals(frozenset(ENGINES)))


def test_all_processes_try_the_same_engines_first():
    found = first_homes("p3", ENGINES)
    assert_that(found, HasLength(2))
    assert_that(first_homes("p3", ENGINES[::-1]), Equals(found))
