"""Requests that reach a stopping gateway when little of its grace period is left."""

from contextlib import suppress

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from gateway_rig import GRACE_S, HOST, config, large_config, wait_until
from skylarkferry_gateway import listeners
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio

LONG_MS = 3_000
LONG_WORK_S = 2.5
SHORT_MS = 400
LATE_S = GRACE_S / 2 + 0.5
"""The gateway accepts connections for half of the grace period."""
REQUESTS = 25
"""Requests of each path and on each kind of connection, evenly over the grace period."""
ROUTES_ADDED = 2_000
CLOSING_S = 0.5
PATHS = {
    "/get/1": "idempotent",
    "/order/1": "non_idempotent",
    "/turn/1": "streaming",
    "/kept/1": "streaming",
}


def request_bytes(request_id, path="/order/1", limit_ms=LONG_MS):
    """Return a whole request."""
    usage = "Skylarkferry-Token-Usage: 50,100\r\n" if PATHS[path] == "streaming" else ""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n{usage}"
        f"Skylarkferry-Request-Id: {request_id}\r\nSkylarkferry-Deadline-Ms: {limit_ms}\r\n\r\nbody"
    ).encode()


async def connect(gateway):
    host, _, port = gateway.settings.client_listen.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def receive_all(stream):
    """Return all bytes until the connection ends."""
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


def statuses(received):
    """Return the status of each response, and whether it announces the connection's end."""
    heads = [item.partition(b"\r\n\r\n")[0] for item in received.split(b"HTTP/1.1 ")[1:]]
    return [(int(head[:3]), b"connection: close" in head.lower()) for head in heads]


async def wait_until_listener_is_closed(gateway):
    while True:
        try:
            await (await connect(gateway)).aclose()
        except OSError:
            return
        await anyio.sleep(0.02)


@pytest.fixture
async def gateway(rig):
    return await start_gateway(rig)


async def start_gateway(rig):
    """Run a gateway with one replica of each service, whose routes allow long work."""
    routes = {
        path.removesuffix("1"): {
            "kind": kind,
            "service": "engine" if kind == "streaming" else "tools",
            "timeoutMs": 10_000,
            **({"retainContext": True, "retentionS": 60.0} if path == "/kept/1" else {}),
        }
        for path, kind in PATHS.items()
    }
    rig.configure(config(2, routes))
    await rig.add_replica("r1")
    await rig.add_replica("r2", "engine")
    return await rig.add_gateway()


def runs(rig):
    return [run.request_id for replica in rig.replicas.values() for run in replica.runs]


# Guards against requests that a stopping gateway passes on and then cuts.
@pytest.mark.parametrize("path", list(PATHS))
async def test_late_request_on_an_unused_connection_is_refused_before_it_runs(rig, gateway, path):
    for replica in rig.replicas.values():
        replica.work_s = LONG_WORK_S
    async with await connect(gateway) as stream:
        gateway.stop.set()
        await wait_until_listener_is_closed(gateway)
        await stream.send(request_bytes("late", path))
        received = await receive_all(stream)
    assert_that((statuses(received), runs(rig)), Equals(([(503, True)], [])))
    assert_that(received.lower(), Contains(b"\r\nretry-after: "))
    assert_that(received, Contains(b'"not_run"'))


# Guards against an unknown outcome for a request whose client has found the listener closed.
async def test_late_request_is_refused_while_the_listener_is_being_closed(rig, monkeypatch):
    async def wait_longer(event):
        await event.wait()
        await anyio.sleep(CLOSING_S)

    monkeypatch.setattr(listeners, "_wait_unless_set", wait_longer)
    gateway = await start_gateway(rig)
    rig.replicas["r1"].work_s = LONG_WORK_S
    async with await connect(gateway) as stream:
        gateway.stop.set()
        await wait_until_listener_is_closed(gateway)
        await stream.send(request_bytes("late"))
        received = await receive_all(stream)
    assert_that((statuses(received), runs(rig)), Equals(([(503, True)], [])))


async def test_late_request_with_a_time_limit_that_fits_into_the_grace_is_served(rig, gateway):
    async with await connect(gateway) as stream:
        gateway.stop.set()
        await wait_until_listener_is_closed(gateway)
        await stream.send(request_bytes("late", limit_ms=SHORT_MS))
        received = await receive_all(stream)
    assert_that((statuses(received), runs(rig)), Equals(([(200, True)], ["late"])))


# Guards against late requests that are passed on and cut, on a connection in use.
async def test_request_whose_body_is_complete_too_late_is_refused_before_it_runs(rig, gateway):
    whole = request_bytes("late")
    async with await connect(gateway) as stream:
        await stream.send(whole[:-2])
        gateway.stop.set()
        await wait_until_listener_is_closed(gateway)
        await stream.send(whole[-2:])
        received = await receive_all(stream)
    assert_that((statuses(received), runs(rig)), Equals(([(503, True)], [])))


# Guards against late requests that are passed on and cut, behind another one.
async def test_pipelined_request_that_begins_too_late_is_refused_before_it_runs(rig, gateway):
    rig.replicas["r1"].work_s = LATE_S
    async with await connect(gateway) as stream:
        first = request_bytes("first", limit_ms=10_000)
        await stream.send(first + request_bytes("second"))
        await wait_until(lambda: runs(rig) == ["first"])
        gateway.stop.set()
        received = await receive_all(stream)
    assert_that((statuses(received), runs(rig)), Equals(([(200, False), (503, True)], ["first"])))


# Guards against requests that are cut because their time limit outlasts the process.
@pytest.mark.parametrize("path", list(PATHS))
async def test_request_sent_on_during_a_stop_is_answered_before_the_process_ends(
    rig, gateway, path
):
    for replica in rig.replicas.values():
        replica.behaviour = lambda request: Behaviour.SILENT
    gateway.stop.set()
    await wait_until(lambda: gateway.is_stopping)
    async with await connect(gateway) as stream:
        await stream.send(request_bytes("long", path, limit_ms=10_000))
        received = await receive_all(stream)
        assert_that(gateway.ended.is_set(), Equals(False))
    assert_that((statuses(received), runs(rig)), Equals(([(504, True)], ["long"])))


# Guards against a stop that waits for connections without a request.
async def test_unused_connection_does_not_hold_up_a_long_stop(rig, gateway):
    gateway.settings = msgspec.structs.replace(gateway.settings, grace_s=600.0)
    rig.configure(config(3, limits={"idleTimeoutMs": 600_000}))
    await wait_until(lambda: gateway.config.current.version == 3)
    async with await connect(gateway) as stream:
        await wait_until(lambda: gateway.clients)
        gateway.stop.set()
        with anyio.fail_after(60):
            assert_that(await receive_all(stream), Equals(b""))
            await gateway.ended.wait()


async def grow_configuration(rig):
    """Add many routes several times while the gateway stops."""
    for version in range(100, 104):
        rig.configure(large_config(ROUTES_ADDED, version))
        await anyio.sleep(GRACE_S / 8)


async def lose_store(rig):
    """Let the store refuse all calls from the stop on."""
    rig.store.fault = lambda request: StoreFault.REFUSED


async def leave_calm(rig):
    """Change nothing."""


# Guards against requests that are passed on late in the grace period and cut without an answer.
@pytest.mark.parametrize("change", [leave_calm, grow_configuration, lose_store])
@pytest.mark.parametrize("work_s", [0.7, LONG_WORK_S])
async def test_no_request_that_ran_during_a_stop_is_cut(rig, gateway, work_s, change):
    received = {}

    async def send_late(number, path, stream):
        request_id = f"{number}-{path.split('/')[1]}-{'new' if stream is None else 'unused'}"
        await anyio.sleep(number * GRACE_S / REQUESTS)
        with suppress(anyio.BrokenResourceError, OSError):
            stream = stream or await connect(gateway)
            async with stream:
                await stream.send(request_bytes(request_id, path))
                received[request_id] = await receive_all(stream)

    for replica in rig.replicas.values():
        replica.work_s = work_s
    unused = {
        (number, path): await connect(gateway) for number in range(REQUESTS) for path in PATHS
    }
    gateway.stop.set()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(change, rig)
        for (number, path), stream in unused.items():
            tasks.start_soon(send_late, number, path, stream)
            tasks.start_soon(send_late, number, path, None)
    cut = [item for item in runs(rig) if not statuses(received.get(item, b""))]
    assert_that(cut, Equals([]))
    refused = {item for item, data in received.items() if statuses(data)[:1] == [(503, True)]}
    assert_that(refused.intersection(runs(rig)), Equals(set()))
    assert_that(runs(rig), Not(HasLength(0)))
