"""Entries killed and frozen while they drive programs."""

from collections import Counter
from contextlib import contextmanager

from testtools.assertions import assert_that
from testtools.matchers import Equals

from processes.programs import answer, driver_of, effects_of, start, wait_for_step
from skylarkferry_standins.deployment import OPERATOR_TOKEN

STEPS = 12
LAST_ANSWER = "Two blanks of 110 mm are ordered and the quote is with Mbeya Sugar."
NOT_REPEATABLE = ("/send_quote", "/order_blank_stock")


def other_entry(deployment, name):
    return next(entry for key, entry in deployment.entries.items() if key != name)


def owner_of(deployment, entry, program_id):
    with entry.client(OPERATOR_TOKEN) as operator:
        return driver_of(operator, program_id)


def assert_whole_and_once(deployment, client, program_id):
    """Check that a program has its whole answer and each of its effects exactly once."""
    view = answer(client, program_id)
    paths = Counter(effects_of(deployment.upstreams["shop-tools-1"].effects(), program_id))
    assert_that(view["answer"].endswith(LAST_ANSWER), Equals(True))
    assert_that([paths[path] for path in NOT_REPEATABLE], Equals([1, 1]))


@contextmanager
def driven_to(deployment, key, step):
    """Yield a program at a step: its id, its driver and a client of the other entry."""
    first = deployment.entries["entry-1"]
    with first.client() as client:
        program_id = start(client, key)
    owner = owner_of(deployment, first, program_id)
    with other_entry(deployment, owner).client() as client:
        wait_for_step(client, program_id, step)
        yield program_id, deployment.entries[owner], client


def test_a_program_survives_its_driver_killed_after_every_step(arusha):
    for step in range(1, STEPS + 1):
        with driven_to(arusha, f"killed-at-{step}", step) as (program_id, driver, client):
            driver.process.kill()
            assert_whole_and_once(arusha, client, program_id)
        driver.process.restart()


def test_a_driver_frozen_past_its_lease_and_thawed_repeats_nothing(arusha):
    for step in (1, 6, 10):
        with driven_to(arusha, f"frozen-at-{step}", step) as (program_id, driver, client):
            driver.process.pause()
            assert_whole_and_once(arusha, client, program_id)
            driver.process.resume()
        with driver.client() as thawed:
            assert_whole_and_once(arusha, thawed, program_id)
