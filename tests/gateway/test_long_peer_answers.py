import anyio
import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from gateway_rig import headers, large_config, send, wait_until
from skylarkferry_core.interfaces import Row, Write
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import MemoryAccount
from skylarkferry_gateway.interfaces import Changes
from skylarkferry_gateway.peers import PeerClient, PeerServer, PeerSilentError
from skylarkferry_gateway.relayed_calls import CallKind, CallOutcome, RelayedCall
from skylarkferry_gateway.transfer_room import TransferRoom
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.row_store import StoreFault
from slow_link import SMALL_LINK_MBPS, SlowLink, slow_store

pytestmark = pytest.mark.anyio


class SlowPeer:
    """A gateway on a small link, between the store and another gateway."""

    def __init__(self, rig):
        self.rig = rig

    async def start(self):
        store, self.store_link = await slow_store(self.rig)
        self.connected = await self.rig.add_gateway("connected", store)
        self.link = SlowLink(self.connected.settings.peer_listen, SMALL_LINK_MBPS)
        self.address = free_address()
        await self.rig.listen(self.address, self.link)


@pytest.fixture
async def peer(rig):
    slow_peer = SlowPeer(rig)
    await slow_peer.start()
    return slow_peer


READ = RelayedCall(CallKind.READ, "op//config")


async def test_rejected_gateway_gets_a_large_configuration_through_a_peer(peer):
    await peer.rig.add_replica("r1")
    fault = StoreFault.NONE
    rejected = await peer.rig.add_gateway(
        "rejected", await peer.rig.add_store_listener(lambda request: fault)
    )
    rejected.store.peer_addresses = lambda: {peer.address}
    fault = StoreFault.REFUSED
    direct = rejected.store.direct  # feeds that were called before the fault still end well
    await wait_until(lambda: direct.unavailable_s() > defaults.CONFIG_POLL_TIMEOUT_S)
    peer.rig.configure(large_config(5_601, 2))
    await wait_until(lambda: rejected.config.current.version == 2)
    assert_that(rejected.store.unavailable_s(), Equals(0.0))
    answer = await send(peer.rig, "/newest/1", headers("x"), method="GET", gateway=rejected)
    assert_that(answer.status_code, Equals(200))


async def test_call_through_a_peer_lasts_while_the_peer_works_on_it(peer):
    peer.rig.configure(large_config(5_601, 2))
    began = anyio.current_time()
    reply = await PeerClient().store(peer.address, READ)
    assert_that(len(reply.rows[0].value), GreaterThan(900_000))
    assert_that(anyio.current_time() - began, GreaterThan(defaults.PEER_STORE_TIMEOUT_S))


async def test_peer_that_goes_silent_within_an_answer_is_given_up(peer):
    peer.rig.configure(large_config(5_601, 2))
    peer.link.stalls_after_bytes = 300_000
    with anyio.fail_after(3.0), ExpectedException(PeerSilentError):
        await PeerClient().store(peer.address, READ)
    assert_that(peer.link.passed_bytes >= peer.link.stalls_after_bytes, Equals(True))


async def test_peer_that_goes_silent_while_it_works_is_given_up(peer):
    peer.rig.configure(large_config(5_601, 2))
    peer.link.stalls_after_bytes = 1
    began = anyio.current_time()
    with ExpectedException(PeerSilentError):
        await PeerClient().store(peer.address, READ)
    assert_that(anyio.current_time() - began, LessThan(2 * defaults.PEER_STORE_TIMEOUT_S))


async def test_peer_that_works_without_end_is_given_up(rig, peer, monkeypatch):
    monkeypatch.setattr(defaults, "PEER_TRANSFER_TIMEOUT_S", 1.0)
    peer.rig.configure(large_config(18_000, 2))
    with anyio.fail_after(2.0), ExpectedException(PeerSilentError):
        await PeerClient().store(peer.address, READ)


class CountingStore:
    """A store whose answers are large; counts the calls that it answers at the same time."""

    def __init__(self):
        self.current = self.most = 0

    async def changes(self, table, after, wait_s):
        await self._answer()
        return Changes([Row("op//config", b"x" * 100_000, 1)], 1)

    async def scan_span(self, span):
        await self._answer()
        return [Row(f"{span.prefix}{number:04d}", b"x" * 45_000, 1) for number in range(span.rows)]

    async def _answer(self):
        self.current += 1
        self.most = max(self.most, self.current)
        await anyio.sleep(0.05)
        self.current -= 1


class Client:
    """Collects what a peer answers."""

    def __init__(self):
        self.answers = []

    async def respond(self, status, headers, body):
        self.answers.append(status)


async def test_changes_for_many_gateways_are_not_held_in_memory_at_once(anyio_backend):
    store = CountingStore()
    server = PeerServer(None, store, None)
    call = RelayedCall(CallKind.CHANGES, "op")
    clients = [Client() for _ in range(8)]
    async with anyio.create_task_group() as tasks:
        for client in clients:
            tasks.start_soon(server.perform, call, client)
    assert_that([client.answers for client in clients], Equals([[200]] * 8))
    assert_that(store.most, Equals(defaults.PEER_FEEDS))


# Guards against a peer that exceeds its memory for gateways that the store rejects.
async def test_turns_for_many_gateways_are_not_held_in_memory_at_once(anyio_backend):
    store = CountingStore()
    transfers = TransferRoom(MemoryAccount(128 << 20), 1e9)
    server = PeerServer(None, store, None, transfers=transfers)
    call = RelayedCall(CallKind.SCAN, "turns/t/", first="0001", end="0005", rows=4)
    clients = [Client() for _ in range(24)]
    async with anyio.create_task_group() as tasks:
        for client in clients:
            tasks.start_soon(server.perform, call, client)
    assert_that([client.answers for client in clients], Equals([[200]] * 24))
    most = transfers.share.limit_bytes // (call.content_bytes * defaults.TRANSFER_COPIES)
    assert_that((store.most, transfers.share.used), Equals((most, 0)))


async def test_large_write_through_a_peer_has_time_on_small_links(rig):
    connected = await rig.add_gateway("connected")
    link = SlowLink(connected.settings.peer_listen, 1_000.0, up_mbps=SMALL_LINK_MBPS / 2)
    address = free_address()
    await rig.listen(address, link)
    writes = tuple(Write(f"t/p/{number}", b"x" * 45_000) for number in range(13))
    reply = await PeerClient().store(address, RelayedCall(CallKind.TRANSACT, writes=writes))
    assert_that(reply.outcome, Equals(CallOutcome.DONE))
    assert_that(rig.store.value("t", "p", "12"), Equals(b"x" * 45_000))
