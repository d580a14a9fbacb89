import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from processes.program_requests import start_program, wait_for_answer
from skylarkferry_standins.child_processes import wait_until
from skylarkferry_standins.deployment import FAILURE_DOMAINS

ORDER_PATH = "/order_blank_stock"
FROZEN_S = 10.0
ORDER_DELAY_S = 3.0
SLOWDOWN = 3.0


def engines(deployment):
    return [up for name, up in deployment.upstreams.items() if name.startswith("calc")]


def orders(deployment):
    effects = deployment.upstreams["shop-tools-1"].effects()
    return [effect for effect in effects if effect["path"] == ORDER_PATH]


def call_words(view):
    return {call["name"]: call["word"] for call in view["calls"]}


def start_and_wait(client, key, **changes):
    return wait_for_answer(client, start_program(client, key, **changes))


def counters(upstream):
    return httpx.get(f"{upstream.url}/control/counters").json()


@pytest.fixture
def client(arusha):
    with arusha.entries["entry-1"].client() as client:
        yield client


@pytest.fixture
def background():
    with ThreadPoolExecutor(16) as pool:
        yield pool


def start_reports(deployment, background, clients, count=6):
    """Start long, slow reports in the background and return their future answers."""
    for upstream in engines(deployment):
        upstream.set_faults(slowdown=SLOWDOWN)
    return [
        background.submit(start_and_wait, client, f"report-{number}", agent="long-report")
        for number, client in zip(range(count), itertools.cycle(clients), strict=False)
    ]


def wait_streaming(deployment):
    """Wait until an engine streams at least two reports, and return it."""
    wait_until(
        lambda: max(map(running, engines(deployment))) >= 2, "two reports to stream side by side"
    )
    return max(engines(deployment), key=running)


def running(upstream):
    try:
        return httpx.get(f"{upstream.url}/v1/load").json()["running"]
    except httpx.TransportError:
        return 0


def is_alive(upstream):
    return not upstream.server.has_exited()


def start_and_wait_for_quote(deployment, client, key):
    """Start a sizing program; its order comes after the quote that this waits for."""
    tools = deployment.upstreams["shop-tools-1"]
    program_id = start_program(client, key)
    wait_until(
        lambda: any(effect["path"] == "/send_quote" for effect in tools.effects()),
        "the quote to be sent",
    )
    return program_id


def test_a_killed_sidecar_leaves_an_order_unknown_and_never_repeats_it(arusha, client, background):
    tools = arusha.upstreams["shop-tools-1"]
    tools.set_faults(hang_after_effect=1, path=ORDER_PATH)
    program_id = start_and_wait_for_quote(arusha, client, "killed")
    held = background.submit(wait_for_answer, client, program_id)
    wait_until(lambda: bool(orders(arusha)), "the order to take effect")
    tools.sidecar.restart()
    assert_that(call_words(held.result())["order_blank_stock"], Equals("unknown"))
    assert_that(len(orders(arusha)), Equals(1))


def test_a_frozen_sidecar_delivers_the_one_outcome_after_it_thaws(arusha, client, background):
    tools = arusha.upstreams["shop-tools-1"]
    # The delay is in force before the program starts: an order that came first would end unseen.
    tools.set_faults(delay_s=ORDER_DELAY_S, path=ORDER_PATH)
    program_id = start_and_wait_for_quote(arusha, client, "frozen")
    held = background.submit(wait_for_answer, client, program_id)
    wait_until(lambda: tools.pending_paths() == [ORDER_PATH], "the tool to have read the order")
    tools.sidecar.pause()
    time.sleep(FROZEN_S)
    tools.sidecar.resume()
    assert_that(call_words(held.result())["order_blank_stock"], Equals("done"))
    assert_that(len(orders(arusha)), Equals(1))


def test_an_engine_killed_in_a_turn_costs_no_program(arusha, client, background):
    held = start_reports(arusha, background, [client])
    wait_streaming(arusha).server.kill()
    assert_that({future.result()["word"] for future in held}, Equals({"done"}))


def test_a_planned_stop_of_a_sidecar_cuts_no_turn(arusha, client, background):
    held = start_reports(arusha, background, [client])
    busiest = wait_streaming(arusha)
    busiest.sidecar.terminate()
    streaming = running(busiest)
    assert_that(busiest.sidecar.wait_exit(), Equals(0))
    assert_that(streaming, GreaterThan(0))
    assert_that(counters(busiest)["cancelled"], Equals(0))
    assert_that({future.result()["word"] for future in held}, Equals({"done"}))


@pytest.fixture
def fragile(bare_deployment):
    """Two entries, and four engines that crash on poison."""
    deployment = bare_deployment
    deployment.start_platform()
    for number in range(1, 5):
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        name = f"calc-models-{number}"
        deployment.add_upstream(name, "model", "calc-models", domain, crash_text="poison")
    deployment.add_upstream("shop-tools-1", "tool", "shop-tools", FAILURE_DOMAINS[0])
    for number, domain in enumerate(FAILURE_DOMAINS[:2], start=1):
        deployment.add_entry(f"entry-{number}", domain)
    deployment.publish_hosts()
    deployment.wait_ready()
    deployment.write_document()
    deployment.wait_for_upstreams()
    return deployment


def test_a_poison_request_takes_no_third_engine_down_and_its_neighbours_finish(fragile, background):
    one, two = fragile.entries.values()
    with one.client() as first, two.client() as second:
        held = start_reports(fragile, background, [first, second], count=8)
        wait_streaming(fragile)
        poison = {"agent": "short-answer", "input": "poison", "deadline_s": 15}
        view = start_and_wait(first, "poison-1", **poison)
        assert_that(sum(map(is_alive, engines(fragile))), Equals(2))
        repeat = start_and_wait(second, "poison-2", **poison)
        assert_that([view["error"], repeat["error"]], Equals(["quarantined"] * 2))
        assert_that({future.result()["word"] for future in held}, Equals({"done"}))
    assert_that(sum(map(is_alive, engines(fragile))), Equals(2))


def test_no_engine_holds_memory_of_ended_programs_after_its_sidecar_restarted(bare_deployment):
    deployment = bare_deployment
    deployment.start_platform()
    sweep = {"kv_sweep_s": 0.2, "kv_unclaimed_s": 0.5}
    engine = deployment.add_upstream(
        "calc-models-1", "model", "calc-models", FAILURE_DOMAINS[0], sidecar=sweep
    )
    deployment.add_upstream("shop-tools-1", "tool", "shop-tools", FAILURE_DOMAINS[0])
    deployment.add_entry("entry-1", FAILURE_DOMAINS[0])
    deployment.publish_hosts()
    deployment.wait_ready()
    deployment.write_document()
    deployment.wait_for_upstreams()
    httpx.post(f"{engine.url}/v1/kv/import", json={"prompt_cache_key": "orphan", "tokens": 9})
    with deployment.entries["entry-1"].client() as client:
        start_and_wait(client, "released")
    engine.sidecar.restart()
    wait_until(
        lambda: httpx.get(f"{engine.url}/v1/kv").json()["programs"] == {},
        "the engine to hold nothing",
    )
