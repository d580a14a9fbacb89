"""Quarantine of requests that crash upstreams, shared by entries through the platform's table."""

import msgspec

from skylarkferry_core.crashes import CrashRegistry, Suspicion
from skylarkferry_core.errors import PlatformUnavailableError, SkylarkferryError, WriteConflictError
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import CrashNotice
from skylarkferry_core.ids import CrashId, Fingerprint
from skylarkferry_core.interfaces import Condition, Row, Table, Write
from skylarkferry_daemon.log import EventLog

PREFIX = "quarantine/"
MAX_LISTED_FINGERPRINTS = 1_000


class CrashRow(msgspec.Struct, frozen=True):
    """Row value: the upstream crashes during which the request ran."""

    crashes: tuple[CrashId, ...]


class Quarantine:
    """An entry's view of the requests that crash upstreams.

    A second crash quarantines a request; deleting its row lifts the quarantine.
    """

    def __init__(self, table: Table, log: EventLog) -> None:
        self.table = table
        self.log = log
        self.crash_registry = CrashRegistry()
        self.pending_writes: set[Fingerprint] = set()
        self.pending_deletes: set[Fingerprint] = set()
        self.seen_in_table: set[Fingerprint] = set()

    def on_crash(self, notice: CrashNotice) -> None:
        """Record a crash that a sidecar reported."""
        verdict = self.crash_registry.on_crash(notice.fingerprint, notice.crash)
        self.pending_writes.add(notice.fingerprint)
        kind = EventKind.REQUEST_SUSPECTED
        if verdict is Suspicion.QUARANTINED:
            kind = EventKind.REQUEST_QUARANTINED
        self.log.emit(kind, fingerprint=notice.fingerprint, crash=notice.crash)

    def on_done(self, fingerprint: Fingerprint) -> None:
        """Record that a request completed; the request is then no longer a suspect."""
        if self.crash_registry.on_done(fingerprint):
            self.pending_writes.discard(fingerprint)
            self.pending_deletes.add(fingerprint)
            self.log.emit(EventKind.REQUEST_CLEARED, fingerprint=fingerprint)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return True if a request has to run alone."""
        return fingerprint in self.crash_registry.suspects()

    def refusal(self, fingerprint: Fingerprint) -> SkylarkferryError | None:
        """Return the error for a quarantined request, or ``None``."""
        return self.crash_registry.refusal(fingerprint)

    def quarantined_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the quarantined fingerprints that heartbeats send to the sidecars.

        At most ``MAX_LISTED_FINGERPRINTS``, in sorted order.
        """
        return tuple(sorted(self.crash_registry.quarantined())[:MAX_LISTED_FINGERPRINTS])

    async def synchronize(self) -> None:
        """Write local changes and read all rows; a later call finishes what an outage stopped."""
        try:
            await self._write_pending()
            await self._read_all()
        except PlatformUnavailableError:
            return

    async def _write_pending(self) -> None:
        for fingerprint in list(self.pending_writes):
            await self._write(fingerprint)
        for fingerprint in list(self.pending_deletes):
            await self._delete(fingerprint)

    async def _write(self, fingerprint: Fingerprint) -> None:
        """Add this entry's crashes to a row; a conflict is retried on the next call."""
        row = await self.table.read(PREFIX + fingerprint)
        known = self.crash_registry.crashes.get(fingerprint, set())
        known.update(_decode_crashes(row))
        value = msgspec.json.encode(CrashRow(tuple(sorted(known))))
        if await self._transact(row, value):
            self.pending_writes.discard(fingerprint)

    async def _delete(self, fingerprint: Fingerprint) -> None:
        """Delete the row of a cleared suspect unless it holds further crashes."""
        row = await self.table.read(PREFIX + fingerprint)
        has_one_crash = row.version > 0 and len(_decode_crashes(row)) == 1
        if not has_one_crash or await self._transact(row, None):
            self.pending_deletes.discard(fingerprint)

    async def _transact(self, row: Row, value: bytes | None) -> bool:
        try:
            await self.table.transact([Condition(row.key, row.version)], [Write(row.key, value)])
        except WriteConflictError:
            return False
        return True

    async def _read_all(self) -> None:
        """Merge all rows; a request whose row was deleted may run again."""
        rows = await self.table.scan(PREFIX)
        found = {Fingerprint(row.key.removeprefix(PREFIX)): _decode_crashes(row) for row in rows}
        for fingerprint in self.seen_in_table - found.keys() - self.pending_writes:
            self.crash_registry.crashes.pop(fingerprint, None)
        for fingerprint, crashes in found.items():
            if fingerprint not in self.pending_deletes:
                self.crash_registry.crashes.setdefault(fingerprint, set()).update(crashes)
        self.seen_in_table = set(found)


def _decode_crashes(row: Row) -> tuple[CrashId, ...]:
    """Return the crashes in a row; empty if the row does not exist."""
    if row.version == 0:
        return ()
    return msgspec.json.decode(row.value, type=CrashRow).crashes
