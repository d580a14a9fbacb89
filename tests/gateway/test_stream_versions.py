import json
from contextlib import suppress

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Not

from gateway_rig import entry, free_address, wait_until
from skylarkferry_gateway import defaults, stream_origins
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import WireServer
from stream_clients import (
    PATH,
    STREAMS,
    VERSIONS,
    add_versions,
    assert_resumed_at_their_versions,
    assign_streams,
    begin_streams,
    cut_first_attempt,
    fail_store,
    mixed_streams,
    resume,
    resume_all,
    stop_abruptly,
    stop_in_order,
    stored_streams,
    versions_of,
)

pytestmark = pytest.mark.anyio


async def test_stream_that_fails_continues_at_the_version_that_began_it(rig):
    await add_versions(rig)
    await rig.add_gateway()
    started = await begin_streams(rig, PATH)
    runs = [versions_of(rig, item) for item in started]
    assert_that((runs.count({"v1"}) + runs.count({"v2"})), Equals(STREAMS))


async def test_stream_resumed_at_the_same_gateway_continues_at_its_version(rig):
    await add_versions(rig)
    await rig.add_gateway()
    started = await begin_streams(rig)
    await assert_resumed_at_their_versions(rig, started)


async def test_stream_resumed_at_another_gateway_continues_at_its_version(rig):
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, gateway=first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_stream_continues_at_its_version_after_its_gateway_ended(rig):
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, gateway=first)
    await stop_abruptly(first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_stream_resumed_twice_stays_at_the_version_that_began_it(rig):
    await add_versions(rig)
    gateways = [await rig.add_gateway(f"g{number}") for number in range(3)]
    started = await begin_streams(rig, gateway=gateways[0])
    for replica in rig.replicas.values():
        replica.behaviour = lambda request: Behaviour.CUT_IN_EVENT
    for item in started:
        with suppress(httpx.RemoteProtocolError, httpx.ReadError):
            await resume(rig, item, last_event_id=2, gateway=gateways[1])
    for replica in rig.replicas.values():
        replica.behaviour = cut_first_attempt
    await assert_resumed_at_their_versions(rig, started, gateway=gateways[2])


@pytest.mark.parametrize("fault", [StoreFault.SILENT, StoreFault.REFUSED, StoreFault.LOST])
@pytest.mark.parametrize("fails_before", [True, False])
async def test_no_stream_changes_its_version_while_the_store_is_away(rig, fault, fails_before):
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await wait_until(lambda: second.owners.read_at is not None)
    if fails_before:
        fail_store(rig, fault)
    started = await begin_streams(rig, gateway=first)
    fail_store(rig, fault)
    statuses = await resume_all(rig, started, gateway=second)
    assert_that(set(statuses) <= {200, 503}, Equals(True))
    assert_that(mixed_streams(rig, started), Equals([]))


async def test_stream_begun_while_the_store_was_away_goes_on_once_it_is_back(rig):
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    fail_store(rig, StoreFault.REFUSED)
    started = await begin_streams(rig, gateway=first)
    fail_store(rig, StoreFault.NONE)
    await stop_abruptly(first)
    await wait_until(lambda: second.store.unavailable_s() == 0)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_other_gateways_tell_of_streams_while_the_store_is_away(rig):
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await wait_until(lambda: len(second.gateways.nodes) == 2)
    started = await begin_streams(rig, gateway=first)
    fail_store(rig, StoreFault.SILENT)
    await wait_until(lambda: second.store.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


@pytest.mark.parametrize("state", ["gone", "draining", "full"])
async def test_stream_whose_version_takes_no_request_is_rejected(rig, state):
    await add_versions(rig)
    gateway = await rig.add_gateway("g1")
    started = await begin_streams(rig)
    for name in ("a1", "a2"):
        if state == "gone":
            rig.store.delete("servers", "", name)
        elif state == "draining":
            rig.register_replica(name, "engine", state="draining", version="v1")
        else:
            rig.replicas[name].behaviour = lambda request: Behaviour.SHED
    upstreams = gateway.upstreams.upstreams
    if state != "full":
        await wait_until(
            lambda: sum(item.accepts_requests for item in upstreams.values()) == len(VERSIONS) - 2
        )
    lost = [item for item in started if versions_of(rig, item) == {"v1"}]
    assert_that(set(await resume_all(rig, lost)), Equals({503}))
    assert_that(mixed_streams(rig, started), Equals([]))


async def test_resumption_without_the_id_of_its_stream_is_rejected(rig):
    await add_versions(rig)
    await rig.add_gateway()
    response = await resume(rig, "")
    assert_that((response.status_code, rig.arrivals()), Equals((503, 0)))


@pytest.mark.parametrize("resumed", ["nobody-knows", "\x7f/..;,", "x" * 500])
async def test_resumption_of_an_unknown_stream_leads_to_one_version(rig, resumed):
    await add_versions(rig)
    gateways = [await rig.add_gateway(f"g{number}") for number in range(3)]
    for gateway in gateways * 4:
        await resume(rig, resumed, gateway=gateway)
    assert_that((rig.arrivals(), len(versions_of(rig, resumed))), Equals((12, 1)))


async def test_attempt_without_an_event_binds_no_stream_to_a_version(rig):
    await add_versions(rig)
    await rig.add_gateway()
    for replica in rig.replicas.values():
        replica.behaviour = lambda request: Behaviour.SERVE
    rig.replicas["a1"].behaviour = lambda request: Behaviour.LOSE_ANSWER
    started = await begin_streams(rig, PATH)
    lost = {run.request_id for run in rig.replicas.pop("a1").runs}
    assert_that(lost, Not(Equals(set())))
    assert_that(min(len(versions_of(rig, item)) for item in started), Equals(1))


async def test_streams_of_a_service_with_one_version_are_not_stored(rig):
    await add_versions(rig, {"a1": "v1", "a2": "v1"})
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, gateway=first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)
    assert_that(stored_streams(rig), Equals(0))


async def test_stream_that_began_before_another_version_came_continues_at_its_version(rig):
    await add_versions(rig, {"a1": "v1", "a2": "v1"})
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, gateway=first)
    await add_versions(rig, {"b1": "v2", "b2": "v2", "b3": "v2"})
    await wait_until(lambda: len(second.upstreams.upstreams) == len(VERSIONS))
    await stop_abruptly(first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_stream_is_not_continued_by_an_upstream_that_restarted_with_another_version(rig):
    await add_versions(rig, {"a1": "v1", "b1": "v2"})
    gateway = await rig.add_gateway("g1")
    started = await begin_streams(rig)
    rig.register_replica("a1", "engine", version="v2")
    entries = gateway.upstreams.upstreams
    await wait_until(lambda: entries["a1"].entry.software_version == "v2")
    lost = [item for item in started if versions_of(rig, item) == {"v1"}]
    assert_that(set(await resume_all(rig, lost)), Equals({503}))


async def test_stream_is_not_mixed_by_upstreams_whose_entries_lack_their_versions(rig):
    await add_versions(rig)
    gateway = await rig.add_gateway("g1")
    for name in rig.replicas:
        row = entry(name, "engine", rig.addresses[name])
        del row["version"]
        rig.store.put("servers", "", name, json.dumps(row).encode())
    await gateway.upstream_watcher.read()
    started = await begin_streams(rig)
    await resume_all(rig, started)
    assert_that((len(mixed_streams(rig, started)), rig.arrivals()), Equals((0, 0)))


async def test_no_stream_begins_at_a_version_that_other_gateways_may_not_know(rig):
    await add_versions(rig, {"a1": "v1"})
    gateway = await rig.add_gateway("g1")
    await add_versions(rig, {"b1": "v2"})
    await wait_until(lambda: len(gateway.upstreams.upstreams) == 2)
    started = await begin_streams(rig)
    assert_that([versions_of(rig, item) for item in started], Equals([{"v1"}] * STREAMS))


async def test_origins_of_old_streams_are_deleted(rig, monkeypatch):
    assign_streams(rig, {"v0": 1})
    await add_versions(rig)
    gateway = await rig.add_gateway("g1")
    await begin_streams(rig)
    await wait_until(lambda: stored_streams(rig) == STREAMS)
    monkeypatch.setattr(defaults, "STREAM_KEEP_S", -defaults.STREAM_KEEP_MARGIN_S)
    await gateway.origins.delete_old()
    await wait_until(lambda: stored_streams(rig) == 0)


async def test_origins_of_streams_whose_gateway_ended_are_deleted(rig, monkeypatch):
    assign_streams(rig, {"v0": 1})
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await begin_streams(rig, gateway=first)
    await wait_until(lambda: stored_streams(rig) == STREAMS)
    await stop_abruptly(first)
    second.gateways.nodes = (second.settings.node,)
    monkeypatch.setattr(stream_origins, "_DELETE_AFTER_S", 0.0)
    await second.origins.delete_rows_of_ended_gateways()
    await wait_until(lambda: stored_streams(rig) == 0)


async def test_stream_is_not_mixed_by_a_gateway_that_missed_its_version(rig, monkeypatch):
    monkeypatch.setattr(defaults, "STREAM_KEEP_S", 1.0)
    faults = {"store": StoreFault.NONE}
    address = await rig.add_store_listener(lambda request: faults["store"])
    await add_versions(rig, {"a1": "v1"})
    cut_off = await rig.add_gateway("g1", store_address=address)
    other = await rig.add_gateway("g2")
    await anyio.sleep(2 * defaults.STREAM_KEEP_S)
    faults["store"] = StoreFault.SILENT
    await wait_until(lambda: cut_off.store.unavailable_s() > defaults.LIST_OUTAGE_S)
    rig.store.delete("servers", "", "a1")
    await add_versions(rig, {"b1": "v2"})
    await wait_until(lambda: set(other.upstreams.upstreams) == {"b1"})
    started = await begin_streams(rig, gateway=other)
    rig.store.delete("servers", "", "b1")
    rig.register_replica("a1", "engine", version="v1")
    read_at = cut_off.upstreams.read_at
    faults["store"] = StoreFault.NONE
    await wait_until(lambda: cut_off.upstreams.read_at > read_at)
    statuses = await resume_all(rig, started, gateway=cut_off)
    assert_that((set(statuses), mixed_streams(rig, started)), Equals(({503}, [])))


async def test_stream_is_not_mixed_by_a_gateway_whose_list_is_older(rig, monkeypatch):
    monkeypatch.setattr(defaults, "STREAM_KEEP_S", 1.0)
    address = free_address()
    answers = {"pause_s": 0.0}

    async def handle(request):
        response = await rig.store.handle(request)
        if "table=servers" in request.target:
            await anyio.sleep(answers["pause_s"])
        return response

    await rig.listen(address, WireServer(handle))
    await add_versions(rig, {"a1": "v1", "a2": "v1"})
    behind = await rig.add_gateway("g1", store_address=address)
    other = await rig.add_gateway("g2")
    await wait_until(lambda: behind.gateways.peer_addresses() and other.gateways.peer_addresses())
    await anyio.sleep(2 * defaults.STREAM_KEEP_S)
    answers["pause_s"] = 0.55
    await anyio.sleep(2 * defaults.UPSTREAMS_POLL_S)
    for name in ("a1", "a2"):
        rig.register_replica(name, "engine", state="draining", version="v1")
    await add_versions(rig, {"b1": "v2", "b2": "v2", "b3": "v2"})
    await wait_until(lambda: {"b1", "b2", "b3"} <= set(other.upstreams.upstreams))
    started = await begin_streams(rig, gateway=other)
    assert_that([versions_of(rig, item) for item in started], Equals([{"v2"}] * STREAMS))
    await resume_all(rig, started, gateway=behind)
    assert_that(mixed_streams(rig, started), Equals([]))


@pytest.mark.parametrize("fault", [StoreFault.SILENT, StoreFault.REFUSED, StoreFault.LOST])
async def test_stream_continues_without_the_store_after_its_gateway_ended_in_order(rig, fault):
    await add_versions(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await wait_until(lambda: len(first.gateways.nodes) == len(second.gateways.nodes) == 2)
    started = await begin_streams(rig, gateway=first)
    fail_store(rig, fault)
    await stop_in_order(first)
    await assert_resumed_at_their_versions(rig, started, gateway=second)
