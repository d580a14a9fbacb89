"""What an entry learns from outcomes: speeds, pauses, failing upstreams, typical programs."""

import anyio
import msgspec

from skylarkferry_core.breakers import Breaker
from skylarkferry_core.capacities import CapacityEstimate
from skylarkferry_core.document import AgentSpec
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import AgentName, ModelName, ToolName, UpstreamId
from skylarkferry_core.messages import Outcome
from skylarkferry_core.programs import Program
from skylarkferry_core.retention import PauseEstimates, Retention
from skylarkferry_core.speeds import SpeedEstimates
from skylarkferry_core.states import FinalWord

NEWEST_SAMPLE_WEIGHT = 0.1
_CALLER_CAUSED = frozenset({ErrorCode.CANCELLED, ErrorCode.DEADLINE_PASSED, ErrorCode.STALE_EPOCH})


class TypicalProgram(msgspec.Struct):
    """Moving averages over an agent's programs: tokens spent and seconds of slots used."""

    tokens: float
    work_s: float


class Estimates:
    """Learned values of one entry; they start from the document and are lost with the process."""

    def __init__(self) -> None:
        self.speeds = SpeedEstimates()
        self.pauses = PauseEstimates()
        self.retention = Retention()
        self.breakers: dict[UpstreamId, Breaker] = {}
        self.typical: dict[AgentName, TypicalProgram] = {}
        self.kv_tokens: dict[AgentName, float] = {}
        self.capacities: dict[ModelName, CapacityEstimate] = {}

    def breaker(self, upstream: UpstreamId) -> Breaker:
        """Return the breaker of an upstream."""
        return self.breakers.setdefault(upstream, Breaker())

    def allows(self, upstream: UpstreamId) -> bool:
        """Tell whether an upstream's breaker lets calls through."""
        known = self.breakers.get(upstream)
        return known is None or known.allows(anyio.current_time())

    def record_dispatch(self, upstream: UpstreamId) -> None:
        """Note that a call is sent."""
        self.breaker(upstream).begin(anyio.current_time())

    def record_failure(self, upstream: UpstreamId) -> None:
        """Note a call that was lost or gave up on."""
        self.breaker(upstream).failed(anyio.current_time())

    def observe(self, upstream: UpstreamId, outcome: Outcome) -> None:
        """Learn from a call's outcome; one that did not run says nothing of the upstream."""
        if outcome.word is FinalWord.NOT_RUN or outcome.error in _CALLER_CAUSED:
            self.breaker(upstream).interrupted()
        elif outcome.word is FinalWord.UNKNOWN or outcome.error is not None:
            self.record_failure(upstream)
        else:
            self.breaker(upstream).succeeded()
            self._observe_speed(upstream, outcome)

    def _observe_speed(self, upstream: UpstreamId, outcome: Outcome) -> None:
        usage = outcome.usage
        if outcome.message is None or not outcome.timing.first_output_s:
            return
        self.speeds.observe(
            upstream,
            usage.prompt_tokens - usage.cached_tokens,
            outcome.timing.first_output_s,
            usage.output_tokens,
            outcome.timing.rest_s,
        )

    def observe_pause(self, agent: AgentName, pause_s: float) -> None:
        """Learn how long an agent's run waits for tools between two turns."""
        self.pauses.observe(ToolName(agent), pause_s)

    def capacity(self, model: ModelName) -> CapacityEstimate:
        """Return the capacity estimate of a model's upstreams."""
        return self.capacities.setdefault(model, CapacityEstimate())

    def observe_kv_tokens(self, agent: AgentName, tokens: int) -> None:
        """Learn what a run of an agent holds in its engine's memory after a turn."""
        known = self.kv_tokens.setdefault(agent, float(tokens))
        self.kv_tokens[agent] = known + NEWEST_SAMPLE_WEIGHT * (tokens - known)

    def typical_kv_tokens(self, agent: AgentName) -> int:
        """Return what a run of an agent holds on average, or 0 when none ran yet."""
        return int(self.kv_tokens.get(agent, 0.0))

    def typical_program(self, agent: AgentName, spec: AgentSpec) -> TypicalProgram:
        """Return what programs of an agent use; a new agent is judged by the document."""
        known = self.typical.get(agent)
        return known or TypicalProgram(float(spec.max_output_tokens), spec.expected_s)

    def observe_program(self, program: Program, work_s: float) -> None:
        """Learn from a program that ended."""
        agent = program.request.agent
        spent = float(program.budget.spent.tokens)
        known = self.typical.setdefault(agent, TypicalProgram(spent, work_s))
        known.tokens += NEWEST_SAMPLE_WEIGHT * (spent - known.tokens)
        known.work_s += NEWEST_SAMPLE_WEIGHT * (work_s - known.work_s)
