"""Replay and compaction of a partition's records from journal segments."""

from collections.abc import Iterable, Sequence

from skylarkferry_core.ids import Incarnation, PartitionNumber, ProgramId
from skylarkferry_core.partitions import PartitionRow
from skylarkferry_core.records import PartitionRecord, ProgramEnded, Record, Segment

Position = tuple[int, int, int]
"""Epoch, segment sequence and index in the segment; a single node writes each epoch."""


def replay(
    partition: PartitionNumber, row: PartitionRow, segments: Iterable[Segment]
) -> list[Record]:
    """Return the partition's records in write order: base copies, then later originals."""
    copies: list[tuple[Position, Record]] = []
    originals: list[tuple[Position, Record]] = []
    for segment in segments:
        for index, entry in enumerate(segment.records):
            if entry.partition != partition:
                continue
            placed = ((entry.epoch, segment.sequence, index), entry.record)
            if _is_base_copy(entry, row):
                copies.append(placed)
            elif _is_later_original(entry, segment, row):
                originals.append(placed)
    copies.sort(key=_position)
    originals.sort(key=_position)
    return [record for _, record in (*copies, *originals)]


def _position(placed: tuple[Position, Record]) -> Position:
    return placed[0]


def _is_base_copy(entry: PartitionRecord, row: PartitionRow) -> bool:
    """Return whether a record is a copy from the current compaction round."""
    copied = (entry.copy_round, entry.epoch)
    return bool(entry.copy_round) and copied == (row.base_round, row.base_epoch)


def _is_later_original(entry: PartitionRecord, segment: Segment, row: PartitionRow) -> bool:
    """Return whether a record is an original that the base copies do not include."""
    if entry.copy_round:
        return False
    return (entry.epoch, segment.sequence) >= (row.base_epoch, row.base_sequence)


def missing_sequences(row: PartitionRow, segments: Iterable[Segment]) -> list[tuple[str, int]]:
    """Return (journal, sequence) of each segment missing before the last one found of a journal."""
    found: dict[Incarnation, set[int]] = {}
    for segment in segments:
        found.setdefault(segment.incarnation, set()).add(segment.sequence)
    missing: list[tuple[str, int]] = []
    for journal in row.journals:
        present = found.get(journal.incarnation, set())
        expected = set(range(journal.first_sequence, max(present, default=0) + 1))
        missing.extend((journal.incarnation, number) for number in sorted(expected - present))
    return missing


def compact(records: Sequence[Record], ended_kept: int) -> list[Record]:
    """Drop the records of the earliest ended programs, keeping at most ``ended_kept`` of them."""
    ended = [record.program_id for record in records if isinstance(record, ProgramEnded)]
    surplus = max(len(ended) - ended_kept, 0)
    dropped: set[ProgramId] = set(ended[:surplus])
    return [record for record in records if record.program_id not in dropped]
