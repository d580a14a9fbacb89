"""Stand-in for the users' store: conditional row transactions, a change feed and failures."""

from base64 import b64decode
from collections.abc import Callable
from enum import Enum
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import anyio
import msgspec

from skylarkferry_standins.wire_server import Ending, WireReply, WireRequest

MAX_ENTRIES = 100
MAX_ROW_BYTES = 65_536
MAX_NAME_BYTES = 200
READ_ONLY = ("op", "servers")

RowKey = tuple[str, str, str]


class StoreFault(Enum):
    """Fault injected into a call."""

    NONE = "none"
    REFUSED = "refused"
    THROTTLED = "throttled"
    RESET = "reset"
    SILENT = "silent"
    LOST = "lost"
    """The call is performed but its response is lost."""
    LATE = "late"
    """The connection is reset; the call is performed later if its conditions still hold."""


class StandInRow(msgspec.Struct):
    """One row; deleted rows are retained for the feed."""

    value: str
    ver: int
    deleted: bool = False


class RowStore:
    """Rows in memory; ``fault`` selects the fault injected into each request."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, StandInRow] = {}
        self.ver = 0
        self.history_start_ver = 0
        self.calls: list[str] = []
        self.late: list[dict[str, Any]] = []
        self.late_s = 0.2
        self.fault: Callable[[WireRequest], StoreFault] = lambda request: StoreFault.NONE
        self.changed = anyio.Event()

    def put(self, table: str, part: str, key: str, value: bytes | str) -> None:
        """Write a row unconditionally and without validation, as the operator or a replica does."""
        self.ver += 1
        text = value if isinstance(value, str) else _encoded(value)
        self.rows[table, part, key] = StandInRow(text, self.ver)
        self._notify()

    def delete(self, table: str, part: str, key: str) -> None:
        """Delete a row unconditionally, as the operator or a replica does."""
        self.ver += 1
        self.rows[table, part, key] = StandInRow("", self.ver, True)
        self._notify()

    def value(self, table: str, part: str, key: str) -> bytes | None:
        """Return a row's decoded value, or ``None`` if there is no such row."""
        row = self.rows.get((table, part, key))
        return b64decode(row.value) if row is not None and not row.deleted else None

    def discard_history(self) -> None:
        """Discard the change history; feeds from an earlier version get status 410."""
        self.history_start_ver = self.ver
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def handle(self, request: WireRequest) -> WireReply:
        """Handle one call, with the fault selected for it."""
        return await self.handle_with_fault(request, self.fault(request))

    async def handle_with_fault(self, request: WireRequest, fault: StoreFault) -> WireReply:
        """Handle one call with ``fault`` injected."""
        self.calls.append(f"{request.method} {urlsplit(request.target).path}")
        match fault:
            case StoreFault.REFUSED:
                return WireReply(503)
            case StoreFault.THROTTLED:
                return WireReply(429)
            case StoreFault.RESET:
                return WireReply(raw=b"", ending=Ending.RESET)
            case StoreFault.SILENT:
                return WireReply(raw=b"", ending=Ending.SILENT)
            case StoreFault.LOST:
                await self._perform(request)
                return WireReply(raw=b"", ending=Ending.RESET)
            case StoreFault.LATE if request.body:
                self.late.append(msgspec.json.decode(request.body))
                return WireReply(raw=b"", ending=Ending.RESET)
        return await self._perform(request)

    def perform_late(self) -> None:
        """Perform the delayed calls whose conditions still hold."""
        late, self.late = self.late, []
        for call in late:
            self.transact(call)

    async def _perform(self, request: WireRequest) -> WireReply:
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        match parts.path:
            case "/api/rows-tx":
                status, body = self.transact(msgspec.json.decode(request.body))
            case "/api/rows-get":
                status, body = 200, self.get(query)
            case "/api/rows-feed":
                status, body = await self.feed(query)
            case _:
                status, body = 404, {}
        return WireReply(status, {"Content-Type": "application/json"}, msgspec.json.encode(body))

    def transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply all entries or none; return the status and the response body."""
        conditions, writes = call.get("expectedRev", []), call.get("writes", [])
        removed = call.get("remove", [])
        entries = [*conditions, *writes, *removed]
        if not self._is_valid(entries, writes, bool(call.get("across"))):
            return 400, {"error": "refused"}
        if any(item["table"] in READ_ONLY for item in (*writes, *removed)):
            return 403, {"error": "read only"}
        if any(self._version(item) != item["ver"] for item in conditions):
            return 412, {"rows": [self._row_view(_key(item)) for item in conditions]}
        self.ver += 1
        for item in writes:
            self.rows[_key(item)] = StandInRow(item["value"], self.ver)
        for item in removed:
            self.rows[_key(item)] = StandInRow("", self.ver, True)
        self._notify()
        return 200, {"ver": self.ver, "nowMs": 0}

    def _is_valid(
        self, entries: list[dict[str, Any]], writes: list[dict[str, Any]], across: bool
    ) -> bool:
        names = [name for item in entries for name in _key(item)]
        return (
            len(entries) <= MAX_ENTRIES
            and all(len(name.encode()) <= MAX_NAME_BYTES for name in names)
            and all(len(item["value"]) <= MAX_ROW_BYTES for item in writes)
            and (across or len({item["part"] for item in entries}) <= 1)
        )

    def _version(self, item: dict[str, Any]) -> int:
        row = self.rows.get(_key(item))
        return 0 if row is None or row.deleted else row.ver

    def _row_view(self, key: RowKey) -> dict[str, Any]:
        row = self.rows.get(key, StandInRow("", 0))
        view = {"table": key[0], "part": key[1], "key": key[2], "value": row.value, "ver": row.ver}
        return {**view, "deleted": True} if row.deleted else view

    def get(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the rows of one part in ascending key order."""
        first, end = query.get("from", ""), query.get("to")
        keys = sorted(
            key
            for key, row in self.rows.items()
            if key[:2] == (query["table"], query.get("part", ""))
            and not row.deleted
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        limit = int(query.get("limit", "500"))
        rows = [self._row_view(key) for key in keys[:limit]]
        return {"rows": rows, "truncated": len(keys) > limit, "ver": self.ver, "nowMs": 0}

    async def feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return the changes of a table after a version, waiting up to ``waitMs`` for the first."""
        after = int(query["after"])
        with anyio.move_on_after(int(query.get("waitMs", "0")) / 1_000):
            while after >= self.history_start_ver and not self._changes(query["table"], after):
                await self.changed.wait()
        if after < self.history_start_ver:
            return 410, {"error": "gone"}
        keys = self._changes(query["table"], after)
        return 200, {"rows": [self._row_view(key) for key in keys], "ver": self.ver, "nowMs": 0}

    def _changes(self, table: str, after: int) -> list[RowKey]:
        keys = [key for key, row in self.rows.items() if key[0] == table and row.ver > after]
        return sorted(keys, key=lambda key: self.rows[key].ver)


def _key(item: dict[str, Any]) -> RowKey:
    return item["table"], item["part"], item["key"]


def _encoded(value: bytes) -> str:
    return msgspec.json.decode(msgspec.json.encode(value), type=str)
