import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_bench.samples import build_order
from skylarkferry_core.frames import Chunk, StateNotice
from skylarkferry_core.ids import FailureDomain, PoolName, UpstreamId
from skylarkferry_core.states import PoolKind, UpstreamState
from skylarkferry_daemon.entry_streams import EntryStream
from skylarkferry_daemon.settings import SidecarSettings
from skylarkferry_daemon.sidecar_service import SidecarService
from skylarkferry_daemon.sidecar_state import SidecarState

UNREACHED_INTERVAL_S = 1e6
WRITE_TIMEOUT_S = 60.0
OBSERVATION_S = 0.05


class RecordingContext:
    """Records the batches that a sidecar writes to one stream."""

    def __init__(self):
        self.batches = []
        self.written = anyio.Event()

    async def write(self, batch):
        self.batches.append(batch)
        self.written.set()


@pytest.fixture
def state():
    settings = SidecarSettings(
        upstream=UpstreamId("calc-models-1"),
        pool=PoolName("calc-models"),
        kind=PoolKind.MODEL,
        failure_domain=FailureDomain("arusha-a"),
        rpc_listen="127.0.0.1:1",
        metrics_listen="127.0.0.1:2",
        upstream_url="http://127.0.0.1:3",
        frame_interval_s=UNREACHED_INTERVAL_S,
    )
    return SidecarState(settings)


def sent_texts(context):
    frames = [frame for batch in context.batches for frame in batch.frames]
    return [frame.text for frame in frames if isinstance(frame, Chunk)]


@pytest.mark.anyio
async def test_output_after_an_idle_period_is_sent_at_once_and_more_after_the_interval(state):
    order = build_order(1)
    call = state.table.accept(order, 0.0)
    state.table.start_next(0.0)
    stream, context = EntryStream(), RecordingContext()
    service = SidecarService(state, None, None, anyio.Event())
    state.table.append(order.call_id, "followed ")
    stream.follow(call, offset=len("followed "))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service._write, stream, context)
        await anyio.wait_all_tasks_blocked()
        state.table.append(order.call_id, "first ")
        stream.mark_changed(call)
        with anyio.fail_after(WRITE_TIMEOUT_S):
            await context.written.wait()
        state.table.append(order.call_id, "second")
        stream.mark_changed(call)
        await anyio.sleep(OBSERVATION_S)
        assert_that(sent_texts(context), Equals(["first "]))
        stream.push(StateNotice(UpstreamState.LEAVING))
        await anyio.wait_all_tasks_blocked()
        assert_that(sent_texts(context), Equals(["first ", "second"]))
        tasks.cancel_scope.cancel()
