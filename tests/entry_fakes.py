"""Fakes of the components around an entry's call pipeline."""

import random
from contextlib import asynccontextmanager

import anyio

from core.scripts import accepted
from skylarkferry_core.admissions import UnlimitedAdmission
from skylarkferry_core.cache_estimates import CacheEstimates
from skylarkferry_core.document import AgentSpec, Document, ModelSpec, ToolSpec
from skylarkferry_core.errors import NotOwnerError
from skylarkferry_core.frames import SealReply
from skylarkferry_core.interfaces import Candidate
from skylarkferry_core.messages import (
    ChatMessage,
    Fence,
    LoadReport,
    ModelWork,
    Outcome,
    ToolRequest,
    Usage,
)
from skylarkferry_core.placements import PLACEMENTS
from skylarkferry_core.states import (
    ChatRole,
    FinalWord,
    PoolKind,
    SealVerdict,
    UpstreamState,
)
from skylarkferry_daemon.admission_control import AdmissionController
from skylarkferry_daemon.call_placement import Placer
from skylarkferry_daemon.context import EntryContext
from skylarkferry_daemon.directory import ProgramDirectory
from skylarkferry_daemon.estimates import Estimates
from skylarkferry_daemon.log import EventLog

DOCUMENT = Document(
    version=1,
    models={"m": ModelSpec(context_tokens=1_000)},
    tools={"order": ToolSpec(pool="tools", path="/order")},
    agents={"gear-sizer": AgentSpec(model="m", instructions="size gears", tools=("order",))},
)
TOOL_REQUEST_MESSAGE = ChatMessage(ChatRole.ASSISTANT, "", (ToolRequest("1", "order", "{}"),))
ANSWER = ChatMessage(ChatRole.ASSISTANT, "done")


class FakeDocuments:
    current = DOCUMENT


class FakeJournal:
    """Keeps records in a list; appends wait for ``open`` and are refused when ``moved``."""

    def __init__(self):
        self.records = []
        self.open = anyio.Event()
        self.open.set()
        self.moved = False

    async def append(self, fence, record, *, durable):
        await self.open.wait()
        if self.moved:
            raise NotOwnerError("moved")
        self.records.append(record)

    def stalled_s(self):
        return 0.0

    def kinds(self):
        return [type(record).__name__ for record in self.records]


class FakeSidecars:
    """Answers model calls from their messages, and tool calls through ``on_tool``."""

    def __init__(self, on_tool):
        self.cache_estimates = CacheEstimates()
        self.on_tool = on_tool
        self.dispatched = []
        self.verdict = SealReply(SealVerdict.SEALED)
        self.released = []
        self.sealed = 0
        self.detached = []

    def _candidate(self, kind, pool):
        load = LoadReport()
        return [Candidate("u", pool, kind, UpstreamState.LIVE, "arusha-a", load)]

    def candidates(self, pool):
        return self._candidate(PoolKind.TOOL, pool)

    def model_candidates(self, model):
        return self._candidate(PoolKind.MODEL, "models")

    def incarnation(self, upstream):
        return "incarnation-1"

    async def dispatch(self, upstream, order, sink):
        if isinstance(order.work, ModelWork):
            has_tool_result = any(message.role is ChatRole.TOOL for message in order.work.messages)
            message = ANSWER if has_tool_result else TOOL_REQUEST_MESSAGE
            return Outcome(order.call_id, FinalWord.DONE, message=message, usage=Usage(10, 0, 5))
        self.dispatched.append(order.call_id)
        return await self.on_tool(order)

    async def seal(self, upstream, request):
        self.sealed += 1
        return self.verdict

    def acknowledge(self, upstream, call_id):
        pass

    def release(self, program_id, fence):
        self.released.append(program_id)

    def detach(self, program_id):
        self.detached.append(program_id)

    def hosts(self):
        return []


class FakeOwnership:
    def fence(self, partition):
        return Fence(partition, 1)

    def node_addresses(self):
        return []


async def tool_done(order):
    """Return a successful outcome of a tool call."""
    return Outcome(order.call_id, FinalWord.DONE, result="{}")


class EntryUnderTest:
    def __init__(self, on_tool, tasks):
        self.journal = FakeJournal()
        self.sidecars = FakeSidecars(on_tool)
        self.log = EventLog("entry-1", 100)
        estimates = Estimates()
        placer = Placer(
            placement=PLACEMENTS["least_load"](random.Random(1)),
            sidecars=self.sidecars,
            documents=FakeDocuments(),
            estimates=estimates,
            site="arusha",
            failure_domain="arusha-a",
        )
        self.context = EntryContext(
            journal=self.journal,
            sidecars=self.sidecars,
            documents=FakeDocuments(),
            placer=placer,
            estimates=estimates,
            admission=UnlimitedAdmission(),
            log=self.log,
            randomness=random.Random(1),
        )
        self.directory = ProgramDirectory(
            context=self.context,
            ownership=FakeOwnership(),
            admission_controller=AdmissionController(self.context, FakeOwnership(), 100),
            partitions=24,
            ended_kept=10,
            tasks=tasks,
        )

    async def run(self, key):
        """Start a program, wait for its end and return its view."""
        view = await self.directory.start(accepted(key).request)
        entry = self.directory.programs[view.program_id]
        await entry.feed.wait_ended()
        return entry.program.view()


@asynccontextmanager
async def running_entry(on_tool=tool_done):
    """Yield the call pipeline of one entry; its tasks end with the block."""
    async with anyio.create_task_group() as tasks:
        yield EntryUnderTest(on_tool, tasks)
        tasks.cancel_scope.cancel()
