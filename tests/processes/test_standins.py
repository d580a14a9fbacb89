import httpx
import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_standins.child_processes import wait_until

PUT_A = {"success": [{"request_put": {"key": "YQ==", "value": "Yg=="}}]}
KEY = {"Idempotency-Key": "call-1"}
POISON = {
    "messages": [{"role": "system", "content": "[agent:short-answer] poison"}],
    "prompt_cache_key": "program",
}


@pytest.fixture
def service(bare_deployment):
    process = bare_deployment.start_standin("service", "service", "ledger")
    process.wait_ready()
    return process


@pytest.fixture
def service_url(service):
    return service.ready_url.removesuffix("/control/ledger")


def effects_at(url):
    return [effect["path"] for effect in httpx.get(f"{url}/control/ledger").json()["effects"]]


def test_platform_closes_the_connection_after_the_write(bare_deployment):
    bare_deployment.start_platform()
    bare_deployment.set_platform_faults(lose_answers=1, loss="close")
    with ExpectedException(httpx.RemoteProtocolError):
        httpx.post(f"{bare_deployment.platform_url}/v3/kv/txn", json=PUT_A)
    stored = httpx.post(f"{bare_deployment.platform_url}/v3/kv/range", json={"key": "YQ=="})
    assert_that(stored.json()["count"], Equals("1"))


def test_service_closes_the_connection_after_the_effect(service_url):
    httpx.post(f"{service_url}/control/faults", json={"lose_answers": 1})
    with ExpectedException(httpx.RemoteProtocolError):
        httpx.post(f"{service_url}/send_quote", json={}, headers=KEY)
    assert_that(effects_at(service_url), Equals(["/send_quote"]))


def test_hanging_service_sends_no_response(service_url):
    httpx.post(f"{service_url}/control/faults", json={"hang_after_effect": 1})
    with ExpectedException(httpx.ReadTimeout):
        httpx.post(f"{service_url}/send_quote", json={}, headers=KEY, timeout=0.2)
    assert_that(effects_at(service_url), Equals(["/send_quote"]))


def test_crashed_service_restarts_with_an_empty_ledger(service, service_url):
    httpx.post(f"{service_url}/control/faults", json={"crash": "after_effect"})
    with pytest.raises(httpx.TransportError):
        httpx.post(f"{service_url}/send_quote", json={}, headers=KEY)
    assert_that(service.wait_exit(), Equals(70))
    service.restart()
    assert_that(effects_at(service_url), Equals([]))


def test_engine_crashes_on_the_configured_text(bare_deployment):
    engine = bare_deployment.start_standin("engine", "engine", "faults", crash_text="poison")
    engine.wait_ready()
    url = engine.ready_url.replace("/control/faults", "/v1/chat/completions")
    with pytest.raises(httpx.TransportError):
        httpx.post(url, json=POISON)
    assert_that(engine.wait_exit(), Equals(70))


def test_engine_releases_the_slot_when_the_client_disconnects(bare_deployment):
    engine = bare_deployment.start_standin("engine", "engine", "faults", slots=1)
    engine.wait_ready()
    base = engine.ready_url.removesuffix("/control/faults")
    httpx.post(f"{base}/control/faults", json={"stall_after_tokens": 1})
    body = {"messages": [{"role": "system", "content": "[agent:long-report]"}], "stream": True}
    with httpx.stream("POST", f"{base}/v1/chat/completions", json=body) as response:
        lines = response.iter_lines()
        next(lines)
        assert_that(httpx.get(f"{base}/v1/load").json()["running"], Equals(1))
    httpx.post(f"{base}/control/faults", json={})
    completion = httpx.post(f"{base}/v1/chat/completions", json=body | {"stream": False})
    assert_that(completion.json()["choices"][0]["finish_reason"], Equals("stop"))


def test_paused_process_answers_after_it_is_resumed(service, service_url):
    service.pause()
    with ExpectedException(httpx.ReadTimeout):
        httpx.post(f"{service_url}/send_quote", json={}, timeout=0.2)
    service.resume()
    wait_until(
        lambda: effects_at(service_url) == ["/send_quote"], "the delayed request to take effect"
    )
