"""Clients of resumable streams, engines of several versions, and what these ran."""

import itertools
from contextlib import suppress

import anyio
import httpx
import msgspec
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import TIMEOUT_S, headers, send, wait_until
from skylarkferry_core.version_assignments import Assignment
from skylarkferry_gateway import defaults
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault

PATH = "/resume/1"
ONE_ATTEMPT = "/resume-once/1"
STREAMS = 16
VERSIONS = {"a1": "v1", "a2": "v1", "b1": "v2", "b2": "v2", "b3": "v2"}
VERSION_OF = {"a": "v1", "b": "v2"}
"""Version of a replica by the first letter of its name."""
ids = (f"s-{number}" for number in itertools.count())


def stream_headers(request_id, **more):
    """Return the headers of a stream's request, without a budget that needs the store."""
    return headers(request_id, Token_Usage="50,100", **more)


def cut_first_attempt(request):
    """Cut streams in the middle of an event, but not those that are resumed."""
    is_resumed = "last-event-id" in request.headers
    return Behaviour.SERVE if is_resumed else Behaviour.CUT_IN_EVENT


async def add_versions(rig, versions=None):
    """Add engines of several versions that cut each stream once."""
    for name, version in (versions or VERSIONS).items():
        replica = await rig.add_replica(name, "engine", version=version)
        replica.behaviour = cut_first_attempt
        replica.work_s = 0.05


async def begin_streams(rig, path=ONE_ATTEMPT, count=STREAMS, **options):
    """Begin streams side by side that are cut, and return their request ids."""
    return list(await try_to_begin_streams(rig, path, count, **options))


async def try_to_begin_streams(rig, path=ONE_ATTEMPT, count=STREAMS, deadline_ms=2_000, **options):
    """Begin streams side by side, and return the status by request id: 200 also for one cut."""
    statuses = {next(ids): 200 for _ in range(count)}

    async def begin(request_id):
        fields = stream_headers(request_id, deadline_ms=deadline_ms)
        with suppress(httpx.RemoteProtocolError, httpx.ReadError):
            statuses[request_id] = (await send(rig, path, fields, b"prompt", **options)).status_code

    async with anyio.create_task_group() as tasks:
        for request_id in statuses:
            tasks.start_soon(begin, request_id)
    return statuses


async def resume(rig, request_id, path=ONE_ATTEMPT, last_event_id=4, **options):
    """Resume a stream under a new request id and return the response."""
    fields = stream_headers(next(ids))
    resumption = {"Last-Event-Id": str(last_event_id), "Resumes": request_id}
    return await send(rig, path, {**fields, **resumption}, b"prompt", **options)


def versions_of(rig, request_id):
    """Return the software versions that ran a stream, over all requests that resumed it."""
    return {
        VERSION_OF[name[0]]
        for name, replica in rig.replicas.items()
        for run in replica.runs
        if request_id in (run.request_id, run.headers.get("resumes"))
    }


def mixed_streams(rig, started):
    """Return the streams that ran at more than one version."""
    return [item for item in started if len(versions_of(rig, item)) > 1]


def assign_streams(rig, current, following=None):
    """Write the assignment of the engines' streams to versions, as gateways before have left it."""
    row = msgspec.msgpack.encode(Assignment(current, following))
    rig.store.put("assignments", "assignments", "engine", row)


def stored_streams(rig):
    """Return the number of streams whose origin is in the store."""
    return sum(
        table == "streams" and not row.deleted for (table, _, _), row in rig.store.rows.items()
    )


async def stop_abruptly(gateway):
    gateway.scope.cancel()
    await gateway.ended.wait()


async def stop_in_order(*gateways):
    """Stop gateways side by side, as a planned stop does, and wait until they have ended."""
    for gateway in gateways:
        gateway.stop.set()
    for gateway in gateways:
        await gateway.ended.wait()


def fail_store(rig, fault):
    rig.store.fault = lambda request: fault


async def resume_all(rig, started, **options):
    """Resume streams side by side and return the statuses."""
    statuses = []

    async def resume_one(request_id):
        statuses.append((await resume(rig, request_id, **options)).status_code)

    async with anyio.create_task_group() as tasks:
        for request_id in started:
            tasks.start_soon(resume_one, request_id)
    return statuses


async def assert_resumed_at_their_versions(rig, started, **options):
    """Resume streams, and assert that all complete at the version that began them."""
    statuses = await resume_all(rig, started, **options)
    assert_that((statuses, mixed_streams(rig, started)), Equals(([200] * len(started), [])))


def fault_in_part(part, fault):
    """Return a fault of the calls that concern one part of the store."""

    def select(request):
        text = request.target.encode() + request.body
        is_hit = f'"part":"{part}"'.encode() in text or f"part={part}".encode() in text
        return fault if is_hit else StoreFault.NONE

    return select


async def lose_store(rig, fault=StoreFault.SILENT):
    fail_store(rig, fault)
    # A feed that was called before is still answered, and clears the loss.
    await anyio.sleep(defaults.CRASHES_POLL_TIMEOUT_S + 0.5)
    for gateway in rig.gateways:
        await wait_until(
            lambda item=gateway: item.store.unavailable_s() > defaults.STORE_LOST_AFTER_S
        )


async def begun_streams(rig, *args, **options):
    """Begin streams side by side and return those whose first event reached the client."""
    statuses = await try_to_begin_streams(rig, *args, **options)
    return [item for item, status in statuses.items() if status == 200]


async def replace_engines(rig, before, after):
    """Remove the engines that leave, and add those that come."""
    for name in set(before) - set(after):
        rig.store.delete("servers", "", name)
    added = sorted(set(after) - set(before))
    if added:
        await add_versions(rig, {name: VERSION_OF[name[0]] for name in added})


async def receive(rig, path, fields, body=b"x"):
    """Send a request; return status, received bytes and whether the response was complete."""
    received = b""
    async with httpx.AsyncClient(timeout=TIMEOUT_S, verify=False) as client:
        stream = client.stream("POST", rig.url(path), headers=fields, content=body)
        async with stream as response:
            try:
                async for data in response.aiter_raw():
                    received += data
            except (httpx.RemoteProtocolError, httpx.ReadError):
                return response.status_code, received, False
    return response.status_code, received, True
