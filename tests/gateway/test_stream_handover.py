from collections import Counter

import anyio
import httpx
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from gateway_rig import GRACE_S, ROUTES, TIMEOUT_S, config, wait_until
from skylarkferry_core.ids import NodeId, ServiceName
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults, stream_handover, stream_origins, stream_resumptions
from skylarkferry_gateway.gateway_list import GatewayList, GatewayMember
from skylarkferry_gateway.messages import MAX_TOLD_STREAMS, StreamOrigin, ToldStream, ToldStreams
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.peers import PeerClient, PeerDownError, PeerSilentError
from skylarkferry_gateway.stream_handover import StreamHandover, ranked_peers
from skylarkferry_gateway.stream_origins import StreamOrigins
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import Behaviour
from skylarkferry_standins.row_store import StoreFault
from stream_clients import (
    STREAMS,
    add_versions,
    assert_resumed_at_their_versions,
    begin_streams,
    fail_store,
    fault_in_part,
    mixed_streams,
    resume,
    resume_all,
    stop_in_order,
    versions_of,
)

pytestmark = pytest.mark.anyio

V1 = StreamOrigin(ServiceName("engine"), "v1")
V2 = StreamOrigin(ServiceName("engine"), "v2")


async def add_gateways(rig, *names):
    """Add gateways that all know each other."""
    added = [await rig.add_gateway(name) for name in names]
    await wait_until(lambda: all(len(item.gateways.nodes) == len(rig.gateways) for item in added))
    return added


async def post(gateway, body, target="/streams"):
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        return await client.post(f"http://{gateway.settings.peer_listen}{target}", content=body)


def told(*streams, origin=V1, age_s=0.0):
    return [ToldStream(stream, origin, age_s) for stream in streams]


def held_until(released, handle):
    """Return a handler that waits for an event before it handles a request."""

    async def hold(request):
        await released.wait()
        return await handle(request)

    return hold


class RecordingPeers:
    """Peers of which some fail; ``calls`` holds the address and the streams of each call."""

    def __init__(self, failing=()):
        self.failing = set(failing)
        self.calls = []

    async def tell_streams(self, address, streams):
        self.calls.append((address, [item.stream for item in streams]))
        if address in self.failing:
            raise PeerSilentError(address)


def listed_gateways(node, count):
    gateways = GatewayList(None, NodeId(node), GatewayMember(node, 1.0), EventLog(node, 10))
    gateways.members = {NodeId(f"g{n}"): GatewayMember(f"g{n}", 1.0) for n in range(count)}
    return gateways


def handover_at(node, gateways, peers):
    log, metrics = EventLog(NodeId(node), 100), GatewayMetrics()
    listed = listed_gateways(node, gateways)
    origins = StreamOrigins(None, listed, log, metrics)
    return StreamHandover(origins, listed, peers, log, metrics)


async def test_streams_go_on_after_the_gateway_that_was_told_of_them_ended_too(rig):
    await add_versions(rig)
    first, second = await add_gateways(rig, "g1", "g2")
    started = await begin_streams(rig, gateway=first)
    await stop_in_order(first)
    third = await rig.add_gateway("g3")
    await wait_until(lambda: NodeId("g3") in second.gateways.members)
    fail_store(rig, StoreFault.SILENT)
    await stop_in_order(second)
    await assert_resumed_at_their_versions(rig, started, gateway=third)


async def test_streams_go_on_after_two_gateways_ended_side_by_side(rig):
    await add_versions(rig)
    first, second, third = await add_gateways(rig, "g1", "g2", "g3")
    started = await begin_streams(rig, gateway=first) + await begin_streams(rig, gateway=second)
    fail_store(rig, StoreFault.SILENT)
    await stop_in_order(first, second)
    await assert_resumed_at_their_versions(rig, started, gateway=third)


async def test_stream_that_begins_after_the_others_were_told_goes_on(rig):
    route = {**ROUTES["/resume-once/"], "timeoutMs": 8_000}
    rig.configure(config(version=2, routes={"/resume-once/": route}))
    await add_versions(rig)
    first, second = await add_gateways(rig, "g1", "g2")
    earlier = await begin_streams(rig, gateway=first)
    released = anyio.Event()
    for name, replica in rig.replicas.items():
        rig.servers[name].handler = held_until(released, replica.handle)
    late = []

    async def begin_late():
        late.extend(await begin_streams(rig, gateway=first, deadline_ms=8_000))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(begin_late)
        await wait_until(lambda: len(first.clients) == STREAMS)
        tasks.start_soon(stop_in_order, first)
        await wait_until(lambda: second.origins.told.keys() >= set(earlier))
        assert_that(second.origins.told, HasLength(len(earlier)))
        released.set()
    fail_store(rig, StoreFault.SILENT)
    await wait_until(lambda: second.store.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    await assert_resumed_at_their_versions(rig, earlier + late, gateway=second)


async def test_silent_gateways_neither_hold_up_a_stop_nor_lose_streams(rig):
    await add_versions(rig)
    first, second = await add_gateways(rig, "g1", "g2")
    for name in ("x1", "x2"):
        address = free_address()
        rig.silence(address)
        first.gateways.members[NodeId(name)] = GatewayMember(address, 1.0)
    started = await begin_streams(rig, gateway=first)
    fail_store(rig, StoreFault.SILENT)
    began = anyio.current_time()
    await stop_in_order(first)
    assert_that(anyio.current_time() - began, LessThan(GRACE_S))
    await assert_resumed_at_their_versions(rig, started, gateway=second)


async def test_gateway_that_has_told_its_streams_refuses_those_of_others(rig):
    gateway = await rig.add_gateway()
    gateway.origins.has_told = True
    with pytest.raises(PeerDownError):
        await PeerClient().tell_streams(gateway.settings.peer_listen, told("s"))
    assert_that(gateway.origins.get("s"), Equals(None))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"null",
        b'{"streams": [["s", {"service": "engine"}, 0]]}',
        b'{"streams": [["s", {"service": "engine", "version": "v1"}, -1]]}',
        b'{"streams": [["", {"service": "engine", "version": "v1"}, 0]]}',
        msgspec.json.encode(ToldStreams(told("s", "x" * 500))),
        msgspec.json.encode(ToldStreams(told(*["s"] * (MAX_TOLD_STREAMS + 1)))),
    ],
)
async def test_malformed_hand_over_is_refused_as_a_whole(rig, body):
    gateway = await rig.add_gateway()
    response = await post(gateway, body)
    assert_that((response.status_code, gateway.origins.told), Equals((400, {})))
    await PeerClient().tell_streams(gateway.settings.peer_listen, told("s"))
    assert_that(gateway.origins.get("s"), Equals(V1))


async def test_gateway_without_the_call_takes_it_for_no_other(rig):
    rig.expects_task_failures = True  # the connection ends by the undecodable call
    gateway = await rig.add_gateway()
    with pytest.raises(httpx.RemoteProtocolError):
        await post(gateway, msgspec.json.encode(ToldStreams(told("s"))), "/unknown")
    assert_that((gateway.accounts.partitions, gateway.origins.told), Equals(({}, {})))


@pytest.mark.parametrize("is_own", [True, False])
async def test_origin_that_a_gateway_knows_is_not_replaced(rig, is_own):
    gateway = await rig.add_gateway()
    if is_own:
        gateway.origins.remember("s", V1)
    else:
        gateway.origins.take(told("s"))
    await PeerClient().tell_streams(gateway.settings.peer_listen, told("s", "t", origin=V2))
    known = [gateway.origins.get("s"), gateway.origins.get("t")]
    assert_that(known, Equals([V1, V2]))
    assert_that([event.number for event in gateway.log.ring].count(899), Equals(1))


async def test_stream_relayed_after_it_was_told_is_known_by_what_was_relayed(rig):
    gateway = await rig.add_gateway()
    gateway.origins.take(told("s"))
    gateway.origins.remember("s", V2)
    assert_that(gateway.origins.get("s"), Equals(V2))
    assert_that([item.origin for item in gateway.origins.resumable()], Equals([V2]))


async def test_stream_is_not_known_for_longer_because_it_was_told(rig, monkeypatch):
    gateway = await rig.add_gateway()
    gateway.origins.take(told("old", age_s=defaults.STREAM_KEEP_S))
    gateway.origins.take(told("s", age_s=defaults.STREAM_KEEP_S - 10.0))
    assert_that((gateway.origins.get("old"), gateway.origins.get("s")), Equals((None, V1)))
    ages = [item.age_s for item in gateway.origins.resumable()]
    assert_that([age >= defaults.STREAM_KEEP_S - 10.0 for age in ages], Equals([True]))
    monkeypatch.setattr(defaults, "STREAM_KEEP_S", defaults.STREAM_KEEP_S - 10.0)
    assert_that((gateway.origins.get("s"), gateway.origins.resumable()), Equals((None, [])))
    await gateway.origins.delete_old()
    assert_that(gateway.origins.told, HasLength(0))


async def test_told_streams_are_bounded_and_displace_no_relayed_stream(rig, monkeypatch):
    monkeypatch.setattr(stream_origins, "_MAX_TOLD", 10)
    gateway = await rig.add_gateway()
    gateway.origins.remember("own", V2)
    for number in range(30):
        gateway.origins.take(told(f"s-{number}"))
    assert_that(list(gateway.origins.told), Equals([f"s-{number}" for number in range(20, 30)]))
    assert_that(gateway.origins.get("own"), Equals(V2))


async def test_more_streams_than_the_bound_are_told_latest_first(monkeypatch):
    monkeypatch.setattr(stream_handover, "_MAX_HANDED", 10)
    peers = RecordingPeers()
    handover = handover_at("g0", 2, peers)
    handover.origins.take([ToldStream(f"s-{age}", V1, float(age)) for age in range(30)])
    await handover.run()
    assert_that(peers.calls, Equals([("g1", [f"s-{age}" for age in range(10)])]))


async def test_later_run_tells_only_new_streams():
    peers = RecordingPeers()
    handover = handover_at("g0", 2, peers)
    handover.origins.remember("early", V1)
    await handover.run()
    handover.origins.remember("late", V1)
    await handover.run()
    assert_that(peers.calls, Equals([("g1", ["early"]), ("g1", ["late"])]))


async def test_gateway_without_others_tells_nobody():
    peers = RecordingPeers()
    handover = handover_at("g0", 1, peers)
    handover.origins.remember("s", V1)
    await handover.run()
    assert_that(peers.calls, Equals([]))


async def test_many_streams_are_told_to_two_of_many_gateways_of_which_some_are_silent():
    """Each other gateway finds a receiver of each stream among the first that it asks."""
    silent = [f"g{number}" for number in range(1, 100, 7)]
    peers = RecordingPeers(silent)
    handover = handover_at("g0", 100, peers)
    streams = [f"stream-{number}" for number in range(4_000)]
    handover.origins.take(told(*streams))
    await handover.run()
    calls = Counter(address for address, _ in peers.calls)
    assert_that({calls[address] for address in silent}, Equals({1}))
    assert_that(max(calls.values()), LessThan(4))
    counts = Counter(len(handover.receivers[item]) for item in streams)
    assert_that((counts[0], counts[1] < len(streams) / 50), Equals((0, True)))
    asked = stream_resumptions._MAX_RANKED_PEERS
    for asking in ("g2", "g50"):
        view = listed_gateways(asking, 100)
        unfound = [
            item
            for item in streams
            if asking not in handover.receivers[item]
            and handover.receivers[item].isdisjoint(ranked_peers(view, item)[:asked])
        ]
        assert_that(unfound, Equals([]))


async def test_streams_told_with_a_version_that_nobody_serves_are_rejected_not_mixed(rig):
    await add_versions(rig)
    first, second = await add_gateways(rig, "g1", "g2")
    started = await begin_streams(rig, gateway=first)
    second.origins.take(told(*started, origin=StreamOrigin(ServiceName("engine"), "v9")))
    statuses = await resume_all(rig, started, gateway=second)
    assert_that((set(statuses), mixed_streams(rig, started)), Equals(({503}, [])))


async def test_version_that_was_concluded_from_the_list_is_told_to_no_gateway(rig, monkeypatch):
    await add_versions(rig, {"a1": "v1"})
    first, second = await add_gateways(rig, "g1", "g2")
    row = msgspec.msgpack.encode(V2)
    rig.store.put("streams", "streams", "begun-elsewhere", row)
    rig.store.fault = fault_in_part("streams", StoreFault.REFUSED)
    rig.replicas["a1"].behaviour = lambda request: Behaviour.LOSE_ANSWER
    with monkeypatch.context() as patch:
        patch.setattr(defaults, "STREAM_KEEP_S", 0.5)
        await anyio.sleep(1.0)
        await resume(rig, "begun-elsewhere", gateway=first)
    assert_that(versions_of(rig, "begun-elsewhere"), Equals({"v1"}))
    rig.replicas["a1"].runs.clear()
    fail_store(rig, StoreFault.NONE)
    await add_versions(rig, {"b1": "v2"})
    await stop_in_order(first)
    await wait_until(lambda: "b1" in second.upstreams.upstreams)
    response = await resume(rig, "begun-elsewhere", gateway=second)
    assert_that(response.status_code, Equals(200))
    assert_that(versions_of(rig, "begun-elsewhere"), Equals({"v2"}))
