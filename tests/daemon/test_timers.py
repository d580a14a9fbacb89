import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_daemon.timers import TimerService


@pytest.mark.anyio
async def test_timers_fire_in_order_of_due_time():
    fired = []
    timers = TimerService()
    late_fired = anyio.Event()

    def recorder(name):
        async def record():
            fired.append(name)
            if name == "late":
                late_fired.set()

        return record

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run, tasks)
        timers.after(0.02, recorder("late"))
        timers.after(0.01, recorder("early"))
        timers.after(0.015, recorder("cancelled")).cancel()
        await late_fired.wait()
        tasks.cancel_scope.cancel()
    assert_that(fired, Equals(["early", "late"]))
