"""Estimates from observed outcomes: speeds, pauses, failing upstreams, typical programs."""

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
    """Moving averages over an agent's programs: tokens spent and slot seconds used."""

    tokens: float
    work_s: float


class Estimates:
    """Estimates of one entry, initialized from the document and kept in memory only."""

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
        """Return whether an upstream's breaker allows calls."""
        known = self.breakers.get(upstream)
        return known is None or known.allows(anyio.current_time())

    def record_dispatch(self, upstream: UpstreamId) -> None:
        """Record that a call is sent to an upstream."""
        self.breaker(upstream).begin(anyio.current_time())

    def record_failure(self, upstream: UpstreamId) -> None:
        """Record a call that was lost or failed at an upstream."""
        self.breaker(upstream).failed(anyio.current_time())

    def observe(self, upstream: UpstreamId, outcome: Outcome) -> None:
        """Update the estimates from a call's outcome.

        A call that did not run, or that the caller ended, is no evidence about the upstream.
        """
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
        """Update the estimated pause of an agent's run for tool calls between two turns."""
        self.pauses.observe(ToolName(agent), pause_s)

    def capacity(self, model: ModelName) -> CapacityEstimate:
        """Return the capacity estimate of a model's upstreams."""
        return self.capacities.setdefault(model, CapacityEstimate())

    def observe_kv_tokens(self, agent: AgentName, tokens: int) -> None:
        """Update the estimated KV cache tokens that a run of an agent holds after a turn."""
        known = self.kv_tokens.setdefault(agent, float(tokens))
        self.kv_tokens[agent] = known + NEWEST_SAMPLE_WEIGHT * (tokens - known)

    def typical_kv_tokens(self, agent: AgentName) -> int:
        """Return the average KV cache tokens of an agent's run, or 0 before its first turn."""
        return int(self.kv_tokens.get(agent, 0.0))

    def typical_program(self, agent: AgentName, spec: AgentSpec) -> TypicalProgram:
        """Return the typical usage of an agent's programs; for a new agent, from the document."""
        known = self.typical.get(agent)
        return known or TypicalProgram(float(spec.max_output_tokens), spec.expected_s)

    def observe_program(self, program: Program, work_s: float) -> None:
        """Update an agent's typical usage from an ended program."""
        agent = program.request.agent
        spent = float(program.budget.spent.tokens)
        known = self.typical.setdefault(agent, TypicalProgram(spent, work_s))
        known.tokens += NEWEST_SAMPLE_WEIGHT * (spent - known.tokens)
        known.work_s += NEWEST_SAMPLE_WEIGHT * (work_s - known.work_s)
