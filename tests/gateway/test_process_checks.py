import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_core.ids import FailureDomain, ServiceName, UpstreamId
from skylarkferry_gateway.messages import UpstreamEntry
from skylarkferry_gateway.process_checks import CheckResult, ProcessChecker, ProcessState
from skylarkferry_gateway.upstreams import Upstreams

ENTRY = UpstreamEntry(
    UpstreamId("u1"), ServiceName("tools"), "10.0.0.1:80", FailureDomain("a"), 4, False, 1_000
)
SILENT = CheckResult(ProcessState.UNKNOWN, "silent, as are other upstreams")
ACCEPTING = CheckResult(ProcessState.ACCEPTING, "accepts connections")


def state_by_list(before, *lists):
    """Return the state of the process in the first list, checked against the last one."""
    upstreams = Upstreams()
    upstreams.update(lists[0], 0.0)
    upstream = upstreams.upstreams[ENTRY.upstream]
    for number, entries in enumerate(lists[1:]):
        upstreams.update(entries, number + 1.0)
    return ProcessChecker(upstreams, random.Random(1)).check_list(upstream, before).state


def changed(**fields):
    return msgspec.structs.replace(ENTRY, **fields)


@pytest.mark.parametrize("before", [SILENT, ACCEPTING])
def test_later_start_time_means_that_the_process_ended(before):
    lists = [ENTRY], [changed(born_ms=2_000)]
    assert_that(state_by_list(before, *lists), Equals(ProcessState.ENDED))


@pytest.mark.parametrize("before", [SILENT, ACCEPTING])
def test_another_upstream_at_the_address_means_that_the_process_ended(before):
    lists = [ENTRY], [changed(upstream=UpstreamId("u2"), born_ms=2_000)]
    assert_that(state_by_list(before, *lists), Equals(ProcessState.ENDED))


@pytest.mark.parametrize("before", [SILENT, ACCEPTING])
def test_entry_that_lapsed_and_returned_is_that_of_the_same_process(before):
    lists = [ENTRY], [], [ENTRY]
    assert_that(state_by_list(before, *lists), Equals(before.state))


def test_lapsed_entry_means_an_end_only_if_the_address_was_silent():
    lists = [ENTRY], []
    assert_that(state_by_list(SILENT, *lists), Equals(ProcessState.ENDED))
    assert_that(state_by_list(ACCEPTING, *lists), Equals(ProcessState.ACCEPTING))


def test_planned_departure_is_no_crash():
    leaving = changed(is_leaving=True)
    lists = [leaving], []
    assert_that(state_by_list(SILENT, *lists), Equals(ProcessState.UNKNOWN))


def test_listed_upstream_tells_nothing_new():
    assert_that(state_by_list(SILENT, [ENTRY], [ENTRY]), Equals(ProcessState.UNKNOWN))
