"""The node's journal: one writer for segments and lease renewals."""

import anyio
import msgspec

from skylarkferry_core.errors import NotOwnerError, PlatformUnavailableError, WriteConflictError
from skylarkferry_core.held_partitions import HeldPartitions
from skylarkferry_core.ids import Epoch, Incarnation, PartitionNumber
from skylarkferry_core.leases import NodeLease
from skylarkferry_core.messages import Fence
from skylarkferry_core.records import PartitionRecord, Record
from skylarkferry_core.segments import QueuedRecord, SegmentQueue, TokenBucket
from skylarkferry_core.states import FinalWord
from skylarkferry_daemon.patience import Patience
from skylarkferry_daemon.platform import PlatformServices
from skylarkferry_daemon.segment_writes import SegmentWrite, SegmentWrites, Settlement
from skylarkferry_daemon.settings import EntrySettings

SEGMENT_BYTES = 1_048_576
LEAST_BURST_WRITES = 2.0
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0


class Ticket(QueuedRecord):
    """A queued record and the event its writer waits for."""

    def __init__(self, record: PartitionRecord, size: int) -> None:
        super().__init__(record, size)
        self.settled = anyio.Event()
        self.error: NotOwnerError | None = None

    def fail(self, *, in_doubt: bool) -> None:
        """Tell the waiter that the record was not written, or may not have been."""
        self.error = NotOwnerError(f"partition {self.record.partition} changed hands")
        if in_doubt:
            self.error.word = FinalWord.UNKNOWN
        self.settled.set()


class TableJournal:
    """Append records to the journal and keep the node's lease renewed.

    Every write of the node, also one of its ownership, happens under ``lock``, one at a time.  A
    write carries the next segment, if records wait, and always renews the lease.
    """

    def __init__(
        self,
        services: PlatformServices,
        lease: NodeLease,
        patience: Patience,
        settings: EntrySettings,
    ) -> None:
        self.lease = lease
        self.holdings = HeldPartitions()
        self.patience = patience
        self.backlog_bytes = settings.limits.journal_backlog_bytes
        self.writes_per_s = float(settings.platform.writes_per_s)
        self.bucket = TokenBucket(self.writes_per_s, max(self.writes_per_s, LEAST_BURST_WRITES))
        self.writes = SegmentWrites(services, lease, self.holdings, patience)
        self.queue: SegmentQueue[Ticket] = SegmentQueue(Incarnation(""), SEGMENT_BYTES)
        self.lock = anyio.Lock()
        self.work = anyio.Event()
        self.room = anyio.Event()
        self.changed = anyio.Event()
        self.renewal_due = False
        self.written_bytes = 0

    async def append(self, fence: Fence, record: Record, *, durable: bool) -> None:
        """Add a record after all earlier ones of this node."""
        entry = PartitionRecord(fence.partition, fence.epoch, record)
        await self.add(entry, durable=durable)

    async def add(self, entry: PartitionRecord, *, durable: bool) -> None:
        """Add a record or a copy of one."""
        fence = Fence(entry.partition, entry.epoch)
        self._check(fence)
        if not durable:
            await self._wait_for_room(fence)
        ticket = Ticket(entry, len(msgspec.msgpack.encode(entry)))
        self.queue.add(ticket)
        self.work.set()
        if durable:
            await ticket.settled.wait()
            if ticket.error is not None:
                raise ticket.error

    def _check(self, fence: Fence) -> None:
        if self.holdings.find(fence) is None:
            raise NotOwnerError(f"partition {fence.partition} is not held at {fence.epoch}")

    async def _wait_for_room(self, fence: Fence) -> None:
        while self.queue.backlog_bytes >= self.backlog_bytes:
            await self.room.wait()
            self._check(fence)

    def stalled_s(self) -> float:
        """Return for how many seconds the platform has not answered; 0 while it does."""
        if self.patience.lost_at is None:
            return 0.0
        return self.patience.timers.now() - self.patience.lost_at

    async def flush(self) -> None:
        """Wait until all records are in the table, unless the platform does not answer."""
        while self.queue.has_unwritten() and self.patience.lost_at is None:
            await self.changed.wait()

    def restart(self, incarnation: Incarnation) -> None:
        """Begin the journal of a new incarnation; the lock must be held."""
        self.queue = SegmentQueue(incarnation, SEGMENT_BYTES)
        self.writes.object_keys.clear()
        self.written_bytes = 0
        self._make_room()

    def share_rate(self, live_nodes: int) -> None:
        """Hold this node to its part of the platform's write rate."""
        rate = self.writes_per_s / max(live_nodes, 1)
        self.bucket.burst = max(rate, LEAST_BURST_WRITES)
        self.bucket.set_rate(rate, self.patience.timers.now())

    async def renew(self) -> None:
        """Ask for a renewal of the lease; a segment may carry it."""
        self.renewal_due = True
        self.work.set()

    async def run(self) -> None:
        """Write segments and renewals until cancelled."""
        while True:
            await self.work.wait()
            await self._wait_for_token()
            async with self.lock:
                self.work = anyio.Event()
                await self._write()

    async def _wait_for_token(self) -> None:
        while delay_s := self.bucket.delay_s(self.patience.timers.now()):
            await self.patience.pause(delay_s)

    async def _write(self) -> None:
        """Bring the next segment or renewal into the table, however long it takes."""
        while self.lease.registered and (self.renewal_due or self.queue.has_unwritten()):
            write = await self.writes.prepare(self.queue.next_segment())
            self.bucket.take(self.patience.timers.now())
            match await self._settle(write):
                case Settlement.WRITTEN:
                    self._finish(write)
                    if not self.lease.registered:
                        self.fail_all(in_doubt=False)
                    return
                case Settlement.MOVED:
                    self._drop_moved(write)
                case Settlement.DEAD:
                    self.fail_all(in_doubt=write.in_doubt)

    async def _settle(self, write: SegmentWrite) -> Settlement:
        """Send a write, as it was, until its outcome is known."""
        delay_s = FIRST_RETRY_S
        while True:
            try:
                return await self.writes.send(write)
            except WriteConflictError:
                return await self.writes.resolve(write)
            except PlatformUnavailableError as error:
                write.in_doubt = True
                self.patience.lost(error)
            await self.patience.pause(delay_s)
            delay_s = min(delay_s * 2, LONGEST_RETRY_S)

    def _finish(self, write: SegmentWrite) -> None:
        self.renewal_due = False
        if write.segment is not None:
            self.written_bytes += len(write.value)
            for ticket in self.queue.mark_written():
                ticket.settled.set()
            self._make_room()
        if self.queue.has_unwritten():
            self.work.set()

    def _drop_moved(self, write: SegmentWrite) -> None:
        """Drop the records of partitions that moved; the rest keeps its number."""
        for partition, epoch in write.moved:
            self.lose(partition, epoch)

    def lose(self, partition: PartitionNumber, epoch: Epoch) -> None:
        """Hold a partition no longer and fail its records; the lock must be held."""
        if self.holdings.find(Fence(partition, epoch)) is not None:
            self.holdings.lose(partition)
        for ticket in self.queue.drop_partition(partition, epoch):
            ticket.fail(in_doubt=False)
        self._make_room()

    def fail_all(self, *, in_doubt: bool) -> None:
        """Hold nothing any longer and fail all records; the lock must be held."""
        self.lease.lose()
        in_flight = set(map(id, self.queue.in_flight))
        for partition, holding in list(self.holdings.held.items()):
            self.holdings.lose(partition)
            for ticket in self.queue.drop_partition(partition, holding.epoch):
                ticket.fail(in_doubt=in_doubt and id(ticket) in in_flight)
        self._make_room()

    def _make_room(self) -> None:
        self.room.set()
        self.room = anyio.Event()
        self.changed.set()
        self.changed = anyio.Event()
