"""Rows that every gateway reads, as of the last read, for gateways that start without the store."""

from collections.abc import Sequence

import anyio
import msgspec

from skylarkferry_core.interfaces import Row
from skylarkferry_gateway.interfaces import Changes, Snapshot
from skylarkferry_gateway.relayed_calls import CallOutcome, RelayedReply


class RememberedRead(msgspec.Struct, frozen=True):
    """Result of a read, and when it was made; ``version`` is 0 for a prefix."""

    rows: Sequence[Row]
    version: int
    read_at: float


class RememberedRows:
    """Results of the last reads of ``names``: keys of rows, and prefixes.

    Only what this process read from the store itself, or through a peer that did, is passed on.
    """

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self.reads: dict[str, RememberedRead] = {}
        self.borrowed: set[str] = set()

    def keep_rows(self, prefix: str, rows: Sequence[Row]) -> None:
        """Keep the rows of a prefix."""
        if prefix in self.names:
            self.reads[prefix] = RememberedRead(rows, 0, anyio.current_time())

    def keep_snapshot(self, key: str, snapshot: Snapshot) -> None:
        """Keep a row and the version after which to follow its changes."""
        if key in self.names:
            now = anyio.current_time()
            self.reads[key] = RememberedRead([snapshot.row], snapshot.version, now)

    def keep_changes(self, table: str, changes: Changes) -> None:
        """Keep the newest version of the row of a table that is followed by its changes."""
        for key, read in list(self.reads.items()):
            if key.startswith(table + "/") and read.version:
                rows = [row for row in changes.rows if row.key == key] or read.rows
                version = max(changes.version, read.version)
                self.reads[key] = RememberedRead(rows[-1:], version, anyio.current_time())

    def may_borrow(self, name: str) -> bool:
        """Return whether a name was never read; what a peer remembers is used once."""
        return name in self.names and name not in self.reads and name not in self.borrowed

    def reply(self, name: str) -> RelayedReply:
        """Return what is remembered, for a peer."""
        read = self.reads.get(name)
        if read is None:
            return RelayedReply(CallOutcome.REFUSED, detail="not read from the store yet")
        age_s = anyio.current_time() - read.read_at
        return RelayedReply(CallOutcome.DONE, list(read.rows), read.version, age_s=age_s)
