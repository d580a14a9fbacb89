"""Programs of the partitions this node holds."""

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
from skylarkferry_daemon.admitting import Admitter
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.doubts import in_doubt
from skylarkferry_daemon.drivers import Driver, Ending
from skylarkferry_daemon.feeds import ProgramFeed
from skylarkferry_daemon.interfaces import Ownership
from skylarkferry_daemon.signals import Signal

ACCEPT_TIMEOUT_S = 5.0
ACCEPT_RETRY_S = 2.0
NOT_OWNER_RETRY_S = 1.0
CANCEL_WAIT_S = 5.0


class HeldProgram:
    """One program in the directory; ``driver`` is ``None`` once it ended."""

    def __init__(self, program: Program, feed: ProgramFeed, driver: Driver | None) -> None:
        self.program = program
        self.feed = feed
        self.driver = driver
        self.is_accepted = False
        self.settled = Signal()

    def settle(self, *, accepted: bool) -> None:
        """Tell callers whether the acceptance is durable or the program has moved."""
        self.is_accepted = accepted
        self.settled.notify()


class ProgramDirectory:
    """Start, find, drive and drop programs; hears of partitions gained and lost."""

    def __init__(
        self,
        *,
        context: EntryContext,
        ownership: Ownership,
        admitter: Admitter,
        partitions: int,
        ended_kept: int,
        tasks: TaskGroup,
    ) -> None:
        self.context = context
        self.ownership = ownership
        self.admitter = admitter
        self.partitions = partitions
        self.ended_kept = ended_kept
        self.tasks = tasks
        self.programs: dict[ProgramId, HeldProgram] = {}
        self.ended: OrderedDict[ProgramId, None] = OrderedDict()

    async def start(self, request: ProgramRequest) -> ProgramView:
        """Start a program, or return the one that the key started before.

        Raise ``RequestKeyReusedError``, ``NotOwnerError``, an admission's refusal, or
        ``OutcomeUnknownError`` when the platform did not confirm in time.
        """
        program_id = program_id_for(request.customer, request.request_key, self.partitions)
        fence = self._fence_of(program_id)
        held = self.programs.get(program_id)
        if held is None:
            self.admitter.admit(program_id, request, anyio.current_time())
            held = self._accept(program_id, request, fence)
        elif not held.program.request.is_repeat_of(request):
            raise RequestKeyReusedError("the request key stands for a different body")
        await self._wait_accepted(held)
        return held.program.view()

    def _accept(self, program_id: ProgramId, request: ProgramRequest, fence: Fence) -> HeldProgram:
        record = ProgramAccepted(program_id, request, self.context.wall_s())
        program = Program(record)
        held = HeldProgram(program, ProgramFeed([], False), None)
        held.driver = Driver(self.context, program, fence, held.feed)
        self.programs[program_id] = held
        # The journal gets the acceptance first; the first turn may run before it is durable, since
        # nothing that may not be repeated is ordered before a later record is.
        self.tasks.start_soon(self._write_acceptance, held, fence, record)
        self.tasks.start_soon(self._drive, held)
        return held

    async def _wait_accepted(self, held: HeldProgram) -> None:
        if not held.is_accepted:
            with anyio.move_on_after(ACCEPT_TIMEOUT_S):
                await held.settled.wait_beyond(0)
        if held.program.program_id not in self.programs:
            raise in_doubt(NotOwnerError("the partition moved", retry_after_s=NOT_OWNER_RETRY_S))
        if not held.is_accepted:
            raise OutcomeUnknownError(
                "the platform did not confirm in time; send the same request again",
                retry_after_s=ACCEPT_RETRY_S,
            )

    async def _write_acceptance(
        self, held: HeldProgram, fence: Fence, record: ProgramAccepted
    ) -> None:
        try:
            await self.context.journal.append(fence, record, durable=True)
        except NotOwnerError:
            assert held.driver is not None
            held.driver.abandon()
            return
        held.feed.publish(held.program.steps[0])
        held.settle(accepted=True)
        self.context.log.emit(
            EventKind.PROGRAM_ACCEPTED, record.program_id, agent=record.request.agent
        )

    async def _drive(self, held: HeldProgram) -> None:
        assert held.driver is not None
        try:
            await held.driver.run()
        except* NotOwnerError:
            held.driver.abandoned = True
        except* Exception as group:
            await self._end_failed(held, repr(group.exceptions[0]))
        if held.driver.abandoned:
            self._drop(held)
        else:
            self._retire(held)

    async def _end_failed(self, held: HeldProgram, detail: str) -> None:
        """End a program that its driver failed on; the other programs go on."""
        program = held.program
        self.context.log.emit(EventKind.TASK_FAILED, program.program_id, error=detail)
        assert held.driver is not None
        record = ProgramEnded(
            program.program_id, program.word_on_failure(), "", ErrorCode.INTERNAL, detail
        )
        try:
            await self.context.journal.append(held.driver.fence, record, durable=True)
        except NotOwnerError:
            held.driver.abandoned = True
            return
        step = program.apply(record)
        if step is not None:
            held.feed.publish(step)
        held.feed.end()

    def _drop(self, held: HeldProgram) -> None:
        """Forget a program that another node drives; watchers look for its owner."""
        found = self.programs.get(held.program.program_id)
        if found is held:
            del self.programs[held.program.program_id]
        self.admitter.ended(held.program)
        held.settle(accepted=False)
        held.feed.lose()

    def _retire(self, held: HeldProgram) -> None:
        """Count an ended program out and keep its answer."""
        held.driver = None
        self.admitter.ended(held.program)
        self._keep_ended(held)

    def _keep_ended(self, held: HeldProgram) -> None:
        """Keep an ended program's answer, within the bound, and free the rest."""
        held.program.runs.clear()
        self.ended[held.program.program_id] = None
        while len(self.ended) > self.ended_kept:
            oldest, _ = self.ended.popitem(last=False)
            self.programs.pop(oldest, None)

    async def on_adopted(self, fence: Fence, records: Sequence[Record]) -> None:
        """Replay the partition's programs and drive on those that have not ended."""
        by_program: dict[ProgramId, list[Record]] = {}
        for record in records:
            by_program.setdefault(record.program_id, []).append(record)
        for history in by_program.values():
            self._resume(fence, history)

    def _resume(self, fence: Fence, history: list[Record]) -> None:
        program = replay(history)
        feed = ProgramFeed(list(program.steps), program.ended is not None)
        held = HeldProgram(program, feed, None)
        held.settle(accepted=True)
        self.programs[program.program_id] = held
        if program.ended is not None:
            self._keep_ended(held)
            return
        self.admitter.resumed(program.request)
        held.driver = Driver(self.context, program, fence, feed)
        self.context.log.emit(
            EventKind.PROGRAM_RESUMED,
            program.program_id,
            epoch=fence.epoch,
            turns=program.budget.turns,
        )
        self.tasks.start_soon(self._drive, held)

    async def on_lost(self, partition: PartitionNumber) -> None:
        """Stop driving the programs of a partition."""
        for program_id in [key for key in self.programs if partition_of(key) == partition]:
            held = self.programs[program_id]
            if held.driver is not None:
                held.driver.abandon()
            else:
                self._forget_ended(held)

    def _forget_ended(self, held: HeldProgram) -> None:
        program_id = held.program.program_id
        self.programs.pop(program_id, None)
        self.ended.pop(program_id, None)
        held.feed.lose()

    def show(self, selector: ProgramSelector) -> ProgramView:
        """Return a program; raise ``NotFoundError`` or ``NotOwnerError``."""
        return self._find(selector).program.view()

    async def cancel(self, selector: ProgramSelector) -> ProgramView:
        """Cancel a program and return it once its end is durable, or as it stands by then."""
        held = self._find(selector)
        if held.driver is not None:
            held.driver.cancel(Ending(ErrorCode.CANCELLED, "cancelled by the caller"))
            with anyio.move_on_after(CANCEL_WAIT_S):
                await held.feed.wait_ended()
        return held.program.view()

    def watch(self, selector: ProgramSelector, after: int) -> AsyncIterator[WatchItem]:
        """Iterate a program's steps and output; raise ``NotOwnerError`` when it moves."""
        return self._find(selector).feed.watch(after)

    async def outcome(self, program_id: ProgramId) -> Outcome:
        """Return the outcome of a program that stands for one service call, once it ended."""
        held = self._find(ProgramSelector(program_id))
        await held.feed.wait_ended()
        ended = held.program.ended
        assert ended is not None
        for outcome in held.program.outcomes.values():
            return outcome
        call_id = held.program.call_id(SERVICE_SLOT)
        return Outcome(call_id, ended.word, error=ended.error, detail=ended.detail)

    def list(self) -> list[ProgramView]:
        """Return the programs under way on this node."""
        return [held.program.view() for held in self.programs.values() if held.driver]

    def _find(self, selector: ProgramSelector) -> HeldProgram:
        self._fence_of(selector.program_id)
        held = self.programs.get(selector.program_id)
        if held is None:
            raise NotFoundError("no such program")
        if selector.customer and held.program.request.customer != selector.customer:
            raise ForbiddenError("the program belongs to another customer")
        return held

    def _fence_of(self, program_id: ProgramId) -> Fence:
        try:
            fence = self.ownership.fence(partition_of(program_id))
        except ValueError as error:
            raise NotFoundError("no such program") from error
        if fence is None:
            raise NotOwnerError("another node drives it", retry_after_s=NOT_OWNER_RETRY_S)
        return fence
