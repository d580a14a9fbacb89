import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from gateway_rig import ROUTES, TIMEOUT_S, config, free_address, wait_until
from skylarkferry_gateway import defaults, stream_origins
from skylarkferry_gateway.messages import StreamOrigin
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import Ending, WireReply, WireServer
from stream_clients import (
    STREAMS,
    add_versions,
    begin_streams,
    cut_first_attempt,
    fault_in_part,
    mixed_streams,
    resume,
    resume_all,
    stop_abruptly,
    stored_streams,
    try_to_begin_streams,
    versions_of,
)

pytestmark = pytest.mark.anyio

OLD = {"a1": "v1", "a2": "v1"}
MOVED = {"/resume-once/": {**ROUTES["/resume-once/"], "service": "engine-2"}}
SPLIT = {"/resume-once/1/": {**ROUTES["/resume-once/"], "service": "engine-2"}}
DEEP_PATH = "/resume-once/1/2"
NEW = {"b1": "v2", "b2": "v2", "b3": "v2"}


class Link:
    """A gateway's own address of the store, and what happens to calls there."""

    def __init__(self, rig):
        self.rig = rig
        self.address = free_address()
        self.fault = StoreFault.NONE
        self.list_delay_s = 0.0
        """Time for which an answer with the upstream list is under way."""

    async def open(self):
        await self.rig.listen(self.address, WireServer(self.handle))

    async def handle(self, request):
        reply = await self.rig.store.handle_with_fault(request, self.fault)
        if "table=servers" in request.target:
            await anyio.sleep(self.list_delay_s)
        return reply


@pytest.fixture
def short_streams(monkeypatch):
    """Let a gateway know after two seconds which versions a stream can have."""
    monkeypatch.setattr(defaults, "STREAM_KEEP_S", 2.0)


async def add_linked_gateway(rig, name):
    link = Link(rig)
    await link.open()
    gateway = await rig.add_gateway(name, store_address=link.address)
    gateway.link = link
    return gateway


async def follow_list(*gateways):
    """Wait until the gateways know each other, and their lists for as long as streams can last."""
    for gateway in gateways:
        await wait_until(lambda item=gateway: len(item.gateways.nodes) == len(gateways))
    await anyio.sleep(defaults.STREAM_KEEP_S + defaults.UPSTREAMS_POLL_S)


def cut_off(*gateways):
    """Cut gateways off from the store and from the gateways that are not among them."""
    inside = {gateway.settings.peer_listen for gateway in gateways}
    for gateway in gateways:
        gateway.link.fault = StoreFault.SILENT
        peers = gateway.store.peers

        async def exchange(address, *call, reach=peers._exchange):
            if address not in inside:
                await anyio.sleep_forever()
            return await reach(address, *call)

        peers._exchange = exchange


async def after_next_read(gateway):
    """Wait until a gateway has just read its upstream list."""
    read_at = gateway.upstreams.read_at
    await wait_until(lambda: gateway.upstreams.read_at > read_at)


async def release(rig, old_state="draining"):
    """Register engines of the new version, and change the state of the old ones."""
    for name in OLD:
        if old_state == "gone":
            rig.store.delete("servers", "", name)
        else:
            rig.register_replica(name, "engine", state=old_state, version="v1")
    await add_versions(rig, NEW)


async def begin_at_new_version(rig, gateway):
    """Begin streams at the new version, as soon as a gateway knows it."""
    await gateway.upstream_watcher.read()
    started = await begin_streams(rig, gateway=gateway)
    assert_that([versions_of(rig, item) for item in started], Equals([{"v2"}] * STREAMS))
    return started


@pytest.mark.parametrize("old_state", ["draining", "gone"])
@pytest.mark.parametrize("together", [1, 2])
async def test_stream_is_not_mixed_by_gateways_cut_off_as_its_version_came(
    rig, short_streams, old_state, together
):
    await add_versions(rig, OLD)
    outside = [await add_linked_gateway(rig, f"g{number}") for number in range(together)]
    other = await rig.add_gateway("g9")
    await follow_list(*outside, other)
    await after_next_read(outside[-1])
    cut_off(*outside)
    await release(rig, old_state)
    started = await begin_at_new_version(rig, other)
    statuses = await resume_all(rig, started, gateway=outside[-1])
    assert_that((set(statuses), len(mixed_streams(rig, started))), Equals(({503}, 0)))


async def test_stream_is_not_mixed_by_a_gateway_cut_off_while_another_one_started(
    rig, short_streams
):
    await add_versions(rig, OLD)
    outside = await add_linked_gateway(rig, "g1")
    await follow_list(outside)
    await after_next_read(outside)
    cut_off(outside)
    await release(rig, "ready")
    started = await begin_streams(rig, gateway=await rig.add_gateway("g2"))
    statuses = await resume_all(rig, started, gateway=outside)
    assert_that(set(statuses) <= {200, 503}, Equals(True))
    assert_that(len(mixed_streams(rig, started)), Equals(0))


async def test_stream_is_not_mixed_by_a_list_whose_answer_came_late(rig, short_streams):
    await add_versions(rig, OLD)
    outside, other = await add_linked_gateway(rig, "g1"), await rig.add_gateway("g2")
    await follow_list(outside, other)
    outside.link.list_delay_s = 0.7
    await after_next_read(outside)
    await wait_until(lambda: outside.store.direct.pending_since)
    await anyio.sleep(0.1)
    await release(rig)
    started = await begin_at_new_version(rig, other)
    cut_off(outside)
    await after_next_read(outside)
    statuses = await resume_all(rig, started, gateway=outside)
    assert_that((set(statuses), len(mixed_streams(rig, started))), Equals(({503}, 0)))


async def test_resumption_without_an_id_is_not_sent_by_an_old_list(rig, short_streams):
    await add_versions(rig, OLD)
    outside, other = await add_linked_gateway(rig, "g1"), await rig.add_gateway("g2")
    await follow_list(outside, other)
    await after_next_read(outside)
    cut_off(outside)
    await release(rig)
    await begin_at_new_version(rig, other)
    old_runs = len(rig.replicas["a1"].runs) + len(rig.replicas["a2"].runs)
    response = await resume(rig, "", gateway=outside)
    assert_that(len(rig.replicas["a1"].runs) + len(rig.replicas["a2"].runs), Equals(old_runs))
    assert_that(response.status_code, Equals(503))


@pytest.mark.parametrize("fault", [StoreFault.SILENT, StoreFault.REFUSED])
async def test_sole_version_continues_streams_whose_rows_cannot_be_read(rig, short_streams, fault):
    await add_versions(rig, OLD)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await follow_list(first, second)
    started = await begin_streams(rig, gateway=first)
    await stop_abruptly(first)
    rig.store.fault = fault_in_part("streams", fault)
    statuses = await resume_all(rig, started, gateway=second)
    assert_that(statuses, Equals([200] * STREAMS))


# Guards against streams that are joined from two versions of one upstream.
async def test_stream_does_not_go_on_at_an_upstream_that_restarted_unseen_with_another_version(rig):
    await add_versions(rig, OLD)
    outside, other = await add_linked_gateway(rig, "g1"), await rig.add_gateway("g2")
    await wait_until(lambda: len(outside.gateways.nodes) == len(other.gateways.nodes) == 2)
    started = await begin_streams(rig, gateway=outside)
    cut_off(outside)
    rig.register_replica("a1", "engine", version="v2", born=2)
    before = len(rig.replicas["a1"].runs)
    await resume_all(rig, started, gateway=outside)
    assert_that(len(rig.replicas["a1"].runs) - before, Equals(0))


async def test_stream_does_not_begin_at_an_upstream_that_restarted_unseen_for_long(rig):
    await add_versions(rig, OLD)
    outside, other = await add_linked_gateway(rig, "g1"), await rig.add_gateway("g2")
    await wait_until(lambda: len(outside.gateways.nodes) == len(other.gateways.nodes) == 2)
    cut_off(outside)
    await anyio.sleep(defaults.LIST_OUTAGE_S + defaults.UPSTREAMS_POLL_S)
    rig.register_replica("a1", "engine", version="v2", born=2)
    started = await begin_streams(rig, gateway=outside)
    assert_that(rig.replicas["a1"].runs, Equals([]))
    assert_that([versions_of(rig, item) for item in started], Equals([{"v1"}] * STREAMS))


NO_REPORT = {
    "reset": WireReply(raw=b"", ending=Ending.RESET),
    "silent": WireReply(raw=b"", ending=Ending.SILENT),
    "malformed": WireReply(body=b'{"born":"x"}'),
    "no_answer": WireReply(raw=b"\x00" * 100_000),
    "closing": WireReply(body=b"{}", headers={"Connection": "close"}, closes=True),
}


@pytest.mark.parametrize("report", NO_REPORT)
async def test_streams_go_on_elsewhere_if_an_engine_gives_no_report_of_its_process(rig, report):
    await add_versions(rig, OLD)
    gateway = await rig.add_gateway()
    started = await begin_streams(rig)
    rig.replicas["a1"].process_report = NO_REPORT[report]
    before = len(rig.replicas["a1"].runs)
    statuses = await resume_all(rig, started, gateway=gateway)
    assert_that(statuses, Equals([200] * STREAMS))
    assert_that(len(rig.replicas["a1"].runs) - before, Equals(0))


@pytest.mark.parametrize("status", [200, 400, 404])
async def test_streams_go_on_at_engines_that_do_not_tell_their_start_time(rig, status):
    await add_versions(rig, OLD)
    gateway = await rig.add_gateway()
    started = await begin_streams(rig)
    for name in OLD:
        rig.replicas[name].process_report = WireReply(status, body=b"{}")
    assert_that(await resume_all(rig, started, gateway=gateway), Equals([200] * STREAMS))


async def add_services(rig):
    """Add a second service, whose engines have another version, and return both services."""
    document = config(2)
    document["services"].append({**document["services"][1], "name": "engine-2"})
    rig.configure(document)
    await add_versions(rig, OLD)
    for name in ("b1", "b2"):
        replica = await rig.add_replica(name, "engine-2", version="v2")
        replica.behaviour = cut_first_attempt
    return document["services"]


async def move_route(rig, services, *gateways, routes=MOVED):
    """Let the route of streams lead to the second service, and wait until gateways know."""
    rig.configure({**config(3, {**ROUTES, **routes}), "services": services})
    for gateway in gateways:
        await wait_until(lambda item=gateway: item.config.current.version == 3)


# Guards against streams that are joined from two services after their route has moved.
@pytest.mark.parametrize("routes", [MOVED, SPLIT], ids=["moved", "split"])
async def test_stream_stays_at_its_version_when_its_route_moves_to_another_service(rig, routes):
    services = await add_services(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, DEEP_PATH, gateway=first)
    await move_route(rig, services, second, routes=routes)
    await resume_all(rig, started, path=DEEP_PATH, gateway=second)
    assert_that(len(mixed_streams(rig, started)), Equals(0))


# Guards against streams that are joined from two services after their route has moved.
async def test_stream_stays_at_its_version_at_a_gateway_that_starts_after_its_route_has_moved(rig):
    services = await add_services(rig)
    started = await begin_streams(rig, gateway=await rig.add_gateway("g1"))
    await move_route(rig, services)
    await resume_all(rig, started, gateway=await rig.add_gateway("g2"))
    assert_that(len(mixed_streams(rig, started)), Equals(0))


# Guards against streams that are joined from two services after their route has moved.
async def test_stream_stays_at_its_version_at_a_gateway_that_starts_after_all_others_ended(rig):
    services = await add_services(rig)
    first = await rig.add_gateway("g1")
    started = await begin_streams(rig, gateway=first)
    await move_route(rig, services, first)
    await wait_until(lambda: stored_streams(rig) == STREAMS)
    await stop_abruptly(first)
    await resume_all(rig, started, gateway=await rig.add_gateway("g2"))
    assert_that(len(mixed_streams(rig, started)), Equals(0))


async def test_row_that_a_beginning_stream_awaits_goes_before_those_of_a_moved_route(
    rig, monkeypatch
):
    monkeypatch.setattr(stream_origins, "_CALLS_PER_S", 2.0)
    monkeypatch.setattr(stream_origins, "_MAX_BACKLOG", 300)
    origins = (await rig.add_gateway("g1")).origins
    for number in range(400):
        origins.remember(f"s-{number}", StreamOrigin("engine", "v1"))
    origins.store_rows_of({"engine"})
    row = origins.store_row("begins", StreamOrigin("engine", "v2"))
    with anyio.fail_after(TIMEOUT_S):
        await row.stored.wait()
    assert_that(stored_streams(rig) <= 100, Equals(True))
    await wait_until(lambda: stored_streams(rig) == 301)
    assert_that(len(origins.rows), Equals(0))
    assert_that(rig.store.value("streams", "streams", "s-399") is not None, Equals(True))
    assert_that(rig.store.value("streams", "streams", "s-0"), Equals(None))


async def test_streams_whose_route_stays_get_no_rows(rig):
    services = await add_services(rig)
    gateway = await rig.add_gateway("g1")
    await begin_streams(rig, gateway=gateway)
    other = {"/get/": {**ROUTES["/get/"], "service": "engine-2"}}
    await move_route(rig, services, gateway, routes=other)
    await anyio.sleep(0.3)
    assert_that(stored_streams(rig), Equals(0))


async def test_streams_that_begin_after_their_route_has_moved_go_on_at_other_gateways(rig):
    services = await add_services(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await move_route(rig, services, first, second)
    started = await begin_streams(rig, gateway=first)
    await wait_until(lambda: stored_streams(rig) == STREAMS)
    await stop_abruptly(first)
    statuses = await resume_all(rig, started, gateway=second)
    assert_that(statuses, Equals([200] * STREAMS))
    assert_that([versions_of(rig, item) for item in started], Equals([{"v2"}] * STREAMS))


# Guards against streams that are rejected though their route still leads to their service.
async def test_streams_go_on_at_other_gateways_after_their_route_was_split(rig):
    services = await add_services(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    started = await begin_streams(rig, DEEP_PATH, gateway=first)
    await move_route(rig, services, second, routes={"/resume-once/1/": ROUTES["/resume-once/"]})
    await stop_abruptly(first)
    statuses = await resume_all(rig, started, path=DEEP_PATH, gateway=second)
    assert_that(statuses, Equals([200] * STREAMS))


async def test_streams_begin_after_their_route_has_moved_although_the_store_is_away(rig):
    services = await add_services(rig)
    first, second = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    await move_route(rig, services, first, second)
    rig.store.fault = fault_in_part("streams", StoreFault.REFUSED)
    statuses = await try_to_begin_streams(rig, gateway=first)
    assert_that(set(statuses.values()), Equals({200}))
    await resume_all(rig, statuses, gateway=second)
    assert_that(len(mixed_streams(rig, statuses)), Equals(0))
