import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from gateway_rig import send, wait_until
from skylarkferry_core.version_assignments import Assignment
from skylarkferry_gateway import version_assignments
from skylarkferry_standins.replica import EVENT_COUNT, Behaviour
from skylarkferry_standins.row_store import StoreFault
from stream_clients import (
    PATH,
    STREAMS,
    add_versions,
    assert_resumed_at_their_versions,
    assign_streams,
    begin_streams,
    begun_streams,
    fault_in_part,
    ids,
    lose_store,
    replace_engines,
    resume,
    stop_abruptly,
    stored_streams,
    stream_headers,
    try_to_begin_streams,
)

pytestmark = pytest.mark.anyio

ONE_OLD = {"a1": "v1", "b1": "v2", "b2": "v2", "b3": "v2", "b4": "v2"}


async def test_stream_that_cannot_be_recorded_gets_its_final_answer_at_once(rig):
    assign_streams(rig, {"v0": 1})
    await add_versions(rig)
    await rig.add_gateway()
    await lose_store(rig)
    statuses = await try_to_begin_streams(rig)
    assert_that((set(statuses.values()), rig.arrivals()), Equals(({503}, 0)))


async def test_stream_that_a_handover_moves_is_rejected_at_once_without_the_store(rig):
    assign_streams(rig, {"v1": 1}, {"v2": 1})
    await add_versions(rig)
    await rig.add_gateway()
    await lose_store(rig)
    statuses = await try_to_begin_streams(rig)
    assert_that((set(statuses.values()), rig.arrivals()), Equals(({503}, 0)))


async def test_gateways_that_start_together_agree_on_the_assignment(rig):
    await add_versions(rig)
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(rig.add_gateway, f"g{number}")
    known = [gateway.assignments.known["engine"] for gateway in rig.gateways]
    assert_that({item.row_version for item in known}, HasLength(1))
    assert_that(known[0].assignment, Equals(Assignment({"v1": 8, "v2": 12})))


async def follow_until(gateway, assignment):
    """Let a gateway follow the assignment of the engines until it is the given one."""
    with anyio.fail_after(10):
        while gateway.assignments.known["engine"].assignment != assignment:
            await gateway.assignments.follow()
            await anyio.sleep(0.01)


async def test_assignment_follows_the_listed_versions_in_two_steps(rig, monkeypatch):
    await add_versions(rig, {"a1": "v1"})
    gateway = await rig.add_gateway()
    await wait_until(gateway.gateways.is_first)
    await replace_engines(rig, ["a1"], ["b1"])
    await wait_until(lambda: set(gateway.upstreams.upstreams) == {"b1"})
    await gateway.assignments.follow()
    assert_that(gateway.assignments.known["engine"].assignment, Equals(Assignment({"v1": 4})))
    monkeypatch.setattr(version_assignments, "_STEADY_S", 0.0)
    await follow_until(gateway, Assignment({"v1": 4}, {"v2": 4}))
    await gateway.assignments.follow()
    assert_that(gateway.assignments.known["engine"].assignment.current, Equals({"v1": 4}))
    monkeypatch.setattr(version_assignments, "_HANDOVER_S", 0.0)
    await follow_until(gateway, Assignment({"v2": 4}))


async def test_streams_keep_their_versions_over_a_handover(rig):
    assign_streams(rig, {"v1": 1}, {"v2": 1})
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, gateway=first)
    await wait_until(lambda: stored_streams(rig) == STREAMS)
    assign_streams(rig, {"v2": 1})
    await stop_abruptly(first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_gateway_learns_of_an_assignment_that_resembles_its_own(rig, monkeypatch):
    monkeypatch.setattr(version_assignments, "_STEADY_S", 0.0)
    monkeypatch.setattr(version_assignments, "_HANDOVER_S", 0.0)
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    first.gateways.nodes = (first.settings.node, second.settings.node)
    second.gateways.nodes = first.gateways.nodes
    rig.store.delete("servers", "", "a1")
    await wait_until(lambda: len(first.upstreams.upstreams) == 4)
    await first.assignments.follow()
    assert_that(first.assignments.known["engine"].assignment.following, Equals({"v1": 4, "v2": 12}))
    rig.register_replica("a1", "engine", version="v1", born=2)
    await add_versions(rig, {"a3": "v1"})
    await wait_until(lambda: len(first.upstreams.upstreams) == 6)
    await wait_until(lambda: len(second.upstreams.upstreams) == 6)
    await first.assignments.follow()
    await first.assignments.follow()
    await second.assignments.follow()
    assert_that(
        first.assignments.known["engine"].assignment, Equals(Assignment({"v1": 12, "v2": 12}))
    )
    assert_that(
        second.assignments.known["engine"].assignment,
        Equals(first.assignments.known["engine"].assignment),
    )


async def test_attempt_is_not_cut_for_an_alternative_that_may_not_be_used(rig):
    assign_streams(rig, {"v1": 1})
    await add_versions(rig, ONE_OLD)
    await rig.add_gateway("g1")
    rig.replicas["a1"].work_s = 1.0
    rig.replicas["a1"].behaviour = lambda request: Behaviour.SERVE
    await lose_store(rig)
    response = await send(rig, PATH, stream_headers(next(ids)), b"prompt")
    assert_that(response.status_code, Equals(200))


@pytest.mark.parametrize("table", ["assignments", "streams"])
async def test_malformed_row_does_not_end_a_gateway(rig, table):
    await add_versions(rig)
    rig.store.put(table, table, "engine", b"\xc1malformed")
    gateway = await rig.add_gateway("g1")
    gateway.gateways.nodes = (gateway.settings.node,)
    await gateway.origins.delete_rows_of_ended_gateways()
    await anyio.sleep(1.0)
    assert_that(gateway.ended.is_set(), Equals(False))


async def test_gateway_frozen_over_a_handover_does_not_complete_it(rig):
    """The first gateway is frozen for 130 s in which the other one cannot read the store."""
    assign_streams(rig, {"v1": 8}, {"v1": 8, "v2": 12})
    await add_versions(rig)
    first = await rig.add_gateway("g1")
    await wait_until(lambda: bool(first.gateways.nodes))
    known = first.assignments.known["engine"]
    frozen = msgspec.structs.replace(
        known, followed_from=known.followed_from - 130.0, read_at=known.read_at - 130.0
    )
    first.assignments.known["engine"] = frozen
    await first.assignments.follow()
    assert_that(
        first.assignments.known["engine"].assignment,
        Equals(Assignment({"v1": 8}, {"v1": 8, "v2": 12})),
    )


@pytest.mark.parametrize("failing", [Behaviour.FAIL, Behaviour.LOSE_ANSWER])
async def test_streams_avoid_a_version_whose_upstreams_all_fail(rig, failing):
    await add_versions(
        rig, {"a1": "v1", "a2": "v1", "a3": "v1", "b1": "v2", "b2": "v2", "b3": "v2"}
    )
    await rig.add_gateway("g1")
    for name, replica in rig.replicas.items():
        behaviour = failing if name.startswith("b") else Behaviour.SERVE
        replica.behaviour = lambda request, chosen=behaviour: chosen
    served = 0
    for _ in range(12):  # the first ones show that the version fails
        await begun_streams(rig, PATH, 4)
    for _ in range(8):
        started = await begun_streams(rig, PATH, 4)
        by_old = {run.request_id for name in ("a1", "a2", "a3") for run in rig.replicas[name].runs}
        served += len(by_old & set(started))
    assert_that((served, served >= 30), Equals((served, True)))


async def test_stream_that_cannot_be_recorded_has_no_event(rig):
    assign_streams(rig, {"v1": 1})
    await add_versions(rig)
    for replica in rig.replicas.values():
        replica.behaviour = lambda request: Behaviour.SERVE
    gateway = await rig.add_gateway("g1")
    rig.store.fault = fault_in_part("streams", StoreFault.SILENT)

    async def begin(results):
        response = await send(rig, PATH, stream_headers(next(ids)), b"prompt")
        results.append((response.status_code, response.text.count("id: ")))

    first, later = [], []
    for results in (first, later):
        async with anyio.create_task_group() as tasks:
            for _ in range(STREAMS):
                tasks.start_soon(begin, results)
        await wait_until(gateway.assignments.is_store_lost)
    assert_that(set(first), Equals({(200, EVENT_COUNT), (502, 0)}))
    assert_that(set(later), Equals({(200, EVENT_COUNT)}))


async def test_streams_are_resumed_while_rows_cannot_be_written(rig):
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, gateway=first)
    await stop_abruptly(first)
    second.origins.failing_since = anyio.current_time() - 10.0
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_resumptions_without_an_id_are_not_taken_for_one_stream(rig):
    await add_versions(rig, {"a1": "v1", "a2": "v1"})
    gateway = await rig.add_gateway("g1")
    assert_that((await resume(rig, "")).status_code, Equals(200))
    await add_versions(rig, {"b1": "v2", "b2": "v2"})
    await wait_until(lambda: len(gateway.upstreams.upstreams) == 4)
    assert_that((await resume(rig, "")).status_code, Equals(503))


async def test_malformed_assignment_keeps_no_other_service_from_having_one(rig):
    rig.store.put("assignments", "assignments", "engine", b"\xc1malformed")
    await add_versions(rig, {"a1": "v1"})
    await rig.add_replica("t1")
    gateway = await rig.add_gateway()
    await wait_until(lambda: "tools" in gateway.assignments.known)
    assert_that("engine" in gateway.assignments.known, Equals(False))
    calls = len(rig.store.calls)
    await gateway.assignments.establish(
        [item.entry for item in gateway.upstreams.upstreams.values()]
    )
    assert_that(len(rig.store.calls), Equals(calls))
