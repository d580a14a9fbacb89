import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_daemon import background_tasks
from skylarkferry_daemon.background_tasks import BackgroundTasks
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.timers import TimerService

pytestmark = pytest.mark.anyio


async def fail():
    raise RuntimeError("unexpected")


async def fail_twice():
    raise ExceptionGroup("two", [RuntimeError("first"), OSError("second")])


async def test_failed_task_is_logged_and_counted_and_the_others_go_on():
    log, failed = EventLog("node", 100), []
    ended = anyio.Event()

    async def work():
        await anyio.sleep(0.02)
        ended.set()

    async with anyio.create_task_group() as tasks:
        background = BackgroundTasks(tasks, log, failed.append)
        background.start_soon(work)
        background.start_soon(fail)
        background.start_soon(fail_twice, name="pair")
        await ended.wait()
    details = {event.fields["task"]: event.fields["detail"] for event in log.ring}
    assert_that(
        details,
        Equals(
            {
                "fail": "RuntimeError('unexpected')",
                "pair": "RuntimeError('first'); OSError('second')",
            }
        ),
    )
    assert_that((sorted(failed), background.failures), Equals((["fail", "pair"], 2)))


async def test_failing_loop_is_started_again_until_it_returns(monkeypatch):
    monkeypatch.setattr(background_tasks, "FIRST_RESTART_S", 0.001)
    starts = []

    async def loop():
        starts.append(anyio.current_time())
        if len(starts) < 4:
            raise RuntimeError("unexpected")

    async with anyio.create_task_group() as tasks:
        BackgroundTasks(tasks, EventLog("node", 100)).keep_running(loop)
    assert_that(len(starts), Equals(4))


async def test_cancelled_loop_is_not_started_again():
    log = EventLog("node", 100)
    async with anyio.create_task_group() as tasks:
        BackgroundTasks(tasks, log).keep_running(anyio.sleep_forever)
        await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert_that(list(log.ring), Equals([]))


async def test_timer_whose_callback_fails_fires_again():
    timers, calls = TimerService(), []
    called_again = anyio.Event()

    async def callback():
        calls.append(timers.now())
        if len(calls) == 3:
            called_again.set()
        raise RuntimeError("unexpected")

    async with anyio.create_task_group() as tasks:
        background = BackgroundTasks(tasks, EventLog("node", 100))
        background.start_soon(timers.run, background)
        timers.every(0.01, callback)
        await called_again.wait()
        tasks.cancel_scope.cancel()
    assert_that(background.failures, Equals(3))
