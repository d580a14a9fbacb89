import os

from loguru import logger
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

from skylarkferry_core.events import EventKind
from skylarkferry_daemon import log
from skylarkferry_daemon.log import EventLog, LineWriter


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    parts = []
    try:
        while data := os.read(descriptor, 1 << 16):
            parts.append(data)
    except BlockingIOError:
        pass
    return b"".join(parts)


def test_full_pipe_does_not_block_and_pending_lines_follow():
    reader, descriptor = os.pipe()
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor)
    line = "x" * 1_000 + "\n"
    for _ in range(log._MAX_LINES_PER_S):
        writer.write(line)
    assert_that(len(writer.pending), GreaterThan(0))
    read_all(reader)
    writer._flush()
    assert_that(read_all(reader).count(b"\n"), GreaterThan(0))


def test_lines_above_the_rate_limit_are_dropped_and_counted(monkeypatch):
    reader, descriptor = os.pipe()
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor)
    monkeypatch.setattr(log.time, "monotonic", lambda: 5.0)
    for number in range(log._MAX_LINES_PER_S + 7):
        writer.write(f"{number}\n")
    assert_that(writer.dropped, Equals(7))
    monkeypatch.setattr(log.time, "monotonic", lambda: 6.0)
    writer.write("next\n")
    written = read_all(reader).decode()
    assert_that(written, Contains("log_dropped lines=7"))
    assert_that(len(written.splitlines()), LessThan(log._MAX_LINES_PER_S + 3))


def test_closed_descriptor_drops_the_pending_lines():
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor)
    writer.write("a line\n")
    assert_that((writer.dropped, len(writer.pending)), Equals((1, 0)))


def test_value_with_line_breaks_stays_on_one_line():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    try:
        EventLog("node", 10).emit(EventKind.TASK_FAILED, detail="first\n[101]\tforged\x1b[0m")
    finally:
        logger.remove(sink)
    assert_that(lines, HasLength(1))
    assert_that(lines[0].splitlines(), HasLength(1))
    assert_that(lines[0], Contains(r'detail="first\n[101]\tforged\u001b[0m"'))
