"""Admission: refuse programs that are invalid, exceed a limit or cannot meet their deadline."""

from collections import Counter

from skylarkferry_core.admissions import AdmissionRequest
from skylarkferry_core.document import AgentSpec, CustomerSpec
from skylarkferry_core.entry_messages import ProgramRequest
from skylarkferry_core.errors import (
    BudgetExhaustedError,
    CustomerLimitError,
    ErrorCode,
    OverloadedError,
    PlatformUnavailableError,
    UnknownAgentError,
    UnknownServiceError,
    error_for,
)
from skylarkferry_core.ids import CustomerId, ModelName, ProgramId
from skylarkferry_core.programs import Program
from skylarkferry_daemon.call_planner import pool_of_service
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.interfaces import Ownership

RETRY_AFTER_S = 2.0
OUTAGE_RETRY_S = 5.0
STALLED_JOURNAL_S = 1.0


_REASONS = {
    ErrorCode.DEADLINE_UNREACHABLE: "the program is not expected to finish by its deadline",
    ErrorCode.CUSTOMER_LIMIT: "the customer's tokens for this minute are used up",
}


class AdmissionController:
    """Admits or refuses programs that start at this node, and counts those under way."""

    def __init__(self, context: EntryContext, ownership: Ownership, capacity: int) -> None:
        self.context = context
        self.ownership = ownership
        self.capacity = capacity
        self.under_way: Counter[CustomerId] = Counter()
        self.charges: dict[ProgramId, int] = {}

    def admit(self, program_id: ProgramId, request: ProgramRequest, now: float) -> None:
        """Count an admitted program, or raise a typed refusal; a refused program never runs."""
        self.check_platform()
        if self.under_way.total() >= self.capacity:
            raise OverloadedError(
                "the node is at its limit of programs under way", retry_after_s=RETRY_AFTER_S
            )
        if request.service is not None:
            self._check_service(request)
        else:
            self.charges[program_id] = self._check_agent(program_id, request, now)
        self.under_way[request.customer] += 1

    def count_resumed(self, request: ProgramRequest) -> None:
        """Count a program that another node admitted."""
        self.under_way[request.customer] += 1

    def release(self, program: Program) -> None:
        """Stop counting a program and correct its customer's charge to the tokens it spent."""
        customer = program.request.customer
        self.under_way[customer] -= 1
        charged = self.charges.pop(program.program_id, None)
        if charged is None:
            return
        self.context.admission.settle(customer, charged - program.budget.spent.tokens)
        late = program.ended is not None and program.ended.error is ErrorCode.DEADLINE_PASSED
        self.context.admission.ended(program.program_id, in_time=not late)

    def check_platform(self) -> None:
        """Raise ``PlatformUnavailableError`` while the platform does not confirm writes."""
        if self.context.journal.stalled_s() > STALLED_JOURNAL_S:
            raise PlatformUnavailableError(
                "the platform does not confirm writes", retry_after_s=OUTAGE_RETRY_S
            )

    def _check_service(self, request: ProgramRequest) -> None:
        assert request.service is not None
        service = request.service.service
        if pool_of_service(self.context.documents.current, service) is None:
            raise UnknownServiceError(f"unknown service {service}")

    def _check_agent(self, program_id: ProgramId, request: ProgramRequest, now: float) -> int:
        """Return the tokens charged to the customer's share of this node."""
        document = self.context.documents.current
        spec = document.agents.get(request.agent)
        if spec is None:
            raise UnknownAgentError(f"unknown agent {request.agent}")
        customer = document.budgets.get(request.customer)
        if customer is not None:
            self._check_limits(request, customer)
        admission_request = self._admission_request(program_id, request, spec, customer, now)
        self.context.admission.set_node_count(len(self.ownership.node_addresses()) + 1)
        refusal = self.context.admission.admit(admission_request, now)
        if refusal is not None:
            raise error_for(refusal.code, _REASONS[refusal.code], refusal.retry_after_s)
        return admission_request.tokens

    def _check_limits(self, request: ProgramRequest, customer: CustomerSpec) -> None:
        if self.under_way[request.customer] >= customer.programs_under_way:
            raise CustomerLimitError(
                "the customer has too many programs under way", retry_after_s=RETRY_AFTER_S
            )
        limit = customer.program_budget
        wanted = request.budget
        if wanted.tokens > limit.tokens or wanted.cost_micros > limit.cost_micros:
            raise BudgetExhaustedError("the budget exceeds the customer's limit for one program")
        if wanted.turns > limit.turns:
            raise BudgetExhaustedError("the turns exceed the customer's limit for one program")

    def _admission_request(
        self,
        program_id: ProgramId,
        request: ProgramRequest,
        spec: AgentSpec,
        customer: CustomerSpec | None,
        now: float,
    ) -> AdmissionRequest:
        typical = self.context.estimates.typical_program(request.agent, spec)
        return AdmissionRequest(
            customer=request.customer,
            deadline_s=request.deadline_s,
            expected_s=typical.work_s,
            wait_s=self.context.placer.shortest_wait_s(spec.model),
            tokens=min(int(typical.tokens), request.budget.tokens),
            tokens_per_minute=customer.tokens_per_minute if customer else 0,
            program_id=program_id,
            work_s=typical.work_s,
            capacity=self._capacity(spec.model, now),
        )

    def _capacity(self, model: ModelName, now: float) -> float:
        """Return the estimated slots that are available to this node's programs."""
        live = self.context.placer.live(model)
        nodes = len(self.ownership.node_addresses()) + 1
        nominal = sum(candidate.load.slots for candidate in live) / nodes
        if not nominal:
            return 0.0
        waiting = sum(1 for candidate in live if candidate.load.queued)
        saturated = waiting >= len(live) / 2
        return self.context.estimates.capacity(model).update(nominal, saturated, now)
