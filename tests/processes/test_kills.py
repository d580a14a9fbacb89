"""Entries that are killed or paused while they drive programs."""

from collections import Counter
from contextlib import contextmanager

from testtools.assertions import assert_that
from testtools.matchers import Equals

from processes.program_requests import (
    executed_paths,
    find_driver,
    start_program,
    wait_for_answer,
    wait_for_step,
)
from skylarkferry_standins.deployment import OPERATOR_TOKEN

STEP_COUNT = 12
LAST_ANSWER = "Two blanks of 110 mm are ordered and the quote is with Mbeya Sugar."
NOT_REPEATABLE = ("/send_quote", "/order_blank_stock")


def other_entry(deployment, name):
    return next(entry for key, entry in deployment.entries.items() if key != name)


def driving_entry(deployment, entry, program_id):
    with entry.client(OPERATOR_TOKEN) as operator:
        return find_driver(operator, program_id)


def assert_complete_without_repeats(deployment, client, program_id):
    """Check that a program has its complete answer and each of its effects exactly once."""
    view = wait_for_answer(client, program_id)
    paths = Counter(executed_paths(deployment.upstreams["shop-tools-1"].effects(), program_id))
    assert_that(view["answer"].endswith(LAST_ANSWER), Equals(True))
    assert_that([paths[path] for path in NOT_REPEATABLE], Equals([1, 1]))


@contextmanager
def program_at_step(deployment, key, step):
    """Yield the id of a program at ``step``, its driver and a client of another entry."""
    first = deployment.entries["entry-1"]
    with first.client() as client:
        program_id = start_program(client, key)
    owner = driving_entry(deployment, first, program_id)
    with other_entry(deployment, owner).client() as client:
        wait_for_step(client, program_id, step)
        yield program_id, deployment.entries[owner], client


def test_program_completes_after_its_driver_is_killed_at_any_step(arusha):
    for step in range(1, STEP_COUNT + 1):
        with program_at_step(arusha, f"killed-at-{step}", step) as (program_id, driver, client):
            driver.process.kill()
            assert_complete_without_repeats(arusha, client, program_id)
        driver.process.restart()


def test_driver_paused_past_its_lease_repeats_nothing_after_resuming(arusha):
    for step in (1, 6, 10):
        with program_at_step(arusha, f"frozen-at-{step}", step) as (program_id, driver, client):
            driver.process.pause()
            assert_complete_without_repeats(arusha, client, program_id)
            driver.process.resume()
        with driver.client() as resumed_client:
            assert_complete_without_repeats(arusha, resumed_client, program_id)
