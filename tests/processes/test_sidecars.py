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
PAUSE_S = 10.0
ORDER_DELAY_S = 3.0
SLOWDOWN = 3.0


def engines(deployment):
    return [upstream for name, upstream in deployment.upstreams.items() if name.startswith("calc")]


def orders(deployment):
    effects = deployment.upstreams["shop-tools-1"].effects()
    return [effect for effect in effects if effect["path"] == ORDER_PATH]


def call_words(view):
    return {call["name"]: call["word"] for call in view["calls"]}


def run_program(client, key, **changes):
    return wait_for_answer(client, start_program(client, key, **changes))


def counters(upstream):
    return httpx.get(f"{upstream.url}/control/counters").json()


@pytest.fixture
def client(arusha):
    with arusha.entries["entry-1"].client() as client:
        yield client


@pytest.fixture
def executor():
    with ThreadPoolExecutor(16) as pool:
        yield pool


def start_reports(deployment, executor, clients, count=6):
    """Start long, slow reports in the background and return their futures."""
    for upstream in engines(deployment):
        upstream.set_faults(slowdown=SLOWDOWN)
    return [
        executor.submit(run_program, client, f"report-{number}", agent="long-report")
        for number, client in zip(range(count), itertools.cycle(clients), strict=False)
    ]


def wait_until_streaming(deployment):
    """Wait until an engine runs at least two reports; return the busiest engine."""
    wait_until(
        lambda: max(map(running_count, engines(deployment))) >= 2,
        "an engine to run two reports at once",
    )
    return max(engines(deployment), key=running_count)


def running_count(upstream):
    try:
        return httpx.get(f"{upstream.url}/v1/load").json()["running"]
    except httpx.TransportError:
        return 0


def is_alive(upstream):
    return not upstream.server.has_exited()


def start_and_wait_for_quote(deployment, client, key):
    """Start a sizing program and wait for its quote, which precedes its order."""
    tools = deployment.upstreams["shop-tools-1"]
    program_id = start_program(client, key)
    wait_until(
        lambda: any(effect["path"] == "/send_quote" for effect in tools.effects()),
        "the quote to be sent",
    )
    return program_id


def test_order_is_unknown_and_not_repeated_after_its_sidecar_is_killed(arusha, client, executor):
    tools = arusha.upstreams["shop-tools-1"]
    tools.set_faults(hang_after_effect=1, path=ORDER_PATH)
    program_id = start_and_wait_for_quote(arusha, client, "killed")
    future = executor.submit(wait_for_answer, client, program_id)
    wait_until(lambda: bool(orders(arusha)), "the order to be executed")
    tools.sidecar.restart()
    assert_that(call_words(future.result())["order_blank_stock"], Equals("unknown"))
    assert_that(len(orders(arusha)), Equals(1))


def test_paused_sidecar_delivers_the_outcome_once_after_resuming(arusha, client, executor):
    tools = arusha.upstreams["shop-tools-1"]
    # Set the delay before the start; otherwise the order could finish before it is observed.
    tools.set_faults(delay_s=ORDER_DELAY_S, path=ORDER_PATH)
    program_id = start_and_wait_for_quote(arusha, client, "frozen")
    future = executor.submit(wait_for_answer, client, program_id)
    wait_until(lambda: tools.pending_paths() == [ORDER_PATH], "the tool service to read the order")
    tools.sidecar.pause()
    time.sleep(PAUSE_S)
    tools.sidecar.resume()
    assert_that(call_words(future.result())["order_blank_stock"], Equals("done"))
    assert_that(len(orders(arusha)), Equals(1))


def test_programs_complete_when_an_engine_is_killed_during_a_turn(arusha, client, executor):
    futures = start_reports(arusha, executor, [client])
    wait_until_streaming(arusha).server.kill()
    assert_that({future.result()["word"] for future in futures}, Equals({"done"}))


def test_planned_stop_of_a_sidecar_interrupts_no_turn(arusha, client, executor):
    futures = start_reports(arusha, executor, [client])
    busiest = wait_until_streaming(arusha)
    busiest.sidecar.terminate()
    streaming = running_count(busiest)
    assert_that(busiest.sidecar.wait_exit(), Equals(0))
    assert_that(streaming, GreaterThan(0))
    assert_that(counters(busiest)["cancelled"], Equals(0))
    assert_that({future.result()["word"] for future in futures}, Equals({"done"}))


@pytest.fixture
def crashing_deployment(bare_deployment):
    """A deployment with two entries and four engines that crash on ``poison`` in a prompt."""
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


def test_poison_request_crashes_two_engines_and_other_programs_complete(
    crashing_deployment, executor
):
    one, two = crashing_deployment.entries.values()
    with one.client() as first, two.client() as second:
        futures = start_reports(crashing_deployment, executor, [first, second], count=8)
        wait_until_streaming(crashing_deployment)
        poison = {"agent": "short-answer", "input": "poison", "deadline_s": 15}
        view = run_program(first, "poison-1", **poison)
        assert_that(sum(map(is_alive, engines(crashing_deployment))), Equals(2))
        repeat = run_program(second, "poison-2", **poison)
        assert_that([view["error"], repeat["error"]], Equals(["quarantined"] * 2))
        assert_that({future.result()["word"] for future in futures}, Equals({"done"}))
    assert_that(sum(map(is_alive, engines(crashing_deployment))), Equals(2))


def test_restarted_sidecar_releases_the_kv_cache_of_ended_programs(bare_deployment):
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
        run_program(client, "released")
    engine.sidecar.restart()
    wait_until(
        lambda: httpx.get(f"{engine.url}/v1/kv").json()["programs"] == {},
        "the engine's KV cache to be empty",
    )
