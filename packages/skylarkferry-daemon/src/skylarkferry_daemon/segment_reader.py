"""Reads journals from the table and the object store."""

from collections.abc import Iterable

import msgspec

from skylarkferry_core.errors import PlatformUnavailableError
from skylarkferry_core.ids import Incarnation
from skylarkferry_core.interfaces import ObjectStore, Row, Table
from skylarkferry_core.partitions import segment_prefix
from skylarkferry_core.records import Segment
from skylarkferry_core.segments import StoredSegment


class SegmentReader:
    """Load journal segments, whether stored in their row or as an object."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        self.table = table
        self.objects = objects

    async def read(self, incarnations: Iterable[Incarnation]) -> list[Segment]:
        """Return all segments of the journals, in sequence order within each journal.

        Raise ``PlatformUnavailableError`` if the platform does not answer or an object is missing.
        """
        segments: list[Segment] = []
        for incarnation in sorted(incarnations):
            for row in await self.table.scan(segment_prefix(incarnation)):
                segments.append(await self._load_segment(row))
        return segments

    async def _load_segment(self, row: Row) -> Segment:
        stored = msgspec.msgpack.decode(row.value, type=StoredSegment)
        body = stored.body or await self._load_object(stored.object_key)
        return msgspec.msgpack.decode(body, type=Segment)

    async def _load_object(self, key: str) -> bytes:
        body = await self.objects.get(key)
        if body is None:
            raise PlatformUnavailableError(f"object {key} is missing")
        return body
