from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan

from skylarkferry_core.coordination import (
    MAX_SHARD_UPSTREAMS,
    host_shares,
    ranked_coordinators,
    shard_count,
    shard_of,
    shards_for,
)

NAMES = [f"i-{number:08x}" for number in range(12_000)]


def test_service_of_one_shard_is_not_divided():
    assert_that(
        [shard_count(number) for number in (0, 1, 64, 65, 128, 129)], Equals([1, 1, 1, 2, 2, 3])
    )


def test_shards_of_the_planned_size_are_of_about_equal_size():
    shards = shard_count(len(NAMES))
    sizes = [0] * shards
    for name in NAMES:
        sizes[shard_of(name, shards)] += 1
    assert_that(max(sizes), LessThan(2 * MAX_SHARD_UPSTREAMS))
    assert_that(min(sizes), Equals(max(min(sizes), MAX_SHARD_UPSTREAMS // 2)))


def test_few_upstreams_move_when_a_shard_is_added():
    moved = [name for name in NAMES if shard_of(name, 187) != shard_of(name, 188)]
    assert_that(len(moved), LessThan(2 * len(NAMES) // 188))


@given(st.text(), st.integers(1, 200))
def test_shards_for_a_key_exist_and_differ(key, shards):
    found = shards_for(key, shards)
    assert_that(set(found), HasLength(len(found)))
    assert_that(set(found) <= set(range(shards)), Equals(True))


def test_slow_hosts_do_not_coordinate():
    ranked = ranked_coordinators("s", 0, {"slow": 0.3, "fast": 2.0, "half": 1.0})
    assert_that(sorted(ranked), Equals(["fast", "half"]))


def test_coordinators_of_other_shards_stay_when_a_gateway_ends():
    cores = {f"g{number}": 1.0 for number in range(20)}
    before = {shard: ranked_coordinators("s", shard, cores)[0] for shard in range(100)}
    del cores["g7"]
    after = {shard: ranked_coordinators("s", shard, cores)[0] for shard in range(100)}
    changed = {before[shard] for shard in range(100) if before[shard] != after[shard]}
    assert_that(changed, Equals({"g7"}))


def test_no_gateway_is_listed():
    assert_that(ranked_coordinators("s", 0, {}), Equals([]))
    assert_that(ranked_coordinators("s", 0, {"g1": 0.0}), Contains("g1"))


def test_hosts_with_a_narrow_link_do_not_coordinate():
    """Guards against coordinators whose answers wait behind their own responses."""
    cores = {"wide": 1.0, "narrow": 1.0, "half": 1.0, "slow": 0.2}
    links = {"wide": 37.5e6, "narrow": 1.4e6, "half": 15e6, "slow": 37.5e6}
    assert_that(sorted(ranked_coordinators("s", 0, cores, links)), Equals(["half", "wide"]))


def test_order_of_coordinators_does_not_depend_on_links_that_are_not_known():
    cores = {f"g{number}": 1.0 for number in range(20)}
    unknown = dict.fromkeys(cores, 0.0)
    some = unknown | {"g3": 37.5e6}
    expected = ranked_coordinators("s", 0, cores)
    assert_that(ranked_coordinators("s", 0, cores, unknown), Equals(expected))
    assert_that(ranked_coordinators("s", 0, cores, some), Equals(expected))


def test_fast_hosts_coordinate_if_only_slow_hosts_have_wide_links():
    cores, links = {"fast": 2.0, "slow": 0.3}, {"fast": 1.4e6, "slow": 37.5e6}
    assert_that(ranked_coordinators("s", 0, cores, links), Equals(["fast"]))


def test_share_of_a_host_is_that_of_what_it_has_least_of():
    cores = {"a": 2.0, "b": 1.0, "c": 2.0, "d": 0.5}
    links = {"a": 40e6, "b": 40e6, "c": 4e6, "d": 0.0}
    expected = {"a": 1.0, "b": 0.5, "c": 0.1, "d": 0.25}
    assert_that(host_shares(cores, links), Equals(expected))
