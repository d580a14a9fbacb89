"""Platform outages and lost platform answers while programs run."""

import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from processes.program_requests import sizing_body, start_program
from processes.test_kills import assert_complete_without_repeats

PROGRAMS = 6
OUTAGE_S = 8.0
RETRYABLE_CODES = ("outcome_unknown", "platform_unavailable")


@pytest.mark.parametrize("outage", ["refusing", "silent"])
def test_programs_complete_when_their_driver_is_killed_during_an_outage(arusha, outage):
    first, second = arusha.entries.values()
    with first.client() as client:
        ids = [start_program(client, f"{outage}-{number}") for number in range(PROGRAMS)]
        arusha.set_platform_faults(outage=outage)
        response = client.post("/v1/programs", json=sizing_body(f"{outage}-new", deadline_s=5))
        assert_that(response.is_success, Equals(False))
    time.sleep(OUTAGE_S)
    first.process.kill()
    arusha.set_platform_faults()
    with second.client() as client:
        for program_id in ids:
            assert_complete_without_repeats(arusha, client, program_id)


def start_until_accepted(client, key):
    """Start a program, repeating the request while its outcome is in doubt, as the API asks."""
    while True:
        response = client.post("/v1/programs", json=sizing_body(key))
        if response.is_success:
            return response.json()["program_id"]
        assert_that(response.json()["code"] in RETRYABLE_CODES, Equals(True))


@pytest.mark.parametrize("loss", ["close", "gateway_timeout"])
def test_lost_platform_answers_duplicate_no_program_or_effect(arusha, loss):
    with arusha.entries["entry-1"].client() as client:
        for number in range(PROGRAMS):
            arusha.set_platform_faults(lose_answers=1, loss=loss)
            program_id = start_until_accepted(client, f"{loss}-{number}")
            arusha.set_platform_faults(lose_answers=1, loss=loss)
            assert_complete_without_repeats(arusha, client, program_id)
