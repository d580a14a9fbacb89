"""Segment queue, token bucket and replay, each compared with a simple model."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from skylarkferry_core.ids import Epoch, Incarnation, PartitionNumber, ProgramId
from skylarkferry_core.partitions import JournalReference, PartitionRow
from skylarkferry_core.records import AllotmentTaken, PartitionRecord, Segment
from skylarkferry_core.replays import missing_sequences, replay
from skylarkferry_core.segments import QueuedRecord, SegmentQueue, TokenBucket

INCARNATION = Incarnation("a.1")
P0 = PartitionNumber(0)
WRITERS = 3


def record(number):
    return AllotmentTaken(ProgramId("0000-p"), number, 0)


def entry(number, epoch=1, copy_round=0, partition=P0):
    return PartitionRecord(partition, Epoch(epoch), record(number), copy_round)


def write_all(queue):
    """Write all queued records; request each segment twice, as after a lost answer."""
    numbers = []
    while (segment := queue.next_segment()) is not None:
        assert_that(queue.next_segment(), Equals(segment))
        assert_that(segment.sequence, Equals(queue.sequence))
        numbers.extend(item.record.record.tokens for item in queue.mark_written())
    return numbers


@pytest.mark.soak
@given(st.lists(st.tuples(st.sampled_from(["add", "next", "write", "drop"]), st.integers(0, 2))))
def test_segments_contain_each_record_once_and_in_order(steps):
    queue = SegmentQueue(INCARNATION, segment_bytes=30)
    expected, found, numbers = [], [], []
    for number, (step, partition) in enumerate(steps):
        match step:
            case "add":
                queue.add(QueuedRecord(entry(number, partition=PartitionNumber(partition)), 10))
                expected.append((partition, number))
            case "next":
                queue.next_segment()
            case "write" if (segment := queue.next_segment()) is not None:
                numbers.append(segment.sequence)
                found.extend(item.record.record.tokens for item in queue.mark_written())
            case "drop":
                queue.drop_partition(PartitionNumber(partition), Epoch(1))
                expected = [e for e in expected if e[0] != partition or e[1] in found]
    found.extend(write_all(queue))
    assert_that(found, Equals([number for _, number in expected]))
    assert_that(queue.backlog_bytes, Equals(0))
    assert_that(numbers, Equals(list(range(1, len(numbers) + 1))))


@given(st.floats(0.5, 50), st.floats(2, 20), st.lists(st.floats(0, 2), min_size=1, max_size=60))
def test_token_bucket_never_exceeds_burst_plus_rate(rate, burst, waits):
    bucket = TokenBucket(rate, burst)
    now, taken = 0.0, []
    for wait in waits:
        now += wait
        now += bucket.delay_s(now)
        bucket.take(now)
        taken.append(now)
    for first, start in enumerate(taken):
        for count, end in enumerate(taken[first:], start=1):
            assert_that(count, LessThan(burst + rate * (end - start) + 1e-3))


class History:
    """A partition with several successive writers, kept both as a list and as row and segments."""

    def __init__(self):
        self.expected = []
        self.row = PartitionRow()
        self.segments = []
        self.sequences = dict.fromkeys(range(WRITERS), 1)
        self.writer = 0
        self.adopt(0)

    def adopt(self, writer):
        self.writer = writer
        incarnation = Incarnation(f"{writer}.1")
        journals = self.row.journals
        if incarnation not in {journal.incarnation for journal in journals}:
            journals = (*journals, JournalReference(incarnation, self.sequences[writer]))
        self.row = PartitionRow(
            incarnation,
            Epoch(self.row.epoch + 1),
            journals,
            self.row.base_round,
            self.row.base_epoch,
            self.row.base_sequence,
        )

    def write(self, *entries):
        sequence = self.sequences[self.writer]
        self.segments.append(Segment(self.row.owner, sequence, entries))
        self.sequences[self.writer] = sequence + 1

    def append(self, number):
        self.expected.append(record(number))
        self.write(entry(number, self.row.epoch))

    def compact(self, *, finished):
        """Run a compaction round; an unfinished one writes only half of its copies."""
        base = (self.row.epoch, self.sequences[self.writer])
        seen = self.replayed()
        kept = seen if finished else seen[: len(seen) // 2]
        next_round = self.row.base_round + 1
        copies = (entry(item.tokens, self.row.epoch, next_round) for item in kept)
        self.write(*copies)
        if not finished:
            self.adopt((self.writer + 1) % WRITERS)
            return
        own = JournalReference(self.row.owner, base[1])
        self.row = PartitionRow(self.row.owner, self.row.epoch, (own,), next_round, *base)

    def replayed(self):
        listed = {journal.incarnation for journal in self.row.journals}
        read = [segment for segment in self.segments if segment.incarnation in listed]
        return replay(P0, self.row, read)


@pytest.mark.soak
@given(st.lists(st.sampled_from(["append", "append", "adopt", "compact", "half"]), max_size=30))
def test_replay_returns_all_appended_records_in_order(steps):
    history = History()
    for number, step in enumerate(steps):
        match step:
            case "append":
                history.append(number)
            case "adopt":
                history.adopt((history.writer + 1) % WRITERS)
            case "compact" | "half":
                history.compact(finished=step == "compact")
        assert_that(history.replayed(), Equals(history.expected))


def test_gaps_in_a_journal_are_found():
    row = PartitionRow(journals=(JournalReference(INCARNATION, 3),))
    segments = [Segment(INCARNATION, number, ()) for number in (1, 3, 6)]
    assert_that(missing_sequences(row, segments), Equals([(INCARNATION, 4), (INCARNATION, 5)]))
