import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from gateway_rig import ROUTES, config, send, turn_headers, wait_until
from skylarkferry_core.errors import TokensSpentError
from skylarkferry_core.histories import Turn
from skylarkferry_core.ids import TurnId
from skylarkferry_gateway import defaults
from skylarkferry_gateway.held_memory import MemoryUse
from skylarkferry_gateway.relayed_calls import RelayedCall
from skylarkferry_standins.ports import free_address
from skylarkferry_standins.replica import EVENT_COUNT, Replica
from skylarkferry_standins.row_store import StoreFault
from skylarkferry_standins.wire_server import WireServer, encode_reply
from stored_turns import put_chain

pytestmark = pytest.mark.anyio


class SlowEngine(WireServer):
    """Sends the first event of a stream, and the rest once it may end."""

    def __init__(self):
        super().__init__(Replica("e1").handle)
        self.has_begun = False
        self.may_end = anyio.Event()

    async def _send(self, stream, reply):
        head, _, rest = encode_reply(reply).partition(b"\n\n")
        await stream.send(head + b"\n\n")
        self.has_begun = True
        await self.may_end.wait()
        await stream.send(rest)
        return True


OUTPUT = b"".join(f"token {n}\n".encode() for n in range(1, EVENT_COUNT + 1))


async def send_retained(rig, turn, body, previous="", gateway=None, **more):
    """Send a turn on the route that retains context."""
    if previous:
        more["Previous_Turn"] = previous
    return await send(rig, "/kept/1", turn_headers(turn, **more), body, gateway=gateway)


async def test_chain_is_rebuilt_for_the_upstream(rig):
    replica = await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    await send_retained(rig, "t-1", b"one ")
    await send_retained(rig, "t-2", b"two ", "t-1")
    answer = await send_retained(rig, "t-3", b"three ", "t-2")
    assert_that(answer.status_code, Equals(200))
    bodies = [run.body for run in replica.runs]
    second = b"one " + OUTPUT + b"two "
    assert_that(bodies, Equals([b"one ", second, second + OUTPUT + b"three "]))


async def test_chain_continues_on_another_gateway_after_a_crash(rig):
    replica = await rig.add_replica("e1", "engine")
    first = await rig.add_gateway("g1")
    await send_retained(rig, "t-1", b"one ")
    await send_retained(rig, "t-2", b"two ", "t-1")
    first.scope.cancel()
    second = await rig.add_gateway("g2")
    answer = await send_retained(rig, "t-3", b"three ", "t-2", gateway=second, program="new")
    assert_that(answer.status_code, Equals(200))
    expected = b"one " + OUTPUT + b"two " + OUTPUT + b"three "
    assert_that(replica.runs[-1].body, Equals(expected))


async def test_several_turns_can_continue_from_the_same_turn(rig):
    replica = await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    await send_retained(rig, "t-1", b"one ")
    for name in ("a", "b"):
        await send_retained(rig, f"t-{name}", name.encode(), "t-1")
    prefix = b"one " + OUTPUT
    assert_that([run.body for run in replica.runs[1:]], Equals([prefix + b"a", prefix + b"b"]))


async def test_large_turn_is_stored_in_several_rows(rig):
    replica = await rig.add_replica("e1", "engine")
    first = await rig.add_gateway("g1")
    large = bytes(range(256)) * 700
    assert_that((await send_retained(rig, "t-1", large)).status_code, Equals(200))
    first.scope.cancel()
    second = await rig.add_gateway("g2")
    answer = await send_retained(rig, "t-2", b"two", "t-1", gateway=second)
    assert_that(answer.status_code, Equals(200))
    assert_that(replica.runs[-1].body == large + OUTPUT + b"two", Equals(True))


@pytest.mark.parametrize("is_measured", [True, False])
@pytest.mark.parametrize("turns", [1, 64, 65, 66, 140])
async def test_long_chain_is_read_from_the_store(rig, turns, is_measured):
    """Turns without the size of their chain are those of earlier versions."""
    replica = await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    contents = [f"turn {number} ".encode() * 700 for number in range(turns)]
    last = put_chain(rig.store, "c", contents, is_measured=is_measured)
    answer = await send_retained(rig, "t-next", b"next", last)
    assert_that(answer.status_code, Equals(200))
    assert_that(replica.runs[-1].body == b"".join(contents) + b"next", Equals(True))
    cache = gateway.gateway.turn_services.turns.cache
    await wait_until(lambda: not cache.in_use)
    assert_that((cache.in_use_bytes, cache.reserved_bytes), Equals((0, 0)))


# Guards against a read of a turn's first row together with all others.
async def test_rows_of_a_large_turn_are_read_once(rig):
    await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    last = put_chain(rig.store, "c", [b"x" * 400_000])
    targets = []
    rig.store.fault = lambda request: targets.append(request.target) or StoreFault.NONE
    assert_that((await send_retained(rig, "t-next", b"next", last)).status_code, Equals(200))
    spans = [target.partition("&from=")[2] for target in targets if "part=c-0" in target]
    assert_that(
        spans, Equals(["0000&to=0001&limit=1", "0001&to=0005&limit=4", "0005&to=0009&limit=4"])
    )


@pytest.mark.parametrize("knows_spans", [True, False])
async def test_chain_is_read_through_a_peer(rig, monkeypatch, knows_spans):
    """A peer of an earlier version does not know spans and returns all rows of a turn."""
    if not knows_spans:
        monkeypatch.setattr(RelayedCall, "span", None)
    replica = await rig.add_replica("e1", "engine")
    connected = await rig.add_gateway("connected")
    fault = StoreFault.NONE
    rejected = await rig.add_gateway("rejected", await rig.add_store_listener(lambda _: fault))
    rejected.store.peer_addresses = lambda: {connected.settings.peer_listen}
    fault = StoreFault.REFUSED
    await wait_until(lambda: rejected.store.direct.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    contents = [bytes([number]) * 200_000 for number in range(3)]
    last = put_chain(rig.store, "c", contents)
    answer = await send_retained(rig, "t-next", b"next", last, gateway=rejected)
    assert_that(answer.status_code, Equals(200))
    assert_that(replica.runs[-1].body == b"".join(contents) + b"next", Equals(True))


async def test_chain_without_room_is_refused_and_served_once_there_is_room(rig):
    replica = await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    cache = gateway.gateway.turn_services.turns.cache
    last = put_chain(rig.store, "c", [b"x" * 30_000] * 4)
    cache.limit_bytes = 100_000
    answer = await send_retained(rig, "t-1", b"next", last)
    assert_that((answer.status_code, replica.received_ids), Equals((503, [])))
    assert_that(float(answer.headers["Retry-After"]), Equals(defaults.RETRY_AFTER_S))
    cache.limit_bytes = 200_000
    assert_that((await send_retained(rig, "t-2", b"next", last)).status_code, Equals(200))


# Guards against chains that are held for as long as an engine generates.
@pytest.mark.parametrize("is_resumable", [False, True])
async def test_chain_is_held_until_no_other_upstream_can_get_it(rig, is_resumable):
    rig.configure(config(2, {"/kept/": {**ROUTES["/kept/"], "resumable": is_resumable}}))
    engine = SlowEngine()
    address = rig.addresses["e1"] = free_address()
    await rig.listen(address, engine)
    rig.register_replica("e1", "engine")
    gateway = await rig.add_gateway()
    cache = gateway.gateway.turn_services.turns.cache
    last = put_chain(rig.store, "c", [b"x" * 40_000] * 3)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_retained, rig, "t-1", b"next", last)
        await wait_until(lambda: engine.has_begun)
        await wait_until(lambda: bool(cache.in_use) is is_resumable)
        engine.may_end.set()
    assert_that((cache.in_use, cache.reserved_bytes), Equals(({}, 0)))


# Guards against streams that are broken off because others hold the memory to store them.
async def test_turn_is_stored_while_all_memory_is_held_by_others(rig):
    engine = SlowEngine()
    address = rig.addresses["e1"] = free_address()
    await rig.listen(address, engine)
    rig.register_replica("e1", "engine")
    gateway = await rig.add_gateway()
    answers = []

    async def turn():
        answers.append((await send_retained(rig, "t-1", b"x" * 150_000)).status_code)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(turn)
        await wait_until(lambda: engine.has_begun)
        for use in (MemoryUse.BODIES, MemoryUse.RESPONSES, MemoryUse.STREAMS):
            share = gateway.memory.shares[use]
            share.add(share.limit_bytes - share.used)
        engine.may_end.set()
    assert_that((answers, gateway.memory.used > gateway.memory.limit_bytes), Equals(([200], True)))


async def test_chain_is_released_if_the_turn_is_refused(rig):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    await send_retained(rig, "t-1", b"one ")

    async def refuse(reservation):
        raise TokensSpentError("spent")

    services = gateway.gateway.turn_services
    services.budgets.reserve = refuse
    cache = services.turns.cache
    answer = await send_retained(rig, "t-2", b"two ", "t-1")
    assert_that((answer.status_code, cache.in_use), Equals((402, {})))


async def test_unknown_previous_turn_is_not_found(rig):
    replica = await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    answer = await send_retained(rig, "t-2", b"two", "t-never")
    assert_that((answer.status_code, replica.runs), Equals((404, [])))


async def test_not_found_is_answered_only_after_a_successful_read(rig):
    replica = await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    rig.store.fault = lambda request: StoreFault.REFUSED
    answer = await send_retained(rig, "t-2", b"two", "t-1")
    assert_that((answer.status_code, replica.runs), Equals((503, [])))
    assert_that(float(answer.headers["Retry-After"]) > 0, Equals(True))
    await wait_until(lambda: gateway.store.unavailable_s() > 0.5)
    started = anyio.current_time()
    again = await send_retained(rig, "t-3", b"two", "t-1")
    assert_that(again.status_code, Equals(503))
    assert_that(anyio.current_time() - started, LessThan(defaults.CHAIN_SILENCE_S))


@pytest.mark.parametrize("fault", [StoreFault.LOST, StoreFault.REFUSED, StoreFault.RESET])
async def test_turn_ends_only_after_it_is_stored(rig, fault):
    await rig.add_replica("e1", "engine")
    await rig.add_gateway()
    failures = [fault, fault]

    def fault_of(request):
        is_write = "rows-tx" in request.target and b'"turns"' in request.body
        return failures.pop() if is_write and failures else StoreFault.NONE

    rig.store.fault = fault_of
    answer = await send_retained(rig, "t-1", b"one ")
    assert_that(answer.status_code, Equals(200))
    assert_that(rig.store.value("turns", "t-1", "0000") is not None, Equals(True))
    assert_that(failures, HasLength(0))


async def test_turn_that_cannot_be_stored_never_completes(rig):
    await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()

    def fault_of(request):
        is_write = "rows-tx" in request.target and b'"turns"' in request.body
        return StoreFault.REFUSED if is_write else StoreFault.NONE

    rig.store.fault = fault_of
    is_complete = False
    try:
        answer = await send_retained(rig, "t-1", b"one ", deadline_ms=600)
        is_complete = answer.status_code == 200
    except Exception as error:
        assert_that(type(error).__name__, Equals("RemoteProtocolError"))
    assert_that(is_complete, Equals(False))
    cache = gateway.gateway.turn_services.turns.cache
    assert_that(cache.get(TurnId("t-1")), Equals(None))


async def test_cache_evicts_the_least_recently_used_turn(rig):
    gateway = await rig.add_gateway()
    cache = gateway.gateway.turn_services.turns.cache
    cache.limit_bytes = 25_000
    for name in ("a", "b", "c"):
        cache.put(TurnId(name), Turn(TurnId(""), (), b"x" * 10_000))
        cache.get(TurnId("a"))
    assert_that(list(cache.turns), Equals(["c", "a"]))


async def test_turn_runs_during_a_store_outage_and_ends_once_it_is_stored(rig):
    replica = await rig.add_replica("e1", "engine")
    gateway = await rig.add_gateway()
    assert_that((await send_retained(rig, "t-1", b"one ")).status_code, Equals(200))
    rig.store.fault = lambda request: StoreFault.REFUSED
    await wait_until(lambda: gateway.store.unavailable_s() > defaults.STORE_LOST_AFTER_S)
    answers = []

    async def turn():
        answers.append(await send_retained(rig, "t-2", b"two ", "t-1", deadline_ms=10_000))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(turn)
        await wait_until(lambda: len(replica.runs) == 2)
        assert_that(answers, Equals([]))
        rig.store.fault = lambda request: StoreFault.NONE
    assert_that([answer.status_code for answer in answers], Equals([200]))
    assert_that(rig.store.value("turns", "t-2", "0000") is not None, Equals(True))
