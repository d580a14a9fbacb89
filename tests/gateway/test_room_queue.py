import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_gateway.room_queue import RoomQueue

pytestmark = pytest.mark.anyio


class Room:
    """Room for ``free`` units."""

    def __init__(self, free):
        self.free = free
        self.queue = RoomQueue()
        self.admitted = []

    async def wait(self, name, units, *, is_urgent=False):
        def take():
            if units > self.free:
                return False
            self.free -= units
            return True

        await self.queue.wait(take, lambda: self.give_back(units), is_urgent=is_urgent)
        self.admitted.append(name)

    def give_back(self, units):
        self.free += units
        self.queue.admit()


async def start(tasks, room, *args, **options):
    """Start a caller and let it wait."""
    tasks.start_soon(lambda: room.wait(*args, **options))
    await anyio.wait_all_tasks_blocked()


async def test_callers_are_admitted_in_order_although_a_later_one_would_fit(anyio_backend):
    room = Room(1)
    async with anyio.create_task_group() as tasks:
        await start(tasks, room, "large", 3)
        await start(tasks, room, "small", 1)
        assert_that(room.admitted, Equals([]))
        room.give_back(2)
        await anyio.wait_all_tasks_blocked()
        assert_that(room.admitted, Equals(["large"]))
        room.give_back(1)
    assert_that((room.admitted, room.free), Equals((["large", "small"], 0)))


async def test_urgent_caller_goes_before_those_that_wait(anyio_backend):
    room = Room(1)
    async with anyio.create_task_group() as tasks:
        await start(tasks, room, "large", 3)
        await start(tasks, room, "urgent", 1, is_urgent=True)
        await start(tasks, room, "urgent too", 1, is_urgent=True)
        assert_that(room.admitted, Equals(["urgent"]))
        room.give_back(4)
    assert_that(room.admitted, Equals(["urgent", "urgent too", "large"]))


async def test_caller_that_leaves_lets_the_next_one_go(anyio_backend):
    room = Room(1)
    async with anyio.create_task_group() as tasks:
        with anyio.move_on_after(0.01):
            async with anyio.create_task_group() as leaving:
                leaving.start_soon(room.wait, "large", 3)
                await anyio.wait_all_tasks_blocked()
                await start(tasks, room, "small", 1)
    assert_that((room.admitted, room.free), Equals((["small"], 0)))


# Guards against room that is lost if a caller leaves in the moment in which it is admitted.
async def test_room_of_a_caller_that_is_admitted_and_leaves_goes_to_the_next(anyio_backend):
    room = Room(0)
    async with anyio.create_task_group() as tasks:
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as leaving:
                leaving.start_soon(room.wait, "leaving", 1)
                await anyio.wait_all_tasks_blocked()
                await start(tasks, room, "next", 1)
                scope.cancel()
                room.give_back(1)
    assert_that((room.admitted, room.free), Equals((["next"], 0)))
