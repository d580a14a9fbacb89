from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Equals

from sidecar_fakes import fence, tool_order
from skylarkferry_core.calls import CallTable, TableLimits
from skylarkferry_core.errors import StaleEpochError, UpstreamLeavingError
from skylarkferry_core.fences import FenceGuard
from skylarkferry_core.frames import SealRequest
from skylarkferry_core.ids import Incarnation
from skylarkferry_core.messages import Outcome
from skylarkferry_core.queues import FifoOrder
from skylarkferry_core.states import FinalWord

GOLDEN = Path(__file__).parents[1] / "golden" / "call_table.txt"
ARROW = "-> "


class Session:
    """Run the steps of a golden file on a call table."""

    def __init__(self):
        self.restarts = -1
        self.restart()

    def restart(self):
        self.restarts += 1
        limits = TableLimits(slots=2, queue_limit=10, outcomes_kept=10)
        incarnation = Incarnation(str(self.restarts))
        self.table = CallTable(incarnation, limits, FifoOrder(), FenceGuard())
        return "ok"

    def order(self, name, epoch="1", life=None):
        incarnation = Incarnation(life or str(self.restarts))
        return tool_order(name, epoch=int(epoch), incarnation=incarnation)

    def dispatch(self, name, **fields):
        call = self.table.accept(self.order(name, **fields), now=0.0)
        if call.outcome is None:
            return call.state.value
        error = call.outcome.error
        return f"{call.outcome.word.value} {error.value if error else ''}".strip()

    def start(self):
        call = self.table.start_next(now=0.0)
        return call.order.call_id.rpartition("/")[2] if call else "nothing"

    def finish(self, name):
        call_id = self.order(name).call_id
        call = self.table.finish(call_id, Outcome(call_id, FinalWord.DONE), now=0.0)
        return call.outcome.word.value

    def seal(self, name, epoch, life=None):
        order = self.order(name, epoch, life)
        request = SealRequest(order.call_id, fence(int(epoch)), order.incarnation)
        try:
            return self.table.seal(request, now=0.0).verdict.value
        except StaleEpochError as error:
            return error.code.value

    def acknowledge(self, name):
        self.table.acknowledge([self.order(name).call_id])
        return "ok"

    def leave(self):
        self.table.refusal = UpstreamLeavingError("the upstream is leaving")
        return "ok"

    def run_step(self, line):
        name, *words = line.split()
        fields = dict(word.split("=") for word in words if "=" in word)
        return getattr(self, name)(*[word for word in words if "=" not in word], **fields)


def test_call_table_agrees_with_its_golden_session():
    session = Session()
    lines = []
    for line in GOLDEN.read_text().splitlines():
        step, arrow, _ = line.partition(ARROW)
        lines.append(f"{step}{ARROW}{session.run_step(step)}" if arrow else line)
    assert_that("\n".join(lines), Equals(GOLDEN.read_text().rstrip()))
