"""Failures of tools, engines and the platform while programs run."""

import httpx
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from processes.program_requests import executed_paths, sizing_body, start_program, wait_for_answer
from processes.test_kills import assert_complete_without_repeats, driving_entry, other_entry
from skylarkferry_standins.child_processes import wait_until

ORDER = "/order_blank_stock"
PROGRAMS = 6


def call_words(view):
    return {call["name"]: call["word"] for call in view["calls"]}


def order_count(deployment, program_id):
    effects = executed_paths(deployment.upstreams["shop-tools-1"].effects(), program_id)
    return effects.count(ORDER)


def run_with_tool_faults(deployment, key, **faults):
    """Run a program whose order call is faulty; return its view and id.

    The fault is set before the program starts: on a busy machine the order call may run before a
    fault that is set later.
    """
    deployment.upstreams["shop-tools-1"].set_faults(path=ORDER, **faults)
    with deployment.entries["entry-1"].client() as client:
        program_id = start_program(client, key)
        view = wait_for_answer(client, program_id)
    return view, program_id


def test_order_with_a_lost_answer_is_unknown_and_not_repeated(arusha):
    view, program_id = run_with_tool_faults(arusha, "lost-answer", lose_answers=1)
    assert_that(call_words(view)["order_blank_stock"], Equals("unknown"))
    assert_that(order_count(arusha, program_id), Equals(1))


def test_order_that_may_have_run_is_unknown(arusha):
    view, _ = run_with_tool_faults(arusha, "crash", crash="before_effect")
    assert_that(call_words(view)["order_blank_stock"], Equals("unknown"))


def test_killing_the_driver_during_a_hanging_order_repeats_nothing(arusha):
    entry = arusha.entries["entry-1"]
    tools = arusha.upstreams["shop-tools-1"]
    tools.set_faults(hang_after_effect=1, path=ORDER)
    with entry.client() as client:
        program_id = start_program(client, "hanging-order")
        owner = driving_entry(arusha, entry, program_id)
    survivor = other_entry(arusha, owner)
    with survivor.client() as client:
        wait_until(lambda: order_count(arusha, program_id) == 1, "the order to be executed")
        arusha.entries[owner].process.kill()
        view = wait_for_answer(client, program_id)
    assert_that(call_words(view)["order_blank_stock"], Equals("unknown"))
    assert_that(order_count(arusha, program_id), Equals(1))


def test_lost_platform_answers_lose_and_repeat_no_effect(arusha):
    with arusha.entries["entry-1"].client() as client:
        ids = []
        for number in range(PROGRAMS):
            arusha.set_platform_faults(lose_answers=3)
            ids.append(start_program(client, f"lost-writes-{number}"))
        for program_id in ids:
            assert_complete_without_repeats(arusha, client, program_id)


def rejection_word(client, key):
    """Try to start a program; return the word of a retryable rejection, or ``None``."""
    response = client.post("/v1/programs", json=sizing_body(key))
    if response.status_code == httpx.codes.CREATED:
        return None
    assert_that("retry-after" in response.headers, Equals(True))
    statuses = {"not_run": 503, "unknown": 502}
    word = response.json()["word"]
    assert_that(response.status_code, Equals(statuses[word]))
    return word


def test_platform_outage_rejects_new_programs_and_keeps_running_ones(arusha):
    with arusha.entries["entry-1"].client() as client:
        ids = [start_program(client, f"before-outage-{number}") for number in range(PROGRAMS)]
        arusha.set_platform_faults(outage="refusing")
        words = {rejection_word(client, f"in-outage-{number}") for number in range(PROGRAMS * 4)}
        before = [order_count(arusha, program_id) for program_id in ids]
        arusha.set_platform_faults()
        for program_id in ids:
            assert_complete_without_repeats(arusha, client, program_id)
        repeated = [start_program(client, f"in-outage-{number}") for number in range(PROGRAMS)]
        for program_id in repeated:
            assert_complete_without_repeats(arusha, client, program_id)
    assert_that("not_run" in words, Equals(True))
    assert_that(max(before), LessThan(2))


def test_programs_complete_when_an_engine_stalls_during_a_turn(bare_deployment):
    deployment = bare_deployment
    deployment.start_platform()
    short_silence = {"silence_s": 1.0}
    for number, domain in enumerate(("arusha-a", "arusha-b"), start=1):
        deployment.add_upstream(
            f"calc-models-{number}", "model", "calc-models", domain, sidecar=short_silence
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


def test_keyed_service_call_repeated_at_another_entry_runs_once(arusha):
    key = {"Idempotency-Key": "invoice-1"}
    path = "/v1/services/shop/invoices"
    responses = []
    for entry in arusha.entries.values():
        with entry.client() as client:
            responses.append(client.post(path, content=b"{}", headers=key))
    assert_that([response.status_code for response in responses], Equals([200, 200]))
    assert_that(responses[0].content, Equals(responses[1].content))
    assert_that(len(arusha.upstreams["shop-apps-1"].effects()), Equals(1))
