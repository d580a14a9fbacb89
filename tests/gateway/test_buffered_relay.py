import json

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan, Not

from gateway_rig import (
    ROUTES,
    AfterCrash,
    config,
    disconnecting_client,
    entry,
    headers,
    send,
    turn_headers,
    wait_until,
)
from skylarkferry_core.outcome_counts import HALF_LIFE_S
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import Behaviour

pytestmark = pytest.mark.anyio


def without_deadline(fields):
    """Return the headers of a client that waits for any time."""
    return {name: value for name, value in fields.items() if name != "Skylarkferry-Deadline-Ms"}


def behave(replica, first, then=Behaviour.SERVE):
    """Set a replica's behaviour for its first request and for all later ones."""
    pending = [first]
    replica.behaviour = lambda request: pending.pop() if pending else then


async def test_request_reaches_its_service_unchanged(rig):
    replica = await rig.add_replica("r1")
    await rig.add_gateway()
    fields = {**headers("id-1"), "X-Extra": "kept", "Skylarkferry-Hold": "forged"}
    response = await send(rig, "/order/2?x=1", fields, b"body")
    assert_that((response.status_code, response.content), Equals((200, b"answer to body")))
    assert_that(response.headers["Skylarkferry-Response-Signature"], Equals("signed by r1"))
    run = replica.runs[0]
    assert_that((run.target, run.body), Equals(("/order/2?x=1", b"body")))
    assert_that(run.headers["x-extra"], Equals("kept"))
    assert_that(run.headers["skylarkferry-expect-instance"], Equals("r1"))
    assert_that(run.headers, Not(Contains("skylarkferry-hold")))
    assert_that(int(run.headers["skylarkferry-deadline-ms"]), LessThan(2_001))


async def test_unknown_host_or_prefix_returns_404(rig):
    await rig.add_replica("r1")
    await rig.add_gateway()
    unknown = await send(rig, "/nowhere/1", headers("id-1"))
    foreign = await send(rig, "/order/1", {**headers("id-2"), "Host": "other.example"})
    assert_that((unknown.status_code, foreign.status_code), Equals((404, 404)))


async def test_longest_prefix_wins(rig):
    await rig.add_replica("r1")
    await rig.add_replica("e1", "engine")
    routes = {
        "/a/": {"kind": "idempotent", "service": "engine"},
        "/a/b/": {"kind": "idempotent", "service": "tools"},
    }
    rig.configure(config(2, routes))
    await rig.add_gateway()
    await send(rig, "/a/b/c", headers("id-1"))
    await send(rig, "/a/bc", headers("id-2"))
    assert_that(rig.replicas["r1"].received_ids, Equals(["id-1"]))
    assert_that(rig.replicas["e1"].received_ids, Equals(["id-2"]))


async def test_refused_request_goes_to_another_upstream(rig):
    for name in ("r1", "r2"):
        replica = await rig.add_replica(name)
        replica.behaviour = lambda request, name=name: (
            Behaviour.SHED if name == "r1" else Behaviour.SERVE
        )
    await rig.add_gateway()
    responses = [await send(rig, "/order/1", headers(f"id-{n}")) for n in range(6)]
    assert_that({response.status_code for response in responses}, Equals({200}))
    assert_that(len(rig.replicas["r1"].received_ids), GreaterThan(0))


async def test_attempt_limit_holds_and_the_503_carries_retry_after(rig):
    for name in ("r1", "r2", "r3"):
        (await rig.add_replica(name)).behaviour = lambda request: Behaviour.SHED
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"))
    arrivals = sum(len(replica.received_ids) for replica in rig.replicas.values())
    assert_that((response.status_code, arrivals), Equals((503, 2)))
    assert_that(float(response.headers["Retry-After"]), GreaterThan(0.0))


@pytest.mark.parametrize(
    "failure",
    [
        Behaviour.LOSE_ANSWER,
        Behaviour.TRUNCATE,
        Behaviour.UNSIGNED,
        Behaviour.UNFRAMED_RESET,
        Behaviour.FAIL,
    ],
)
async def test_repeatable_request_is_retried_on_another_upstream(rig, failure):
    for name in ("r1", "r2"):
        behave(await rig.add_replica(name), failure)
    await rig.add_gateway()
    rig.replicas["r2"].behaviour = lambda request: Behaviour.SERVE
    responses = [await send(rig, "/get/1", headers(f"id-{n}"), b"x") for n in range(4)]
    outcomes = {(response.status_code, response.content) for response in responses}
    assert_that(outcomes, Equals({(200, b"answer to x")}))


@pytest.mark.parametrize(
    "failure",
    [
        Behaviour.LOSE_ANSWER,
        Behaviour.TRUNCATE,
        Behaviour.UNSIGNED,
        Behaviour.BUSY_AFTER_ALL,
    ],
)
async def test_request_that_may_have_run_is_not_retried_nor_reported_as_not_run(rig, failure):
    for name in ("r1", "r2"):
        (await rig.add_replica(name)).behaviour = lambda request: failure
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"))
    runs = sum(len(replica.runs) for replica in rig.replicas.values())
    assert_that((response.status_code, runs), Equals((502, 1)))
    assert_that(response.json()["word"], Equals("unknown"))


async def test_signed_failure_of_the_tool_is_returned_unchanged(rig):
    (await rig.add_replica("r1")).behaviour = lambda request: Behaviour.FAIL
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"))
    assert_that((response.status_code, response.content), Equals((500, b"failed")))
    assert_that(response.headers["Skylarkferry-Response-Signature"], Equals("signed by r1"))


async def test_response_without_length_is_complete_after_a_clean_close(rig):
    (await rig.add_replica("r1")).behaviour = lambda request: Behaviour.UNFRAMED
    await rig.add_gateway()
    response = await send(rig, "/order/1", headers("id-1"), b"x")
    assert_that((response.status_code, response.content), Equals((200, b"answer to x")))


@pytest.mark.parametrize("kind", [Behaviour.EXTRA, Behaviour.STALE_FIRST])
async def test_responses_to_other_requests_are_discarded(rig, kind):
    (await rig.add_replica("r1")).behaviour = lambda request: kind
    await rig.add_gateway()
    for number in range(4):
        body = f"body {number}".encode()
        response = await send(rig, "/order/1", headers(f"id-{number}"), body)
        assert_that((response.status_code, response.content), Equals((200, b"answer to " + body)))


async def test_response_to_another_request_is_logged_and_counted(rig):
    (await rig.add_replica("r1")).behaviour = lambda request: Behaviour.STALE_FIRST
    gateway = await rig.add_gateway()
    await send(rig, "/order/1", headers("id-1"))
    skipped = [item for item in gateway.log.ring if item.number == 810]
    assert_that([item.fields["reason"] for item in skipped], Equals(["other_request"]))
    assert_that([item.fields["request"] for item in skipped], Equals(["id-1"]))
    counter = gateway.metrics.skipped_responses.labels(reason="other_request")
    assert_that(counter._value.get(), Equals(1.0))


async def test_upstream_at_a_reused_address_gets_no_more_requests(rig):
    await rig.add_replica("r1")
    (await rig.add_replica("r2")).behaviour = lambda request: Behaviour.MISDIRECT
    await rig.add_gateway()
    for number in range(6):
        response = await send(rig, "/order/1", headers(f"id-{number}"))
        assert_that(response.status_code, Equals(200))
    assert_that(len(rig.replicas["r2"].received_ids), LessThan(2))


async def test_draining_and_malformed_entries_get_no_requests(rig):
    await rig.add_replica("r1")
    await rig.add_replica("r2", state="draining")
    await rig.add_gateway()
    rig.store.put("servers", "", "forged", b'{"service": 3}')
    rig.store.put("servers", "", "bytes", "not base64!")
    for number in range(4):
        response = await send(rig, "/order/1", headers(f"id-{number}"))
        assert_that(response.status_code, Equals(200))
    assert_that(rig.replicas["r2"].received_ids, HasLength(0))
    gateway = rig.gateways[0]
    assert_that(set(gateway.upstreams.upstreams), Equals({"r1", "r2"}))


async def test_dead_upstream_costs_no_attempt(rig):
    await rig.add_replica("r1")
    rig.addresses["gone"] = free_address()
    rig.register_replica("gone")
    await rig.add_gateway()
    for number in range(6):
        response = await send(rig, "/once/1", headers(f"id-{number}"))
        assert_that(response.status_code, Equals(200))


async def test_silent_upstream_times_out_early_enough_for_a_retry(rig):
    await rig.add_replica("r1")
    (await rig.add_replica("r2")).behaviour = lambda request: Behaviour.SILENT
    await rig.add_gateway()
    for number in range(3):
        response = await send(rig, "/get/1", headers(f"id-{number}"), b"x")
        assert_that((response.status_code, response.content), Equals((200, b"answer to x")))


async def test_route_timeout_ends_a_running_non_idempotent_request(rig):
    replica = await rig.add_replica("r1")
    replica.work_s = 5.0
    routes = {"/order/": {"kind": "non_idempotent", "service": "tools", "timeoutMs": 300}}
    rig.configure(config(2, routes))
    await rig.add_gateway()
    started_at = anyio.current_time()
    response = await send(rig, "/order/1", headers("id-1"))
    assert_that(response.status_code, Equals(504))
    assert_that(anyio.current_time() - started_at, LessThan(replica.work_s))


async def test_non_idempotent_request_completes_after_its_client_disconnects(rig):
    replica = await rig.add_replica("r1")
    replica.work_s = 0.5
    await rig.add_gateway()
    async with disconnecting_client(rig, "/order/1", headers("id-1")):
        await wait_until(lambda: len(replica.runs) == 1)
    upstream = rig.gateways[0].upstreams.upstreams["r1"]
    await wait_until(lambda: upstream.local.in_flight == 0)
    assert_that(upstream.idle, HasLength(1))


async def test_request_that_crashes_upstreams_is_refused_by_every_gateway(rig):
    for name in ("r1", "r2", "r3", "r4"):
        replica = await rig.add_replica(name)

        def crash(request, replica=replica):
            if b"poison" not in request.body:
                return Behaviour.SERVE
            rig.tasks.start_soon(replica.listener.aclose)
            return Behaviour.LOSE_ANSWER

        replica.behaviour = crash
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    for number in range(3):
        await send(rig, "/get/1", headers(f"id-{number}"), b"poison", gateway=first)
    await wait_until(second.crashes.registry.quarantined)
    arrivals_before = sum(len(replica.received_ids) for replica in rig.replicas.values())
    refused = await send(rig, "/get/1", headers("id-9"), b"poison", gateway=second)
    assert_that(refused.status_code, Equals(503))
    arrivals_after = sum(len(replica.received_ids) for replica in rig.replicas.values())
    assert_that(arrivals_after, Equals(arrivals_before))


async def test_upstream_that_fails_more_than_its_peers_gets_few_requests(rig):
    faulty = await rig.add_replica("r1")
    await rig.add_replica("r2")
    await rig.add_replica("r3")
    faulty.behaviour = lambda request: Behaviour.FAIL
    await rig.add_gateway()
    statuses = [
        (await send(rig, "/order/1", headers(f"id-{number}"))).status_code for number in range(30)
    ]
    assert_that(statuses.count(500), LessThan(3))
    assert_that(statuses.count(200), GreaterThan(27))


async def test_recovered_upstream_gets_requests_again(rig):
    recovered = await rig.add_replica("r1")
    await rig.add_replica("r2")
    await rig.add_replica("r3")
    recovered.behaviour = lambda request: Behaviour.FAIL
    gateway = await rig.add_gateway()
    for number in range(9):
        await send(rig, "/order/1", headers(f"id-{number}"))
    recovered.behaviour = lambda request: Behaviour.SERVE
    before = len(recovered.runs)
    outcome_counts = gateway.upstreams.upstreams["r1"].local.outcome_counts
    outcome_counts.decay(anyio.current_time() + 3 * HALF_LIFE_S)
    for number in range(9):
        await send(rig, "/order/1", headers(f"late-{number}"))
    assert_that(len(recovered.runs), GreaterThan(before))


async def test_hung_upstream_costs_a_few_target_latencies_not_half_the_deadline(rig):
    """The route's target latency is 0.2 s; 45 % of the deadline would be 4.5 s."""
    hung = await rig.add_replica("r1")
    await rig.add_replica("r2")
    hung.behaviour = lambda request: Behaviour.SILENT
    rig.configure(config(version=2, routes={"/get/": {**ROUTES["/get/"], "timeoutMs": 10_000}}))
    gateway = await rig.add_gateway()
    await wait_until(lambda: gateway.config.current.version == 2)
    started_at = anyio.current_time()
    for number in range(4):
        response = await send(
            rig, "/get/1", headers(f"id-{number}", deadline_ms=10_000), method="GET"
        )
        assert_that(response.status_code, Equals(200))
    assert_that(len(hung.runs), GreaterThan(0))
    assert_that(anyio.current_time() - started_at, LessThan(4.0))


async def test_requests_in_succession_use_the_same_connection(rig):
    """Each new connection costs a round trip, and the upstream a place among its connections."""
    for number in range(5):
        await rig.add_replica(f"r{number}")
    gateway = await rig.add_gateway()
    for number in range(10):
        await send(rig, "/get/1", headers(f"id-{number}"), method="GET")
    connections = gateway.metrics.upstream_connections
    assert_that(connections.labels(state="new")._value.get(), Equals(1.0))
    assert_that(connections.labels(state="reused")._value.get(), Equals(9.0))


@pytest.mark.parametrize(
    ("path", "kind", "service"),
    [("/get/", "idempotent", "tools"), ("/turn/", "streaming", "engine")],
)
async def test_request_without_any_deadline_is_answered(rig, path, kind, service):
    rig.configure(config(2, {path: {"kind": kind, "service": service, "timeoutMs": 0}}))
    replica = await rig.add_replica("r1", service)
    await rig.add_gateway()
    response = await send(rig, f"{path}1", without_deadline(turn_headers("id-1")))
    assert_that(response.status_code, Equals(200))
    assert_that(replica.runs[0].headers, Not(Contains("skylarkferry-deadline-ms")))


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:70000", "127.0.0.1:0", "127.0.0.400:80", "a.b.c.d:80", "127.0.0.1:\u00b2"],
)
async def test_entry_with_an_invalid_address_neither_gets_requests_nor_ends_the_gateway(
    rig, address
):
    rig.store.put("servers", "", "bad", json.dumps(entry("bad", "engine", address)).encode())
    await rig.add_crashing_replica("r1", "tools", Behaviour.LOSE_ANSWER, AfterCrash.SILENT)
    gateway = await rig.add_gateway()
    assert_that(set(gateway.upstreams.upstreams), Equals({"r1"}))
    answer = await send(rig, "/turn/1", turn_headers("t-1"))
    assert_that(answer.status_code, Equals(503))
    await send(rig, "/once/crash", headers("id-1"))  # its check connects to other upstreams
    await wait_until(lambda: gateway.ended.is_set() or gateway.crashes.undecided)
    assert_that(gateway.ended.is_set(), Equals(False))
