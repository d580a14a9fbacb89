"""What hosts of different cores and links do for others, in virtual time, by class of host."""

import random
from collections import Counter, defaultdict

import pytest

from skylarkferry_core.coordination import NO_LINKS, host_shares, ranked_coordinators
from skylarkferry_core.ids import NodeId, ServiceName
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.failover_store import FailoverStore

MBIT = 125_000.0
CLASSES = {
    "large": (2.15, 300 * MBIT, 8),
    "narrow": (2.15, 11 * MBIT, 7),
    "middle": (1.1, 100 * MBIT, 7),
    "small": (0.292, 11 * MBIT, 7),
}
"""Cores, link and number of hosts; in all 29, as many as the balancer spreads requests over."""
HOSTS = {
    NodeId(f"{name}-{number}"): name
    for name, (_, _, count) in CLASSES.items()
    for number in range(count)
}
CORES = {node: CLASSES[name][0] for node, name in HOSTS.items()}
LINKS = {node: CLASSES[name][1] for node, name in HOSTS.items()}
SHARDS = 60
RESPONSES_PER_S = 32
TURNS_PER_S = 4
ANSWER_BYTES = 300
LENGTH_S = 20.0


def placements(links):
    """Return by class of the coordinator: turns, and answers later than gateways wait for.

    An answer waits behind the responses on the link of the coordinator's host, of which one in ten
    has 180 KB.
    """
    rng = random.Random(1)
    sent = defaultdict(list)
    for node in HOSTS:
        now = 0.0
        while (now := now + rng.expovariate(RESPONSES_PER_S)) < LENGTH_S:
            sent[node].append((now, 180_000 if rng.random() < 0.1 else 8_000, False))
    for shard in range(SHARDS):
        node = ranked_coordinators(ServiceName("engine"), shard, CORES, links)[0]
        now = 0.0
        while (now := now + rng.expovariate(TURNS_PER_S)) < LENGTH_S:
            sent[node].append((now, ANSWER_BYTES, True))
    turns, late = Counter(), Counter()
    for node, items in sent.items():
        free_at = 0.0
        for now, size, is_answer in sorted(items):
            free_at = max(free_at, now) + size / LINKS[node]
            if is_answer:
                turns[HOSTS[node]] += 1
                late[HOSTS[node]] += free_at - now > defaults.PLACEMENT_TIMEOUT_S
    return turns, late


def relayed_bytes(shares, calls=3_000, size=60_000):
    """Return the bytes of store calls by class of the peer that makes them."""
    store = FailoverStore(
        None,
        None,
        lambda: sorted(HOSTS),
        lambda: shares,
        rng=random.Random(2),
        log=EventLog("n", 9),
    )
    counts = Counter(HOSTS[store._candidates()[0]] for _ in range(calls))
    return {name: counts[name] * size for name in CLASSES}


def test_turns_are_late_less_often_if_hosts_with_narrow_links_do_not_coordinate():
    """Guards against turns that wait for a coordinator whose link is full of its own responses."""
    (turns, late), (turns_by_link, late_by_link) = placements(NO_LINKS), placements(LINKS)
    print("turns, late:", dict(turns), dict(late), dict(turns_by_link), dict(late_by_link))
    assert turns["narrow"] > 0 == turns["small"]
    assert turns_by_link["narrow"] == turns_by_link["small"] == 0
    assert late["narrow"] > 0.1 * turns["narrow"]
    assert late_by_link.total() < 0.05 * late.total()


@pytest.mark.anyio
async def test_bytes_for_peers_go_by_the_links_of_hosts(anyio_backend):
    before, after = relayed_bytes({}), relayed_bytes(host_shares(CORES, LINKS))
    print("bytes:", before, after)
    assert before["narrow"] + before["small"] > 0.4 * sum(before.values())
    assert after["narrow"] + after["small"] < 0.1 * sum(after.values())
    assert after["large"] > after["middle"] > after["narrow"]
