"""Programs that have begun, as the owner of a shard of quotas learns and tells it."""

from collections import OrderedDict, deque
from collections.abc import Iterable

import xxhash

from skylarkferry_core.ids import CustomerId, ProgramId

MAX_TOLD = 200
"""Programs in one message; 1 KB, and more than begin at all gateways in an interval."""
_MAX_KEPT = 2_000
"""Programs that an owner tells gateways which did not ask for some time."""


def program_number(customer: CustomerId, program: ProgramId) -> int:
    """Return the number by which gateways name a customer's program; equal ones are rare."""
    return xxhash.xxh32_intdigest(f"{customer}\x00{program}".encode())


class StartLog:
    """Programs that began lately, in order; ``next`` is the position after the last one."""

    def __init__(self) -> None:
        self.programs: deque[int] = deque(maxlen=_MAX_KEPT)
        self.next = 0

    def add(self, programs: Iterable[int]) -> None:
        """Add programs that began at a gateway."""
        for program in programs:
            self.programs.append(program)
            self.next += 1

    def since(self, position: int) -> tuple[int, ...]:
        """Return the programs after a position, the latest ones if there are too many."""
        count = min(max(self.next - position, 0), len(self.programs), MAX_TOLD)
        return tuple(self.programs[-1 - index] for index in range(count))


class BegunPrograms:
    """Programs that one gateway knows, and those of them that its owner does not know yet."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.known: OrderedDict[int, None] = OrderedDict()
        self.untold: deque[int] = deque(maxlen=_MAX_KEPT)
        self.position = 0

    def __contains__(self, program: int) -> bool:
        return program in self.known

    def begin(self, program: int) -> None:
        """Remember a program of which this gateway admitted a request."""
        if program not in self.known:
            self.untold.append(program)
        self._keep(program)

    def _keep(self, program: int) -> None:
        self.known[program] = None
        self.known.move_to_end(program)
        if len(self.known) > self.most:
            self.known.popitem(last=False)

    def to_tell(self) -> tuple[int, ...]:
        """Return the programs for the next question."""
        return tuple(self.untold)[:MAX_TOLD]

    def on_told(self, told: int, programs: Iterable[int], position: int) -> None:
        """Take what an owner answered to a question that told it of ``told`` programs."""
        for _ in range(min(told, len(self.untold))):
            self.untold.popleft()
        for program in programs:
            self._keep(program)
        self.position = position

    def on_new_owner(self) -> None:
        """Begin anew with another owner, or with a new process of the same one."""
        self.position = 0
