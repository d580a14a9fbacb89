from hypothesis import given
from hypothesis import strategies as st
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_standins.table import (
    MAX_OPERATIONS,
    Compare,
    DeleteRangeRequest,
    Operation,
    PutRequest,
    RangeRequest,
    TableRequestError,
    TableStore,
    TxnRequest,
)

KEYS = st.sampled_from([b"a", b"a/1", b"a/2", b"b", b"b/1"])
RANGE_ENDS = st.sampled_from([b"", b"a0", b"b", b"c", b"\x00"])


def put(key, value=b"value"):
    return Operation(request_put=PutRequest(key, value))


def delete(key, range_end=b""):
    return Operation(request_delete_range=DeleteRangeRequest(key, range_end))


def test_transaction_with_a_failed_condition_changes_nothing():
    table = TableStore()
    table.txn(TxnRequest([Compare(b"a")], [put(b"a", b"first")]))
    again = table.txn(TxnRequest([Compare(b"a")], [put(b"a", b"second"), put(b"b")]))
    assert_that(again.succeeded, Equals(False))
    rows = table.range(RangeRequest(b"a", b"\x00")).kvs
    assert_that([(row.key, row.value) for row in rows], Equals([(b"a", b"first")]))


def test_failed_conditions_run_the_failure_operations():
    table = TableStore()
    response = table.txn(TxnRequest([Compare(b"a", mod_revision=7)], [put(b"a")], [put(b"b")]))
    assert_that(response.succeeded, Equals(False))
    assert_that(table.range(RangeRequest(b"b")).count, Equals("1"))


def test_invalid_transactions_change_nothing():
    table = TableStore()
    too_many = [put(str(number).encode()) for number in range(MAX_OPERATIONS + 1)]
    for operations in (too_many, [put(b"a"), put(b"a")], [put(b"a"), Operation()]):
        with ExpectedException(TableRequestError):
            table.txn(TxnRequest([], operations))
    assert_that(table.range(RangeRequest(b"\x00", b"\x00")).count, Equals("0"))


class ReferenceTable:
    """Reference model of the table: a dictionary that is sorted at each read."""

    def __init__(self):
        self.rows = {}
        self.revision = 1

    def keys(self, key, range_end):
        if not range_end:
            return [key] if key in self.rows else []
        return sorted(
            row_key
            for row_key in self.rows
            if row_key >= key and (range_end == b"\x00" or row_key < range_end)
        )

    def put(self, key, expected):
        if expected != self.rows.get(key, 0):
            return False
        self.revision += 1
        self.rows[key] = self.revision
        return True

    def delete(self, key, range_end):
        self.revision += 1
        for row_key in self.keys(key, range_end):
            del self.rows[row_key]


STEPS = st.one_of(
    st.tuples(st.just("put"), KEYS, st.integers(0, 8)),
    st.tuples(st.just("delete"), KEYS, RANGE_ENDS),
    st.tuples(st.just("range"), KEYS, RANGE_ENDS),
)


@given(st.lists(STEPS, max_size=30))
def test_table_matches_the_reference_table(steps):
    table, reference = TableStore(), ReferenceTable()
    for kind, key, argument in steps:
        if kind == "put":
            compare = Compare(key, mod_revision=argument)
            response = table.txn(TxnRequest([compare], [put(key)]))
            assert_that(response.succeeded, Equals(reference.put(key, argument)))
        elif kind == "delete":
            table.txn(TxnRequest([], [delete(key, argument)]))
            reference.delete(key, argument)
        rows = table.range(RangeRequest(key, argument if kind == "range" else b"\x00")).kvs
        expected = reference.keys(key, argument if kind == "range" else b"\x00")
        revisions = [(row.key, int(row.mod_revision)) for row in rows]
        assert_that(revisions, Equals([(row_key, reference.rows[row_key]) for row_key in expected]))
