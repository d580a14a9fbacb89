"""Each check finds a broken promise that is shown to it, and nothing in a run that keeps it."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from skylarkferry_soak.checks import EVENTS, findings
from skylarkferry_soak.observations import (
    Attempt,
    Leaving,
    Observations,
    Path,
    RunSeen,
    Span,
)

STREAM = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENTS + 1))
OUTPUT = b"".join(f"token {n}\n".encode() for n in range(1, EVENTS + 1))


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
def seen():
    """A run that keeps every promise."""
    turn = {"program": "p", "budget": 200}
    return Observations(
        attempts=[
            attempt("order", Path.ORDER, b"o ", b"answer to o "),
            attempt("t1", Path.KEPT, b"one ", STREAM, **turn),
            attempt("t2", Path.KEPT, b"two ", STREAM, previous="t1", **turn),
            attempt("probe", Path.PROBE, b"", b"answer to ", number=2),
        ],
        runs=[
            RunSeen("order", "u1", b"o ", 10.1),
            RunSeen("t1", "e1", b"one ", 10.1),
            RunSeen("t2", "e1", b"one " + OUTPUT + b"two ", 10.2),
        ],
        boots={"g1": [0.0]},
    )


def names(seen):
    return {finding.check for finding in findings(seen)}


def test_run_that_keeps_every_promise_has_no_findings(seen):
    assert_that(findings(seen), Equals([]))


def test_second_run_is_found(seen):
    seen.runs.append(RunSeen("order", "u2", b"o ", 10.2))
    assert_that(names(seen), Equals({"runs_once"}))


@pytest.mark.parametrize("status", [402, 429, 503])
def test_refusal_of_what_ran_is_found(seen, status):
    seen.attempts[0].status = status
    assert_that(names(seen), Equals({"refusals_are_true"}))


@pytest.mark.parametrize(
    "change", [{"answer": b"answer to another "}, {"is_signed": False}, {"answer_id": "another"}]
)
def test_wrong_answer_is_found(seen, change):
    for name, value in change.items():
        setattr(seen.attempts[0], name, value)
    assert_that(names(seen), Equals({"answers_are_whole"}))


def test_wrong_chain_is_found(seen):
    seen.runs[2] = RunSeen("t2", "e1", b"two ", 10.2)
    assert_that(names(seen), Equals({"histories_are_kept"}))


def test_forgotten_turn_is_found(seen):
    seen.attempts[2].status = 404
    del seen.runs[2]
    assert_that(names(seen), Equals({"histories_are_kept"}))


def test_spent_budget_is_found(seen):
    for number in range(5):
        turn = msgspec.structs.replace(seen.attempts[1], request_id=f"x{number}")
        turn.answer_id = turn.request_id
        seen.attempts.append(turn)
    assert_that(names(seen), Equals({"budgets_hold"}))


def test_work_for_a_leaving_upstream_is_found(seen):
    seen.leavings.append(Leaving("u1", 7.0))
    assert_that(names(seen), Equals({"drains_hold"}))


def test_disturbed_drain_is_not_held_against_the_gateways(seen):
    seen.leavings.append(Leaving("u1", 7.0))
    seen.spans.append(Span("", "store_refuses", 6.0, 8.0))
    assert_that(names(seen), Equals(set()))


def test_request_cut_by_a_planned_stop_is_found(seen):
    cut = seen.attempts[0]
    cut.status, cut.is_whole, cut.answer = 0, False, b""
    seen.stops.append(Span("g1", "stop", 10.2, 12.0))
    assert_that(names(seen), Equals({"stops_cut_nothing"}))


def test_version_that_goes_back_is_found(seen):
    again = msgspec.structs.replace(seen.attempts[3], status=404, sent_at=11.0)
    seen.attempts.append(again)
    assert_that(names(seen), Equals({"versions_never_go_back"}))
