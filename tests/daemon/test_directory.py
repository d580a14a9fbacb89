import anyio
import anyio.lowlevel
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from core.scripts import accepted
from entry_fakes import FakeOwnership, running_entry, tool_done
from skylarkferry_core.errors import (
    ErrorCode,
    NotOwnerError,
    RequestKeyReusedError,
    UpstreamLostError,
)
from skylarkferry_core.frames import SealReply
from skylarkferry_core.ids import Fingerprint, partition_of
from skylarkferry_core.messages import Outcome
from skylarkferry_core.records import AllotmentTaken
from skylarkferry_core.states import FinalWord, SealVerdict
from skylarkferry_daemon.drivers import EarlyEnd


def with_fingerprint(request, fingerprint, **changes):
    return msgspec.structs.replace(request, fingerprint=Fingerprint(fingerprint), **changes)


@pytest.mark.anyio
async def test_a_driver_error_ends_only_its_own_program():
    async def on_tool(order):
        if "broken" in order.program_id or order.program_id == broken_id:
            raise RuntimeError("a fault of the entry")
        return await tool_done(order)

    broken_id = accepted("broken").program_id
    async with running_entry(on_tool) as entry:
        broken = await entry.run("broken")
        other = await entry.run("other")
    assert_that((broken.word, broken.error), Equals((FinalWord.UNKNOWN, ErrorCode.INTERNAL)))
    assert_that((other.word, other.answer), Equals((FinalWord.DONE, "done")))
    assert_that([event.number for event in entry.log.ring], Contains(104))


@pytest.mark.anyio
async def test_the_intent_is_durable_before_the_call_is_dispatched():
    async def on_tool(order):
        seen.extend(entry.journal.kinds())
        return await tool_done(order)

    seen = []
    async with running_entry(on_tool) as entry:
        await entry.run("sizing")
    assert_that(seen[-1], Equals("CallIntended"))


@pytest.mark.anyio
async def test_a_request_key_returns_its_program_and_refuses_another_body():
    request = accepted("sizing").request
    async with running_entry() as entry:
        first = await entry.directory.start(with_fingerprint(request, "a"))
        again = await entry.directory.start(with_fingerprint(request, "a", deadline_s=30.0))
        with pytest.raises(RequestKeyReusedError):
            await entry.directory.start(with_fingerprint(request, "b"))
    assert_that(again.program_id, Equals(first.program_id))


@pytest.mark.anyio
async def test_a_lost_call_is_dispatched_again_only_when_sealed():
    async def on_tool(order):
        if len(entry.sidecars.dispatched) == 1:
            raise UpstreamLostError("lost")
        return await tool_done(order)

    counts = {}
    for verdict in (SealVerdict.SEALED, SealVerdict.UNKNOWN, SealVerdict.EXECUTED):
        async with running_entry(on_tool) as entry:
            outcome = Outcome("call", FinalWord.DONE, result="{}")
            entry.sidecars.verdict = SealReply(verdict, outcome)
            view = await entry.run("sizing")
            counts[verdict] = (len(entry.sidecars.dispatched), view.calls[0].word)
    expected = {
        SealVerdict.SEALED: (2, FinalWord.DONE),
        SealVerdict.UNKNOWN: (1, FinalWord.UNKNOWN),
        SealVerdict.EXECUTED: (1, FinalWord.DONE),
    }
    assert_that(counts, Equals(expected))


@pytest.mark.anyio
async def test_a_cancelled_program_resolves_its_call_before_it_ends():
    async def on_tool(order):
        dispatched.set()
        await anyio.sleep_forever()

    words = {}
    for verdict in (SealVerdict.SEALED, SealVerdict.UNKNOWN):
        dispatched = anyio.Event()
        async with running_entry(on_tool) as entry:
            entry.sidecars.verdict = SealReply(verdict)
            view = await entry.directory.start(accepted("sizing").request)
            await dispatched.wait()
            driver = entry.directory.programs[view.program_id].driver
            driver.cancel(EarlyEnd(ErrorCode.CANCELLED, "cancelled"))
            words[verdict] = (await entry.run("sizing")).word
            released = entry.sidecars.released
        assert_that(released, Equals([view.program_id]))
    expected = {SealVerdict.SEALED: FinalWord.NOT_RUN, SealVerdict.UNKNOWN: FinalWord.UNKNOWN}
    assert_that(words, Equals(expected))


@pytest.mark.anyio
async def test_a_program_whose_partition_moved_is_dropped_with_not_owner_error():
    async with running_entry() as entry:
        entry.journal.open = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def start():
                with pytest.raises(NotOwnerError) as caught:
                    await entry.directory.start(accepted("sizing").request)
                assert_that(caught.value.word, Equals(FinalWord.UNKNOWN))

            tasks.start_soon(start)
            await anyio.lowlevel.checkpoint()
            entry.journal.moved = True
            entry.journal.open.set()
        assert_that(entry.directory.programs, Equals({}))


@pytest.mark.anyio
async def test_an_owner_that_lost_its_partition_detaches_its_calls_unsealed():
    async def on_tool(order):
        dispatched.set()
        await anyio.sleep_forever()

    dispatched = anyio.Event()
    async with running_entry(on_tool) as entry:
        view = await entry.directory.start(accepted("sizing").request)
        await dispatched.wait()
        entry.journal.moved = True
        driver = entry.directory.programs[view.program_id].driver
        driver.record_writer.append(AllotmentTaken(view.program_id, 1, 1))
        with pytest.raises(NotOwnerError):
            await entry.directory.programs[view.program_id].feed.wait_ended()
        sidecars = entry.sidecars
        assert_that(entry.directory.programs, Equals({}))
    assert_that((sidecars.sealed, sidecars.detached), Equals((0, [view.program_id])))


@pytest.mark.anyio
async def test_a_call_cancelled_by_an_earlier_owner_runs_again():
    async def on_tool(order):
        if len(entry.sidecars.dispatched) == 1:
            return Outcome(order.call_id, FinalWord.NOT_RUN, error=ErrorCode.CANCELLED)
        return await tool_done(order)

    async with running_entry(on_tool) as entry:
        view = await entry.run("sizing")
    assert_that((len(entry.sidecars.dispatched), view.word), Equals((2, FinalWord.DONE)))


@pytest.mark.anyio
async def test_an_ended_program_keeps_its_answer_and_is_not_counted_after_takeover():
    async with running_entry() as entry:
        view = await entry.run("sizing")
        records = entry.journal.records
    async with running_entry() as new_owner:
        fence = FakeOwnership().fence(partition_of(view.program_id))
        await new_owner.directory.on_acquired(fence, records)
        again = await new_owner.directory.start(accepted("sizing").request)
        counted = new_owner.directory.admission_controller.under_way[view.customer]
    assert_that((again.word, again.answer), Equals((FinalWord.DONE, "done")))
    assert_that(counted, Equals(0))
