"""Requests that crash upstreams, shared between entries through the platform's table."""

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
    """Value of a row: the crashes at which the request ran."""

    crashes: tuple[CrashId, ...]


class Quarantine:
    """An entry's view of the requests that crash upstreams.

    A second crash puts a request into quarantine; deleting its row lifts it.
    """

    def __init__(self, table: Table, log: EventLog) -> None:
        self.table = table
        self.log = log
        self.crash_registry = CrashRegistry()
        self.unwritten: set[Fingerprint] = set()
        self.cleared: set[Fingerprint] = set()
        self.written: set[Fingerprint] = set()

    def on_crash(self, notice: CrashNotice) -> None:
        """Take a sidecar's notice."""
        verdict = self.crash_registry.on_crash(notice.fingerprint, notice.crash)
        self.unwritten.add(notice.fingerprint)
        kind = EventKind.REQUEST_SUSPECTED
        if verdict is Suspicion.QUARANTINED:
            kind = EventKind.REQUEST_QUARANTINED
        self.log.emit(kind, fingerprint=notice.fingerprint, crash=notice.crash)

    def on_done(self, fingerprint: Fingerprint) -> None:
        """Note that a request ran to its end."""
        if self.crash_registry.on_done(fingerprint):
            self.unwritten.discard(fingerprint)
            self.cleared.add(fingerprint)
            self.log.emit(EventKind.REQUEST_CLEARED, fingerprint=fingerprint)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request has to run alone."""
        return fingerprint in self.crash_registry.suspects()

    def refusal(self, fingerprint: Fingerprint) -> SkylarkferryError | None:
        """Return why a request may not run, or ``None``."""
        return self.crash_registry.refusal(fingerprint)

    def quarantined_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return what heartbeats carry to the sidecars."""
        return tuple(sorted(self.crash_registry.quarantined())[:MAX_LISTED_FINGERPRINTS])

    async def synchronize(self) -> None:
        """Write what is news here and read what others wrote; outages are sat out."""
        try:
            await self._write_news()
            await self._read_all()
        except PlatformUnavailableError:
            return

    async def _write_news(self) -> None:
        for fingerprint in list(self.unwritten):
            await self._write(fingerprint)
        for fingerprint in list(self.cleared):
            await self._delete(fingerprint)

    async def _write(self, fingerprint: Fingerprint) -> None:
        """Add this entry's crashes to a row; on a conflict try again next time."""
        row = await self.table.read(PREFIX + fingerprint)
        known = self.crash_registry.crashes.get(fingerprint, set())
        known.update(_crashes_in(row))
        value = msgspec.json.encode(CrashRow(tuple(sorted(known))))
        if await self._transact(row, value):
            self.unwritten.discard(fingerprint)

    async def _delete(self, fingerprint: Fingerprint) -> None:
        """Delete the row of a cleared suspect unless others saw it crash again."""
        row = await self.table.read(PREFIX + fingerprint)
        is_single = row.version > 0 and len(_crashes_in(row)) == 1
        if not is_single or await self._transact(row, None):
            self.cleared.discard(fingerprint)

    async def _transact(self, row: Row, value: bytes | None) -> bool:
        try:
            await self.table.transact([Condition(row.key, row.version)], [Write(row.key, value)])
        except WriteConflictError:
            return False
        return True

    async def _read_all(self) -> None:
        """Take all rows over; a request whose row was deleted is free again."""
        rows = await self.table.scan(PREFIX)
        found = {Fingerprint(row.key.removeprefix(PREFIX)): _crashes_in(row) for row in rows}
        for fingerprint in self.written - found.keys() - self.unwritten:
            self.crash_registry.crashes.pop(fingerprint, None)
        for fingerprint, crashes in found.items():
            if fingerprint not in self.cleared:
                self.crash_registry.crashes.setdefault(fingerprint, set()).update(crashes)
        self.written = set(found)


def _crashes_in(row: Row) -> tuple[CrashId, ...]:
    """Return the crashes that a row holds; none when it does not exist."""
    if row.version == 0:
        return ()
    return msgspec.json.decode(row.value, type=CrashRow).crashes
