import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from skylarkferry_gateway.messages import PromptPart, ReportedLoad
from skylarkferry_gateway.upstream_views import PromptCacheEstimate, UpstreamView


def test_other_requests_are_reported_load_minus_own_requests():
    view = UpstreamView(slots=4)
    view.in_flight = 2
    view.update_load(ReportedLoad(running=4, queued=3, slots=4), view.in_flight, 10.0)
    assert_that((view.other_requests, view.requests(10.0)), Equals((5.0, 7)))


def test_reported_load_ages():
    """A load reported long ago says nothing about the requests of other gateways now."""
    view = UpstreamView(slots=4)
    view.in_flight = 2
    view.update_load(ReportedLoad(running=6, queued=10, slots=6), view.in_flight, 10.0)
    assert_that([view.requests(now) for now in (10.0, 10.5, 20.0)], Equals([16, 9, 2]))


def test_only_leading_prompt_parts_count_and_the_oldest_are_evicted():
    parts = PromptCacheEstimate()
    parts.add([PromptPart("a", 100), PromptPart("b", 50)], 1_000)
    wanted = [PromptPart("a", 100), PromptPart("x", 10), PromptPart("b", 50)]
    assert_that(parts.cached(wanted), Equals(100))
    parts.add([PromptPart("c", 900)], 1_000)
    assert_that(parts.cached(wanted), Equals(0))


@pytest.mark.parametrize("tokens", [0, 1, -100])
def test_memory_of_prompt_parts_is_bounded_whatever_sizes_clients_state(tokens):
    parts = PromptCacheEstimate()
    for number in range(20_000):
        parts.add([PromptPart(f"part-{number}", tokens)], 400_000)
    assert_that(len(parts.parts), LessThan(10_000))
