import math
import random
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Not

from skylarkferry_core.ids import FailureDomain, ProgramId, ServiceName, UpstreamId
from skylarkferry_core.routes import ClientLimits, EngineSpec, RoutingTable, ServiceSpec
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import coordinator as coordinator_module
from skylarkferry_gateway.coordinator import PlacementCoordinator
from skylarkferry_gateway.coordinators import Coordinators
from skylarkferry_gateway.gateway_list import GatewayMember
from skylarkferry_gateway.messages import PromptPart, ReportedLoad, UpstreamEntry
from skylarkferry_gateway.placement_messages import Ended, PlacementQuery, SpeedSample
from skylarkferry_gateway.upstream_views import AttemptOutcome
from skylarkferry_gateway.upstreams import Upstreams

SERVICE = ServiceName("engine")
PEER = "127.0.0.1:1"
SHARED = PromptPart("shared", 13_000)


def entry(name, service=SERVICE, *, is_leaving=False):
    return UpstreamEntry(
        UpstreamId(name), service, "127.0.0.1:9", FailureDomain("a"), 4, is_leaving, born_ms=1
    )


def query(**fields):
    values = {
        "service": SERVICE,
        "failure_domain": FailureDomain("a"),
        "program_id": ProgramId("program"),
        "affinity_key": "",
        "is_sticky": True,
        "prompt_parts": (SHARED, PromptPart("own", 500)),
        "prompt_tokens": 13_500,
        "output_tokens": 100,
        "time_left_s": 2.0,
    }
    return PlacementQuery(**(values | fields))


@pytest.fixture
def upstreams():
    known = Upstreams()
    known.update([entry(f"e{number}") for number in range(4)], 0.0)
    return known


@pytest.fixture
def coordinator(upstreams):
    engine = EngineSpec(slots=4, kv_tokens=100_000, tokens_per_event=10)
    services = {SERVICE: ServiceSpec(SERVICE, "/health", 64, engine)}
    config = SimpleNamespace(current=RoutingTable(1, (), services, ClientLimits()))
    return PlacementCoordinator(upstreams, config, random.Random(1))


def in_flight(upstreams):
    return [item.shared.in_flight for item in upstreams.for_service(SERVICE)]


def place(coordinator, number, now=0.0, **fields):
    return coordinator.place(PEER, number, query(**fields), now).upstream


def test_attempts_of_all_gateways_count(coordinator, upstreams):
    """Prompts share nothing, so that only the load decides."""
    for number in range(8):
        parts = (PromptPart(f"p{number}", 100),)
        asked = query(prompt_parts=parts, prompt_tokens=100)
        coordinator.place(f"127.0.0.1:{number}", 1, asked, 0.0)
    assert_that(in_flight(upstreams), Equals([2, 2, 2, 2]))


def test_ended_attempt_does_not_count_any_more(coordinator, upstreams):
    place(coordinator, 1)
    for _ in range(2):  # a repeated report changes nothing
        coordinator.end(PEER, Ended(1, AttemptOutcome.SERVED), 0.1)
    coordinator.end(PEER, Ended(99, AttemptOutcome.SERVED), 0.1)
    assert_that(in_flight(upstreams), Equals([0, 0, 0, 0]))


@pytest.mark.parametrize("time_left_s", [2.0, -1.0, math.inf, math.nan])
def test_attempt_without_a_reported_end_is_forgotten(coordinator, upstreams, time_left_s):
    place(coordinator, 1, time_left_s=time_left_s)
    coordinator.forget_expired(0.1)
    assert_that(sum(in_flight(upstreams)), Equals(1))
    coordinator.forget_expired(61.0)
    assert_that(in_flight(upstreams), Equals([0, 0, 0, 0]))


def test_prompt_is_found_where_any_gateway_sent_it(coordinator):
    first = place(coordinator, 1)
    coordinator.end(PEER, Ended(1, AttemptOutcome.SERVED), 0.3)
    answer = coordinator.place("127.0.0.1:2", 1, query(), 0.4)
    assert_that((answer.upstream, answer.cached_tokens), Equals((first, 13_500)))


def test_new_coordinator_learns_from_the_asker_where_the_prompt_is(coordinator):
    answer = coordinator.place(
        PEER, 1, query(cached_upstream=UpstreamId("e3"), cached_tokens=13_500), 0.0
    )
    assert_that((answer.upstream, answer.cached_tokens), Equals(("e3", 13_500)))


def test_excluded_and_leaving_upstreams_are_not_chosen(coordinator, upstreams):
    entries = [entry(f"e{number}", is_leaving=number == 0) for number in range(4)]
    upstreams.update(entries, 1.0)
    excluded = (UpstreamId("e1"), UpstreamId("e2"))
    chosen = {place(coordinator, number, 1.0, excluded=excluded) for number in range(5)}
    assert_that(chosen, Equals({"e3"}))
    assert_that(place(coordinator, 9, 1.0, excluded=(*excluded, UpstreamId("e3"))), Equals(""))


def test_answer_is_empty_without_configuration_or_upstreams_and_while_stopping(
    coordinator, upstreams
):
    assert_that(place(coordinator, 1, service=ServiceName("unknown")), Equals(""))
    for shard, shards in ((-1, 8), (8, 8), (-1, 1), (1, 1), (0, 0)):
        assert_that(place(coordinator, 2, shard=shard, shards=shards), Equals(""))
    coordinator.is_stopping = True
    assert_that(place(coordinator, 3), Equals(""))
    coordinator.is_stopping = False
    coordinator.config.current = None
    assert_that(place(coordinator, 4), Equals(""))
    assert_that(in_flight(upstreams), Equals([0, 0, 0, 0]))


def test_number_of_followed_attempts_is_bounded(coordinator, monkeypatch):
    monkeypatch.setattr(coordinator_module, "_MAX_ATTEMPTS", 3)
    chosen = [place(coordinator, number) for number in range(5)]
    assert_that([name == "" for name in chosen], Equals([False, False, False, True, True]))
    assert_that(coordinator.attempts, HasLength(3))


def test_number_used_again_does_not_leak_the_earlier_attempt(coordinator, upstreams):
    place(coordinator, 1)
    place(coordinator, 1)
    coordinator.end(PEER, Ended(1, AttemptOutcome.SERVED), 0.1)
    assert_that(sum(in_flight(upstreams)), Equals(0))


def test_requests_that_nobody_reported_are_seen_in_the_upstreams_load(coordinator, upstreams):
    """After a takeover, requests placed by the former coordinator are still running."""
    busy = place(coordinator, 1)
    load = ReportedLoad(running=4, queued=6, slots=4)
    coordinator.end(PEER, Ended(1, AttemptOutcome.SERVED, load, 0.1), 0.3)
    view = upstreams.upstreams[busy].shared
    assert_that((view.other_requests, view.requests(0.3)), Equals((9.0, 8)))
    chosen = place(coordinator, 2, 0.3, prompt_parts=(PromptPart("new", 100),), prompt_tokens=100)
    assert_that(chosen, Not(Equals(busy)))


def test_failures_that_different_gateways_saw_count_together(coordinator):
    """No gateway sees more than one failure; together they are evidence."""
    for number in range(4):
        name = f"e{number}"
        others = tuple(UpstreamId(f"e{other}") for other in range(4) if other != number)
        for peer in range(6):
            sender = f"127.0.0.1:{peer}"
            coordinator.place(sender, number, query(excluded=others), 0.0)
            is_bad = name == "e2" and peer < 3
            outcome = AttemptOutcome.FAILED if is_bad else AttemptOutcome.SERVED
            coordinator.end(sender, Ended(number, outcome), 0.1)
    chosen = {place(coordinator, 100 + number, 0.2) for number in range(12)}
    assert_that("e2" in chosen, Equals(False))


def test_measured_speed_is_used(coordinator):
    for number in range(4):
        others = tuple(UpstreamId(f"e{other}") for other in range(4) if other != number)
        place(coordinator, number, excluded=others)
        decode_s = 5.0 if number == 1 else 0.1
        sample = SpeedSample(13_500, 0.05, 100, decode_s)
        coordinator.end(PEER, Ended(number, AttemptOutcome.SERVED, speed=sample), 0.1)
    chosen = {place(coordinator, 100 + number, 0.2) for number in range(4)}
    assert_that("e1" in chosen, Equals(False))


@pytest.mark.anyio
async def test_coordinator_changes_when_a_link_becomes_known(anyio_backend):
    """Guards against a ranking that is kept while gateways restart with rows that tell more."""
    names = [f"g{number}" for number in range(6)]
    gateways = SimpleNamespace(members={name: GatewayMember(name, 1.0) for name in names})
    coordinators = Coordinators(gateways, EventLog("node", 10))
    first = coordinators.coordinator(SERVICE, 0)
    gateways.members = {
        name: GatewayMember(name, 1.0, 1e6 if name == first else 40e6) for name in names
    }
    assert_that(coordinators.coordinator(SERVICE, 0), Not(Equals(first)))
