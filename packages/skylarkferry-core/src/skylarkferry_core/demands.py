"""Demand of the running programs: work that must be done by each deadline."""

import math

import msgspec

from skylarkferry_core.ids import ProgramId


class Demand(msgspec.Struct):
    """Deadline of one program, in monotonic time, and its remaining work.

    Work is expressed in units of capacity multiplied by seconds.
    """

    deadline_at: float
    work_s: float


class DemandSchedule:
    """Feasibility test for a new program, with all programs served by earliest deadline first.

    Capacity is either in upstream slots, with work in slot-seconds, or in KV tokens, with work in
    token-seconds.
    """

    def __init__(self) -> None:
        self.demands: dict[ProgramId, Demand] = {}

    def add(self, program_id: ProgramId, deadline_at: float, work_s: float) -> None:
        """Add a program."""
        self.demands[program_id] = Demand(deadline_at, work_s)

    def progress(self, program_id: ProgramId, work_s: float) -> None:
        """Subtract completed work from a program, down to 0 if it exceeds the estimate."""
        demand = self.demands.get(program_id)
        if demand is not None:
            demand.work_s = max(demand.work_s - work_s, 0.0)

    def remove(self, program_id: ProgramId) -> bool:
        """Remove a program; return whether it was present."""
        return self.demands.pop(program_id, None) is not None

    def lateness_s(self, deadline_at: float, work_s: float, capacity: float, now: float) -> float:
        """Return the largest lateness of any deadline if the program were added.

        A deadline is met if the capacity until the deadline covers all work due by the deadline.
        The new program affects only its own deadline and later ones. The result is negative if all
        of these deadlines are met.
        """
        lateness_s = -math.inf
        due_s = 0.0
        new = Demand(deadline_at, work_s)
        for demand in sorted((*self.demands.values(), new), key=_deadline_at):
            due_s += demand.work_s
            if demand.deadline_at >= deadline_at:
                lateness_s = max(lateness_s, due_s / capacity - (demand.deadline_at - now))
        return lateness_s


def _deadline_at(demand: Demand) -> float:
    return demand.deadline_at
