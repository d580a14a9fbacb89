"""Each check finds a broken promise that is shown to it, and nothing in a run that keeps it."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_soak.checks import EVENTS_PER_TURN, findings
from skylarkferry_soak.observations import (
    Attempt,
    DrainStart,
    Interval,
    Observations,
    RoutePrefix,
    UpstreamRun,
)

STREAM = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENTS_PER_TURN + 1))
OUTPUT = b"".join(f"token {n}\n".encode() for n in range(1, EVENTS_PER_TURN + 1))


def attempt(request_id, path, body, answer, **fields):
    """Return an attempt that was served."""
    return Attempt(
        request_id,
        path,
        "g1",
        sent_at=10.0,
        body=body,
        is_sent=True,
        status=200,
        answer=answer,
        answer_id=request_id,
        is_signed=True,
        is_whole=True,
        ended_at=10.5,
        **fields,
    )


@pytest.fixture
def observations():
    """A run that keeps every promise."""
    turn = {"program": "p", "budget": 200}
    return Observations(
        attempts=[
            attempt("order", RoutePrefix.ORDER, b"o ", b"answer to o "),
            attempt("t1", RoutePrefix.KEPT, b"one ", STREAM, **turn),
            attempt("t2", RoutePrefix.KEPT, b"two ", STREAM, previous="t1", **turn),
            attempt("probe", RoutePrefix.PROBE, b"", b"answer to ", number=2),
        ],
        runs=[
            UpstreamRun("order", "u1", b"o ", 10.1),
            UpstreamRun("t1", "e1", b"one ", 10.1),
            UpstreamRun("t2", "e1", b"one " + OUTPUT + b"two ", 10.2),
        ],
        boots={"g1": [0.0]},
    )


def names(observations):
    return {finding.check for finding in findings(observations)}


def test_run_that_keeps_every_promise_has_no_findings(observations):
    assert_that(findings(observations), Equals([]))


def test_second_run_is_found(observations):
    observations.runs.append(UpstreamRun("order", "u2", b"o ", 10.2))
    assert_that(names(observations), Equals({"runs_once"}))


@pytest.mark.parametrize("status", [402, 429, 503])
def test_refusal_of_what_ran_is_found(observations, status):
    observations.attempts[0].status = status
    assert_that(names(observations), Equals({"refusals_are_true"}))


@pytest.mark.parametrize(
    "change", [{"answer": b"answer to another "}, {"is_signed": False}, {"answer_id": "another"}]
)
def test_wrong_answer_is_found(observations, change):
    for name, value in change.items():
        setattr(observations.attempts[0], name, value)
    assert_that(names(observations), Equals({"answers_are_whole"}))


def test_wrong_chain_is_found(observations):
    observations.runs[2] = UpstreamRun("t2", "e1", b"two ", 10.2)
    assert_that(names(observations), Equals({"histories_are_kept"}))


def test_forgotten_turn_is_found(observations):
    observations.attempts[2].status = 404
    del observations.runs[2]
    assert_that(names(observations), Equals({"histories_are_kept"}))


def test_spent_budget_is_found(observations):
    for number in range(5):
        turn = msgspec.structs.replace(observations.attempts[1], request_id=f"x{number}")
        turn.answer_id = turn.request_id
        observations.attempts.append(turn)
    assert_that(names(observations), Equals({"budgets_hold"}))


def test_work_for_a_leaving_upstream_is_found(observations):
    observations.drain_starts.append(DrainStart("u1", 7.0))
    assert_that(names(observations), Equals({"drains_hold"}))


def test_disturbed_drain_is_not_held_against_the_gateways(observations):
    observations.drain_starts.append(DrainStart("u1", 7.0))
    observations.spans.append(Interval("", "store_refuses", 6.0, 8.0))
    assert_that(names(observations), Equals(set()))


def test_request_cut_by_a_planned_stop_is_found(observations):
    cut = observations.attempts[0]
    cut.status, cut.is_whole, cut.answer = 0, False, b""
    observations.stops.append(Interval("g1", "stop", 10.2, 12.0))
    assert_that(names(observations), Equals({"stops_cut_nothing"}))


def test_version_that_goes_back_is_found(observations):
    again = msgspec.structs.replace(observations.attempts[3], status=404, sent_at=11.0)
    observations.attempts.append(again)
    assert_that(names(observations), Equals({"versions_never_go_back"}))
