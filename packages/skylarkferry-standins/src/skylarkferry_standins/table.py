"""Table rows with revisions, modelled on the etcd v3 JSON interface."""

import bisect
from enum import Enum

import msgspec

MAX_OPERATIONS = 128
MAX_REQUEST_BYTES = 1_572_864


class TableRequestError(Exception):
    """The request is invalid."""


class CompareResult(Enum):
    """Supported comparison operators of a condition."""

    EQUAL = "EQUAL"


class CompareTarget(Enum):
    """Supported row attributes of a condition."""

    MOD = "MOD"


class Compare(msgspec.Struct):
    """Condition that the row was last modified at ``mod_revision``; 0 means that no row exists."""

    key: bytes
    target: CompareTarget = CompareTarget.MOD
    result: CompareResult = CompareResult.EQUAL
    mod_revision: int = 0


class RangeRequest(msgspec.Struct):
    """Read one row, or all from ``key`` up to ``range_end`` (one zero byte: no upper bound)."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0


class PutRequest(msgspec.Struct):
    """Write one row."""

    key: bytes
    value: bytes = b""


class DeleteRangeRequest(msgspec.Struct):
    """Delete one row or a range of rows."""

    key: bytes
    range_end: bytes = b""


class Operation(msgspec.Struct):
    """Exactly one of the fields is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(msgspec.Struct):
    """Run ``success`` if all comparisons hold, otherwise ``failure``."""

    compare: list[Compare] = []
    success: list[Operation] = []
    failure: list[Operation] = []


class KeyValue(msgspec.Struct):
    """A row; revisions are decimal strings."""

    key: bytes
    value: bytes
    create_revision: str
    mod_revision: str
    version: str


class Header(msgspec.Struct):
    """Revision of the table at the time of the response."""

    revision: str


class RangeResponse(msgspec.Struct, omit_defaults=True):
    """Rows in key order."""

    header: Header
    kvs: list[KeyValue] = []
    count: str = "0"


class PutResponse(msgspec.Struct):
    """Result of writing a row."""

    header: Header


class DeleteRangeResponse(msgspec.Struct, omit_defaults=True):
    """Result of deleting rows."""

    header: Header
    deleted: str = "0"


class OperationResponse(msgspec.Struct, omit_defaults=True):
    """Exactly one of the fields is set."""

    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: DeleteRangeResponse | None = None


class TxnResponse(msgspec.Struct, omit_defaults=True):
    """Result of a transaction; ``succeeded`` is omitted when false, as in etcd."""

    header: Header
    succeeded: bool = False
    responses: list[OperationResponse] = []


class StoredRow(msgspec.Struct):
    """A row as stored in the table."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int


class TableStore:
    """Rows in key order; each transaction that writes creates one revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.rows: dict[bytes, StoredRow] = {}
        self.keys: list[bytes] = []

    def range(self, request: RangeRequest) -> RangeResponse:
        """Return the requested rows; ``count`` ignores the limit."""
        keys = self._keys(request.key, request.range_end)
        selected = keys[: request.limit] if request.limit else keys
        kvs = [self._key_value(key) for key in selected]
        return RangeResponse(self._header(), kvs, str(len(keys)))

    def txn(self, request: TxnRequest) -> TxnResponse:
        """Apply a transaction atomically; raise ``TableRequestError`` if it is invalid."""
        _validate_transaction(request)
        succeeded = all(self._condition_holds(compare) for compare in request.compare)
        operations = request.success if succeeded else request.failure
        if any(_writes(operation) for operation in operations):
            self.revision += 1
        responses = [self._run(operation) for operation in operations]
        return TxnResponse(self._header(), succeeded, responses)

    def _header(self) -> Header:
        return Header(str(self.revision))

    def _keys(self, key: bytes, range_end: bytes) -> list[bytes]:
        if not range_end:
            return [key] if key in self.rows else []
        first = bisect.bisect_left(self.keys, key)
        if range_end == b"\x00":
            return self.keys[first:]
        return self.keys[first : bisect.bisect_left(self.keys, range_end)]

    def _key_value(self, key: bytes) -> KeyValue:
        row = self.rows[key]
        created, modified = str(row.create_revision), str(row.mod_revision)
        return KeyValue(key, row.value, created, modified, str(row.version))

    def _condition_holds(self, compare: Compare) -> bool:
        row = self.rows.get(compare.key)
        return compare.mod_revision == (row.mod_revision if row else 0)

    def _run(self, operation: Operation) -> OperationResponse:
        if operation.request_put is not None:
            return OperationResponse(response_put=self._put(operation.request_put))
        if operation.request_delete_range is not None:
            deleted = self._delete(operation.request_delete_range)
            return OperationResponse(response_delete_range=deleted)
        if operation.request_range is not None:
            return OperationResponse(response_range=self.range(operation.request_range))
        raise TableRequestError("empty operation")

    def _put(self, request: PutRequest) -> PutResponse:
        row = self.rows.get(request.key)
        if row is None:
            bisect.insort(self.keys, request.key)
            self.rows[request.key] = StoredRow(request.value, self.revision, self.revision, 1)
        else:
            row.value = request.value
            row.mod_revision = self.revision
            row.version += 1
        return PutResponse(self._header())

    def _delete(self, request: DeleteRangeRequest) -> DeleteRangeResponse:
        keys = self._keys(request.key, request.range_end)
        for key in keys:
            del self.rows[key]
            del self.keys[bisect.bisect_left(self.keys, key)]
        return DeleteRangeResponse(self._header(), str(len(keys)))


def _writes(operation: Operation) -> bool:
    return operation.request_put is not None or operation.request_delete_range is not None


def _validate_transaction(request: TxnRequest) -> None:
    """Reject what etcd rejects: too many operations, empty operations, and keys put twice."""
    for part in (request.compare, request.success, request.failure):
        if len(part) > MAX_OPERATIONS:
            raise TableRequestError("too many operations in txn request")
    for operations in (request.success, request.failure):
        if any(_is_empty(operation) for operation in operations):
            raise TableRequestError("empty operation")
        puts = [
            operation.request_put.key
            for operation in operations
            if operation.request_put is not None
        ]
        if len(puts) != len(set(puts)):
            raise TableRequestError("duplicate key given in txn request")


def _is_empty(operation: Operation) -> bool:
    return not _writes(operation) and operation.request_range is None
