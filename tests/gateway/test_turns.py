import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from gateway_rig import send, turn_headers, wait_until
from skylarkferry_core.histories import Turn
from skylarkferry_core.ids import TurnId
from skylarkferry_gateway import defaults
from skylarkferry_standins.replica import EVENT_COUNT
from skylarkferry_standins.row_store import StoreFault

pytestmark = pytest.mark.anyio

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
    assert_that(anyio.current_time() - started, LessThan(defaults.CHAIN_READ_TIMEOUT_S))


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
