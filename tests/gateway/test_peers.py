import anyio
import msgspec
import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Not

from gateway_rig import MAX_OUTPUT_TOKENS, TIMEOUT_S, headers, send, turn_headers, wait_until
from skylarkferry_core.accounts import Ownership, budget_partition
from skylarkferry_core.ids import Incarnation, ProgramId, TurnId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import Reservation
from skylarkferry_gateway.peers import PeerClient, PeerDownError, PeerUnreachableError
from skylarkferry_gateway.relayed_calls import CallKind, RelayedCall, perform_call
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import Ending, WireReply, WireServer

pytestmark = pytest.mark.anyio

PROBLEM = b'{"type": "about:blank", "code": "body_timeout"}'
ENDED = WireReply(200, {}, b"", raw=b"", ending=Ending.RESET)
"""A peer whose process ends before it answers."""


async def listen(rig, reply):
    """Return the address of a peer that answers every call so."""

    async def answer(request):
        return reply

    address = free_address()
    await rig.listen(address, WireServer(answer))
    return address


@pytest.mark.parametrize("status", [200, 408])
async def test_peer_answer_of_another_kind_is_a_typed_error(rig, status):
    address = await listen(rig, WireReply(status, {}, PROBLEM))
    peers = PeerClient()
    reservation = Reservation(ProgramId("p"), 10, TurnId("t"), 1)
    for call in (
        lambda: peers.reserve(address, reservation),
        lambda: peers.store(address, RelayedCall(CallKind.READ, "turns/t/0000")),
        lambda: peers.stream_origin(address, "s"),
    ):
        with ExpectedException(PeerDownError):
            await call()


async def test_call_that_a_peer_may_have_performed_is_not_reported_as_never_sent(rig):
    peers = PeerClient()
    lost = await listen(rig, ENDED)
    with pytest.raises(PeerDownError) as raised:
        await peers.store(lost, RelayedCall(CallKind.READ, "turns/t/0000"))
    assert_that(isinstance(raised.value, PeerUnreachableError), Equals(False))
    with pytest.raises(PeerUnreachableError):
        await peers.store(free_address(), RelayedCall(CallKind.READ, "turns/t/0000"))


async def test_turn_is_kept_although_the_peer_that_stored_it_ended_without_an_answer(rig):
    await rig.add_replica("e1", "engine")
    fault = StoreFault.NONE
    address = await rig.add_store_listener(lambda request: fault)
    connected = await rig.add_gateway("connected")
    rejected = await rig.add_gateway("rejected", address)
    stored = []

    async def store_and_end(request):
        call = msgspec.json.decode(request.body, type=RelayedCall)
        reply = await perform_call(connected.store.direct, call)
        if call.kind is CallKind.TRANSACT and call.writes[0].key.startswith("turns/"):
            stored.append(call)
            return ENDED
        return WireReply(200, {}, msgspec.json.encode(reply))

    ending = free_address()
    await rig.listen(ending, WireServer(store_and_end))
    rejected.store.peer_addresses = lambda: {ending, connected.settings.peer_listen}
    fault = StoreFault.REFUSED
    await wait_until(lambda: rejected.store.direct.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    rejected.store.avoided_until.clear()
    rejected.store.last_peer = ending
    with anyio.fail_after(TIMEOUT_S):
        fields = headers("t-1", Token_Usage=f"50,{MAX_OUTPUT_TOKENS}")
        answer = await send(rig, "/kept/1", fields, b"in ", gateway=rejected)
    assert_that(answer.status_code, Equals(200))
    assert_that(answer.content.endswith(b"\n\n"), Equals(True))
    assert_that(stored, Not(HasLength(0)))


ODD_ADDRESSES = ["", "nonsense", "127.0.0.1:x", "127.0.0.1:99999", "127.0.0.1:80\n", "h.invalid:80"]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_peer_at_an_odd_address_is_unreachable(address):
    with ExpectedException(PeerUnreachableError):
        await PeerClient().store(address, RelayedCall(CallKind.READ, "turns/t/0000"))


@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_turn_is_served_although_the_owner_of_its_budget_has_an_odd_address(rig, address):
    await rig.add_replica("e1", "engine")
    number = budget_partition(ProgramId("program"))
    row = msgspec.msgpack.encode(Ownership(Incarnation("another"), address, generation=1))
    rig.store.put("account-owners", "", f"{number:04d}", row)
    rig.store.put("accounts", str(number), "owner", row)
    await rig.add_gateway()
    answer = await send(rig, "/turn/1", turn_headers("t-1"))
    assert_that(answer.status_code, Equals(200))


async def test_connections_to_a_gateway_that_ended_do_not_stay_open(rig, monkeypatch):
    monkeypatch.setattr(defaults, "PEER_IDLE_S", 0.2)
    gateway, ending = await rig.add_gateway("g1"), await rig.add_gateway("g2")
    peers, address = gateway.store.peers, ending.settings.peer_listen
    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(peers.stream_origin, address, "s-1")
    assert_that(peers.idle[address], HasLength(20))
    ending.scope.cancel()
    await wait_until(lambda: not peers.idle)
