"""Admission of programs: refuse at once what cannot end in time or exceeds its share."""

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
_STEP_UP = 0.01
_FACTOR_DOWN = 0.85


class AdmissionRequest(msgspec.Struct, frozen=True):
    """A program that asks to start.

    ``expected_s`` is its work on idle upstreams, ``wait_s`` the wait that each of its
    ``expected_calls`` meets now at the least loaded upstream, ``tokens`` what it may use.
    ``work_s`` is the part of ``expected_s`` in which its calls occupy a slot of an upstream, and
    ``capacity`` the slots that work for this node, 0 when unknown.
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
    """Why a program was refused, and the seconds after which it may be asked for again."""

    code: ErrorCode
    retry_after_s: float


class Admission(Protocol):
    """Decides on a program before anything of it runs."""

    def admit(self, request: AdmissionRequest, now: float) -> Refusal | None:
        """Return ``None`` to admit, or the refusal; it is told to the caller at once."""

    def progressed(self, program_id: ProgramId, work_s: float) -> None:
        """Note that calls of an admitted program occupied a slot for ``work_s`` seconds."""

    def ended(self, program_id: ProgramId, in_time: bool = True) -> None:
        """Note that an admitted program ended, and whether by its deadline."""

    def settle(self, customer: CustomerId, tokens: int) -> None:
        """Give a customer back what an ended program was charged too much; less than 0 charges."""

    def set_node_count(self, nodes: int) -> None:
        """Take an equal part of every customer's limit, one of ``nodes``."""


class UnlimitedAdmission:
    """Admit everything."""

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
    """One node's slice of a customer's rate limit: a token bucket of ``burst_s`` seconds."""

    def __init__(self, tokens_per_s: float, now: float, burst_s: float = _BURST_S) -> None:
        self.tokens_per_s = tokens_per_s
        self.capacity = tokens_per_s * burst_s
        self.balance = self.capacity
        self.refilled_at = now

    def resize(self, tokens_per_s: float, now: float, burst_s: float = _BURST_S) -> None:
        """Change the slice; what was saved up beyond the new burst is lost."""
        self._refill(now)
        self.tokens_per_s = tokens_per_s
        self.capacity = tokens_per_s * burst_s
        self.balance = min(self.balance, self.capacity)

    def take(self, tokens: int, now: float) -> float:
        """Take tokens and return 0, or take none and return the seconds until they are there.

        A program larger than the burst passes when the bucket is full and leaves it in debt.
        """
        self._refill(now)
        needed = min(tokens, self.capacity)
        if self.balance >= needed:
            self.balance -= tokens
            return 0.0
        return (needed - self.balance) / self.tokens_per_s

    def refund(self, tokens: int) -> None:
        """Return what a program did not use."""
        self.balance = min(self.balance + tokens, self.capacity)

    def _refill(self, now: float) -> None:
        self.balance += (now - self.refilled_at) * self.tokens_per_s
        self.balance = min(self.balance, self.capacity)
        self.refilled_at = now


class DeadlineAdmission:
    """Refuse a program that would miss its deadline or exceeds its customer's slice.

    ``slice_share`` is this node's part of every customer's limit, 1 for a single node.
    """

    def __init__(self, slice_share: float = 1.0, utilization: float = _UTILIZATION) -> None:
        self.slice_share = slice_share
        self.utilization = utilization
        self.max_utilization = utilization
        self.slices: dict[CustomerId, CustomerBucket] = {}
        self.book = DemandSchedule()

    def admit(self, request: AdmissionRequest, now: float) -> Refusal | None:
        """Return ``None`` to admit, or the refusal."""
        lateness_s = max(self._late_alone_s(request), self._late_s(request, now))
        if lateness_s > 0:
            code = ErrorCode.DEADLINE_UNREACHABLE
            return Refusal(code, max(lateness_s, _MIN_RETRY_AFTER_S))
        wait_s = self._take(request, now)
        if wait_s > 0:
            return Refusal(ErrorCode.CUSTOMER_LIMIT, max(wait_s, _MIN_RETRY_AFTER_S))
        if request.capacity > 0:
            self.book.add(request.program_id, now + request.deadline_s, request.work_s)
        return None

    def progressed(self, program_id: ProgramId, work_s: float) -> None:
        """Take done work off the demand."""
        self.book.progress(program_id, work_s)

    def ended(self, program_id: ProgramId, in_time: bool = True) -> None:
        """Take a program's demand away; misses lower the utilization, the others raise it."""
        if not self.book.remove(program_id):
            return
        if in_time:
            self.utilization = min(self.utilization + _STEP_UP, self.max_utilization)
        else:
            self.utilization = max(self.utilization * _FACTOR_DOWN, _MIN_UTILIZATION)

    def settle(self, customer: CustomerId, tokens: int) -> None:
        """Settle an ended program's charge; a negative amount leaves the slice in debt."""
        held = self.slices.get(customer)
        if held is not None:
            held.refund(tokens)

    def set_node_count(self, nodes: int) -> None:
        """Set this node's part of every customer's limit."""
        self.slice_share = 1.0 / max(nodes, 1)

    def _late_alone_s(self, request: AdmissionRequest) -> float:
        """Return by how many seconds the program misses its deadline even without others."""
        waits_s = 0.0
        if request.capacity <= 0:
            waits_s = request.wait_s * request.expected_calls
        return request.expected_s + waits_s - request.deadline_s

    def _late_s(self, request: AdmissionRequest, now: float) -> float:
        """Return by how many seconds some program would miss its deadline."""
        if request.capacity <= 0:
            return 0.0
        capacity = request.capacity * self.utilization
        return self.book.lateness_s(now + request.deadline_s, request.work_s, capacity, now)

    def _take(self, request: AdmissionRequest, now: float) -> float:
        if request.tokens_per_minute <= 0:
            return 0.0
        rate = request.tokens_per_minute * self.slice_share / _SECONDS_PER_MINUTE
        held = self.slices.get(request.customer)
        if held is None:
            held = self.slices[request.customer] = CustomerBucket(rate, now)
        if held.tokens_per_s != rate:
            held.resize(rate, now)
        return held.take(request.tokens, now)


ADMISSIONS: Mapping[str, Callable[[], Admission]] = {
    "open": UnlimitedAdmission,
    "deadline": DeadlineAdmission,
}
DEFAULT_ADMISSION = "deadline"
