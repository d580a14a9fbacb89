"""Journals the records of one program in order and publishes their steps once durable."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from skylarkferry_core.entry_messages import Step
from skylarkferry_core.errors import NotOwnerError
from skylarkferry_core.messages import Fence
from skylarkferry_core.programs import Program
from skylarkferry_core.records import Record, TurnCompleted
from skylarkferry_core.runs import ROOT_RUN
from skylarkferry_daemon.change_signals import ChangeSignal
from skylarkferry_daemon.interfaces import Journal
from skylarkferry_daemon.program_feeds import ProgramFeed

UNWRITTEN_RECORDS = 16


class RecordWriter:
    """Apply records to a program and write them, all in one order.

    ``on_lost`` is called when a write is refused because the partition has another owner.
    """

    def __init__(
        self,
        program: Program,
        fence: Fence,
        journal: Journal,
        *,
        feed: ProgramFeed,
        tasks: TaskGroup,
        on_lost: Callable[[], None],
    ) -> None:
        self.program = program
        self.fence = fence
        self.journal = journal
        self.feed = feed
        self.tasks = tasks
        self.on_lost = on_lost
        self.unwritten = 0
        self.drained = ChangeSignal()

    def append(self, record: Record, then: Callable[[], None] | None = None) -> anyio.Event:
        """Apply a record and write it in the background.

        Once it is durable ``then`` is called and the event is set.
        """
        step = self.program.apply(record)
        durable = anyio.Event()
        self.unwritten += 1
        # Tasks start in the order of these calls, so the journal gets the records in that order.
        self.tasks.start_soon(self._write, record, step, durable, then)
        return durable

    async def append_durably(self, record: Record) -> None:
        """Apply a record and return when it is durable."""
        await self.append(record).wait()

    async def wait_for_capacity(self) -> None:
        """Return when few records wait to be written; an outage stops the program here."""
        while self.unwritten >= UNWRITTEN_RECORDS:
            await self.drained.wait_beyond(self.drained.count)

    async def _write(
        self,
        record: Record,
        step: Step | None,
        durable: anyio.Event,
        then: Callable[[], None] | None,
    ) -> None:
        try:
            await self.journal.append(self.fence, record, durable=True)
        except NotOwnerError:
            self.on_lost()
            return
        self.unwritten -= 1
        self.drained.notify()
        if step is not None:
            self.feed.publish(step, ends_turn=_ends_own_turn(record))
        if then is not None:
            then()
        durable.set()


def _ends_own_turn(record: Record) -> bool:
    """Tell whether the step replaces the streamed text of the caller's run."""
    return isinstance(record, TurnCompleted) and record.slot.run_id == ROOT_RUN
