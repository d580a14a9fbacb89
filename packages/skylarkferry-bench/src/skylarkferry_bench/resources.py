"""Processor time and memory of processes, and the measurements made from them."""

import gc
import os
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TICKS_FIELD = 13
_SYSTEM_TICKS_FIELD = 14
MICROSECONDS_PER_S = 1e6
MIB = 1_048_576


class Measurement(msgspec.Struct, frozen=True):
    """A measured value with its unit; ``basis`` describes the sample it was measured on."""

    name: str
    value: float
    unit: str
    basis: str = ""


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD - 2]) + int(fields[_SYSTEM_TICKS_FIELD - 2])
    return ticks / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def own_resident_bytes() -> int:
    """Return this process's resident memory in bytes after a garbage collection."""
    gc.collect()
    return resident_bytes(os.getpid())


def cpu_us_per_call(action: Callable[[], object], repeats: int) -> float:
    """Return the average CPU time of a call of ``action``, in microseconds."""
    start = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - start) / repeats * MICROSECONDS_PER_S


def bytes_per_object(make: Callable[[int], object], count: int) -> float:
    """Return the average allocated bytes of ``count`` objects that are alive at the same time."""
    with track_allocations() as allocated:
        objects = [make(number) for number in range(count)]
        allocated_bytes = allocated()
    del objects
    return allocated_bytes / count


@contextmanager
def track_allocations() -> Iterator[Callable[[], int]]:
    """Yield a function that returns the bytes of live objects allocated since the context began."""
    gc.collect()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]

    def allocated() -> int:
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - bytes_before

    try:
        yield allocated
    finally:
        tracemalloc.stop()
