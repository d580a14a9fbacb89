"""Planning of calls: target pools, worst-case cost and the order sent to the sidecar."""

from collections.abc import Callable

import msgspec

from skylarkferry_core.budgets import Amount
from skylarkferry_core.document import Document, ToolSpec
from skylarkferry_core.ids import (
    AgentName,
    FailureDomain,
    PoolName,
    ProgramId,
    ToolName,
    UpstreamId,
    fingerprint_of,
)
from skylarkferry_core.interfaces import PlacementRequest
from skylarkferry_core.messages import Fence, Order, ServiceWork, ToolRequest, Work
from skylarkferry_core.programs import Program
from skylarkferry_core.records import CallIntended, SlotKey
from skylarkferry_core.runs import Run
from skylarkferry_core.states import PoolKind, Priority
from skylarkferry_core.turns import expected_turn, model_work, tool_work, turn_bound
from skylarkferry_daemon.call_placement import CallTarget, PlacedUpstream
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.interfaces import ChunkSink

MODEL_TIMEOUT_S = 600.0
SERVICE_TIMEOUT_S = 60.0

OrderBuilder = Callable[[CallIntended, PlacedUpstream], Order]


class CallPlan(msgspec.Struct):
    """Properties of a call that are the same for all its attempts.

    ``need`` is the worst-case cost, ``request`` the input of the placement policy; ``begin`` is
    called at the start of each attempt.
    """

    slot: SlotKey
    name: str
    target: CallTarget
    request: PlacementRequest
    repeatable: bool
    need: Amount
    order: OrderBuilder
    sink: ChunkSink
    begin: Callable[[], None]


class TurnExpectation:
    """Estimates of a turn for an engine's sidecar: its tokens and its KV cache retention time."""

    def __init__(
        self, context: EntryContext, agent: AgentName, target: CallTarget, request: PlacementRequest
    ) -> None:
        self.context = context
        self.agent = agent
        self.target = target
        self.request = request

    def with_token_estimates(self, order: Order, placed: PlacedUpstream) -> Order:
        """Return an order with the KV retention and token estimates for its upstream."""
        request = self.request
        uncached = max(request.prompt_tokens - placed.cached_tokens, 0)
        own_cached = max(placed.cached_tokens - request.prefix_tokens, 0)
        return msgspec.structs.replace(
            order,
            keep_kv_s=self._kv_retention_s(placed.upstream),
            prefill_tokens=uncached,
            output_tokens=request.output_tokens,
            cached_tokens=own_cached,
            typical_tokens=self.context.estimates.typical_kv_tokens(self.agent),
            prefix=request.prefix,
            prefix_tokens=request.prefix_tokens,
        )

    def _kv_retention_s(self, upstream: UpstreamId) -> float:
        """Return for how many seconds to keep the KV cache, based on the agent's usual pauses."""
        estimates = self.context.estimates
        spec = self.context.documents.current.agents.get(self.agent)
        pause = estimates.pauses.pause(ToolName(self.agent), spec.expected_s if spec else 0.0)
        tokens = self.request.prompt_tokens + self.request.output_tokens
        load = self.context.placer.load(upstream, self.target)
        return estimates.retention.keep_s(pause, tokens, estimates.speeds.speed(upstream), load)


class CallPlanner:
    """Plans the calls of one program under the current document."""

    def __init__(self, context: EntryContext, program: Program, fence: Fence) -> None:
        self.context = context
        self.program = program
        self.fence = fence

    @property
    def document(self) -> Document:
        """Return the current document."""
        return self.context.documents.current

    def model_plan(self, run: Run, sink: ChunkSink, begin: Callable[[], None]) -> CallPlan:
        """Plan the next turn of a run."""
        need = turn_bound(self.document, run, self.program.budget.uncommitted)
        work = model_work(self.document, run, need.output_tokens)
        request = expected_turn(self.document, self.program.program_id, run)
        turn = TurnExpectation(self.context, run.agent, CallTarget(model=work.model), request)
        return CallPlan(
            slot=run.model_slot(),
            name=run.agent,
            target=CallTarget(model=work.model),
            request=request,
            repeatable=True,
            need=need.amount,
            order=self._order_builder(work, True, MODEL_TIMEOUT_S, turn),
            sink=sink,
            begin=begin,
        )

    def tool_plan(
        self, slot: SlotKey, spec: ToolSpec, request: ToolRequest, sink: ChunkSink
    ) -> CallPlan:
        """Plan a tool call."""
        return CallPlan(
            slot=slot,
            name=request.name,
            target=CallTarget(pool=spec.pool),
            request=tool_request(self.program.program_id),
            repeatable=spec.repeatable,
            need=Amount(0, spec.cost_micros),
            order=self._order_builder(tool_work(spec, request), spec.repeatable, spec.timeout_s),
            sink=sink,
            begin=_no_op,
        )

    def service_plan(self, slot: SlotKey, work: ServiceWork, sink: ChunkSink) -> CallPlan:
        """Plan the only call of a program that represents one call of a plain service."""
        return CallPlan(
            slot=slot,
            name=work.service,
            target=CallTarget(pool=pool_of_service(self.document, work.service)),
            request=tool_request(self.program.program_id),
            repeatable=False,
            need=Amount(),
            order=self._order_builder(work, False, SERVICE_TIMEOUT_S),
            sink=sink,
            begin=_no_op,
        )

    def _order_builder(
        self, work: Work, repeatable: bool, timeout_s: float, turn: TurnExpectation | None = None
    ) -> OrderBuilder:
        """Return a function that builds the order of each attempt."""
        fingerprint = fingerprint_of(msgspec.msgpack.encode(work))

        def build(intent: CallIntended, placed: PlacedUpstream) -> Order:
            remaining_s = max(self.program.deadline - self.context.wall_s(), 0.0)
            order = Order(
                call_id=intent.call_id,
                program_id=self.program.program_id,
                customer=self.program.request.customer,
                fence=self.fence,
                priority=self._priority(),
                repeatable=repeatable,
                remaining_s=remaining_s,
                slack_s=self._slack_s(remaining_s),
                timeout_s=min(timeout_s, remaining_s),
                fingerprint=fingerprint,
                work=work,
                incarnation=intent.incarnation,
            )
            return order if turn is None else turn.with_token_estimates(order, placed)

        return build

    def _priority(self) -> Priority:
        spec = self.document.agents.get(self.program.request.agent)
        return max(self.program.request.priority, spec.priority if spec else Priority.URGENT)

    def _slack_s(self, remaining_s: float) -> float:
        """Return the remaining seconds minus the agent's expected remaining run time."""
        spec = self.document.agents.get(self.program.request.agent)
        expected_s = spec.expected_s if spec else 0.0
        elapsed_s = self.context.wall_s() - self.program.accepted_at
        return remaining_s - max(expected_s - elapsed_s, 0.0)


def _no_op() -> None:
    """Do nothing when an attempt starts; callers do not see the output of its call."""


def pool_of_service(document: Document, service: str) -> PoolName | None:
    """Return the pool that serves a plain service, or ``None``."""
    for name, pool in document.pools.items():
        if pool.kind is PoolKind.SERVICE and service in pool.services:
            return name
    return None


def tool_request(program_id: ProgramId) -> PlacementRequest:
    """Return the placement request of a tool or service call, which uses no tokens."""
    return PlacementRequest(program_id, 0, 0, FailureDomain(""))
