"""The admit stage: refuse at once what is malformed, over its limit or cannot end in time."""

from collections import Counter

from skylarkferry_core.admissions import Admission, AdmissionRequest
from skylarkferry_core.document import AgentSpec, CustomerSpec
from skylarkferry_core.errors import (
    BudgetExhaustedError,
    CustomerLimitError,
    OverloadedError,
    PlatformUnavailableError,
    UnknownAgentError,
    UnknownServiceError,
    error_for,
)
from skylarkferry_core.ids import CustomerId
from skylarkferry_core.messages import ProgramRequest
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.plans import pool_of_service

RETRY_AFTER_S = 2.0
OUTAGE_RETRY_S = 5.0
STALLED_JOURNAL_S = 1.0


class Admitter:
    """Decide on programs that ask to start at this node."""

    def __init__(self, context: EntryContext, admission: Admission, capacity: int) -> None:
        self.context = context
        self.admission = admission
        self.capacity = capacity
        self.under_way: Counter[CustomerId] = Counter()

    def admit(self, request: ProgramRequest, now: float) -> None:
        """Count a program in, or raise the typed refusal; nothing of a refused one ever runs."""
        self._check_platform()
        if self.under_way.total() >= self.capacity:
            raise OverloadedError("the node drives all it can", retry_after_s=RETRY_AFTER_S)
        if request.service is not None:
            self._check_service(request)
        else:
            self._check_agent(request, now)
        self.under_way[request.customer] += 1

    def resumed(self, request: ProgramRequest) -> None:
        """Count a program in that another node admitted."""
        self.under_way[request.customer] += 1

    def ended(self, request: ProgramRequest) -> None:
        """Count a program out."""
        self.under_way[request.customer] -= 1

    def _check_platform(self) -> None:
        if self.context.journal.stalled_s() > STALLED_JOURNAL_S:
            raise PlatformUnavailableError(
                "the platform does not confirm writes", retry_after_s=OUTAGE_RETRY_S
            )

    def _check_service(self, request: ProgramRequest) -> None:
        assert request.service is not None
        service = request.service.service
        if pool_of_service(self.context.documents.current, service) is None:
            raise UnknownServiceError(f"no service {service}")

    def _check_agent(self, request: ProgramRequest, now: float) -> None:
        document = self.context.documents.current
        spec = document.agents.get(request.agent)
        if spec is None:
            raise UnknownAgentError(f"no agent {request.agent}")
        customer = document.budgets.get(request.customer)
        if customer is not None:
            self._check_limits(request, customer)
        refusal = self.admission.admit(self._question(request, spec, customer), now)
        if refusal is not None:
            raise error_for(refusal.code, "refused at admission", refusal.retry_after_s)

    def _check_limits(self, request: ProgramRequest, customer: CustomerSpec) -> None:
        if self.under_way[request.customer] >= customer.programs_under_way:
            raise CustomerLimitError("too many programs under way", retry_after_s=RETRY_AFTER_S)
        limit = customer.program_budget
        wanted = request.budget
        if wanted.tokens > limit.tokens or wanted.cost_micros > limit.cost_micros:
            raise BudgetExhaustedError("the budget exceeds the customer's for one program")
        if wanted.turns > limit.turns:
            raise BudgetExhaustedError("the turns exceed the customer's for one program")

    def _question(
        self, request: ProgramRequest, spec: AgentSpec, customer: CustomerSpec | None
    ) -> AdmissionRequest:
        return AdmissionRequest(
            customer=request.customer,
            deadline_s=request.deadline_s,
            expected_s=spec.expected_s,
            wait_s=self.context.placer.shortest_wait_s(spec.model),
            expected_calls=float(max(len(spec.tools) + 1, 1)),
            tokens=request.budget.tokens,
            tokens_per_minute=customer.tokens_per_minute if customer else 0,
        )
