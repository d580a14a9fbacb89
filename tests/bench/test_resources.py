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
from skylarkferry_bench.slopes import line

BLOCK_BYTES = 100_000


def test_memory_of_many_blocks_is_found():
    each = bytes_per_object(lambda _: bytearray(os.urandom(BLOCK_BYTES)), 200)
    assert_that(each, GreaterThan(0.9 * BLOCK_BYTES))
    assert_that(each, LessThan(1.3 * BLOCK_BYTES))


def test_processor_time_of_this_process_agrees_with_the_clock():
    before = cpu_s(os.getpid())
    while cpu_s(os.getpid()) - before < 0.05:
        sum(range(1_000))
    assert_that(abs(cpu_s(os.getpid()) - time.process_time()), LessThan(0.05))


def test_action_is_measured_by_its_own_time():
    calls = []
    cpu_us_per_call(lambda: calls.append(1), 7)
    assert_that(len(calls), Equals(7))


def test_resident_memory_is_that_of_a_python_process():
    assert_that(resident_bytes(os.getpid()), GreaterThan(10 * MIB))


def test_line_shows_small_values_with_a_digit():
    slope = Measurement("journal record turn", 1.25, "us", "1000 records")
    assert_that(line(slope), Equals("| journal record turn | 1.2 | us | 1000 records |\n"))
    assert_that(
        line(Measurement("order", 36_291, "bytes")), Equals("| order | 36,291 | bytes |  |\n")
    )
