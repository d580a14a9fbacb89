from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Equals

from processes.program_requests import event_stream, start_program, wait_for_answer

GOLDEN = Path(__file__).parents[1] / "golden"


def test_sizing_program_matches_the_golden_session(arusha):
    with arusha.entries["entry-1"].client() as client:
        program_id = start_program(client, "sizing-1")
        wait_for_answer(client, program_id)
        events = event_stream(client, program_id)
    ledger = arusha.upstreams["shop-tools-1"].effects()
    effects = [f"{effect['path']} {effect['body']}" for effect in ledger]
    session = events + "\n\neffects\n" + "\n".join(effects) + "\n"
    assert_that(session, Equals((GOLDEN / "gear_sizing.txt").read_text()))


def test_any_entry_serves_any_program_and_deduplicates_its_start(arusha):
    with arusha.entries["entry-1"].client() as first, arusha.entries["entry-2"].client() as second:
        ids = [start_program(first, f"sizing-{number}") for number in range(8)]
        repeated = [start_program(second, f"sizing-{number}") for number in range(8)]
        answers = [wait_for_answer(second, program_id)["word"] for program_id in ids]
    assert_that(repeated, Equals(ids))
    assert_that(answers, Equals(["done"] * 8))
    effects = arusha.upstreams["shop-tools-1"].effects()
    orders = [effect for effect in effects if effect["path"] == "/order_blank_stock"]
    assert_that(len(orders), Equals(8))
