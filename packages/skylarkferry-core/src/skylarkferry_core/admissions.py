"""Admission of programs: refuse those that would miss a deadline or exceed a customer's limit."""

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from skylarkferry_core.demands import DemandSchedule
from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.ids import CustomerId, ProgramId

_SECONDS_PER_MINUTE = 60.0
_BURST_S = 10.0
_MIN_RETRY_AFTER_S = 0.5

_UTILIZATION = 0.9
_MIN_UTILIZATION = 0.2
_UTILIZATION_INCREASE = 0.01
_UTILIZATION_DECAY = 0.85


class AdmissionRequest(msgspec.Struct, frozen=True):
    """A program that requests admission.

    ``expected_s`` is its duration on idle upstreams, ``wait_s`` the current wait of each of its
    ``expected_calls`` at the least loaded upstream, and ``tokens`` the most it may use.
    ``work_s`` is the part of ``expected_s`` in which its calls occupy a slot of an upstream, and
    ``capacity`` the number of slots that serve this node, 0 if unknown.
    """

    customer: CustomerId
    deadline_s: float
    expected_s: float
    wait_s: float = 0.0
    expected_calls: float = 1.0
    tokens: int = 0
    tokens_per_minute: int = 0
    program_id: ProgramId = ProgramId("")
    work_s: float = 0.0
    capacity: float = 0.0


class Refusal(msgspec.Struct, frozen=True):
    """Reason of a refusal, and the seconds after which the caller may retry."""

    code: ErrorCode
    retry_after_s: float


class Admission(Protocol):
    """Decide whether to admit a program, before any of its calls runs."""

    def admit(self, request: AdmissionRequest, now: float) -> Refusal | None:
        """Return ``None`` to admit, or the refusal, which is returned to the caller at once."""

    def progressed(self, program_id: ProgramId, work_s: float) -> None:
        """Record that calls of an admitted program occupied a slot for ``work_s`` seconds."""

    def ended(self, program_id: ProgramId, in_time: bool = True) -> None:
        """Record the end of an admitted program, and whether it met its deadline."""

    def settle(self, customer: CustomerId, tokens: int) -> None:
        """Refund tokens that an ended program did not use; a negative amount is charged."""

    def set_node_count(self, nodes: int) -> None:
        """Limit each customer on this node to one part in ``nodes`` of the customer's limit."""


class UnlimitedAdmission:
    """Admit every program."""

    def admit(self, request: AdmissionRequest, now: float) -> Refusal | None:
        """Return ``None``."""
        return None

    def progressed(self, program_id: ProgramId, work_s: float) -> None:
        """Do nothing."""

    def ended(self, program_id: ProgramId, in_time: bool = True) -> None:
        """Do nothing."""

    def settle(self, customer: CustomerId, tokens: int) -> None:
        """Do nothing: nothing was charged."""

    def set_node_count(self, nodes: int) -> None:
        """Do nothing: there is no limit."""


class CustomerBucket:
    """Token bucket for one node's share of a customer's limit; it holds ``burst_s`` seconds."""

    def __init__(self, tokens_per_s: float, now: float, burst_s: float = _BURST_S) -> None:
        self.tokens_per_s = tokens_per_s
        self.capacity = tokens_per_s * burst_s
        self.balance = self.capacity
        self.refilled_at = now

    def resize(self, tokens_per_s: float, now: float, burst_s: float = _BURST_S) -> None:
        """Change the rate; tokens beyond the new burst are discarded."""
        self._refill(now)
        self.tokens_per_s = tokens_per_s
        self.capacity = tokens_per_s * burst_s
        self.balance = min(self.balance, self.capacity)

    def take(self, tokens: int, now: float) -> float:
        """Take tokens and return 0, or take none and return the seconds until they are available.

        A program larger than the burst is admitted at a full bucket and leaves it in debt.
        """
        self._refill(now)
        threshold = min(tokens, self.capacity)
        if self.balance >= threshold:
            self.balance -= tokens
            return 0.0
        return (threshold - self.balance) / self.tokens_per_s

    def refund(self, tokens: int) -> None:
        """Put tokens back that a program did not use."""
        self.balance = min(self.balance + tokens, self.capacity)

    def _refill(self, now: float) -> None:
        self.balance += (now - self.refilled_at) * self.tokens_per_s
        self.balance = min(self.balance, self.capacity)
        self.refilled_at = now


class DeadlineAdmission:
    """Refuse a program if it or another would miss a deadline, or its customer's limit is exceeded.

    ``limit_share`` is this node's fraction of every customer's limit, 1 for a single node.
    """

    def __init__(self, limit_share: float = 1.0, utilization: float = _UTILIZATION) -> None:
        self.limit_share = limit_share
        self.utilization = utilization
        self.max_utilization = utilization
        self.buckets: dict[CustomerId, CustomerBucket] = {}
        self.schedule = DemandSchedule()

    def admit(self, request: AdmissionRequest, now: float) -> Refusal | None:
        """Return ``None`` to admit, or the refusal."""
        lateness_s = max(self._lateness_alone_s(request), self._lateness_s(request, now))
        if lateness_s > 0:
            code = ErrorCode.DEADLINE_UNREACHABLE
            return Refusal(code, max(lateness_s, _MIN_RETRY_AFTER_S))
        wait_s = self._charge(request, now)
        if wait_s > 0:
            return Refusal(ErrorCode.CUSTOMER_LIMIT, max(wait_s, _MIN_RETRY_AFTER_S))
        if request.capacity > 0:
            self.schedule.add(request.program_id, now + request.deadline_s, request.work_s)
        return None

    def progressed(self, program_id: ProgramId, work_s: float) -> None:
        """Subtract completed work from the program's demand."""
        self.schedule.progress(program_id, work_s)

    def ended(self, program_id: ProgramId, in_time: bool = True) -> None:
        """Remove a program's demand; lower the utilization on a missed deadline, else raise it."""
        if not self.schedule.remove(program_id):
            return
        if in_time:
            self.utilization = min(self.utilization + _UTILIZATION_INCREASE, self.max_utilization)
        else:
            self.utilization = max(self.utilization * _UTILIZATION_DECAY, _MIN_UTILIZATION)

    def settle(self, customer: CustomerId, tokens: int) -> None:
        """Settle an ended program's charge; a negative amount may leave the bucket in debt."""
        bucket = self.buckets.get(customer)
        if bucket is not None:
            bucket.refund(tokens)

    def set_node_count(self, nodes: int) -> None:
        """Set this node's fraction of every customer's limit."""
        self.limit_share = 1.0 / max(nodes, 1)

    def _lateness_alone_s(self, request: AdmissionRequest) -> float:
        """Return by how many seconds the program alone would miss its deadline."""
        waits_s = 0.0
        if request.capacity <= 0:
            waits_s = request.wait_s * request.expected_calls
        return request.expected_s + waits_s - request.deadline_s

    def _lateness_s(self, request: AdmissionRequest, now: float) -> float:
        """Return the largest lateness of any program's deadline if this one is admitted."""
        if request.capacity <= 0:
            return 0.0
        capacity = request.capacity * self.utilization
        return self.schedule.lateness_s(now + request.deadline_s, request.work_s, capacity, now)

    def _charge(self, request: AdmissionRequest, now: float) -> float:
        if request.tokens_per_minute <= 0:
            return 0.0
        rate = request.tokens_per_minute * self.limit_share / _SECONDS_PER_MINUTE
        bucket = self.buckets.get(request.customer)
        if bucket is None:
            bucket = self.buckets[request.customer] = CustomerBucket(rate, now)
        if bucket.tokens_per_s != rate:
            bucket.resize(rate, now)
        return bucket.take(request.tokens, now)


ADMISSIONS: Mapping[str, Callable[[], Admission]] = {
    "open": UnlimitedAdmission,
    "deadline": DeadlineAdmission,
}
DEFAULT_ADMISSION = "deadline"
