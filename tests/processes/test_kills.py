"""Entries killed and frozen while they drive programs."""

from collections import Counter

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


def test_a_program_survives_its_driver_killed_after_every_step(arusha):
    for step in range(1, STEPS + 1):
        first = arusha.entries["entry-1"]
        with first.client() as client:
            program_id = start(client, f"killed-at-{step}")
        owner = owner_of(arusha, first, program_id)
        survivor = other_entry(arusha, owner)
        with survivor.client() as client:
            wait_for_step(client, program_id, step)
            arusha.entries[owner].process.kill()
            assert_whole_and_once(arusha, client, program_id)
        arusha.entries[owner].process.restart()


def test_a_driver_frozen_past_its_lease_and_thawed_repeats_nothing(arusha):
    for step in (1, 6, 10):
        first = arusha.entries["entry-1"]
        with first.client() as client:
            program_id = start(client, f"frozen-at-{step}")
        owner = owner_of(arusha, first, program_id)
        survivor = other_entry(arusha, owner)
        with survivor.client() as client:
            wait_for_step(client, program_id, step)
            arusha.entries[owner].process.pause()
            assert_whole_and_once(arusha, client, program_id)
            arusha.entries[owner].process.resume()
        with arusha.entries[owner].client() as thawed:
            assert_whole_and_once(arusha, thawed, program_id)
