import asyncio
import errno
import json
import socket
from collections import Counter

import anyio
import anyio.lowlevel
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

from gateway_rig import GRACE_S, TIMEOUT_S, config, headers, send, wait_until
from skylarkferry_core.errors import HistoryLostError
from skylarkferry_gateway import defaults, role
from skylarkferry_gateway.interfaces import Changes
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio


async def send_raw(rig, data, *, half_close=False, wait_s=5.0):
    """Send bytes on a connection and return all bytes received until it ends."""
    host, _, port = rig.gateways[0].settings.client_listen.rpartition(":")
    stream = await anyio.connect_tcp(host, int(port))
    received = b""
    async with stream:
        await stream.send(data)
        if half_close:
            await stream.send_eof()
        try:
            with anyio.move_on_after(wait_s):
                while True:
                    received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
    return received


def request_head(request_id, extra=b"", method=b"POST", path=b"/order/1"):
    """Return a request head without the final empty line."""
    return (
        method + b" " + path + b" HTTP/1.1\r\nHost: shop.example\r\n"
        b"Skylarkferry-Request-Id: " + request_id + b"\r\n" + extra
    )


async def readiness(gateway):
    async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
        answer = await client.get(f"http://{gateway.settings.ready_listen}/api/readiness")
        return answer.status_code


async def test_readiness_and_metrics_are_served(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    await wait_until(lambda: gateway.upstream_watcher.has_read)
    assert_that(await readiness(gateway), Equals(200))
    await send(rig, "/order/1", headers("id-1"))
    async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
        answer = await client.get(f"http://{gateway.settings.metrics_listen}/metrics")
    expected = 'skylarkferry_gateway_requests_total{kind="non_idempotent",outcome="200"} 1.0'
    assert_that(answer.text, Contains(expected))


async def test_gateway_without_the_store_is_not_ready_but_serves_tools(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    rig.store.fault = lambda request: StoreFault.REFUSED
    await wait_until(lambda: gateway.store.unavailable_s() > defaults.NOT_READY_AFTER_S)
    assert_that(await readiness(gateway), Equals(503))
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that(answer.status_code, Equals(200))
    rig.store.fault = lambda request: StoreFault.NONE
    await wait_until(lambda: gateway.store.unavailable_s() == 0)
    assert_that(await readiness(gateway), Equals(200))


async def test_gateway_without_a_configuration_answers_503(rig):
    rig.store.delete("op", "", "config")
    rig.tasks.start_soon(rig.add_gateway)
    await wait_until(lambda: rig.gateways)
    gateway = rig.gateways[0]
    await wait_until(lambda: gateway.upstream_watcher.has_read and gateway.is_listening)
    answer = await send(rig, "/order/1", headers("id-1"))
    assert_that((answer.status_code, await readiness(gateway)), Equals((503, 503)))
    rig.configure(config())
    await wait_until(lambda: gateway.config.current is not None)


async def test_configuration_is_applied_and_never_reverts_to_an_older_version(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    routes = {"/new/": {"kind": "idempotent", "service": "tools"}}
    rig.configure(config(5, routes))
    await wait_until(lambda: gateway.config.current.version == 5)
    assert_that((await send(rig, "/new/1", headers("id-1"))).status_code, Equals(200))
    assert_that((await send(rig, "/order/1", headers("id-2"))).status_code, Equals(404))
    rig.configure(config(4))
    rig.store.discard_history()
    rig.store.put("op", "", "config", b'{"version": "six"}')
    await anyio.sleep(0.3)
    assert_that(gateway.config.current.version, Equals(5))
    rig.configure(config(6))
    await wait_until(lambda: gateway.config.current.version == 6)


async def test_lost_change_history_is_replaced_by_one_read(rig):
    gateway = await rig.add_gateway()
    rig.store.discard_history()
    before = len(rig.store.calls)
    rig.configure(config(7))
    await wait_until(lambda: gateway.config.current.version == 7)
    rig.store.discard_history()
    await anyio.sleep(0.5)
    assert_that(len(rig.store.calls) - before, LessThan(20))


async def test_draining_upstream_gets_no_requests(rig):
    await rig.add_replica("r1")
    await rig.add_replica("r2")
    gateway = await rig.add_gateway()
    rig.register_replica("r2", state="draining")
    await wait_until(lambda: gateway.upstreams.upstreams["r2"].entry.is_leaving)
    for number in range(4):
        await send(rig, "/order/1", headers(f"id-{number}"))
    assert_that(rig.replicas["r2"].received_ids, HasLength(0))


async def test_restarted_upstream_with_the_same_id_is_a_new_upstream(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    known = gateway.upstreams.upstreams["r1"]
    rig.register_replica("r1", born=2)
    await wait_until(lambda: gateway.upstreams.upstreams["r1"] is not known)


async def test_entries_that_lapse_during_an_outage_are_kept_temporarily(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    rig.store.fault = lambda request: StoreFault.REFUSED
    await wait_until(lambda: gateway.store.unavailable_s() > defaults.LIST_OUTAGE_S + 0.5)
    rig.store.delete("servers", "", "r1")
    rig.store.fault = lambda request: StoreFault.NONE
    await wait_until(lambda: gateway.store.unavailable_s() == 0)
    assert_that((await send(rig, "/order/1", headers("id-1"))).status_code, Equals(200))
    await wait_until(lambda: not gateway.upstreams.upstreams)


async def test_graceful_stop_finishes_current_and_new_requests(rig):
    (await rig.add_replica("r1")).work_s = 0.4
    gateway = await rig.add_gateway()
    statuses = []

    async def send_order(request_id):
        statuses.append((await send(rig, "/order/1", headers(request_id))).status_code)

    rig.tasks.start_soon(send_order, "id-1")
    await wait_until(lambda: rig.replicas["r1"].runs)
    gateway.stop.set()
    await wait_until(lambda: gateway.is_stopping)
    assert_that(await readiness(gateway), Equals(503))
    rig.tasks.start_soon(send_order, "id-2")
    await gateway.ended.wait()
    await wait_until(lambda: len(statuses) == 2)
    assert_that(statuses, Equals([200, 200]))


async def test_persistent_connection_serves_several_requests_and_closes_on_stop(rig):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
        for number in range(3):
            await client.post(rig.url("/order/1"), headers=headers(f"id-{number}"))
        assert_that(gateway.clients, HasLength(1))
        gateway.stop.set()
        await wait_until(lambda: not gateway.clients)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (
            request_head(b"id-1", b"Content-Length: 5\r\nContent-Length: 6\r\n") + b"\r\nhello",
            b"400",
        ),
        (request_head(b"id-1", b"Content-Length: 9999999\r\n") + b"\r\n", b"413"),
        (request_head(b"id-1", b"X: " + b"a" * 20_000 + b"\r\n") + b"\r\n", b"431"),
        (request_head(b"id-1", b"Skylarkferry-Deadline-Ms: soon\r\n") + b"\r\n", b"400"),
        (b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n", b"400"),
    ],
)
async def test_invalid_requests_get_an_error_status_and_reach_no_upstream(
    rig, request_bytes, status
):
    replica = await rig.add_replica("r1")
    await rig.add_gateway()
    received = await send_raw(rig, request_bytes, wait_s=0.5)
    assert_that(received.split(b" ")[1], Equals(status))
    assert_that(replica.received_ids, HasLength(0))
    assert_that((await send(rig, "/order/1", headers("id-9"))).status_code, Equals(200))


async def test_smuggled_request_stays_part_of_the_body(rig):
    replica = await rig.add_replica("r1")
    await rig.add_gateway()
    inner = request_head(b"inner") + b"\r\n"
    chunked = f"{len(inner):x}\r\n".encode() + inner + b"\r\n0\r\n\r\n"
    extra = b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
    await send_raw(rig, request_head(b"id-1", extra) + b"\r\n" + chunked, wait_s=0.5)
    assert_that([run.request_id for run in replica.runs if run.request_id == "inner"], Equals([]))


async def test_slow_request_times_out(rig):
    rig.configure(config(2, limits={"headerTimeoutMs": 200, "idleTimeoutMs": 300}))
    replica = await rig.add_replica("r1")
    await rig.add_gateway()
    received = await send_raw(rig, request_head(b"id-1"))
    assert_that((received.split(b" ")[1], replica.received_ids), Equals((b"408", [])))


async def test_idle_connection_is_closed_after_its_idle_limit(rig):
    rig.configure(config(2, limits={"headerTimeoutMs": 200, "idleTimeoutMs": 300}))
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    started = anyio.current_time()
    await send_raw(rig, request_head(b"id-1", b"Content-Length: 0\r\n") + b"\r\n")
    assert_that(anyio.current_time() - started, GreaterThan(0.25))
    await wait_until(lambda: not gateway.clients)


async def test_pipelined_requests_are_answered_in_order(rig):
    await rig.add_replica("r1")
    await rig.add_gateway()
    parts = [
        request_head(f"id-{n}".encode(), b"Content-Length: 1\r\n") + b"\r\n%d" % n for n in range(3)
    ]
    received = await send_raw(rig, b"".join(parts), wait_s=1.0)
    found = [received.index(b"answer to %d" % n) for n in range(3)]
    assert_that(found, Equals(sorted(found)))


async def test_disconnecting_clients_do_not_affect_others(rig):
    (await rig.add_replica("r1")).behaviour = lambda request: Behaviour.SERVE
    gateway = await rig.add_gateway()
    host, _, port = gateway.settings.client_listen.rpartition(":")
    for _ in range(5):
        with socket.create_connection((host, int(port))) as client:
            client.sendall(request_head(b"id-x", b"Content-Length: 100\r\n") + b"\r\nhalf")
    assert_that((await send(rig, "/order/1", headers("id-1"))).status_code, Equals(200))
    await wait_until(lambda: not gateway.clients)


async def test_gateway_errors_are_problem_details_with_a_code(rig):
    await rig.add_gateway()
    answer = await send(rig, "/order/1", headers("id-1"))
    body = json.loads(answer.content)
    found = (answer.status_code, body["code"], body["word"])
    assert_that(found, Equals((503, "overloaded", "not_run")))


async def test_graceful_stop_waits_for_a_request_that_arrives_after_the_others_ended(rig):
    routes = {"/order/": {"kind": "non_idempotent", "service": "tools", "timeoutMs": 10_000}}
    rig.configure(config(2, routes))
    replica = await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    await send(rig, "/order/1", headers("id-1"))
    gateway.stop.set()
    await wait_until(lambda: gateway.is_stopping and not gateway.clients)
    replica.work_s = GRACE_S / 2 + 0.4
    answer = await send(rig, "/order/1", headers("id-2", 10_000))
    assert_that(answer.status_code, Equals(200))


async def test_unexpected_error_is_answered_and_leaves_the_connection_open(rig, monkeypatch):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    select = gateway.context.selector.select
    errors = [RuntimeError("unexpected")]

    async def failing_select(attempts):
        if errors:
            raise errors.pop()
        return await select(attempts)

    monkeypatch.setattr(gateway.context.selector, "select", failing_select)
    async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
        found = [
            (await client.post(rig.url("/order/1"), headers=headers(f"id-{number}"))).status_code
            for number in range(2)
        ]
    assert_that((found, gateway.ended.is_set()), Equals(([502, 200], False)))


@pytest.mark.parametrize("count", [1, 4])
async def test_request_that_waits_for_a_closing_listener_is_answered(rig, monkeypatch, count):
    monkeypatch.setattr(defaults, "STOP_ACCEPTING_AFTER_S", 0.2)
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    host, _, port = gateway.settings.client_listen.rpartition(":")
    clients = []

    async def sleep_and_send(delay_s, sleep=anyio.sleep):
        """Let clients send requests in the very step in which the stopping gateway goes on."""
        await sleep(delay_s)
        if delay_s == defaults.STOP_ACCEPTING_AFTER_S:
            for number in range(count):
                client = rig.stack.enter_context(socket.create_connection((host, int(port))))
                client.settimeout(TIMEOUT_S)
                client.sendall(request_head(b"id-%d" % number, b"Content-Length: 0\r\n") + b"\r\n")
                clients.append(client)

    monkeypatch.setattr(role.anyio, "sleep", sleep_and_send)
    gateway.stop.set()
    await wait_until(lambda: len(clients) == count)
    found = [await anyio.to_thread.run_sync(client.recv, 65_536) for client in clients]
    assert_that([item.split(b" ")[1] for item in found], Equals([b"200"] * count))


async def test_gateway_goes_on_after_a_connection_could_not_be_accepted(rig, monkeypatch):
    await rig.add_replica("r1")
    gateway = await rig.add_gateway()
    port = gateway.settings.client_listen.rpartition(":")[2]
    errors = [OSError(errno.EMFILE, "too many open files")]
    loop = asyncio.get_running_loop()
    accept = loop.sock_accept

    async def failing_accept(listener):
        if listener.getsockname()[1] == int(port) and errors:
            raise errors.pop()
        return await accept(listener)

    monkeypatch.setattr(loop, "sock_accept", failing_accept)
    statuses = [
        (await send(rig, "/order/1", headers(f"id-{number}"))).status_code for number in range(3)
    ]
    assert_that((statuses, errors), Equals(([200] * 3, [])))
    assert_that(gateway.ended.is_set(), Equals(False))


@pytest.mark.parametrize("is_history_lost", [True, False])
async def test_feed_that_never_waits_is_not_read_without_a_pause(rig, is_history_lost):
    """All gateways share the reads that the store allows."""
    calls = Counter()

    async def changes(table, after, wait_s):
        calls[table] += 1
        await anyio.lowlevel.checkpoint()
        if is_history_lost:
            raise HistoryLostError("the store no longer has the requested changes")
        return Changes([], after)

    def prepare(gateway):
        gateway.store.changes = changes

    await rig.add_gateway(prepare=prepare)
    calls.clear()
    await anyio.sleep(1.0)
    for table in ("op", "crashes"):
        assert_that(calls[table], LessThan(1 / defaults.STORE_RETRY_S + 2))
        assert_that(calls[table], GreaterThan(0))
