import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, Not

from sidecar_fakes import (
    DOMAIN,
    POOL,
    UPSTREAM,
    FakeDocuments,
    FakeHosts,
    FakeUpstream,
    RecordingSink,
    RunningSidecar,
    SilentProxy,
    fence,
    model_order,
    open_links,
    open_sidecar,
    tool_order,
    upstream_state,
    wait_until,
)
from skylarkferry_core.errors import (
    ErrorCode,
    SettingsInvalidError,
    StaleEpochError,
    UpstreamLostError,
)
from skylarkferry_core.frames import SealRequest
from skylarkferry_core.ids import Incarnation
from skylarkferry_core.interfaces import Host
from skylarkferry_core.states import FinalWord, PoolKind, SealVerdict, UpstreamState

pytestmark = pytest.mark.anyio


class BackgroundDispatcher:
    """Dispatches calls in background tasks and records their outcomes."""

    def __init__(self, links, tasks):
        self.links = links
        self.tasks = tasks
        self.outcomes = {}
        self.lost = []
        self.sinks = {}

    def start(self, order):
        self.sinks[order.call_id] = RecordingSink()
        self.tasks.start_soon(self.run, order)
        return self.sinks[order.call_id]

    async def run(self, order):
        try:
            outcome = await self.links.dispatch(UPSTREAM, order, self.sinks[order.call_id])
        except UpstreamLostError:
            self.lost.append(order.call_id)
            return
        self.outcomes[order.call_id] = outcome
        self.links.acknowledge(UPSTREAM, order.call_id)


async def acknowledge(links, order):
    """Acknowledge an outcome and wait until the sidecar confirms it."""
    links.acknowledge(UPSTREAM, order.call_id)
    await wait_until(lambda: not links.links[UPSTREAM].unconfirmed)


async def test_a_repeated_tool_call_runs_once_with_its_fence():
    async with open_sidecar() as (upstream, _, links):
        order = tool_order(incarnation=links.incarnation(UPSTREAM))
        first = await links.dispatch(UPSTREAM, order, RecordingSink())
        repeat = await links.dispatch(UPSTREAM, order, RecordingSink())
        assert_that(first.word, Is(FinalWord.DONE))
        assert_that(first.result, Equals('{"ordered":1}'))
        assert_that(repeat, Equals(first))
        links.acknowledge(UPSTREAM, order.call_id)
        assert_that(upstream.calls, Equals([order.call_id]))
        assert_that(upstream.headers[0]["fencing-epoch"], Equals("1"))
        assert_that([c.upstream for c in links.candidates(POOL)], Equals([UPSTREAM]))


async def test_a_silent_connection_is_replaced_and_output_continues_without_a_gap():
    upstream = FakeUpstream()
    upstream.hold()
    sidecar = RunningSidecar(upstream, PoolKind.MODEL)
    proxy = SilentProxy(sidecar.settings.rpc_listen)
    hosts = FakeHosts(Host(UPSTREAM, "sidecar", proxy.address, DOMAIN, POOL))
    async with anyio.create_task_group() as tasks, upstream.served():
        tasks.start_soon(sidecar.run)
        tasks.start_soon(proxy.run)
        async with open_links(hosts, FakeDocuments(PoolKind.MODEL)) as links:
            await wait_until(lambda: upstream_state(links) is UpstreamState.LIVE)
            dispatcher = BackgroundDispatcher(links, tasks)
            order = model_order()
            sink = dispatcher.start(order)
            await wait_until(lambda: sink.text == "Module")
            proxy.silence()
            upstream.gate.set()
            await wait_until(lambda: order.call_id in dispatcher.outcomes)
            assert_that(sink.text, Equals("Module two fits"))
            assert_that(upstream.calls, HasLength(1))
            sidecar.stop.set()
            await sidecar.stopped.wait()
        tasks.cancel_scope.cancel()


async def test_a_drain_finishes_running_calls_and_refuses_queued_and_new_ones():
    async with (
        open_sidecar(slots=1) as (upstream, sidecar, links),
        anyio.create_task_group() as tasks,
    ):
        upstream.hold()
        dispatcher = BackgroundDispatcher(links, tasks)
        running = tool_order("running", repeatable=True)
        queued, late = tool_order("queued"), tool_order("late")
        dispatcher.start(running)
        await upstream.started.wait()
        dispatcher.start(queued)
        await wait_until(lambda: links.candidates(POOL)[0].load.queued == 1)
        sidecar.stop.set()
        await wait_until(lambda: queued.call_id in dispatcher.outcomes)
        assert_that(upstream_state(links), Is(UpstreamState.LEAVING))
        dispatcher.start(late)
        await wait_until(lambda: late.call_id in dispatcher.outcomes)
        for order in (queued, late):
            assert_that(dispatcher.outcomes[order.call_id].word, Is(FinalWord.NOT_RUN))
            assert_that(dispatcher.outcomes[order.call_id].error, Is(ErrorCode.UPSTREAM_LEAVING))
        upstream.gate.set()
        await wait_until(lambda: running.call_id in dispatcher.outcomes)
        assert_that(dispatcher.outcomes[running.call_id].word, Is(FinalWord.DONE))
        await sidecar.stopped.wait()
        assert_that(upstream.calls, Equals([running.call_id]))


async def test_a_new_owner_seals_and_attaches_calls_and_fences_out_the_old_owner():
    async with open_sidecar(slots=1) as (upstream, _, links), anyio.create_task_group() as tasks:
        upstream.hold()
        dispatcher = BackgroundDispatcher(links, tasks)
        current = links.incarnation(UPSTREAM)
        running, queued = tool_order("a", incarnation=current), tool_order("b", incarnation=current)
        dispatcher.start(running)
        await upstream.started.wait()
        dispatcher.start(queued)
        verdicts = {}
        for order in (running, queued):
            reply = await links.seal(UPSTREAM, SealRequest(order.call_id, fence(2), current))
            verdicts[order.call_id] = reply.verdict
        assert_that(verdicts[running.call_id], Is(SealVerdict.IN_PROGRESS))
        assert_that(verdicts[queued.call_id], Is(SealVerdict.SEALED))
        with pytest.raises(StaleEpochError):
            await links.seal(UPSTREAM, SealRequest(running.call_id, fence(1), current))
        late = await links.dispatch(UPSTREAM, tool_order("late", epoch=1), RecordingSink())
        assert_that((late.word, late.error), Equals((FinalWord.NOT_RUN, ErrorCode.STALE_EPOCH)))
        upstream.gate.set()
        outcome = await links.attach(UPSTREAM, running.call_id, fence(2), RecordingSink())
        assert_that(outcome.result, Equals('{"ordered":1}'))
        assert_that(upstream.calls, Equals([running.call_id]))
        links.acknowledge(UPSTREAM, running.call_id)
        links.acknowledge(UPSTREAM, queued.call_id)
        links.acknowledge(UPSTREAM, late.call_id)


async def test_a_restarted_sidecar_does_not_run_calls_of_its_earlier_incarnation():
    async with open_sidecar() as (upstream, _, links):
        order = tool_order(incarnation=Incarnation("an-earlier-incarnation"))
        outcome = await links.dispatch(UPSTREAM, order, RecordingSink())
        assert_that(outcome.word, Is(FinalWord.NOT_RUN))
        assert_that(outcome.error, Is(ErrorCode.UPSTREAM_LOST))
        request = SealRequest(order.call_id, fence(), Incarnation("an-earlier-incarnation"))
        reply = await links.seal(UPSTREAM, request)
        assert_that(reply.verdict, Is(SealVerdict.UNKNOWN))
        assert_that(upstream.calls, HasLength(0))


@pytest.mark.parametrize(
    ("repeatable", "error"),
    [(False, ErrorCode.OUTCOME_UNKNOWN), (True, ErrorCode.UPSTREAM_FAILED)],
)
async def test_a_tool_call_that_times_out_is_unknown(repeatable, error):
    async with open_sidecar() as (upstream, _, links):
        upstream.hold()
        order = tool_order(repeatable=repeatable, timeout_s=0.05)
        outcome = await links.dispatch(UPSTREAM, order, RecordingSink())
        await acknowledge(links, order)
        assert_that((outcome.word, outcome.error), Equals((FinalWord.UNKNOWN, error)))


async def test_a_refused_connection_means_not_run_and_makes_the_upstream_suspect():
    upstream = FakeUpstream()
    sidecar = RunningSidecar(upstream)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sidecar.run)
        async with open_links(FakeHosts(sidecar.host), FakeDocuments()) as links:
            await wait_until(lambda: upstream_state(links) is UpstreamState.LIVE)
            order = tool_order()
            outcome = await links.dispatch(UPSTREAM, order, RecordingSink())
            links.acknowledge(UPSTREAM, order.call_id)
            assert_that(outcome.word, Is(FinalWord.NOT_RUN))
            assert_that(outcome.error, Is(ErrorCode.NO_UPSTREAM))
            await wait_until(lambda: upstream_state(links) is UpstreamState.SUSPECT)
            async with upstream.served():
                await wait_until(lambda: upstream_state(links) is UpstreamState.LIVE)
            sidecar.stop.set()
            await sidecar.stopped.wait()
        tasks.cancel_scope.cancel()


async def test_a_queued_call_is_refused_when_its_deadline_passes():
    async with open_sidecar(slots=1) as (upstream, _, links), anyio.create_task_group() as tasks:
        upstream.hold()
        dispatcher = BackgroundDispatcher(links, tasks)
        running = tool_order("a")
        dispatcher.start(running)
        await upstream.started.wait()
        queued = tool_order("b", remaining_s=0.05)
        outcome = await links.dispatch(UPSTREAM, queued, RecordingSink())
        links.acknowledge(UPSTREAM, queued.call_id)
        assert_that(outcome.error, Is(ErrorCode.DEADLINE_PASSED))
        assert_that(outcome.word, Is(FinalWord.NOT_RUN))
        upstream.gate.set()
        await wait_until(lambda: running.call_id in dispatcher.outcomes)
        assert_that(upstream.calls, Equals([running.call_id]))


async def test_releasing_a_program_frees_its_kv_cache_at_the_engine():
    async with open_sidecar(PoolKind.MODEL) as (upstream, _, links):
        order = model_order(keep_kv_s=60.0)
        await links.dispatch(UPSTREAM, order, RecordingSink())
        links.release(order.program_id, fence())
        await wait_until(lambda: upstream.released)
        assert_that(upstream.released, Equals([order.program_id]))


async def test_an_address_in_use_is_a_settings_error():
    async with open_sidecar() as (upstream, sidecar, _):
        second = RunningSidecar(upstream, metrics_listen=sidecar.settings.metrics_listen)
        with pytest.raises(ExceptionGroup) as raised:
            await second.run()
        assert_that(raised.value.subgroup(SettingsInvalidError), Not(Is(None)))
