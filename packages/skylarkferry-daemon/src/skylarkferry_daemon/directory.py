"""Directory of the programs in the partitions that this node owns."""

from collections import OrderedDict
from collections.abc import AsyncIterator, Sequence

import anyio
from anyio.abc import TaskGroup

from skylarkferry_core.entry_messages import ProgramRequest, ProgramSelector, ProgramView, WatchItem
from skylarkferry_core.errors import (
    ErrorCode,
    ForbiddenError,
    NotFoundError,
    NotOwnerError,
    OutcomeUnknownError,
    RequestKeyReusedError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import PartitionNumber, ProgramId, partition_of, program_id_for
from skylarkferry_core.messages import Fence, Outcome
from skylarkferry_core.programs import SERVICE_SLOT, Program, replay
from skylarkferry_core.records import ProgramAccepted, ProgramEnded, Record
from skylarkferry_daemon.admission_control import AdmissionController
from skylarkferry_daemon.attempt_history import with_unknown_outcome
from skylarkferry_daemon.change_signals import ChangeSignal
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.drivers import Driver, EarlyEnd
from skylarkferry_daemon.interfaces import Ownership
from skylarkferry_daemon.program_feeds import ProgramFeed

ACCEPT_TIMEOUT_S = 5.0
ACCEPT_RETRY_S = 2.0
NOT_OWNER_RETRY_S = 1.0
CANCEL_TIMEOUT_S = 5.0


class TrackedProgram:
    """A program in the directory; ``driver`` is ``None`` once the program has ended."""

    def __init__(self, program: Program, feed: ProgramFeed, driver: Driver | None) -> None:
        self.program = program
        self.feed = feed
        self.driver = driver
        self.is_accepted = False
        self.acceptance_resolved = ChangeSignal()

    def resolve_acceptance(self, *, accepted: bool) -> None:
        """Wake waiting callers because the acceptance is durable or the program has moved."""
        self.is_accepted = accepted
        self.acceptance_resolved.notify()


class ProgramDirectory:
    """Starts, finds, drives and drops the programs of the partitions that this node owns."""

    def __init__(
        self,
        *,
        context: EntryContext,
        ownership: Ownership,
        admission_controller: AdmissionController,
        partitions: int,
        ended_kept: int,
        tasks: TaskGroup,
    ) -> None:
        self.context = context
        self.ownership = ownership
        self.admission_controller = admission_controller
        self.partitions = partitions
        self.ended_kept = ended_kept
        self.tasks = tasks
        self.programs: dict[ProgramId, TrackedProgram] = {}
        self.ended: OrderedDict[ProgramId, None] = OrderedDict()

    async def start(self, request: ProgramRequest) -> ProgramView:
        """Start a program, or return the one started earlier with the same request key.

        Raise ``RequestKeyReusedError``, ``NotOwnerError``, the error with which admission
        refuses the program, or ``OutcomeUnknownError`` if the platform does not confirm in time.
        """
        program_id = program_id_for(request.customer, request.request_key, self.partitions)
        fence = self._fence_of(program_id)
        tracked = self.programs.get(program_id)
        if tracked is None:
            self.admission_controller.admit(program_id, request, anyio.current_time())
            tracked = self._accept(program_id, request, fence)
        elif not tracked.program.request.is_repeat_of(request):
            raise RequestKeyReusedError("the request key was used with a different body")
        await self._wait_accepted(tracked)
        return tracked.program.view()

    def _accept(
        self, program_id: ProgramId, request: ProgramRequest, fence: Fence
    ) -> TrackedProgram:
        record = ProgramAccepted(program_id, request, self.context.wall_s())
        program = Program(record)
        tracked = TrackedProgram(program, ProgramFeed([], False), None)
        tracked.driver = Driver(self.context, program, fence, tracked.feed)
        self.programs[program_id] = tracked
        # The acceptance is journaled first, but the first turn may run before the acceptance is
        # durable.  A call that may not be repeated waits until its own, later record is durable.
        self.tasks.start_soon(self._write_acceptance, tracked, fence, record)
        self.tasks.start_soon(self._drive, tracked)
        return tracked

    async def _wait_accepted(self, tracked: TrackedProgram) -> None:
        if not tracked.is_accepted:
            with anyio.move_on_after(ACCEPT_TIMEOUT_S):
                await tracked.acceptance_resolved.wait_beyond(0)
        if tracked.program.program_id not in self.programs:
            raise with_unknown_outcome(
                NotOwnerError("the partition moved", retry_after_s=NOT_OWNER_RETRY_S)
            )
        if not tracked.is_accepted:
            raise OutcomeUnknownError(
                "the platform did not confirm the program in time; send the same request again",
                retry_after_s=ACCEPT_RETRY_S,
            )

    async def _write_acceptance(
        self, tracked: TrackedProgram, fence: Fence, record: ProgramAccepted
    ) -> None:
        try:
            await self.context.journal.append(fence, record, durable=True)
        except NotOwnerError:
            assert tracked.driver is not None
            tracked.driver.abandon()
            return
        tracked.feed.publish(tracked.program.steps[0])
        tracked.resolve_acceptance(accepted=True)
        self.context.log.emit(
            EventKind.PROGRAM_ACCEPTED, record.program_id, agent=record.request.agent
        )

    async def _drive(self, tracked: TrackedProgram) -> None:
        assert tracked.driver is not None
        try:
            await tracked.driver.run()
        except* NotOwnerError:
            tracked.driver.abandoned = True
        except* Exception as group:
            await self._end_failed(tracked, repr(group.exceptions[0]))
        if tracked.driver.abandoned:
            self._drop(tracked)
        else:
            self._retire(tracked)

    async def _end_failed(self, tracked: TrackedProgram, detail: str) -> None:
        """End a program whose driver raised an error; other programs are not affected."""
        program = tracked.program
        self.context.log.emit(EventKind.TASK_FAILED, program.program_id, error=detail)
        assert tracked.driver is not None
        record = ProgramEnded(
            program.program_id, program.word_on_failure(), "", ErrorCode.INTERNAL, detail
        )
        try:
            await self.context.journal.append(tracked.driver.fence, record, durable=True)
        except NotOwnerError:
            tracked.driver.abandoned = True
            return
        step = program.apply(record)
        if step is not None:
            tracked.feed.publish(step)
        tracked.feed.end()

    def _drop(self, tracked: TrackedProgram) -> None:
        """Drop a program that another node drives; its watchers look up the new owner."""
        found = self.programs.get(tracked.program.program_id)
        if found is tracked:
            del self.programs[tracked.program.program_id]
        self.admission_controller.release(tracked.program)
        tracked.resolve_acceptance(accepted=False)
        tracked.feed.mark_lost()

    def _retire(self, tracked: TrackedProgram) -> None:
        """Stop counting an ended program in admission and keep its answer."""
        tracked.driver = None
        self.admission_controller.release(tracked.program)
        self._keep_ended(tracked)

    def _keep_ended(self, tracked: TrackedProgram) -> None:
        """Keep an ended program's answer and drop the oldest ones above ``ended_kept``."""
        tracked.program.runs.clear()
        self.ended[tracked.program.program_id] = None
        while len(self.ended) > self.ended_kept:
            oldest, _ = self.ended.popitem(last=False)
            self.programs.pop(oldest, None)

    async def on_acquired(self, fence: Fence, records: Sequence[Record]) -> None:
        """Replay the partition's programs and resume those that have not ended."""
        by_program: dict[ProgramId, list[Record]] = {}
        for record in records:
            by_program.setdefault(record.program_id, []).append(record)
        for history in by_program.values():
            self._resume(fence, history)

    def _resume(self, fence: Fence, history: list[Record]) -> None:
        program = replay(history)
        feed = ProgramFeed(list(program.steps), program.ended is not None)
        tracked = TrackedProgram(program, feed, None)
        tracked.resolve_acceptance(accepted=True)
        self.programs[program.program_id] = tracked
        if program.ended is not None:
            self._keep_ended(tracked)
            return
        self.admission_controller.count_resumed(program.request)
        tracked.driver = Driver(self.context, program, fence, feed)
        self.context.log.emit(
            EventKind.PROGRAM_RESUMED,
            program.program_id,
            epoch=fence.epoch,
            turns=program.budget.turns,
        )
        self.tasks.start_soon(self._drive, tracked)

    async def on_lost(self, partition: PartitionNumber) -> None:
        """Stop driving the programs of a partition."""
        for program_id in [key for key in self.programs if partition_of(key) == partition]:
            tracked = self.programs[program_id]
            if tracked.driver is not None:
                tracked.driver.abandon()
            else:
                self._forget_ended(tracked)

    def _forget_ended(self, tracked: TrackedProgram) -> None:
        program_id = tracked.program.program_id
        self.programs.pop(program_id, None)
        self.ended.pop(program_id, None)
        tracked.feed.mark_lost()

    def show(self, selector: ProgramSelector) -> ProgramView:
        """Return a program; raise ``NotFoundError`` or ``NotOwnerError``."""
        return self._find(selector).program.view()

    async def cancel(self, selector: ProgramSelector) -> ProgramView:
        """Cancel a program and return its view; wait up to ``CANCEL_TIMEOUT_S`` for its end."""
        tracked = self._find(selector)
        if tracked.driver is not None:
            tracked.driver.cancel(EarlyEnd(ErrorCode.CANCELLED, "cancelled by the caller"))
            with anyio.move_on_after(CANCEL_TIMEOUT_S):
                await tracked.feed.wait_ended()
        return tracked.program.view()

    def watch(self, selector: ProgramSelector, after: int) -> AsyncIterator[WatchItem]:
        """Iterate over steps and output; raise ``NotOwnerError`` if the program moves."""
        return self._find(selector).feed.watch(after)

    async def outcome(self, program_id: ProgramId) -> Outcome:
        """Return the outcome of a program that represents one service call, once it has ended."""
        tracked = self._find(ProgramSelector(program_id))
        await tracked.feed.wait_ended()
        ended = tracked.program.ended
        assert ended is not None
        for outcome in tracked.program.outcomes.values():
            return outcome
        call_id = tracked.program.call_id(SERVICE_SLOT)
        return Outcome(call_id, ended.word, error=ended.error, detail=ended.detail)

    def list(self) -> list[ProgramView]:
        """Return the programs under way on this node."""
        return [tracked.program.view() for tracked in self.programs.values() if tracked.driver]

    def _find(self, selector: ProgramSelector) -> TrackedProgram:
        self._fence_of(selector.program_id)
        tracked = self.programs.get(selector.program_id)
        if tracked is None:
            raise NotFoundError("no such program")
        if selector.customer and tracked.program.request.customer != selector.customer:
            raise ForbiddenError("the program belongs to another customer")
        return tracked

    def _fence_of(self, program_id: ProgramId) -> Fence:
        try:
            fence = self.ownership.fence(partition_of(program_id))
        except ValueError as error:
            raise NotFoundError("no such program") from error
        if fence is None:
            raise NotOwnerError("another node drives the program", retry_after_s=NOT_OWNER_RETRY_S)
        return fence
