import math
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, IsInstance, LessThan

from skylarkferry_admission.decisions import Reject, RejectReason, RunHere, Wait
from skylarkferry_admission.queues import Capacity, QueuedRequest, ShardQueue
from skylarkferry_core.ids import CustomerId, UpstreamId

CAPACITY = Capacity(10.0, 1.0)
UNTRUSTED = Capacity(10.0, None)
ENGINE = UpstreamId("e")


def request(key, **fields):
    values = {
        "arrived_at": 0.0,
        "deadline_at": 3.2,
        "finish_at": 3.0,
        "work_s": 0.4,
        "target_latency_s": 0.4,
        "is_begun": True,
    }
    return QueuedRequest(key, **(values | fields))


@pytest.fixture
def queue():
    return ShardQueue(Random(1))


def add(queue, *requests, capacity=CAPACITY, now=0.0):
    return [queue.add(item, capacity, now) for item in requests]


def order(queue, now=0.0):
    return [item.key for item in queue.ordered(now)]


def nowhere(item):
    return None


# Guards against urgent requests that wait behind others.
def test_priority_goes_first_then_who_has_to_start_first(queue):
    add(
        queue,
        request("late", priority=1, finish_at=1.0),
        request("spare", finish_at=3.0),
        request("tight", finish_at=2.0),
        request("large", finish_at=3.0, work_s=2.0),
    )
    assert_that(order(queue), Equals(["large", "tight", "spare", "late"]))


# Guards against programs that are too late anyway and delay those that are not.
def test_program_that_is_too_late_goes_last_within_its_priority(queue):
    add(
        queue,
        request("too late", finish_at=0.1),
        request("in time", finish_at=3.0),
        request("other", priority=1),
    )
    assert_that(order(queue), Equals(["in time", "too late", "other"]))


# Guards against a customer's flood that delays the requests of others.
def test_customer_over_its_share_goes_after_others_of_its_priority(queue):
    for number in range(40):
        placed = request(number, customer=CustomerId("flood"), quota_per_s=10.0)
        queue.on_placed(placed, 0.0)
        if number % 10 == 0:
            queue.on_placed(request(-number, customer=CustomerId("calm"), quota_per_s=10.0), 0.0)
    add(
        queue,
        request("flood", customer=CustomerId("flood"), quota_per_s=10.0, finish_at=1.0),
        request("calm", customer=CustomerId("calm"), quota_per_s=10.0, finish_at=3.0),
    )
    assert_that(order(queue), Equals(["calm", "flood"]))


# Guards against new programs that are begun although those in progress need all capacity.
def test_new_program_is_rejected_at_once_if_it_would_wait_for_long(queue):
    add(queue, *(request(number) for number in range(30)))
    decision = queue.add(request("new", is_begun=False), CAPACITY, 0.0)
    assert_that(decision, IsInstance(Reject))
    assert_that(decision.reason, Equals(RejectReason.QUEUE_FULL))
    assert_that(queue.add(request("begun"), CAPACITY, 0.0), IsInstance(Wait))


# Guards against a request that is kept until its deadline although nothing can serve it in time.
def test_request_that_cannot_meet_its_deadline_is_rejected_at_once(queue):
    add(queue, *(request(number, finish_at=1.0, deadline_at=9.0) for number in range(25)))
    decision = queue.add(request("hopeless", deadline_at=1.2), CAPACITY, 0.0)
    assert_that(decision.reason, Equals(RejectReason.DEADLINE))


# Guards against rejections by estimates that nothing has confirmed yet.
def test_estimates_reject_nothing_before_their_error_is_known(queue):
    add(queue, *(request(number) for number in range(30)), capacity=UNTRUSTED)
    decisions = add(
        queue,
        request("new", is_begun=False),
        request("hopeless", deadline_at=0.1),
        capacity=UNTRUSTED,
    )
    assert_that([type(item) for item in decisions], Equals([Wait, Wait]))
    expired = queue.decide(UNTRUSTED, 0.2, nowhere)
    assert_that([item.key for item, _ in expired], Equals(["hopeless"]))


# Guards against estimates ten times too long that reject what can be served in time.
def test_rejections_count_on_the_best_case_that_was_seen(queue):
    doubtful = Capacity(10.0, 0.1)
    assert_that(queue.add(request("a", work_s=5.0), doubtful, 0.0), IsInstance(Wait))
    assert_that(queue.add(request("b", work_s=5.0), CAPACITY, 0.0), IsInstance(Reject))


# Guards against a request that is held for long and then refused.
def test_new_program_that_was_held_is_not_refused_for_lack_of_capacity(queue):
    add(queue, request("held", is_begun=False))
    assert_that(queue.decide(CAPACITY, 0.0, nowhere), HasLength(0))
    queue.committed.add("held")
    add(queue, *(request(number, arrived_at=0.1) for number in range(30)), now=0.1)
    assert_that(queue.decide(CAPACITY, 0.1, nowhere), HasLength(0))


# Guards against a queue that grows without bound.
def test_length_is_bounded_and_the_last_one_has_to_go(queue):
    add(queue, *(request(number) for number in range(40)), capacity=UNTRUSTED)
    last = request("last", priority=5)
    assert_that(queue.add(last, UNTRUSTED, 0.0).reason, Equals(RejectReason.QUEUE_FULL))
    assert_that(queue.add(request("first", finish_at=1.0), UNTRUSTED, 0.0), IsInstance(Wait))
    rejected = queue.decide(UNTRUSTED, 0.0, nowhere)
    assert_that([decision.reason for _, decision in rejected], Equals([RejectReason.QUEUE_FULL]))
    assert_that(queue.requests, HasLength(40))


# Guards against clients that come back together, or after their time is over.
def test_time_to_come_back_is_spread_and_follows_the_work_that_waits(queue):
    short = [queue._reject(RejectReason.QUEUE_FULL, 0.0).retry_after_s for _ in range(50)]
    long = [queue._reject(RejectReason.QUEUE_FULL, 1.0).retry_after_s for _ in range(50)]
    assert_that(max(short), LessThan(0.1))
    assert_that(0.8 <= min(long) < 1.0 < max(long) <= 1.6, Equals(True))
    endless = queue._reject(RejectReason.QUEUE_FULL, math.inf).retry_after_s
    assert_that(endless, Equals(2.0))


def test_requests_that_fit_leave_the_queue_in_order(queue):
    add(queue, request("b", finish_at=3.0), request("a", finish_at=2.0), request("c"))
    places = [ENGINE, ENGINE]
    decided = queue.decide(CAPACITY, 0.0, lambda item: places.pop() if places else None)
    assert_that([item.key for item, _ in decided], Equals(["a", "b"]))
    assert_that({decision for _, decision in decided}, Equals({RunHere(ENGINE)}))
    queue.remove("c")
    assert_that(queue.requests, HasLength(0))


# Guards against facts from clients that order or reject the requests of others.
@pytest.mark.parametrize("bad", [-1.0, -1e9, 86_400.0, math.inf, -math.inf, math.nan])
def test_absurd_deadlines_and_priorities_are_bounded(queue, bad):
    add(queue, request("good"))
    queue.add(request("bad", deadline_at=bad, finish_at=bad, priority=10**9), CAPACITY, 0.0)
    queue.add(request("worse", deadline_at=9.0, finish_at=bad, priority=-(10**9)), CAPACITY, 0.0)
    assert_that("good" in order(queue), Equals(True))
    decided = queue.decide(CAPACITY, 0.0, lambda item: ENGINE)
    kept = [item.key for item, decision in decided if isinstance(decision, RunHere)]
    assert_that("good" in kept, Equals(True))
