"""Golden sessions: each line is a step and the expected decision."""

from pathlib import Path
from random import Random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from policy import SITE, candidate, request
from sidecar_fakes import model_order
from skylarkferry_core.admissions import AdmissionRequest, DeadlineAdmission
from skylarkferry_core.breakers import Breaker
from skylarkferry_core.gates import KvGate
from skylarkferry_core.ids import CustomerId, PoolName, ProgramId, ToolName
from skylarkferry_core.interfaces import QueuedOrder, Speed
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.placements import PLACEMENTS
from skylarkferry_core.queues import FifoOrder, SlackOrder
from skylarkferry_core.retention import PauseEstimates, Retention
from skylarkferry_core.retries import RetryBudget, RetryPolicy, RetryRequest
from skylarkferry_core.shifts import KvCost, pool_for_running_program
from skylarkferry_core.speeds import SpeedEstimates
from skylarkferry_core.states import Priority

GOLDEN = Path(__file__).parents[1] / "golden"


class BreakerSession:
    """Steps ``<seconds> ok|fail|ask``; the result is the state and whether a call passes."""

    def __init__(self):
        self.breaker = Breaker()

    def step(self, words):
        now = float(words[0])
        if words[1] == "ask":
            allowed = self.breaker.allows(now)
            self.breaker.begin(now)
            return f"{self.breaker.state.value} {allowed}"
        if words[1] == "ok":
            self.breaker.succeeded()
        else:
            self.breaker.failed(now)
        return self.breaker.state.value


class RetentionSession:
    """Steps ``pause <tool> <seconds>`` and ``keep <tool> <tokens> <free tokens>``."""

    def __init__(self):
        self.pauses = PauseEstimates()
        self.retention = Retention()

    def step(self, words):
        if words[0] == "pause":
            self.pauses.observe(ToolName(words[1]), float(words[2]))
        pause = self.pauses.pause(ToolName(words[1]), expected_s=2.0)
        if words[0] == "pause":
            return f"{pause.mean_s:.2f} {pause.deviation_s:.2f}"
        load = LoadReport(kv_tokens=10_000, free_kv_tokens=int(words[3]))
        keep_s = self.retention.keep_s(pause, int(words[2]), Speed(1_000.0, 50.0), load)
        return f"{keep_s:.2f}"


class PlacementSession:
    """Steps ``<placement> last=<upstream> <state>:<running>:<cached>…``."""

    def step(self, words):
        name, last, *upstreams = words
        candidates = []
        for index, text in enumerate(upstreams):
            state, running, cached = text.split(":")
            fields = {"state": state, "running": int(running), "cached": int(cached)}
            candidates.append(candidate(index, running_output_tokens=100, **fields))
        call = request(last=last.removeprefix("last="), prefix="instructions")
        return PLACEMENTS[name](Random(7)).place(call, candidates, SITE)


class SpeedSession:
    """Steps ``<upstream> <prefill tokens> <seconds> <output tokens> <seconds>``."""

    def __init__(self):
        self.speeds = SpeedEstimates()

    def step(self, words):
        upstream, prefill, prefill_s, output, decode_s = words
        self.speeds.observe(upstream, int(prefill), float(prefill_s), int(output), float(decode_s))
        known, other = self.speeds.speed(upstream), self.speeds.speed("another")
        return f"{known.prefill_tokens_per_s:.0f} {other.decode_tokens_per_s:.1f}"


class AdmissionSession:
    """Steps ``<seconds> ask <deadline> <work> <tokens>`` and ``<seconds> end <program> late|ok``.

    There are two slots, and the customer's limit is 600 tokens per minute.
    """

    def __init__(self):
        self.admission = DeadlineAdmission()
        self.requests = 0

    def step(self, words):
        now = float(words[0])
        if words[1] == "end":
            self.admission.ended(ProgramId(words[2]), in_time=words[3] == "ok")
            return "ended"
        self.requests += 1
        deadline_s, work_s, tokens = float(words[2]), float(words[3]), int(words[4])
        admission_request = AdmissionRequest(
            customer=CustomerId("gearworks"),
            deadline_s=deadline_s,
            expected_s=work_s,
            tokens=tokens,
            tokens_per_minute=600,
            program_id=ProgramId(f"p{self.requests}"),
            work_s=work_s,
            capacity=2.0,
        )
        refusal = self.admission.admit(admission_request, now)
        return f"{refusal.code.value} {refusal.retry_after_s:.1f}" if refusal else "admitted"


class QueueSession:
    """Steps ``<seconds> <name>:<priority>:<slack>:<queued at>…``; the result is the name."""

    def step(self, words):
        names = [text.split(":")[0] for text in words[1:]]
        queue = [queued_order(text) for text in words[1:]]
        return names[SlackOrder().next_index(queue, float(words[0]))]


class GateSession:
    """Steps ``held=<tokens> running=<calls> <name>:<cached>:<prefill>:<typical>…``."""

    def step(self, words):
        held, running = (int(text.partition("=")[2]) for text in words[:2])
        names = [text.split(":")[0] for text in words[2:]]
        queue = [queued_turn(text) for text in words[2:]]
        load = LoadReport(
            running=running, kv_tokens=1_000, held_kv_tokens=held, reserved_kv_tokens=held
        )
        index = KvGate().next_index(queue, load, FifoOrder(), 1.0)
        return "hold" if index is None else names[index]


class RetrySession:
    """Steps ``<attempts> <seconds left>``; the budget allows the first ten retries."""

    def __init__(self):
        self.policy = RetryPolicy(Random(7), RetryBudget())

    def step(self, words):
        delay_s = self.policy.delay_s(RetryRequest(int(words[0]), float(words[1])))
        return "give up" if delay_s is None else f"{delay_s:.3f}"


class ShiftSession:
    """Steps ``<program> <current pool> <share of old> <share of new> <prefill> <left>``."""

    def step(self, words):
        shares = {PoolName("old"): float(words[2]), PoolName("new"): float(words[3])}
        cost = KvCost(prefill_s=float(words[4]), remaining_s=float(words[5]))
        return pool_for_running_program(ProgramId(words[0]), PoolName(words[1]), shares, cost).pool


def queued_order(text):
    """Return a queued order from ``<name>:<priority>:<slack>:<queued at>``."""
    name, priority, slack_s, queued_at = text.split(":")
    fields = {"priority": Priority(int(priority)), "slack_s": float(slack_s)}
    return QueuedOrder(model_order(name, **fields), float(queued_at))


def queued_turn(text):
    """Return a queued order from ``<name>:<cached>:<prefill>:<typical>``."""
    name, cached, prefill, typical = text.split(":")
    order = msgspec.structs.replace(
        model_order(name),
        cached_tokens=int(cached),
        prefill_tokens=int(prefill),
        typical_tokens=int(typical),
    )
    return QueuedOrder(order, 0.0)


SESSIONS = {
    "admission": AdmissionSession,
    "queue": QueueSession,
    "gate": GateSession,
    "retry": RetrySession,
    "shift": ShiftSession,
    "breaker": BreakerSession,
    "retention": RetentionSession,
    "placement": PlacementSession,
    "speeds": SpeedSession,
}


def replay(text, session):
    """Return the text with the result of each step as the session computes it."""
    lines = []
    for line in text.splitlines():
        step, arrow, _ = line.partition(" -> ")
        lines.append(f"{step} -> {session.step(step.split())}" if arrow else line)
    return "\n".join(lines) + "\n"


@pytest.mark.parametrize("name", SESSIONS)
def test_session_agrees_with_its_golden_file(name):
    text = (GOLDEN / f"policy_{name}.txt").read_text()
    assert_that(replay(text, SESSIONS[name]()), Equals(text))
