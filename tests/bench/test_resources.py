import os
import time

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from skylarkferry_bench.resources import (
    MIB,
    Measurement,
    bytes_per_object,
    cpu_s,
    cpu_us_per_call,
    resident_bytes,
)
from skylarkferry_bench.slopes import format_row

BLOCK_BYTES = 100_000


def test_bytes_per_object_is_the_size_of_an_object():
    each = bytes_per_object(lambda _: bytearray(os.urandom(BLOCK_BYTES)), 200)
    assert_that(each, GreaterThan(0.9 * BLOCK_BYTES))
    assert_that(each, LessThan(1.3 * BLOCK_BYTES))


def test_cpu_time_of_this_process_matches_process_time():
    before = cpu_s(os.getpid())
    while cpu_s(os.getpid()) - before < 0.05:
        sum(range(1_000))
    assert_that(abs(cpu_s(os.getpid()) - time.process_time()), LessThan(0.05))


def test_action_is_called_once_per_repeat():
    calls = []
    cpu_us_per_call(lambda: calls.append(1), 7)
    assert_that(len(calls), Equals(7))


def test_resident_memory_is_at_least_that_of_an_interpreter():
    assert_that(resident_bytes(os.getpid()), GreaterThan(10 * MIB))


def test_small_values_are_printed_with_one_decimal():
    measurement = Measurement("journal record turn", 1.25, "us", "1000 records")
    assert_that(
        format_row(measurement), Equals("| journal record turn | 1.2 | us | 1000 records |\n")
    )
    assert_that(
        format_row(Measurement("order", 36_291, "bytes")), Equals("| order | 36,291 | bytes |  |\n")
    )
