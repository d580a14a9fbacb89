"""Adapters of the platform's table service, object store and host list over HTTP."""

from base64 import b64decode, b64encode
from collections.abc import Sequence
from typing import TypeVar

import httpx
import msgspec

from skylarkferry_core.errors import PlatformUnavailableError, WriteConflictError
from skylarkferry_core.ids import FailureDomain, PoolName
from skylarkferry_core.interfaces import (
    Condition,
    Host,
    HostList,
    ObjectStore,
    Row,
    Table,
    Write,
)
from skylarkferry_daemon.settings import PlatformSettings

Reply = TypeVar("Reply")


class _KeyValue(msgspec.Struct):
    key: str
    value: str = ""
    mod_revision: int = 0


class _Header(msgspec.Struct, frozen=True):
    revision: int = 0


class _RangeReply(msgspec.Struct):
    kvs: list[_KeyValue] = []


class _TransactionReply(msgspec.Struct):
    header: _Header = _Header()
    succeeded: bool = False


class _Key(msgspec.Struct, omit_defaults=True):
    key: str
    range_end: str = ""


class _Put(msgspec.Struct):
    key: str
    value: str


class _Operation(msgspec.Struct, omit_defaults=True):
    request_put: _Put | None = None
    request_delete_range: _Key | None = None


class _Compare(msgspec.Struct):
    key: str
    mod_revision: str
    target: str = "MOD"
    result: str = "EQUAL"


class _Transaction(msgspec.Struct):
    compare: list[_Compare]
    success: list[_Operation]


class _TargetGroup(msgspec.Struct):
    targets: list[str]
    labels: dict[str, str] = {}


def _base64(data: bytes) -> str:
    return b64encode(data).decode()


def _prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys that start with an ASCII prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _decode_row(pair: _KeyValue) -> Row:
    return Row(b64decode(pair.key).decode(), b64decode(pair.value), pair.mod_revision)


def _encode_write(write: Write) -> _Operation:
    key = _base64(write.key.encode())
    if write.value is None:
        return _Operation(request_delete_range=_Key(key))
    return _Operation(request_put=_Put(key, _base64(write.value)))


class PlatformServices(msgspec.Struct, frozen=True):
    """The platform's services that an entry uses."""

    table: Table
    objects: ObjectStore
    host_list: HostList


class _HttpClient:
    """HTTP client of one platform service; every failure raises ``PlatformUnavailableError``."""

    def __init__(self, client: httpx.AsyncClient, base_url: str, timeout_s: float) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")
        self.timeout_s = timeout_s

    async def send(self, method: str, path: str, body: bytes | None = None) -> httpx.Response:
        """Return the response if its status is below 500."""
        url = f"{self.base_url}{path}"
        try:
            response = await self.client.request(method, url, content=body, timeout=self.timeout_s)
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(f"{method} {url}: {error!r}") from error
        if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            raise PlatformUnavailableError(f"{method} {url}: status {response.status_code}")
        return response

    async def expect(self, method: str, path: str, body: bytes | None = None) -> bytes:
        """Return the body of a successful response."""
        response = await self.send(method, path, body)
        if not response.is_success:
            raise PlatformUnavailableError(f"{method} {path}: status {response.status_code}")
        return response.content


class HttpTable:
    """Client of the table service over the etcd v3 JSON protocol."""

    def __init__(self, client: httpx.AsyncClient, base_url: str, timeout_s: float) -> None:
        self.http = _HttpClient(client, base_url, timeout_s)

    async def read(self, key: str) -> Row:
        """Return the row; an absent row has version 0."""
        rows = await self._range(_Key(_base64(key.encode())))
        return rows[0] if rows else Row(key, b"", 0)

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose keys start with ``prefix``, in key order."""
        rows = await self._range(_Key(_base64(prefix.encode()), _base64(_prefix_end(prefix))))
        return sorted(rows, key=lambda row: row.key)

    async def _range(self, key: _Key) -> list[Row]:
        body = await self.http.expect("POST", "/v3/kv/range", msgspec.json.encode(key))
        return [_decode_row(pair) for pair in _decode(body, _RangeReply).kvs]

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Write all rows or none and return their new version.

        Raise ``WriteConflictError`` if a condition does not hold.
        """
        compare = [
            _Compare(_base64(condition.key.encode()), str(condition.version))
            for condition in conditions
        ]
        request = _Transaction(compare, [_encode_write(write) for write in writes])
        body = await self.http.expect("POST", "/v3/kv/txn", msgspec.json.encode(request))
        reply = _decode(body, _TransactionReply)
        if not reply.succeeded:
            raise WriteConflictError("a condition of the transaction does not hold")
        return reply.header.revision


def _decode(body: bytes, kind: type[Reply]) -> Reply:
    """Decode a reply of a platform service."""
    try:
        return msgspec.json.decode(body, type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise PlatformUnavailableError(f"unreadable reply: {error}") from error


class HttpObjectStore:
    """Client of the object store over path-style S3 requests."""

    def __init__(self, client: httpx.AsyncClient, base_url: str, timeout_s: float) -> None:
        self.http = _HttpClient(client, base_url, timeout_s)

    async def put(self, key: str, body: bytes) -> None:
        """Store an object."""
        await self.http.expect("PUT", f"/{key}", body)

    async def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        response = await self.http.send("GET", f"/{key}")
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        if not response.is_success:
            raise PlatformUnavailableError(f"GET {key}: status {response.status_code}")
        return response.content

    async def delete(self, key: str) -> None:
        """Delete an object if it exists."""
        response = await self.http.send("DELETE", f"/{key}")
        if not response.is_success and response.status_code != httpx.codes.NOT_FOUND:
            raise PlatformUnavailableError(f"DELETE {key}: status {response.status_code}")


class HttpHostList:
    """Client of the host list over Prometheus HTTP service discovery."""

    def __init__(self, client: httpx.AsyncClient, url: str, timeout_s: float) -> None:
        self.http = _HttpClient(client, url, timeout_s)

    async def hosts(self) -> list[Host]:
        """Return the hosts."""
        body = await self.http.expect("GET", "")
        groups = _decode(body, list[_TargetGroup])
        return [_decode_host(target, group.labels) for group in groups for target in group.targets]


def _decode_host(target: str, labels: dict[str, str]) -> Host:
    return Host(
        name=labels.get("host", target),
        role=labels.get("role", ""),
        address=target,
        failure_domain=FailureDomain(labels.get("failure_domain", "")),
        pool=PoolName(labels.get("pool", "")),
        leaving=labels.get("leaving") == "true",
    )


def connect_platform(client: httpx.AsyncClient, settings: PlatformSettings) -> PlatformServices:
    """Return the adapters of the platform's services; the caller closes ``client``."""
    return PlatformServices(
        HttpTable(client, settings.table_url, settings.timeout_s),
        HttpObjectStore(client, settings.object_url, settings.timeout_s),
        HttpHostList(client, settings.hosts_url, settings.timeout_s),
    )
