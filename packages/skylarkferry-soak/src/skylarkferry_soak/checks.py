"""Checks of the gateway's guarantees against what callers and upstreams observed."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

import msgspec

from skylarkferry_soak.observations import (
    AT_MOST_ONCE,
    Attempt,
    FaultInterval,
    LimitInterval,
    Observations,
    RoutePrefix,
    UpstreamRun,
)

EVENTS_PER_TURN = 5
TOKENS_PER_EVENT = 10
MAX_TURN_TOKENS = 100
"""Maximum tokens of a turn, as declared by callers."""
REQUEST_DEADLINE_S = 3.0
"""Deadline of a caller's request; most requests on the users' data sheets have this deadline."""
DRAIN_NOTICE_S = 2.0
"""Time after which a leaving upstream receives no new requests (the platform's bound)."""
UNDISTURBED_S = 3.0
"""Time without a disturbance after which the time limits apply (the platform's bound)."""
LIMIT_WINDOW_S = 4.0
LIMIT_NOTICE_S = 0.5
"""Window in which the requests at a limited upstream are counted, and the time after which those
of a gateway count that has relayed the limit (the platform's)."""
_LIMIT_FACTOR = 1.5
_LIMIT_EXTRA_REQUESTS = 5
"""Requests that the platform tolerates: this multiple of the limit, and these."""
BALANCER_LAG_S = 2.0
"""Time after SIGTERM in which the balancer may open connections; it needs two failed probes."""
CLOSE_RACE_S = 0.2
"""Maximum duration of a request that did not run because the connection was being closed.

The value is the tolerance of the platform.
"""
PLANNED_STOP_S = 9.0
"""Maximum duration of a planned stop: the platform's grace period plus 1 s."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request has not run and never will run."""
CRASH_MARKER = b"crash "
"""Body of a request that crashes each upstream that runs it."""
_CRASHES_TO_QUARANTINE = 3
_MAX_LATE_RUNS = 3
"""Runs of a quarantined request that the platform tolerates."""
_OK = 200
_NOT_FOUND = 404
_BUDGET_SPENT = 402


class Finding(msgspec.Struct, frozen=True):
    """A violation of a guarantee."""

    check: str
    detail: str


def runs_once(observations: Observations) -> Iterator[Finding]:
    """Find non-repeatable requests that ran more than once."""
    counts = Counter(run.request_id for run in observations.runs)
    for attempt in observations.attempts:
        if attempt.route in AT_MOST_ONCE and counts[attempt.request_id] > 1:
            yield Finding(
                "runs_once", f"{attempt.request_id} ran {counts[attempt.request_id]} times"
            )


def refusals_are_true(observations: Observations) -> Iterator[Finding]:
    """Find requests that ran although their response said that they had not run."""
    ran = {run.request_id for run in observations.runs}
    for attempt in observations.attempts:
        claims_not_run = attempt.status in NOT_RUN_STATUSES or attempt.status == _BUDGET_SPENT
        if attempt.route in AT_MOST_ONCE and claims_not_run and attempt.request_id in ran:
            yield Finding(
                "refusals_are_true", f"{attempt.request_id}: {attempt.status}, yet it ran"
            )


def answers_are_whole(observations: Observations) -> Iterator[Finding]:
    """Find successful responses that are unsigned, of another request, or altered."""
    for attempt in observations.attempts:
        if attempt.status != _OK:
            continue
        if not attempt.is_signed or attempt.response_request_id != attempt.request_id:
            yield Finding(
                "answers_are_whole", f"{attempt.request_id}: unsigned or of another request"
            )
        elif attempt.is_complete and attempt.response_body != _expected(attempt):
            yield Finding("answers_are_whole", f"{attempt.request_id}: {attempt.response_body!r}")


def _expected(attempt: Attempt) -> bytes:
    if attempt.route in (RoutePrefix.ORDER, RoutePrefix.GET, RoutePrefix.PROBE):
        return b"answer to " + attempt.body
    numbers = range(attempt.last_event_id + 1, EVENTS_PER_TURN + 1)
    return b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in numbers)


def streams_keep_their_version(observations: Observations) -> Iterator[Finding]:
    """Find streams that went on at another software version than the one that began them."""
    versions = {run.upstream: run.version for run in observations.runs}
    attempts = {attempt.request_id: attempt for attempt in observations.attempts}
    for run in observations.runs:
        attempt = attempts[run.request_id]
        begun = attempts[attempt.resumes] if attempt.resumes else attempt
        if run.is_resumption and begun.signer and run.version != versions[begun.signer]:
            yield Finding(
                "streams_keep_their_version",
                f"{begun.request_id} began at {begun.signer}, {run.request_id} ran it at "
                f"{run.upstream} ({run.version})",
            )


def histories_are_kept(observations: Observations) -> Iterator[Finding]:
    """Find turns that ran with a wrong history, and completed turns that were lost."""
    turns = {
        item.request_id: item for item in observations.attempts if item.route is RoutePrefix.KEPT
    }
    for run in observations.runs:
        turn = turns.get(run.request_id)
        if turn is not None and run.body != _prompt(turn, turns):
            yield Finding("histories_are_kept", f"{turn.request_id} ran with {run.body!r}")
    for turn in turns.values():
        previous = turns.get(turn.previous)
        was_complete = previous is not None and previous.is_complete and previous.status == _OK
        if was_complete and turn.status in (_NOT_FOUND, 410):
            yield Finding("histories_are_kept", f"{turn.request_id}: {turn.previous} was lost")


def _prompt(turn: Attempt, turns: Mapping[str, Attempt]) -> bytes:
    output = b"".join(f"token {n}\n".encode() for n in range(1, EVENTS_PER_TURN + 1))
    before = b""
    if turn.previous:
        previous = turns[turn.previous]
        before = _prompt(previous, turns) + output
    return before + turn.body


def budgets_hold(observations: Observations) -> Iterator[Finding]:
    """Find programs that received more tokens than their budget plus one maximum turn."""
    delivered: Counter[str] = Counter()
    budgets: dict[str, int] = {}
    for attempt in observations.attempts:
        if attempt.budget:
            budgets[attempt.program] = attempt.budget
            delivered[attempt.program] += attempt.response_body.count(b"data:") * TOKENS_PER_EVENT
    for program, budget in budgets.items():
        if delivered[program] > budget + MAX_TURN_TOKENS:
            yield Finding("budgets_hold", f"{program}: {delivered[program]} tokens of {budget}")


def drains_hold(observations: Observations) -> Iterator[Finding]:
    """Find new runs at a leaving upstream, unless a gateway was disturbed before the run."""
    sent = {attempt.request_id: attempt for attempt in observations.attempts}
    for drain in observations.drain_starts:
        for run in observations.runs:
            if run.upstream != drain.upstream or run.ran_at < drain.started_at + DRAIN_NOTICE_S:
                continue
            attempt = sent.get(run.request_id)
            is_late = attempt is not None and attempt.sent_at > drain.started_at + DRAIN_NOTICE_S
            if is_late and not _is_disturbed(
                observations, "", drain.started_at - UNDISTURBED_S, run.ran_at
            ):
                yield Finding("drains_hold", f"{run.request_id} ran at {drain.upstream}")


def announced_leaving_is_obeyed(observations: Observations) -> Iterator[Finding]:
    """Find requests sent to an upstream long after the gateway relayed that it is leaving.

    Only the process that said so is leaving; one that starts under its id may get requests.
    """
    sent = {attempt.request_id: attempt for attempt in observations.attempts}
    relayed_at: dict[tuple[str, str, int], float] = {}
    for run in _sole_runs(observations):
        attempt = sent[run.request_id]
        if attempt.says_leaving and attempt.is_complete:
            key = (attempt.gateway, run.upstream, run.born_ms)
            relayed_at[key] = min(relayed_at.get(key, float("inf")), attempt.ended_at)
    for run in observations.runs:
        attempt = sent[run.request_id]
        key = (attempt.gateway, run.upstream, run.born_ms)
        heard_at = relayed_at.get(key, float("inf"))
        is_late = attempt.sent_at > heard_at + DRAIN_NOTICE_S
        if is_late and not _is_interrupted(observations, attempt.gateway, heard_at, run.ran_at):
            yield Finding("announced_leaving_is_obeyed", f"{run.request_id} ran at {run.upstream}")


def limits_hold(observations: Observations) -> Iterator[Finding]:
    """Find upstreams that got more requests than they tolerate from gateways that knew it."""
    sent = {attempt.request_id: attempt for attempt in observations.attempts}
    for limit in observations.limits:
        runs = [run for run in observations.runs if run.upstream == limit.upstream]
        sole_runs = [run for run in _sole_runs(observations) if run.upstream == limit.upstream]
        relayed_at = _limit_relayed_at(limit, sole_runs, sent)
        counted = [
            run.ran_at
            for run in runs
            if limit.started_at + UNDISTURBED_S <= run.ran_at <= limit.ended_at
            and relayed_at.get(sent[run.request_id].gateway, float("inf")) <= run.ran_at
            and not _is_interrupted(
                observations, sent[run.request_id].gateway, limit.started_at, run.ran_at
            )
        ]
        allowed = _LIMIT_FACTOR * limit.limit_per_s * LIMIT_WINDOW_S + _LIMIT_EXTRA_REQUESTS
        most = max((_count_from(counted, start) for start in counted), default=0)
        if most > allowed:
            detail = f"{limit.upstream}: {most} requests, {allowed:g} tolerated"
            yield Finding("limits_hold", detail)


def _sole_runs(observations: Observations) -> list[UpstreamRun]:
    """Return the runs of requests that ran once, whose responses are those of their upstreams."""
    counts = Counter(run.request_id for run in observations.runs)
    return [run for run in observations.runs if counts[run.request_id] == 1]


def _limit_relayed_at(
    limit: LimitInterval, runs: list[UpstreamRun], sent: Mapping[str, Attempt]
) -> dict[str, float]:
    """Return from when on the runs of each gateway count that has relayed the limit."""
    relayed_at: dict[str, float] = {}
    for run in runs:
        attempt = sent[run.request_id]
        if attempt.says_limited and attempt.is_complete and run.ran_at >= limit.started_at:
            counts_from = attempt.ended_at + LIMIT_NOTICE_S
            earlier = relayed_at.get(attempt.gateway, float("inf"))
            relayed_at[attempt.gateway] = min(earlier, counts_from)
    return relayed_at


def _count_from(times: list[float], start: float) -> int:
    return sum(start <= moment < start + LIMIT_WINDOW_S for moment in times)


def stops_cut_nothing(observations: Observations) -> Iterator[Finding]:
    """Find requests interrupted by a planned stop, unless the gateway was also disturbed."""
    ran = {run.request_id for run in observations.runs}
    for stop in observations.stops:
        for attempt in observations.attempts:
            if not _is_cut_by(stop, attempt):
                continue
            lasted_s = attempt.ended_at - attempt.sent_at
            lost_close_race = attempt.request_id not in ran and lasted_s < CLOSE_RACE_S
            started = attempt.sent_at - UNDISTURBED_S
            if lasted_s >= REQUEST_DEADLINE_S or _runs_at_crash(observations, attempt):
                continue
            if not lost_close_race and not _is_disturbed(
                observations, stop.gateway, started, attempt.ended_at
            ):
                yield Finding("stops_cut_nothing", f"{attempt.request_id} at {stop.gateway}")


def crashing_requests_are_contained(observations: Observations) -> Iterator[Finding]:
    """Find requests that undisturbed gateways sent on long after their third crash."""
    sent = {attempt.request_id: attempt for attempt in observations.attempts}
    runs_by_body: dict[bytes, list[UpstreamRun]] = {}
    for run in observations.runs:
        if run.body.startswith(CRASH_MARKER):
            runs_by_body.setdefault(run.body, []).append(run)
    for body, runs in runs_by_body.items():
        known_at = [*(run.ran_at for run in runs), float("inf")][_CRASHES_TO_QUARANTINE - 1]
        late = [
            run
            for run in runs[_CRASHES_TO_QUARANTINE:]
            if (attempt := sent[run.request_id]).sent_at > known_at + UNDISTURBED_S
            and not _is_disturbed(
                observations, attempt.gateway, attempt.sent_at - UNDISTURBED_S, run.ran_at
            )
        ]
        if len(late) > _MAX_LATE_RUNS:
            yield Finding("crashing_requests_are_contained", f"{body!r}: {len(late)} late runs")


def _is_cut_by(stop: FaultInterval, attempt: Attempt) -> bool:
    is_accepted = attempt.gateway == stop.gateway and attempt.is_sent
    is_sent_in_time = attempt.sent_at < stop.started_at + BALANCER_LAG_S
    is_during = stop.started_at <= attempt.ended_at <= stop.started_at + PLANNED_STOP_S
    return is_accepted and is_sent_in_time and is_during and not attempt.is_complete


def versions_never_go_back(observations: Observations) -> Iterator[Finding]:
    """Find routes that a gateway process served at first and later rejected as unknown."""
    for gateway, process_starts in observations.process_starts.items():
        probes = [item for item in observations.attempts if item.route is RoutePrefix.PROBE]
        gateway_probes = sorted(
            (item for item in probes if item.gateway == gateway), key=lambda probe: probe.sent_at
        )
        for started, ended in zip(process_starts, [*process_starts[1:], float("inf")], strict=True):
            newest = 0
            for probe in gateway_probes:
                if not started <= probe.sent_at or not probe.ended_at < ended:
                    continue
                if probe.status == _NOT_FOUND and probe.config_version <= newest:
                    yield Finding("versions_never_go_back", f"{probe.request_id} at {gateway}")
                if probe.status == _OK:
                    newest = max(newest, probe.config_version)


def _is_disturbed(observations: Observations, gateway: str, started: float, ended: float) -> bool:
    """Return whether a disturbance of ``gateway`` (of any, if empty) overlaps the period."""
    return any(
        disturbance.started_at <= ended
        and disturbance.ended_at + UNDISTURBED_S >= started
        and (not gateway or disturbance.gateway in ("", gateway))
        for disturbance in observations.disturbances
    )


def _is_interrupted(observations: Observations, gateway: str, started: float, ended: float) -> bool:
    """Return whether a gateway was started, or disturbed itself, in the period."""
    starts = observations.process_starts.get(gateway, [])
    return any(started <= moment <= ended for moment in starts) or any(
        disturbance.gateway == gateway
        and disturbance.started_at <= ended
        and disturbance.ended_at >= started
        for disturbance in observations.disturbances
    )


def _runs_at_crash(observations: Observations, attempt: Attempt) -> bool:
    """Return whether an upstream that ran the attempt crashed before the attempt's end."""
    upstreams = {run.upstream for run in observations.runs if run.request_id == attempt.request_id}
    return any(
        crash.upstream in upstreams and attempt.sent_at <= crash.crashed_at <= attempt.ended_at
        for crash in observations.crashes
    )


Check = Callable[[Observations], Iterator[Finding]]
CHECKS: tuple[Check, ...] = (
    runs_once,
    refusals_are_true,
    answers_are_whole,
    histories_are_kept,
    budgets_hold,
    drains_hold,
    announced_leaving_is_obeyed,
    limits_hold,
    stops_cut_nothing,
    crashing_requests_are_contained,
    versions_never_go_back,
    streams_keep_their_version,
)


def find_violations(observations: Observations) -> list[Finding]:
    """Return the findings of all checks."""
    return [finding for check in CHECKS for finding in check(observations)]
