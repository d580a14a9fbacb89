import time

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from sidecar_fakes import DOMAIN, POOL, UPSTREAM, fence, tool_order, wait_until
from skylarkferry_core.calls import TableLimits
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.frames import Cancel, CrashNotice, Hello
from skylarkferry_core.kv_holds import KvHolds
from skylarkferry_core.messages import Outcome
from skylarkferry_core.states import FinalWord, PoolKind, UpstreamState
from skylarkferry_daemon.call_runner import CallRunner
from skylarkferry_daemon.crash_detector import CrashDetector
from skylarkferry_daemon.entry_streams import EntryStream
from skylarkferry_daemon.kv_retention import KvRetention
from skylarkferry_daemon.settings import SidecarSettings
from skylarkferry_daemon.sidecar_state import SidecarState
from skylarkferry_daemon.upstream_adapters import BrokenConnectionError

pytestmark = pytest.mark.anyio


class FakeAdapter:
    """Breaks the connection of calls in ``breaking``; other calls end when ``gate`` is set.

    ``concurrency`` records the number of running calls at the start of each call.
    """

    def __init__(self):
        self.gate = anyio.Event()
        self.breaking = set()
        self.concurrency = []
        self.running = 0

    async def run(self, order, emit):
        self.running += 1
        self.concurrency.append(self.running)
        try:
            if order.call_id in self.breaking:
                raise BrokenConnectionError("reset")
            await self.gate.wait()
        finally:
            self.running -= 1
        return Outcome(order.call_id, FinalWord.DONE)


def block_event_loop(seconds):
    time.sleep(seconds)


class FakeProbe:
    def __init__(self):
        self.up = True

    async def accepts_connections(self):
        return self.up


class RunnerHarness:
    """A call runner with fakes, and a stream that records the frames sent to entries."""

    def __init__(self, tasks):
        settings = SidecarSettings(
            upstream=UPSTREAM,
            pool=POOL,
            kind=PoolKind.TOOL,
            failure_domain=DOMAIN,
            rpc_listen="127.0.0.1:1",
            metrics_listen="127.0.0.1:2",
            upstream_url="http://127.0.0.1:3",
        )
        self.state = SidecarState(settings)
        self.adapter = FakeAdapter()
        self.probe = FakeProbe()
        self.stream = EntryStream()
        self.stream.hello = Hello("entry-1", "incarnation-1")
        self.state.hub.streams.add(self.stream)
        self.runner = CallRunner(
            self.state,
            self.adapter,
            CrashDetector(self.state, self.probe),
            KvRetention(None, KvHolds(), self.state),
            tasks,
        )

    async def outcome_of(self, order):
        call = self.runner.submit(order)
        await wait_until(lambda: call.outcome is not None)
        return call.outcome

    async def crash(self, order):
        """Run an order that crashes the upstream, which restarts before it is probed again."""
        self.adapter.breaking.add(order.call_id)
        self.probe.up = False
        outcome = await self.outcome_of(order)
        self.probe.up = True
        return outcome

    def notices(self):
        return [frame for frame in self.stream.frames if isinstance(frame, CrashNotice)]


@pytest.fixture
async def harness():
    async with anyio.create_task_group() as tasks:
        yield RunnerHarness(tasks)
        tasks.cancel_scope.cancel()


async def test_a_request_that_crashes_a_restarted_upstream_again_is_quarantined(harness):
    poison = {"fingerprint": "poison", "repeatable": True}
    first = await harness.crash(tool_order("a", **poison))
    assert_that((first.word, first.error), Equals((FinalWord.UNKNOWN, ErrorCode.UPSTREAM_FAILED)))
    assert_that(harness.state.drain.announced(), Is(UpstreamState.SUSPECT))
    await harness.crash(tool_order("b", **poison))
    third = await harness.outcome_of(tool_order("c", **poison))
    assert_that((third.word, third.error), Equals((FinalWord.NOT_RUN, ErrorCode.QUARANTINED)))
    crashes = [notice.crash for notice in harness.notices()]
    assert_that(set(crashes), HasLength(2))


async def test_calls_lost_in_the_same_crash_share_its_id_and_are_only_suspects(harness):
    orders = [tool_order(name, repeatable=True) for name in "ab"]
    harness.adapter.breaking = {order.call_id for order in orders}
    harness.probe.up = False
    calls = [harness.runner.submit(order) for order in orders]
    await wait_until(lambda: all(call.outcome for call in calls))
    assert_that({notice.crash for notice in harness.notices()}, HasLength(1))
    assert_that(harness.state.crash_registry.suspects(), Equals({"f-a", "f-b"}))


async def test_a_broken_connection_to_a_reachable_upstream_is_not_a_crash(harness):
    order = tool_order("a")
    harness.adapter.breaking.add(order.call_id)
    outcome = await harness.outcome_of(order)
    assert_that(outcome.word, Is(FinalWord.UNKNOWN))
    assert_that(outcome.error, Is(ErrorCode.OUTCOME_UNKNOWN))
    assert_that(harness.notices(), HasLength(0))
    assert_that(harness.state.drain.announced(), Is(UpstreamState.LIVE))


async def test_a_suspect_runs_alone_and_is_cleared_when_it_succeeds(harness):
    await harness.crash(tool_order("a", fingerprint="f", repeatable=True))
    harness.adapter.gate.set()
    orders = [tool_order("b"), tool_order("c", fingerprint="f", repeatable=True), tool_order("d")]
    harness.adapter.concurrency.clear()
    calls = [harness.runner.submit(order) for order in orders]
    await wait_until(lambda: all(call.outcome for call in calls))
    assert_that(harness.adapter.concurrency, Equals([1, 1, 1]))
    assert_that(harness.state.crash_registry.suspects(), Equals(set()))


async def do_nothing():
    """Callback of a periodic timer, which is late if the process was paused."""


@pytest.mark.parametrize("timeout_s", [0.2, 2.3])
async def test_late_answer_is_read_however_slowly_a_resumed_process_runs(harness, timeout_s):
    """The answer is there when the process resumes; reading it takes longer than the grace.

    The time limit passes while the process is paused, or after it has run slowly for a while.
    """
    passes, pass_s, pause_s = 25, 0.1, 1.0

    class SlowAdapter(FakeAdapter):
        async def run(self, order, emit):
            self.running += 1
            await self.gate.wait()
            for _ in range(passes):
                block_event_loop(pass_s)
                await anyio.lowlevel.checkpoint()
            return Outcome(order.call_id, FinalWord.DONE)

    harness.runner.adapter = SlowAdapter()
    harness.state.timers.every(0.1, do_nothing)
    harness.runner.tasks.start_soon(harness.state.timers.run, harness.runner.tasks)
    call = harness.runner.submit(tool_order("a", timeout_s=timeout_s))
    await wait_until(lambda: harness.runner.adapter.running)
    harness.runner.adapter.gate.set()
    block_event_loop(pause_s)
    await wait_until(lambda: call.outcome is not None)
    assert_that(call.outcome.word, Is(FinalWord.DONE))


async def test_call_without_an_answer_times_out_after_the_process_resumed(harness):
    harness.runner.tasks.start_soon(harness.state.timers.run, harness.runner.tasks)
    call = harness.runner.submit(tool_order("a", timeout_s=0.2))
    await wait_until(lambda: harness.runner.adapter.running)
    block_event_loop(1.0)
    await wait_until(lambda: call.outcome is not None)
    assert_that(call.outcome.word, Is(FinalWord.UNKNOWN))


async def test_cancel_stops_repeatable_running_calls_and_queued_calls(harness):
    harness.state.table.limits = TableLimits(slots=2, queue_limit=10, outcomes_kept=10)
    repeatable, unrepeatable, queued = (
        tool_order("a", repeatable=True),
        tool_order("b"),
        tool_order("c"),
    )
    calls = [harness.runner.submit(order) for order in (repeatable, unrepeatable, queued)]
    for order in (repeatable, unrepeatable, queued):
        harness.runner.cancel(Cancel(order.call_id, fence()))
    await wait_until(lambda: calls[0].outcome and calls[2].outcome)
    assert_that(calls[0].outcome.word, Is(FinalWord.UNKNOWN))
    assert_that(calls[2].outcome.word, Is(FinalWord.NOT_RUN))
    assert_that(calls[1].outcome, Is(None))
    harness.adapter.gate.set()
    await wait_until(lambda: calls[1].outcome)
    assert_that(calls[1].outcome.word, Is(FinalWord.DONE))


async def test_cancel_with_a_stale_epoch_is_ignored(harness):
    order = tool_order("a", repeatable=True, epoch=2)
    call = harness.runner.submit(order)
    harness.runner.cancel(Cancel(order.call_id, fence(1)))
    harness.adapter.gate.set()
    await wait_until(lambda: call.outcome)
    assert_that(call.outcome.word, Is(FinalWord.DONE))
