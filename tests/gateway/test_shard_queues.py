import math
import random
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, IsInstance

from skylarkferry_admission.decisions import RejectReason
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import (
    CustomerId,
    FailureDomain,
    NodeId,
    ProgramId,
    ServiceName,
    UpstreamId,
)
from skylarkferry_core.routes import ClientLimits, EngineSpec, RoutingTable, ServiceSpec
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.coordinator import PlacementCoordinator
from skylarkferry_gateway.messages import PromptPart, ReportedLoad, UpstreamEntry
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.placement_messages import (
    Answer,
    Ended,
    Enqueue,
    PlacementQuery,
    Queued,
    QueueTerms,
    Rejected,
    SpeedSample,
)
from skylarkferry_gateway.shard_queues import ShardQueues
from skylarkferry_gateway.upstream_views import AttemptOutcome
from skylarkferry_gateway.upstreams import Upstreams

SERVICE = ServiceName("engine")
PEER, OTHER = "127.0.0.1:1", "127.0.0.1:2"
SLOTS = 2
ROOM = 3
"""Requests that one engine gets: its slots, and one more."""
SPEED = SpeedSample(100, 0.05, 100, 0.25)


def entry(name, *, is_leaving=False):
    return UpstreamEntry(
        UpstreamId(name), SERVICE, "127.0.0.1:9", FailureDomain("a"), SLOTS, is_leaving, born_ms=1
    )


def question(number, program="", priority=0, parts=(), **fields):
    terms = {
        "priority": priority,
        "finish_s": 3.0,
        "target_latency_s": 0.4,
        "customer": CustomerId("c"),
        "quota_per_s": None,
        "is_begun": True,
    }
    asked = {
        "prompt_parts": parts,
        "prompt_tokens": sum(part.tokens for part in parts) or 100,
        "output_tokens": 100,
        "time_left_s": 2.0,
    }
    for name in list(fields):
        (terms if name in terms else asked)[name] = fields.pop(name)
    query = PlacementQuery(
        SERVICE, FailureDomain("a"), ProgramId(program or f"p{number}"), "", True, **asked
    )
    return Enqueue(number, query, QueueTerms(**terms))


@pytest.fixture
def upstreams():
    known = Upstreams()
    known.update([entry("e0")], 0.0)
    return known


@pytest.fixture
def queues(upstreams):
    engine = EngineSpec(slots=SLOTS, kv_tokens=20_000, tokens_per_event=10)
    services = {SERVICE: ServiceSpec(SERVICE, "/health", 64, engine)}
    config = SimpleNamespace(current=RoutingTable(1, (), services, ClientLimits()))
    rng = random.Random(1)
    coordinator = PlacementCoordinator(upstreams, config, rng)
    return ShardQueues(coordinator, rng, EventLog(NodeId("g"), 1_000), GatewayMetrics())


def ask(queues, number, sender=PEER, now=0.0, **fields):
    return [message for _, message in queues.ask(sender, question(number, **fields), now)]


def fill(queues, now=0.0):
    """Fill the engine; the numbers are 0 and up."""
    for number in range(ROOM):
        assert_that(ask(queues, number, now=now)[0].upstream, Equals("e0"))


def end(queues, number, now, sender=PEER, **fields):
    ended = Ended(number, AttemptOutcome.SERVED, **fields)
    return queues.end(sender, ended, now)


def train(queues, count=60, sample=SPEED, load=None):
    """Let requests complete one after the other, so that estimates may reject."""
    for number in range(1_000, 1_000 + count):
        ask(queues, number)
        end(queues, number, 0.0, speed=sample, load=load)


def events(queues, kind):
    return [event for event in queues.log.ring if event.number == kind.number]


# Guards against engines that get more than fits, and against slots that stay empty.
def test_what_does_not_fit_waits_until_a_request_ends(queues):
    fill(queues)
    assert_that(ask(queues, 7), Equals([Queued((7,))]))
    assert_that(queues.decide(0.1), Equals([]))
    [(sender, answer)] = end(queues, 0, 0.2)
    assert_that((sender, answer.number, answer.upstream), Equals((PEER, 7, "e0")))
    assert_that(queues.is_waiting, Equals(False))


def test_waiting_requests_are_placed_in_the_order_of_the_queue(queues):
    fill(queues)
    ask(queues, 10, priority=2)
    ask(queues, 11, priority=1, sender=OTHER)
    [(sender, answer)] = end(queues, 0, 0.1)
    assert_that((sender, answer.number), Equals((OTHER, 11)))
    [(sender, answer)] = end(queues, 1, 0.1)
    assert_that((sender, answer.number), Equals((PEER, 10)))


# Guards against a second place, or a second place in the queue, for a question sent twice.
def test_repeated_question_changes_nothing(queues):
    fill(queues)
    assert_that(ask(queues, 0)[0].upstream, Equals("e0"))
    assert_that(ask(queues, 7), Equals(ask(queues, 7)))
    assert_that(end(queues, 0, 0.1), HasLength(1))
    assert_that(end(queues, 1, 0.1), HasLength(0))
    assert_that(queues.coordinator.attempts, HasLength(ROOM - 1))


# Guards against places given to requests whose clients or gateways have left.
def test_withdrawn_request_gets_no_place(queues):
    fill(queues)
    ask(queues, 7)
    assert_that(queues.end(PEER, Ended(7, AttemptOutcome.ABANDONED), 0.1), Equals([]))
    assert_that(queues.is_waiting, Equals(False))
    assert_that(end(queues, 0, 0.2), Equals([]))
    assert_that(queues.coordinator.attempts, HasLength(ROOM - 1))


# Guards against a withdrawal that crosses the answer and leaves a place taken.
def test_request_withdrawn_after_its_answer_frees_its_place(queues):
    fill(queues)
    ask(queues, 7)
    end(queues, 0, 0.1)
    queues.end(PEER, Ended(7, AttemptOutcome.ABANDONED), 0.1)
    assert_that((len(queues.placed), len(queues.memory.reserved)), Equals((ROOM - 1, ROOM - 1)))


# Guards against requests that wait at a process that ends, or that lost its upstreams.
@pytest.mark.parametrize("reason", ["stops", "no configuration", "no upstreams"])
def test_coordinator_that_cannot_choose_any_more_returns_what_waits(queues, upstreams, reason):
    fill(queues)
    ask(queues, 7)
    if reason == "stops":
        queues.coordinator.is_stopping = True
    elif reason == "no configuration":
        queues.coordinator.config.current = None
    else:
        upstreams.update([entry("e0", is_leaving=True)], 1.0)
    assert_that(queues.decide(0.1), Equals([(PEER, Answer(7))]))
    assert_that(ask(queues, 8), Equals([Answer(8)]))
    assert_that(queues.is_waiting, Equals(False))


# Guards against gateways that take a living coordinator for dead, and against a datagram each.
def test_news_names_all_that_wait_by_gateway(queues):
    fill(queues)
    for number in (7, 8):
        ask(queues, number)
    ask(queues, 9, sender=OTHER)
    expected = [(PEER, Queued((7, 8))), (OTHER, Queued((9,)))]
    assert_that(queues.waiting_news(), Equals(expected))


# Guards against requests that an engine preempts in the middle of their streams.
def test_request_whose_memory_does_not_fit_waits(queues):
    large = (PromptPart("large", 15_000),)
    ask(queues, 0, parts=large)
    assert_that(ask(queues, 1, parts=(PromptPart("other", 15_000),)), Equals([Queued((1,))]))
    assert_that(ask(queues, 2, parts=large)[0], IsInstance(Answer))


# Guards against requests on engines where they would take several times as long as elsewhere.
def test_slow_engine_is_left_alone_while_a_fast_one_can_be_waited_for(queues, upstreams):
    upstreams.update([entry("e0"), entry("slow")], 0.0)
    for name, factor in (("e0", 1), ("slow", 5)):
        only = tuple(UpstreamId(other) for other in ("e0", "slow") if other != name)
        for number in range(100, 140):
            ask(queues, number, excluded=only)
            sample = SpeedSample(100, 0.05 * factor, 100, 0.25 * factor)
            end(queues, number, 0.0, speed=sample)
    chosen = [ask(queues, number)[0].upstream for number in range(ROOM)]
    assert_that(chosen, Equals(["e0"] * ROOM))


# Guards against failing engines that get requests because they are the only ones with room.
def test_failing_engine_is_left_alone_while_others_are_full(queues, upstreams):
    upstreams.update([entry("e0"), entry("bad")], 0.0)
    for number in range(100, 110):
        ask(queues, number, excluded=(UpstreamId("e0"),))
        queues.end(PEER, Ended(number, AttemptOutcome.FAILED), 0.0)
        ask(queues, number, excluded=(UpstreamId("bad"),))
        end(queues, number, 0.0)
    fill(queues)
    assert_that(ask(queues, 7), Equals([Queued((7,))]))


# Guards against rejections before estimates are known, or without the facts to explain them.
def test_request_that_cannot_be_in_time_is_rejected_once_estimates_are_known(queues):
    fill(queues)
    assert_that(ask(queues, 7, time_left_s=0.2), Equals([Queued((7,))]))
    for number in (0, 1, 2, 7):
        queues.end(PEER, Ended(number, AttemptOutcome.ABANDONED), 0.0)
    train(queues)
    fill(queues)
    [rejected] = ask(queues, 8, time_left_s=0.2)
    assert_that(rejected, IsInstance(Rejected))
    assert_that(rejected.reason, Equals(RejectReason.DEADLINE))
    assert_that(0.0 < rejected.retry_after_s < 2.0, Equals(True))
    assert_that(abs(rejected.estimate_s - 0.3) < 0.05, Equals(True))


# Guards against programs that are refused at their next turn after they have begun.
def test_program_that_was_placed_before_counts_as_begun(queues):
    train(queues)
    fill(queues)
    for number in range(20, 26):
        ask(queues, number)
    [new] = ask(queues, 30, program="new", is_begun=False)
    assert_that(new.reason, Equals(RejectReason.QUEUE_FULL))
    [known] = ask(queues, 31, program="p0", is_begun=False)
    assert_that(known, Equals(Queued((31,))))


# Guards against a reported slowdown that changes no estimate.
def test_reported_slowdown_shows_in_the_estimates(queues):
    train(queues)
    before = queues.estimates[SERVICE].service_s(UpstreamId("e0"))
    for number in range(40):
        ask(queues, number)
        end(queues, number, 0.0, load=ReportedLoad(1, 0, SLOTS, 2.5))
    after = queues.estimates[SERVICE].service_s(UpstreamId("e0"))
    assert_that(abs(after / before - 2.5) < 0.01, Equals(True))


# Guards against places that stay taken after a gateway was killed.
def test_place_of_an_attempt_without_a_reported_end_is_freed(queues):
    fill(queues)
    queues.coordinator.forget_expired(61.0)
    queues.sweep(61.0)
    assert_that((queues.placed, queues.memory.tokens), Equals(({}, {})))


# Guards against facts of one client that change the order of others, or flood the log.
@pytest.mark.parametrize("bad", [-1.0, 2 * 86_400.0, math.nan])
def test_absurd_terms_are_bounded_and_logged_once(queues, bad):
    fill(queues)
    for number in range(10, 20):
        ask(queues, number, time_left_s=bad, finish_s=bad, priority=10**9)
    ask(queues, 30)
    [(_, answer), *_] = end(queues, 0, 0.1)
    assert_that(answer.number, Equals(30))
    assert_that(events(queues, EventKind.GATEWAY_TERMS_BOUNDED), HasLength(1))


# Guards against estimates whose error nobody can see.
def test_error_of_estimates_is_logged_and_a_metric(queues):
    train(queues)
    queues.sweep(1.0)
    queues.sweep(1.1)
    assert_that(events(queues, EventKind.GATEWAY_ESTIMATE_ERROR), HasLength(1))
    text = queues.metrics.text().decode()
    assert_that('estimate_error_seconds{quantile="0.95",service="engine"}' in text, Equals(True))


# Guards against a thousand upstreams, whose shards change in number while requests wait.
def test_requests_that_wait_are_kept_while_the_list_grows(queues, upstreams):
    fill(queues)
    ask(queues, 7)
    upstreams.update([entry(f"e{number}") for number in range(1_000)], 1.0)
    [(_, answer)] = queues.decide(1.0)
    assert_that(answer.upstream != "", Equals(True))
