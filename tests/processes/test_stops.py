"""Planned stops of entries and sidecars under load, and cancellation."""

import threading

from testtools.assertions import assert_that
from testtools.matchers import Equals

from processes.program_requests import start_program, wait_for_answer
from processes.test_kills import assert_complete_without_repeats, other_entry
from skylarkferry_standins.deployment import OPERATOR_TOKEN

PROGRAMS = 12


class StreamReader:
    """Reads one program's event stream to its end in a separate thread."""

    def __init__(self, entry, program_id):
        self.client = entry.client()
        self.program_id = program_id
        self.lines = []
        self.opened = threading.Event()
        self.thread = threading.Thread(target=self.read)
        self.thread.start()

    def read(self):
        path = f"/v1/programs/{self.program_id}/events"
        with self.client, self.client.stream("GET", path) as response:
            for line in response.iter_lines():
                self.lines.append(line)
                self.opened.set()

    def result(self):
        self.thread.join()
        return self.lines


def read_programs(entry, prefix):
    """Start programs at an entry and open an event stream for each."""
    with entry.client() as client:
        ids = [start_program(client, f"{prefix}-{number}") for number in range(PROGRAMS)]
    readers = {program_id: StreamReader(entry, program_id) for program_id in ids}
    for reader in readers.values():
        reader.opened.wait()
    return readers


def assert_all_complete(deployment, entry, readers):
    """Check that every stream is complete and every effect was executed once."""
    with entry.client() as client:
        for program_id, reader in readers.items():
            lines = reader.result()
            numbers = [line for line in lines if line.startswith("id: ")]
            expected = [f"id: {number}" for number in range(1, len(numbers) + 1)]
            assert_that(numbers, Equals(expected))
            assert_that("event: ended" in lines, Equals(True))
            assert_complete_without_repeats(deployment, client, program_id)


def test_planned_stop_of_an_entry_interrupts_no_open_stream(arusha):
    stopping = arusha.entries["entry-1"]
    readers = read_programs(stopping, "stopped")
    stopping.process.terminate()
    for reader in readers.values():
        reader.thread.join()
    assert_that(stopping.process.wait_exit(), Equals(0))
    assert_all_complete(arusha, other_entry(arusha, "entry-1"), readers)


def test_rolling_restart_interrupts_no_open_stream(arusha):
    readers = read_programs(arusha.entries["entry-2"], "rolling")
    for upstream in list(arusha.upstreams.values())[:2]:
        upstream.sidecar.terminate()
        assert_that(upstream.sidecar.wait_exit(), Equals(0))
        upstream.sidecar.restart()
    arusha.entries["entry-1"].process.terminate()
    assert_that(arusha.entries["entry-1"].process.wait_exit(), Equals(0))
    arusha.entries["entry-1"].process.restart()
    assert_all_complete(arusha, arusha.entries["entry-2"], readers)


def test_cancelled_program_ends_and_is_not_listed(arusha):
    entry = arusha.entries["entry-1"]
    with entry.client() as client, entry.client(OPERATOR_TOKEN) as operator:
        program_id = start_program(client, "cancelled")
        client.delete(f"/v1/programs/{program_id}").raise_for_status()
        view = wait_for_answer(client, program_id)
        listed = operator.get("/v1/programs").json()["programs"]
    assert_that(view["error"], Equals("cancelled"))
    assert_that([view["program_id"] for view in listed], Equals([]))
