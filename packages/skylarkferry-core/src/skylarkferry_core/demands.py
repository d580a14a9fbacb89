"""Demand of the programs under way: work that must be done by each deadline."""

import math

import msgspec

from skylarkferry_core.ids import ProgramId


class Demand(msgspec.Struct):
    """One program: the monotonic time of its deadline and its remaining work.

    Work counts units of capacity times seconds.
    """

    deadline_at: float
    work_s: float


class DemandSchedule:
    """Test whether a program fits beside those under way, served by earliest deadline.

    Capacity counts slots of upstreams, and work the seconds of one, or both count KV tokens.
    """

    def __init__(self) -> None:
        self.demands: dict[ProgramId, Demand] = {}

    def add(self, program_id: ProgramId, deadline_at: float, work_s: float) -> None:
        """Count a program in."""
        self.demands[program_id] = Demand(deadline_at, work_s)

    def progress(self, program_id: ProgramId, work_s: float) -> None:
        """Take done work off a program; what goes beyond the estimate changes nothing."""
        demand = self.demands.get(program_id)
        if demand is not None:
            demand.work_s = max(demand.work_s - work_s, 0.0)

    def remove(self, program_id: ProgramId) -> bool:
        """Count a program out; return whether it was in."""
        return self.demands.pop(program_id, None) is not None

    def lateness_s(self, deadline_at: float, work_s: float, capacity: float, now: float) -> float:
        """Return the most by which a deadline would be missed if the program were added.

        A deadline is met when all work due by it fits in the capacity until then; only deadlines
        from the new program's on are affected by it.  The result is negative when all are met.
        """
        lateness_s = -math.inf
        due_s = 0.0
        asked = Demand(deadline_at, work_s)
        for demand in sorted((*self.demands.values(), asked), key=_deadline_at):
            due_s += demand.work_s
            if demand.deadline_at >= deadline_at:
                lateness_s = max(lateness_s, due_s / capacity - (demand.deadline_at - now))
        return lateness_s


def _deadline_at(demand: Demand) -> float:
    return demand.deadline_at
