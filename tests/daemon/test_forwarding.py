import anyio
import anyio.lowlevel
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from core.scripts import accepted
from skylarkferry_core.errors import (
    ConnectionLostError,
    NotOwnerError,
    PlatformUnavailableError,
    SkylarkferryError,
)
from skylarkferry_core.states import FinalWord
from skylarkferry_daemon.forwarding import SystemPrograms

OWNER = "127.0.0.1:1"


class FakeAdmissionController:
    """Says that the platform is down from the ``down_after``-th question on."""

    def __init__(self, down_after):
        self.questions = 0
        self.down_after = down_after

    def check_platform(self):
        self.questions += 1
        if self.questions > self.down_after:
            raise PlatformUnavailableError("down", retry_after_s=1.0)


class FakeDirectory:
    partitions = 24

    def __init__(self, down_after):
        self.admission_controller = FakeAdmissionController(down_after)


class FakeOwnership:
    def fence(self, partition):
        return None

    def owner_address(self, partition):
        return OWNER


class FakePeers:
    """Fails with one error after the other."""

    def __init__(self, errors):
        self.errors = list(errors)

    async def call(self, address, method, request, timeout_s):
        await anyio.lowlevel.checkpoint()
        raise self.errors.pop(0)


async def outcome_after(errors, down_after):
    """Return the word of a start whose tries failed, once the platform is down."""
    async with anyio.create_task_group() as tasks:
        programs = SystemPrograms(
            directory=FakeDirectory(down_after),
            ownership=FakeOwnership(),
            peers=FakePeers(errors),
            relay=None,
            tasks=tasks,
        )
        with pytest.raises(SkylarkferryError) as caught:
            await programs.start(accepted().request)
        tasks.cancel_scope.cancel()
    return caught.value.word


@pytest.mark.anyio
async def test_a_start_that_no_owner_took_is_not_run():
    refusals = [NotOwnerError("no owner"), NotOwnerError("no owner")]
    assert_that(await outcome_after(refusals, down_after=2), Equals(FinalWord.NOT_RUN))


@pytest.mark.anyio
async def test_a_start_that_one_owner_may_have_taken_stays_unknown():
    tries = [ConnectionLostError("lost"), NotOwnerError("no owner")]
    assert_that(await outcome_after(tries, down_after=2), Equals(FinalWord.UNKNOWN))
