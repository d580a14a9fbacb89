"""Load patterns in virtual time: each rule of the queue against the same code without it."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

import capacity_replay
from capacity_replay import Engine, Kind, Replay
from skylarkferry_admission import queues
from skylarkferry_admission.fairness import WorkShares

URGENT, BATCH = Kind("urgent", 34, 4, 0), Kind("batch", 24, 9, 1)
SAME_PRIORITY = [Kind("a", 34, 4, 0), Kind("b", 24, 9, 0)]
TIGHT_AND_LOOSE = [
    Kind("tight", 34, 4, 0, due_factor=1.45),
    Kind("loose", 24, 9, 0, due_factor=2.5),
]
CUSTOMERS = {"flood": 0.3, "b": 0.2, "c": 0.15, "d": 0.1, "e": 0.1, "f": 0.05, "g": 0.05, "h": 0.05}
USUAL_TURNS_PER_S = 352
BURST = (3.0, 10.0)


def replay(kinds, load, *, with_queue=True, slow=0, customers=None):
    engines = [Engine(f"e{number}", 5.0 if number < slow else 1.0) for number in range(20)]
    quotas = {name: 1.6 * USUAL_TURNS_PER_S * share for name, share in (customers or {}).items()}
    run = Replay(
        kinds,
        engines,
        with_queue=with_queue,
        load=load,
        duration_s=13.0,
        customers=customers,
        quotas=quotas,
    )
    return run.run()


def burst(times):
    return lambda now, customer: times if BURST[0] <= now < BURST[1] else 1.0


def flood(now, customer):
    return burst(5.0)(now, customer) if customer == "flood" else 1.0


# Guards against waiting at the engines, where all programs are late together.
def test_burst_of_two_priorities_ends_more_programs_in_time():
    before = replay([URGENT, BATCH], burst(2.5), with_queue=False)
    after = replay([URGENT, BATCH], burst(2.5))
    assert_that(after.share(), GreaterThan(before.share() + 0.4))
    assert_that(after.share("urgent"), GreaterThan(0.98))
    assert_that(after.held, Equals(0))


# Guards against new programs that are begun and then not served to their end.
def test_new_programs_are_refused_early_in_a_burst(monkeypatch):
    after = replay([URGENT, BATCH], burst(2.5))
    monkeypatch.setattr(queues, "_NEW_WAIT_SHARE", 1e9)
    without = replay([URGENT, BATCH], burst(2.5))
    assert_that(after.share(), GreaterThan(without.share() + 0.05))
    assert_that(after.share("batch"), GreaterThan(without.share("batch") + 0.1))


# Guards against one customer's flood that costs the others their programs.
def test_flood_of_one_customer_delays_its_own_programs(monkeypatch):
    before = replay(SAME_PRIORITY, flood, customers=CUSTOMERS, with_queue=False)
    after = replay(SAME_PRIORITY, flood, customers=CUSTOMERS)
    others = set(CUSTOMERS) - {"flood"}
    least = min(after.customer_share(name) for name in others)
    assert_that(least, GreaterThan(0.97))
    assert_that(after.share(), GreaterThan(before.share() + 0.3))
    assert_that(after.customer_share("flood"), GreaterThan(before.customer_share("flood")))
    monkeypatch.setattr(WorkShares, "over_share", lambda self, now: set())
    without = replay(SAME_PRIORITY, flood, customers=CUSTOMERS)
    least_without = min(without.customer_share(name) for name in others)
    assert_that(least_without, LessThan(least))


# Guards against tight programs that wait behind those with time to spare.
def test_order_by_slack_ends_more_of_tight_and_loose_programs_in_time(monkeypatch):
    after = replay(TIGHT_AND_LOOSE, burst(3.0))
    monkeypatch.setattr(queues.ShardQueue, "_due_at", lambda self, item: item.arrived_at + 100.0)
    without = replay(TIGHT_AND_LOOSE, burst(3.0))
    assert_that(after.share(), GreaterThan(without.share() + 0.05))


# Guards against urgent programs that are given to engines on which they cannot be in time.
def test_slow_third_of_the_engines_does_not_make_programs_late(monkeypatch):
    def load(now, customer):
        return 1.5

    before = replay([URGENT, BATCH], load, slow=7, with_queue=False)
    after = replay([URGENT, BATCH], load, slow=7)
    assert_that(after.share(), GreaterThan(before.share() + 0.4))
    monkeypatch.setattr(capacity_replay, "MAX_SLOWER", 0.0)
    without = replay([URGENT, BATCH], load, slow=7)
    assert_that(after.share(), GreaterThan(without.share() + 0.1))


# Guards against a queue that makes anything worse while there is enough capacity.
@pytest.mark.parametrize("slow", [0, 7])
def test_usual_load_is_served_as_before(slow):
    before = replay([URGENT, BATCH], burst(1.0), slow=slow, with_queue=False)
    after = replay([URGENT, BATCH], burst(1.0), slow=slow)
    assert_that(after.share() >= before.share() - 0.005, Equals(True))
    assert_that(after.refused, Equals(0))
