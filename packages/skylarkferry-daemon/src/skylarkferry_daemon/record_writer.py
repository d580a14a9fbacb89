"""Journals the records of one program in order and publishes each step once it is durable."""

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

MAX_PENDING_RECORDS = 16


class RecordWriter:
    """Apply records to a program and append them to the journal in the same order.

    ``on_lost`` is called if the journal refuses a record because the partition has a new owner.
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
        self.pending_count = 0
        self.record_written = ChangeSignal()

    def append(self, record: Record, on_durable: Callable[[], None] | None = None) -> anyio.Event:
        """Apply a record and write it in the background.

        Once the record is durable, call ``on_durable`` and set the returned event.
        """
        step = self.program.apply(record)
        durable = anyio.Event()
        self.pending_count += 1
        # Tasks start in the order of these calls, so records reach the journal in that order.
        self.tasks.start_soon(self._write, record, step, durable, on_durable)
        return durable

    async def append_durably(self, record: Record) -> None:
        """Apply a record and wait until it is durable."""
        await self.append(record).wait()

    async def wait_for_capacity(self) -> None:
        """Wait until fewer than ``MAX_PENDING_RECORDS`` records are pending.

        This pauses the program during an outage.
        """
        while self.pending_count >= MAX_PENDING_RECORDS:
            await self.record_written.wait_beyond(self.record_written.count)

    async def _write(
        self,
        record: Record,
        step: Step | None,
        durable: anyio.Event,
        on_durable: Callable[[], None] | None,
    ) -> None:
        try:
            await self.journal.append(self.fence, record, durable=True)
        except NotOwnerError:
            self.on_lost()
            return
        self.pending_count -= 1
        self.record_written.notify()
        if step is not None:
            self.feed.publish(step, ends_turn=_ends_root_turn(record))
        if on_durable is not None:
            on_durable()
        durable.set()


def _ends_root_turn(record: Record) -> bool:
    """Return True if the step replaces the text streamed so far for the root run."""
    return isinstance(record, TurnCompleted) and record.slot.run_id == ROOT_RUN
