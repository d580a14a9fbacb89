from collections import Counter

from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import Epoch, FailureDomain, Incarnation, NodeId, PartitionNumber
from skylarkferry_core.partitions import NodeRow, PartitionRow, Peer, WatchRing
from skylarkferry_core.takeovers import (
    ClusterView,
    ObservedNode,
    ObservedPartition,
    TakeoverPlanner,
)

LEASE_S = 3.0
NODES, PARTITIONS, DOMAINS = 320, 2048, 14


def cluster_of(count, domains=DOMAINS, partitions=PARTITIONS):
    """Return a view in which node ``n`` owns the partitions congruent to ``n`` modulo ``count``."""
    view = ClusterView()
    for number in range(count):
        node = NodeId(f"entry-{number}")
        domain = FailureDomain(f"domain-{number % domains}")
        row = NodeRow(node, Incarnation(f"{node}.1"), 1, "127.0.0.1:1", domain)
        view.nodes[node] = ObservedNode(row, 1)
    for number in map(PartitionNumber, range(partitions)):
        owner = Incarnation(f"entry-{number % count}.1")
        view.partitions[number] = ObservedPartition(number, PartitionRow(owner, Epoch(1)), 1)
    return view


def test_each_of_320_nodes_is_watched_by_two_nodes_of_other_domains():
    view = cluster_of(NODES)
    watched = Counter()
    for node, seen in view.nodes.items():
        for other in TakeoverPlanner(node, LEASE_S).watched(view):
            watched[other] += 1
            other_domain = view.nodes[other].row.failure_domain
            assert_that(other_domain == seen.row.failure_domain, Equals(False))
    assert_that(watched, Equals(Counter(dict.fromkeys(view.nodes, 2))))


def test_all_partitions_of_a_dead_node_go_to_its_watchers():
    view = cluster_of(NODES)
    dead = view.nodes.pop(NodeId("entry-7"))
    orphans = {n for n, seen in view.partitions.items() if seen.row.owner == dead.row.incarnation}
    claimed = []
    subject = Peer(NodeId("entry-7"), dead.row.failure_domain)
    for watcher in WatchRing(view.peers()).watchers(subject, 2):
        planner = TakeoverPlanner(watcher, LEASE_S)
        planner.domains[NodeId("entry-7")] = dead.row.failure_domain
        claimed.extend(seen.partition for seen in planner.claims(view))
    assert_that(sorted(claimed), Equals(sorted(orphans)))


def test_lease_expires_only_if_observed_without_a_long_gap():
    view = cluster_of(3)
    planner = TakeoverPlanner(NodeId("entry-0"), LEASE_S)
    for now in (0.0, 1.0, 2.0):
        planner.observe_nodes(view, view.nodes, now)
    assert_that(planner.expired_nodes(view), Equals([]))
    planner.observe_nodes(view, view.nodes, 60.0)
    assert_that(planner.expired_nodes(view), Equals([]))
    for now in (61.0, 62.0, 63.0):
        planner.observe_nodes(view, view.nodes, now)
    assert_that(len(planner.expired_nodes(view)), Equals(2))


def test_leaving_node_claims_no_partitions_and_loses_its_own():
    view = cluster_of(3, partitions=24)
    view.leaving = frozenset([NodeId("entry-1")])
    planners = {node: TakeoverPlanner(node, LEASE_S) for node in view.nodes}
    for planner in planners.values():
        planner.observe_partitions(view, 0.0)
        planner.observe_partitions(view, LEASE_S)
    for node in ("entry-0", "entry-2"):
        assert_that(len(planners[NodeId(node)].claims(view)), Equals(1))
    del view.nodes[NodeId("entry-0")], view.nodes[NodeId("entry-2")]
    planners[NodeId("entry-1")].observe_partitions(view, 2 * LEASE_S)
    planners[NodeId("entry-1")].observe_partitions(view, 3 * LEASE_S)
    assert_that(planners[NodeId("entry-1")].claims(view), Equals([]))
