"""Checks of the promises, from what callers and upstreams saw."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

import msgspec

from skylarkferry_soak.observations import (
    AT_MOST_ONCE,
    Attempt,
    Interval,
    Observations,
    RoutePrefix,
)

EVENTS_PER_TURN = 5
TOKENS_PER_EVENT = 10
MAX_TURN_TOKENS = 100
"""The most tokens of a turn, as callers declare it."""
DRAIN_NOTICE_S = 2.0
"""Time after which a leaving upstream gets nothing new (the platform's bound)."""
UNDISTURBED_S = 3.0
"""Time without disturbance before bounds hold (the platform's bound)."""
BALANCER_LAG_S = 2.0
"""Time after SIGTERM in which the balancer may still send connections: two missed questions."""
CLOSE_RACE_S = 0.2
"""Time within which a request that did not run may have crossed the close (platform's slack)."""
PLANNED_STOP_S = 9.0
"""Time in which a planned stop is over: the grace period and a second."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that nothing ran and never will."""
_OK = 200
_NOT_FOUND = 404
_SPENT = 402


class Finding(msgspec.Struct, frozen=True):
    """A broken promise."""

    check: str
    detail: str


def runs_once(observations: Observations) -> Iterator[Finding]:
    """Find requests that may not be repeated and ran more than once."""
    counts = Counter(run.request_id for run in observations.runs)
    for attempt in observations.attempts:
        if attempt.path in AT_MOST_ONCE and counts[attempt.request_id] > 1:
            yield Finding(
                "runs_once", f"{attempt.request_id} ran {counts[attempt.request_id]} times"
            )


def refusals_are_true(observations: Observations) -> Iterator[Finding]:
    """Find requests that were refused as not run, yet ran."""
    ran = {run.request_id for run in observations.runs}
    for attempt in observations.attempts:
        is_promise = attempt.status in NOT_RUN_STATUSES or attempt.status == _SPENT
        if attempt.path in AT_MOST_ONCE and is_promise and attempt.request_id in ran:
            yield Finding(
                "refusals_are_true", f"{attempt.request_id}: {attempt.status}, yet it ran"
            )


def answers_are_whole(observations: Observations) -> Iterator[Finding]:
    """Find successes that are unsigned, another request's, or not all that the upstream said."""
    for attempt in observations.attempts:
        if attempt.status != _OK:
            continue
        if not attempt.is_signed or attempt.answer_id != attempt.request_id:
            yield Finding("answers_are_whole", f"{attempt.request_id}: not its own signed answer")
        elif attempt.is_whole and attempt.answer != _expected(attempt):
            yield Finding("answers_are_whole", f"{attempt.request_id}: {attempt.answer!r}")


def _expected(attempt: Attempt) -> bytes:
    if attempt.path in (RoutePrefix.ORDER, RoutePrefix.GET, RoutePrefix.PROBE):
        return b"answer to " + attempt.body
    return b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENTS_PER_TURN + 1))


def histories_are_kept(observations: Observations) -> Iterator[Finding]:
    """Find turns that ran with another chain than their own, and whole ones forgotten."""
    turns = {
        item.request_id: item for item in observations.attempts if item.path is RoutePrefix.KEPT
    }
    for run in observations.runs:
        turn = turns.get(run.request_id)
        if turn is not None and run.body != _prompt(turn, turns):
            yield Finding("histories_are_kept", f"{turn.request_id} ran with {run.body!r}")
    for turn in turns.values():
        previous = turns.get(turn.previous)
        was_whole = previous is not None and previous.is_whole and previous.status == _OK
        if was_whole and turn.status in (_NOT_FOUND, 410):
            yield Finding("histories_are_kept", f"{turn.request_id}: {turn.previous} was forgotten")


def _prompt(turn: Attempt, turns: Mapping[str, Attempt]) -> bytes:
    output = b"".join(f"token {n}\n".encode() for n in range(1, EVENTS_PER_TURN + 1))
    before = b""
    if turn.previous:
        previous = turns[turn.previous]
        before = _prompt(previous, turns) + output
    return before + turn.body


def budgets_hold(observations: Observations) -> Iterator[Finding]:
    """Find programs that were handed more than their budget and one turn's most."""
    delivered: Counter[str] = Counter()
    budgets: dict[str, int] = {}
    for attempt in observations.attempts:
        if attempt.budget:
            budgets[attempt.program] = attempt.budget
            delivered[attempt.program] += attempt.answer.count(b"data:") * TOKENS_PER_EVENT
    for program, budget in budgets.items():
        if delivered[program] > budget + MAX_TURN_TOKENS:
            yield Finding("budgets_hold", f"{program}: {delivered[program]} tokens of {budget}")


def drains_hold(observations: Observations) -> Iterator[Finding]:
    """Find new runs at a leaving upstream, where nothing disturbed the gateways before."""
    sent = {attempt.request_id: attempt for attempt in observations.attempts}
    for leaving in observations.drain_starts:
        for run in observations.runs:
            if run.upstream != leaving.upstream or run.at < leaving.at + DRAIN_NOTICE_S:
                continue
            attempt = sent.get(run.request_id)
            late = attempt is not None and attempt.sent_at > leaving.at + DRAIN_NOTICE_S
            if late and not _is_disturbed(observations, "", leaving.at - UNDISTURBED_S, run.at):
                yield Finding("drains_hold", f"{run.request_id} ran at {leaving.upstream}")


def stops_cut_nothing(observations: Observations) -> Iterator[Finding]:
    """Find requests that a planned stop cut, where nothing else disturbed the gateway."""
    ran = {run.request_id for run in observations.runs}
    for stop in observations.stops:
        for attempt in observations.attempts:
            if not _is_cut_by(stop, attempt):
                continue
            lasted_s = attempt.ended_at - attempt.sent_at
            crossed = attempt.request_id not in ran and lasted_s < CLOSE_RACE_S
            began = attempt.sent_at - UNDISTURBED_S
            if not crossed and not _is_disturbed(observations, stop.name, began, attempt.ended_at):
                yield Finding("stops_cut_nothing", f"{attempt.request_id} at {stop.name}")


def _is_cut_by(stop: Interval, attempt: Attempt) -> bool:
    is_taken = attempt.gateway == stop.name and attempt.is_sent
    is_in_time = attempt.sent_at < stop.started_at + BALANCER_LAG_S
    is_during = stop.started_at <= attempt.ended_at <= stop.started_at + PLANNED_STOP_S
    return is_taken and is_in_time and is_during and not attempt.is_whole


def versions_never_go_back(observations: Observations) -> Iterator[Finding]:
    """Find routes that a boot served and did not know later."""
    for gateway, boots in observations.boots.items():
        probes = [item for item in observations.attempts if item.path is RoutePrefix.PROBE]
        own = sorted(
            (item for item in probes if item.gateway == gateway), key=lambda it: it.sent_at
        )
        for begun, ended in zip(boots, [*boots[1:], float("inf")], strict=True):
            newest = 0
            for probe in own:
                if not begun <= probe.sent_at or not probe.ended_at < ended:
                    continue
                if probe.status == _NOT_FOUND and probe.number <= newest:
                    yield Finding("versions_never_go_back", f"{probe.request_id} at {gateway}")
                if probe.status == _OK:
                    newest = max(newest, probe.number)


def _is_disturbed(observations: Observations, gateway: str, begun: float, ended: float) -> bool:
    """Tell whether a disturbance of a gateway (or of any, for no name) overlaps a span."""
    return any(
        span.started_at <= ended
        and span.ended_at + UNDISTURBED_S >= begun
        and (not gateway or span.name in ("", gateway))
        for span in observations.spans
    )


Check = Callable[[Observations], Iterator[Finding]]
CHECKS: tuple[Check, ...] = (
    runs_once,
    refusals_are_true,
    answers_are_whole,
    histories_are_kept,
    budgets_hold,
    drains_hold,
    stops_cut_nothing,
    versions_never_go_back,
)


def findings(observations: Observations) -> list[Finding]:
    """Return all broken promises."""
    return [finding for check in CHECKS for finding in check(observations)]
