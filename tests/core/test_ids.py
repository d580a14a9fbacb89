from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import (
    CustomerId,
    RequestKey,
    RunId,
    call_id_for,
    partition_for,
    partition_of,
    program_id_for,
    program_of,
)

CUSTOMER = CustomerId("kilimanjaro-gearworks")
KEY = RequestKey("sizing-1")


def test_program_id_carries_its_partition():
    program_id = program_id_for(CUSTOMER, KEY, 24)
    assert_that(partition_of(program_id), Equals(partition_for(CUSTOMER, KEY, 24)))


def test_call_id_carries_its_program():
    program_id = program_id_for(CUSTOMER, KEY, 24)
    call_id = call_id_for(program_id, RunId("0.1"), 2, 0, 1)
    assert_that(program_of(call_id), Equals(program_id))
