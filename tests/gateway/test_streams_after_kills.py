import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from gateway_rig import wait_until
from skylarkferry_gateway import defaults, stream_resumptions
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault
from stream_clients import (
    PATH,
    STREAMS,
    VERSION_OF,
    add_versions,
    assert_resumed_at_their_versions,
    assign_streams,
    begin_streams,
    begun_streams,
    fail_store,
    fault_in_part,
    lose_store,
    mixed_streams,
    replace_engines,
    resume,
    resume_all,
    stop_abruptly,
    stored_streams,
    versions_of,
)

pytestmark = pytest.mark.anyio

ALL_OLD = ("a1", "a2", "a3", "a4", "a5")
SOME_NEW = ("a1", "a2", "b1", "b2", "b3")
ALL_NEW = ("b1", "b2", "b3", "b4", "b5")
CHANGES = {
    "unchanged": (ALL_OLD, ALL_OLD),
    "all_replaced": (ALL_OLD, ALL_NEW),
    "some_replaced": (ALL_OLD, SOME_NEW),
    "old_left": (SOME_NEW, ALL_NEW),
    "new_left": (SOME_NEW, ALL_OLD),
    "both_stay": (SOME_NEW, SOME_NEW),
}


async def kill_all(rig):
    for gateway in rig.gateways:
        await stop_abruptly(gateway)
    rig.gateways.clear()


async def restart_and_resume(rig, started):
    """Kill all gateways, bring the store back, resume at a new gateway; return the statuses."""
    await kill_all(rig)
    fail_store(rig, StoreFault.NONE)
    await rig.add_gateway("g9")
    return await resume_all(rig, started)


@pytest.fixture
def allow_late_answers(monkeypatch):
    """Return a function that lets gateways wait for a store that answers late.

    The store, the gateways and the clients of a test share one event loop: on a busy machine a
    store without a fault answers later than the gateways wait for it.
    """

    def allow():
        monkeypatch.setattr(defaults, "STORE_TIMEOUT_S", 10.0)
        monkeypatch.setattr(defaults, "STORE_LOST_AFTER_S", 10.0)
        monkeypatch.setattr(stream_resumptions, "_ROW_TIMEOUT_S", 10.0)

    return allow


@pytest.fixture
def patient(allow_late_answers):
    """Let gateways wait for late answers of the store during the whole test."""
    allow_late_answers()


async def begin_then_kill(rig, change, *, store_fault=StoreFault.NONE, age_s=0.0):
    """Begin streams at one of two gateways, kill both, and change the engines meanwhile."""
    before, after = CHANGES[change]
    await add_versions(rig, {name: VERSION_OF[name[0]] for name in before})
    gateways = [await rig.add_gateway(f"g{number}") for number in range(2)]
    await anyio.sleep(age_s)
    if store_fault is not StoreFault.NONE:
        fail_store(rig, store_fault)
        for gateway in gateways:
            await wait_until(
                lambda item=gateway: item.store.unavailable_s() > defaults.STORE_LOST_AFTER_S
            )
    started = await begin_streams(rig, gateway=gateways[0])
    for gateway in gateways:
        await stop_abruptly(gateway)
    rig.gateways.clear()
    fail_store(rig, StoreFault.NONE)
    await replace_engines(rig, before, after)
    await rig.add_gateway("g0")
    return started


async def resume_by_version(rig, started):
    """Resume streams side by side and return the sets of statuses by first version."""
    statuses = {}

    async def resume_one(request_id):
        (version,) = versions_of(rig, request_id)
        response = await resume(rig, request_id)
        statuses.setdefault(version, set()).add(response.status_code)

    async with anyio.create_task_group() as tasks:
        for request_id in started:
            tasks.start_soon(resume_one, request_id)
    return statuses


def expected_statuses(change, versions):
    """Return the statuses by version: a stream goes on if engines of its version are left."""
    left = {VERSION_OF[name[0]] for name in CHANGES[change][1]}
    return {version: {200 if version in left else 503} for version in versions}


@pytest.mark.parametrize("change", CHANGES)
async def test_streams_keep_their_versions_after_all_gateways_were_killed(rig, change, patient):
    started = await begin_then_kill(rig, change)
    statuses = await resume_by_version(rig, started)
    assert_that(mixed_streams(rig, started), Equals([]))
    assert_that(statuses, Equals(expected_statuses(change, statuses)))


@pytest.mark.parametrize("change", CHANGES)
async def test_streams_begun_without_the_store_keep_their_versions_after_a_kill(
    rig, change, allow_late_answers
):
    started = await begin_then_kill(rig, change, store_fault=StoreFault.SILENT)
    allow_late_answers()
    statuses = await resume_by_version(rig, started)
    assert_that(mixed_streams(rig, started), Equals([]))
    assert_that(statuses, Equals(expected_statuses(change, statuses)))


async def test_new_streams_begin_while_old_ones_are_refused(rig, patient):
    started = await begin_then_kill(rig, "all_replaced")
    await resume_by_version(rig, started)
    later = await begin_streams(rig)
    assert_that([versions_of(rig, item) for item in later], Equals([{"v2"}] * STREAMS))
    await stop_abruptly(rig.gateways.pop())
    await rig.add_gateway("g1")
    assert_that(await resume_by_version(rig, later), Equals({"v2": {200}}))


async def test_stream_elsewhere_than_assigned_is_recorded_before_its_first_event(rig, patient):
    assign_streams(rig, {"v0": 1})
    started = await begin_then_kill(rig, "both_stay")
    statuses = await resume_by_version(rig, started)
    assert_that((statuses, mixed_streams(rig, started)), Equals(({"v1": {200}, "v2": {200}}, [])))


async def test_first_event_waits_until_the_row_of_its_stream_is_stored(rig, patient):
    assign_streams(rig, {"v0": 1})
    await add_versions(rig)
    gateway = await rig.add_gateway("g1")
    refused = []

    def refuse_first_rows(request):
        if b'"streams"' not in request.body or refused:
            return StoreFault.NONE
        refused.append(request)
        return StoreFault.THROTTLED

    rig.store.fault = refuse_first_rows
    started = await begin_streams(rig)
    await stop_abruptly(gateway)
    rig.gateways.clear()
    await rig.add_gateway("g2")
    assert_that(refused, HasLength(1))
    await assert_resumed_at_their_versions(rig, started)


async def test_streams_at_their_assigned_versions_are_not_stored(rig):
    await begin_then_kill(rig, "both_stay")
    assert_that(stored_streams(rig), Equals(0))


async def test_streams_of_a_rollout_begun_as_the_store_goes_away_do_not_mix(rig):
    assign_streams(rig, {"v1": 1})
    await add_versions(rig)
    await rig.add_gateway("g1")
    fail_store(rig, StoreFault.SILENT)
    started = await begun_streams(rig)
    await restart_and_resume(rig, started)
    assert_that(len(mixed_streams(rig, started)), Equals(0))


@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.SILENT])
async def test_streams_of_a_rollout_do_not_mix_if_only_their_rows_cannot_be_written(rig, fault):
    assign_streams(rig, {"v1": 1})
    await add_versions(rig)
    await rig.add_gateway("g1")
    rig.store.fault = fault_in_part("streams", fault)
    await anyio.sleep(3.0)
    started = await begun_streams(rig)
    await restart_and_resume(rig, started)
    assert_that(len(mixed_streams(rig, started)), Equals(0))


async def test_streams_begun_without_the_store_after_their_version_left_go_on(rig):
    assign_streams(rig, {"v1": 1})
    await add_versions(rig, {"b1": "v2", "b2": "v2", "b3": "v2"})
    await rig.add_gateway("g1")
    await lose_store(rig)
    started = await begun_streams(rig)
    statuses = await restart_and_resume(rig, started)
    assert_that((set(statuses) <= {200}, mixed_streams(rig, started)), Equals((True, [])))


async def test_row_written_late_does_not_replace_a_later_one(rig):
    assign_streams(rig, {"v0": 1})
    await add_versions(rig, {"a1": "v1", "b1": "v2"})
    gateway = await rig.add_gateway("g1")

    def lose_unless_resumed(request):
        is_resumed = "last-event-id" in request.headers
        return Behaviour.SERVE if is_resumed else Behaviour.LOSE_ANSWER

    rig.replicas["a1"].behaviour = lose_unless_resumed
    rig.replicas["a1"].work_s = 0.6
    late = []

    def first_rows_late(request):
        if b'"streams"' not in request.body or late:
            return StoreFault.NONE
        late.append(request)
        return StoreFault.LATE

    rig.store.fault = first_rows_late
    started = await begun_streams(rig, PATH)
    begun = {run.request_id for run in rig.replicas["b1"].runs}
    twice = [run.request_id for run in rig.replicas["a1"].runs if run.request_id in begun]
    assert_that(len(twice) > 0, Equals(True))
    rig.replicas["a1"].runs.clear()  # without an event
    await anyio.sleep(1.0)
    rig.store.perform_late()
    assert_that(gateway.origins.rows, Equals({}))
    await restart_and_resume(rig, started)
    mixed = [item for item in started if len(versions_of(rig, item)) > 1]
    assert_that((len(twice), len(mixed)), Equals((len(twice), 0)))


async def test_streams_begun_before_there_is_an_assignment_do_not_mix(rig):
    rig.store.fault = fault_in_part("assignments", StoreFault.REFUSED)
    await add_versions(rig)
    gateway = await rig.add_gateway("g1")
    assert_that(gateway.assignments.known, Equals({}))
    await lose_store(rig)
    started = await begun_streams(rig)
    await restart_and_resume(rig, started)
    assert_that(len(mixed_streams(rig, started)), Equals(0))


@pytest.mark.parametrize("after", ["all_new", "some_new"])
async def test_streams_begun_in_a_release_without_the_store_go_on_at_their_versions(
    rig, after, allow_late_answers
):
    """Engines are replaced while the gateways run, then the store goes away until the kill."""
    old = [f"a{number}" for number in range(1, 6)]
    left = old[:2] if after == "some_new" else []
    await add_versions(rig, dict.fromkeys(old, "v1"))
    gateways = [await rig.add_gateway(f"g{number}") for number in range(2)]
    now = {*left, "b1", "b2", "b3"}
    for name in set(old) - set(left):
        rig.store.delete("servers", "", name)
    await add_versions(rig, dict.fromkeys(("b1", "b2", "b3"), "v2"))
    for gateway in gateways:
        await wait_until(lambda item=gateway: set(item.upstreams.upstreams) == now)
    await anyio.sleep(2.2)
    fail_store(rig, StoreFault.SILENT)
    started = await begun_streams(rig, count=8)  # before the loss is noticed
    await lose_store(rig)
    started += await begun_streams(rig, count=8)
    allow_late_answers()
    statuses = await restart_and_resume(rig, started)
    assert_that((set(statuses) <= {200}, mixed_streams(rig, started)), Equals((True, [])))
