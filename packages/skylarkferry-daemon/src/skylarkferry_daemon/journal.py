"""The node's journal: a single writer for segments and lease renewals."""

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
from skylarkferry_daemon.platform import PlatformServices
from skylarkferry_daemon.platform_retries import PlatformRetrier
from skylarkferry_daemon.segment_writes import SegmentWrite, SegmentWriter, WriteOutcome
from skylarkferry_daemon.settings import EntrySettings

SEGMENT_BYTES = 1_048_576
MIN_BURST_WRITES = 2.0
INITIAL_RETRY_S = 0.1
MAX_RETRY_S = 1.0


class PendingRecord(QueuedRecord):
    """A queued record and the event that is set once it is written or has failed."""

    def __init__(self, record: PartitionRecord, size: int) -> None:
        super().__init__(record, size)
        self.done = anyio.Event()
        self.error: NotOwnerError | None = None

    def fail(self, *, in_doubt: bool) -> None:
        """Fail the record: it was not written or, with ``in_doubt``, its outcome is unknown."""
        self.error = NotOwnerError(f"partition {self.record.partition} is no longer held")
        if in_doubt:
            self.error.word = FinalWord.UNKNOWN
        self.done.set()


class TableJournal:
    """Append records to the journal and renew the node's lease.

    Writes of segments, of the node's row and of partition rows are serialized by ``lock``.  Each
    journal write renews the lease and contains the next segment if records are queued.
    """

    def __init__(
        self,
        services: PlatformServices,
        lease: NodeLease,
        retrier: PlatformRetrier,
        settings: EntrySettings,
    ) -> None:
        self.lease = lease
        self.held_partitions = HeldPartitions()
        self.retrier = retrier
        self.backlog_bytes = settings.limits.journal_backlog_bytes
        self.writes_per_s = float(settings.platform.writes_per_s)
        self.bucket = TokenBucket(self.writes_per_s, max(self.writes_per_s, MIN_BURST_WRITES))
        self.segment_writer = SegmentWriter(services, lease, self.held_partitions, retrier)
        self.queue: SegmentQueue[PendingRecord] = SegmentQueue(Incarnation(""), SEGMENT_BYTES)
        self.lock = anyio.Lock()
        self.write_requested = anyio.Event()
        self.backlog_reduced = anyio.Event()
        self.changed = anyio.Event()
        self.renewal_due = False
        self.written_bytes = 0

    async def append(self, fence: Fence, record: Record, *, durable: bool) -> None:
        """Add a record after all earlier ones of this node."""
        entry = PartitionRecord(fence.partition, fence.epoch, record)
        await self.add(entry, durable=durable)

    async def add(self, entry: PartitionRecord, *, durable: bool) -> None:
        """Queue a record, or a copy that a compaction makes; arguments as in :meth:`append`."""
        fence = Fence(entry.partition, entry.epoch)
        self._check_held(fence)
        if not durable:
            await self._wait_for_backlog_space(fence)
        pending = PendingRecord(entry, len(msgspec.msgpack.encode(entry)))
        self.queue.add(pending)
        self.write_requested.set()
        if durable:
            await pending.done.wait()
            if pending.error is not None:
                raise pending.error

    def _check_held(self, fence: Fence) -> None:
        if self.held_partitions.find(fence) is None:
            raise NotOwnerError(f"partition {fence.partition} is not held at epoch {fence.epoch}")

    async def _wait_for_backlog_space(self, fence: Fence) -> None:
        while self.queue.backlog_bytes >= self.backlog_bytes:
            await self.backlog_reduced.wait()
            self._check_held(fence)

    def stalled_s(self) -> float:
        """Return how long the platform has been unavailable, in seconds; 0 if it is available."""
        if self.retrier.unavailable_since is None:
            return 0.0
        return self.retrier.timers.now() - self.retrier.unavailable_since

    async def flush(self) -> None:
        """Wait until all records are in the table; return early if the platform is unavailable."""
        while self.queue.has_unwritten() and self.retrier.unavailable_since is None:
            await self.changed.wait()

    def restart(self, incarnation: Incarnation) -> None:
        """Start the journal of a new incarnation; ``lock`` must be held."""
        self.queue = SegmentQueue(incarnation, SEGMENT_BYTES)
        self.segment_writer.object_keys.clear()
        self.written_bytes = 0
        self._notify_progress()

    def limit_write_rate(self, live_nodes: int) -> None:
        """Limit this node to an equal share of the platform's write rate."""
        rate = self.writes_per_s / max(live_nodes, 1)
        self.bucket.burst = max(rate, MIN_BURST_WRITES)
        self.bucket.set_rate(rate, self.retrier.timers.now())

    async def renew(self) -> None:
        """Request a lease renewal, which may share a write with a segment."""
        self.renewal_due = True
        self.write_requested.set()

    async def run(self) -> None:
        """Write segments and renewals until cancelled."""
        while True:
            await self.write_requested.wait()
            await self._wait_for_token()
            async with self.lock:
                self.write_requested = anyio.Event()
                await self._write()

    async def _wait_for_token(self) -> None:
        while delay_s := self.bucket.delay_s(self.retrier.timers.now()):
            await self.retrier.pause(delay_s)

    async def _write(self) -> None:
        """Write the next segment or renewal; retry until an outage ends."""
        while self.lease.registered and (self.renewal_due or self.queue.has_unwritten()):
            write = await self.segment_writer.prepare(self.queue.next_segment())
            self.bucket.take(self.retrier.timers.now())
            match await self._send_until_resolved(write):
                case WriteOutcome.WRITTEN:
                    self._finish(write)
                    if not self.lease.registered:
                        self.fail_all(in_doubt=False)
                    return
                case WriteOutcome.MOVED:
                    self._drop_moved_partitions(write)
                case WriteOutcome.DEAD:
                    self.fail_all(in_doubt=write.in_doubt)

    async def _send_until_resolved(self, write: SegmentWrite) -> WriteOutcome:
        """Send the same write until its outcome is known."""
        delay_s = INITIAL_RETRY_S
        while True:
            try:
                return await self.segment_writer.send(write)
            except WriteConflictError:
                return await self.segment_writer.resolve(write)
            except PlatformUnavailableError as error:
                write.in_doubt = True
                self.retrier.on_failure(error)
            await self.retrier.pause(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_S)

    def _finish(self, write: SegmentWrite) -> None:
        self.renewal_due = False
        if write.segment is not None:
            self.written_bytes += len(write.value)
            for pending in self.queue.mark_written():
                pending.done.set()
            self._notify_progress()
        if self.queue.has_unwritten():
            self.write_requested.set()

    def _drop_moved_partitions(self, write: SegmentWrite) -> None:
        """Drop moved partitions' records; the others are written under the same sequence number."""
        for partition, epoch in write.moved:
            self.lose(partition, epoch)

    def lose(self, partition: PartitionNumber, epoch: Epoch) -> None:
        """Remove a held partition and fail its records; ``lock`` must be held."""
        if self.held_partitions.find(Fence(partition, epoch)) is not None:
            self.held_partitions.lose(partition)
        for pending in self.queue.drop_partition(partition, epoch):
            pending.fail(in_doubt=False)
        self._notify_progress()

    def fail_all(self, *, in_doubt: bool) -> None:
        """Lose the lease, remove all held partitions and fail all records.

        ``lock`` must be held.  With ``in_doubt``, the outcome of records in flight is unknown.
        """
        self.lease.lose()
        in_flight = set(map(id, self.queue.in_flight))
        for partition, held in list(self.held_partitions.held.items()):
            self.held_partitions.lose(partition)
            for pending in self.queue.drop_partition(partition, held.epoch):
                pending.fail(in_doubt=in_doubt and id(pending) in in_flight)
        self._notify_progress()

    def _notify_progress(self) -> None:
        self.backlog_reduced.set()
        self.backlog_reduced = anyio.Event()
        self.changed.set()
        self.changed = anyio.Event()
