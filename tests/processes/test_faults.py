"""Tools, engines and the platform that fail while programs run."""

import httpx
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from processes.program_requests import executed_paths, sizing_body, start_program, wait_for_answer
from processes.test_kills import assert_complete_without_repeats, driving_entry, other_entry
from skylarkferry_standins.child_processes import wait_until

ORDER = "/order_blank_stock"
PROGRAMS = 6


def words_of(view):
    return {call["name"]: call["word"] for call in view["calls"]}


def orders_of(deployment, program_id):
    effects = executed_paths(deployment.upstreams["shop-tools-1"].effects(), program_id)
    return effects.count(ORDER)


def run_with_tool_faults(deployment, key, **faults):
    """Run a program whose order meets a fault; return its view and id.

    The fault is in force before the start: on a busy machine the order may come before a later one.
    """
    deployment.upstreams["shop-tools-1"].set_faults(path=ORDER, **faults)
    with deployment.entries["entry-1"].client() as client:
        program_id = start_program(client, key)
        view = wait_for_answer(client, program_id)
    return view, program_id


def test_an_order_whose_answer_is_lost_is_unknown_and_not_repeated(arusha):
    view, program_id = run_with_tool_faults(arusha, "lost-answer", lose_answers=1)
    assert_that(words_of(view)["order_blank_stock"], Equals("unknown"))
    assert_that(orders_of(arusha, program_id), Equals(1))


def test_an_order_that_may_have_run_is_never_called_not_run(arusha):
    view, _ = run_with_tool_faults(arusha, "crash", crash="before_effect")
    assert_that(words_of(view)["order_blank_stock"], Equals("unknown"))


def test_a_driver_killed_while_its_order_hangs_repeats_nothing(arusha):
    entry = arusha.entries["entry-1"]
    tools = arusha.upstreams["shop-tools-1"]
    tools.set_faults(hang_after_effect=1, path=ORDER)
    with entry.client() as client:
        program_id = start_program(client, "hanging-order")
        owner = driving_entry(arusha, entry, program_id)
    survivor = other_entry(arusha, owner)
    with survivor.client() as client:
        wait_until(lambda: orders_of(arusha, program_id) == 1, "the order to take effect")
        arusha.entries[owner].process.kill()
        view = wait_for_answer(client, program_id)
    assert_that(words_of(view)["order_blank_stock"], Equals("unknown"))
    assert_that(orders_of(arusha, program_id), Equals(1))


def test_lost_answers_of_the_platform_lose_and_repeat_nothing(arusha):
    with arusha.entries["entry-1"].client() as client:
        ids = []
        for number in range(PROGRAMS):
            arusha.set_platform_faults(lose_answers=3)
            ids.append(start_program(client, f"lost-writes-{number}"))
        for program_id in ids:
            assert_complete_without_repeats(arusha, client, program_id)


def refusal_word(client, key):
    """Return the word of a refused start, with a time to come back; ``None`` when it started."""
    response = client.post("/v1/programs", json=sizing_body(key))
    if response.status_code == httpx.codes.CREATED:
        return None
    assert_that("retry-after" in response.headers, Equals(True))
    statuses = {"not_run": 503, "unknown": 502}
    word = response.json()["word"]
    assert_that(response.status_code, Equals(statuses[word]))
    return word


def test_an_outage_of_the_platform_refuses_new_programs_and_loses_no_old_one(arusha):
    with arusha.entries["entry-1"].client() as client:
        ids = [start_program(client, f"before-outage-{number}") for number in range(PROGRAMS)]
        arusha.set_platform_faults(outage="refusing")
        words = {refusal_word(client, f"in-outage-{number}") for number in range(PROGRAMS * 4)}
        before = [orders_of(arusha, program_id) for program_id in ids]
        arusha.set_platform_faults()
        for program_id in ids:
            assert_complete_without_repeats(arusha, client, program_id)
        repeated = [start_program(client, f"in-outage-{number}") for number in range(PROGRAMS)]
        for program_id in repeated:
            assert_complete_without_repeats(arusha, client, program_id)
    assert_that("not_run" in words, Equals(True))
    assert_that(max(before), LessThan(2))


def test_an_engine_that_goes_silent_in_a_turn_costs_no_program(bare_deployment):
    deployment = bare_deployment
    deployment.start_platform()
    quick = {"silence_s": 1.0}
    for number, domain in enumerate(("arusha-a", "arusha-b"), start=1):
        deployment.add_upstream(
            f"calc-models-{number}", "model", "calc-models", domain, sidecar=quick
        )
    deployment.add_upstream("shop-tools-1", "tool", "shop-tools", "arusha-a")
    deployment.add_entry("entry-1", "arusha-a")
    deployment.publish_hosts()
    deployment.wait_ready()
    deployment.write_document()
    deployment.wait_for_upstreams()
    deployment.upstreams["calc-models-1"].set_faults(stall_after_tokens=2)
    with deployment.entries["entry-1"].client() as client:
        for number in range(2):
            assert_complete_without_repeats(
                deployment, client, start_program(client, f"silent-{number}")
            )


def test_a_keyed_service_call_runs_once_whichever_entry_it_is_repeated_at(arusha):
    key = {"Idempotency-Key": "invoice-1"}
    path = "/v1/services/shop/invoices"
    replies = []
    for entry in arusha.entries.values():
        with entry.client() as client:
            replies.append(client.post(path, content=b"{}", headers=key))
    assert_that([reply.status_code for reply in replies], Equals([200, 200]))
    assert_that(replies[0].content, Equals(replies[1].content))
    assert_that(len(arusha.upstreams["shop-apps-1"].effects()), Equals(1))
