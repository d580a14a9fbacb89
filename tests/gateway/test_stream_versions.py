import itertools
from contextlib import suppress

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import send, turn_headers
from skylarkferry_standins.replica import Behaviour

pytestmark = pytest.mark.anyio

PATH = "/resume/1"
STREAMS = 16
VERSIONS = {"a1": "v1", "a2": "v1", "b1": "v2", "b2": "v2", "b3": "v2"}
ids = (f"s-{number}" for number in itertools.count())


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


async def begin_streams(rig, path=PATH, count=STREAMS, **options):
    """Begin streams side by side that are cut, and return their request ids."""
    started = [next(ids) for _ in range(count)]

    async def begin(request_id):
        fields = turn_headers(request_id, program=request_id)
        with suppress(httpx.RemoteProtocolError, httpx.ReadError):
            await send(rig, path, fields, b"prompt", **options)

    async with anyio.create_task_group() as tasks:
        for request_id in started:
            tasks.start_soon(begin, request_id)
    return started


async def resume(rig, request_id, path=PATH, last_event_id=4, **options):
    """Resume a stream under a new request id and return the response."""
    fields = turn_headers(next(ids), program=request_id)
    resumption = {"Last-Event-Id": str(last_event_id), "Resumes": request_id}
    return await send(rig, path, {**fields, **resumption}, b"prompt", **options)


def versions_of(rig, request_id):
    """Return the software versions that ran a stream, over all requests that resumed it."""
    return {
        VERSIONS[name]
        for name, replica in rig.replicas.items()
        for run in replica.runs
        if request_id in (run.request_id, run.headers.get("resumes"))
    }


def mixed_streams(rig, started):
    """Return the streams that ran at more than one version."""
    return [item for item in started if len(versions_of(rig, item)) > 1]


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


async def test_stream_that_fails_continues_at_the_version_that_began_it(rig):
    await add_versions(rig)
    await rig.add_gateway()
    started = await begin_streams(rig)
    runs = [versions_of(rig, item) for item in started]
    assert_that((runs.count({"v1"}) + runs.count({"v2"})), Equals(STREAMS))


async def test_stream_resumed_at_the_same_gateway_continues_at_its_version(rig):
    await add_versions(rig)
    await rig.add_gateway()
    started = await begin_streams(rig, "/resume-once/1")
    await assert_resumed_at_their_versions(rig, started, path="/resume-once/1")


async def test_stream_resumed_at_another_gateway_continues_at_its_version(rig):
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, "/resume-once/1", gateway=first)
    await assert_resumed_at_their_versions(rig, started, path="/resume-once/1", gateway=second)
