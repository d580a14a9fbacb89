"""Golden sessions: each line is a step and the decision it must give."""

from pathlib import Path
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from policy import SITE, candidate, request
from skylarkferry_core.breakers import Breaker
from skylarkferry_core.ids import ToolName
from skylarkferry_core.interfaces import Speed
from skylarkferry_core.messages import LoadReport
from skylarkferry_core.placements import PLACEMENTS
from skylarkferry_core.retention import PauseEstimates, Retention
from skylarkferry_core.speeds import SpeedEstimates

GOLDEN = Path(__file__).parents[1] / "golden"


class BreakerSession:
    """Steps ``<seconds> ok|fail|ask``; the answer is the state and whether a call passes."""

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


SESSIONS = {
    "breaker": BreakerSession,
    "retention": RetentionSession,
    "placement": PlacementSession,
    "speeds": SpeedSession,
}


def replay(text, session):
    """Return the text with each line's answer as the session gives it."""
    lines = []
    for line in text.splitlines():
        step, arrow, _ = line.partition(" -> ")
        lines.append(f"{step} -> {session.step(step.split())}" if arrow else line)
    return "\n".join(lines) + "\n"


@pytest.mark.parametrize("name", SESSIONS)
def test_session_agrees_with_its_golden_file(name):
    text = (GOLDEN / f"policy_{name}.txt").read_text()
    assert_that(replay(text, SESSIONS[name]()), Equals(text))
