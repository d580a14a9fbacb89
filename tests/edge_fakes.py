"""Fakes of the components behind an entry's HTTP interface."""

import json
import socket
from contextlib import asynccontextmanager

import anyio
import httpx

from skylarkferry_core.entry_messages import Budget, Delta, HostView, ProgramView, Step, WatchItem
from skylarkferry_core.errors import (
    NotFoundError,
    PlatformUnavailableError,
    WriteConflictError,
)
from skylarkferry_core.http_messages import SectionChange
from skylarkferry_core.ids import FailureDomain, ProgramId, UpstreamId, program_id_for
from skylarkferry_core.interfaces import Row
from skylarkferry_core.messages import LoadReport, ServiceReply
from skylarkferry_core.states import FinalWord, PoolKind, ProgramState, UpstreamState
from skylarkferry_daemon.document_edits import Edit
from skylarkferry_daemon.documents import TableDocuments
from skylarkferry_daemon.edge import Edge
from skylarkferry_daemon.http_server import serve_http
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.settings import LimitSettings
from skylarkferry_daemon.tokens import TokenIndex, hash_of

GEARS = "gears-token"
FISH = "fish-token"
MODELS_TEAM = "models-team-token"
SITES_TEAM = "sites-team-token"
BOOTSTRAP = "bootstrap-token"
SIZING = {
    "request_key": "k-1",
    "customer": "gears",
    "agent": "sizing",
    "input": "spur, 20 teeth",
    "deadline_s": 60,
}


def customer(token):
    budget = {"tokens": 9000, "cost_micros": 50, "turns": 20}
    return {"token_hashes": [hash_of(token)], "program_budget": budget}


def team(token, *sections):
    return {"token_hashes": [hash_of(token)], "sections": sections}


TEXTS = {
    "models": '{"calc": {"context_tokens": 32000}} // sizing model\n',
    "tools": '{"strength": {"pool": "shop", "path": "/strength", "repeatable": true}}',
    "agents": '{"sizing": {"model": "calc", "instructions": "Size.", "tools": ["strength"]}}',
    "budgets": json.dumps({"gears": customer(GEARS), "fish": customer(FISH)}),
    "sites": '{"arusha": {"failure_domains": ["arusha-a"]}}',
    "pools": """{
        "calc-models": {"kind": "model", "models": ["calc"]},
        "shop": {"kind": "tool"},
        "web": {"kind": "service", "services": ["catalogue"]}}""",
    "teams": json.dumps(
        {
            "models-team": team(MODELS_TEAM, "models", "pools", "agents"),
            "sites-team": team(SITES_TEAM, "sites", "tools", "budgets", "teams"),
        }
    ),
}


class MemoryTable:
    """A table in memory; ``faults`` lists the behaviour of the next calls: up, down or lost."""

    def __init__(self):
        self.rows = {}
        self.revision = 0
        self.faults = []

    def next_fault(self):
        return self.faults.pop(0) if self.faults else "up"

    async def read(self, key):
        return (await self.scan(key, exact=True) or [Row(key, b"", 0)])[0]

    async def scan(self, prefix, exact=False):
        if self.next_fault() != "up":
            raise PlatformUnavailableError("down")
        matches = (lambda key: key == prefix) if exact else (lambda key: key.startswith(prefix))
        return [row for key, row in sorted(self.rows.items()) if matches(key)]

    async def transact(self, conditions, writes):
        fault = self.next_fault()
        if fault == "down":
            raise PlatformUnavailableError("down")
        for condition in conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                raise WriteConflictError(condition.key)
        self.revision += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, write.value, self.revision)
        if fault == "lost":
            raise PlatformUnavailableError("answer lost")
        return self.revision


class FakePrograms:
    """Programs in memory that run until ``end`` is called."""

    def __init__(self):
        self.views = {}
        self.ended = {}
        self.requests = []
        self.watchers = 0
        self.watched = anyio.Event()
        self.unwatched = anyio.Event()
        self.failure = None

    async def start(self, request):
        if self.failure is not None:
            raise self.failure
        self.requests.append(request)
        program_id = program_id_for(request.customer, request.request_key, 24)
        if program_id not in self.views:
            self.ended[program_id] = anyio.Event()
            self.views[program_id] = view_of(program_id, request.customer)
        return self.views[program_id]

    async def show(self, selector):
        view = self.views.get(selector.program_id)
        if view is None or selector.customer not in ("", view.customer):
            raise NotFoundError("no such program")
        return view

    async def cancel(self, selector):
        await self.show(selector)
        return self.end(selector.program_id, "cancelled")

    def end(self, program_id, answer):
        customer = self.views[program_id].customer
        self.views[program_id] = view_of(program_id, customer, answer)
        self.ended[program_id].set()
        return self.views[program_id]

    async def watch(self, selector, after):
        self.watchers += 1
        self.watched.set()
        try:
            if after < 1:
                yield WatchItem(step=Step(1, "accepted", "{}"))
            yield WatchItem(delta=Delta(1, 0, 0, "mod"))
            await self.ended[selector.program_id].wait()
            yield WatchItem(step=Step(2, "ended", '{"answer": "module 4"}'))
        finally:
            self.watchers -= 1
            self.unwatched.set()

    async def service(self, request):
        self.requests.append(request)
        return ServiceReply(200, "text/plain", request.work.path.encode())

    async def list(self):
        return list(self.views.values())


class FakeHosts:
    """A host source with one upstream."""

    def hosts(self):
        load = LoadReport()
        domain = FailureDomain("arusha-a")
        host = UpstreamId("calc-1")
        return [HostView(host, PoolKind.MODEL, "calc-models", domain, "", UpstreamState.LIVE, load)]


def view_of(program_id, customer, answer=None):
    ended = answer is not None
    return ProgramView(
        program_id=ProgramId(program_id),
        customer=customer,
        agent="sizing",
        state=(ProgramState.ENDED if ended else ProgramState.RUNNING).value,
        word=FinalWord.DONE if ended else None,
        answer=answer or "",
        error=None,
        detail="",
        retry_after_s=None,
        tokens_spent=0,
        cost_spent_micros=0,
        turns_spent=0,
        budget=Budget(9000, 50, 20),
    )


class EdgeUnderTest:
    """An entry's HTTP interface on the loopback interface, with fakes behind it."""

    def __init__(self, table, limits):
        self.log = EventLog("entry-1", 1000)
        self.table = table
        self.documents = TableDocuments(table, self.log)
        self.programs = FakePrograms()
        self.drained = []
        self.stop = anyio.Event()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        self.edge = Edge(
            programs=self.programs,
            documents=self.documents,
            sidecars=FakeHosts(),
            log=self.log,
            limits=limits,
            drain=self.drain,
            timeline=self.timeline,
            stopping=self.stop.is_set,
            tokens=TokenIndex(hash_of(BOOTSTRAP)),
        )

    async def drain(self, host, reason):
        self.drained.append((host, reason))

    async def timeline(self, request):
        return self.log.timeline(request).events

    def numbers(self):
        return [event.number for event in self.log.ring]

    def client(self, token=GEARS, **options):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        base_url = f"http://127.0.0.1:{self.port}"
        return httpx.AsyncClient(base_url=base_url, headers=headers, trust_env=False, **options)


def first_edit():
    changes = tuple(SectionChange(name, text, 0) for name, text in TEXTS.items())
    return Edit("first", "", changes)


@asynccontextmanager
async def running_edge(limits=None, loaded=True, grace_s=30.0, table=None):
    """Serve the HTTP interface on the loopback interface until the block ends."""
    under_test = EdgeUnderTest(table or MemoryTable(), limits or LimitSettings())
    if loaded:
        await under_test.documents.edit(first_edit())
    else:
        await under_test.documents.refresh()
    # Hypercorn closes the descriptor, so the socket object must not close it again.
    bind = f"fd://{under_test.socket.detach()}"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http, under_test.edge, bind, under_test.stop.wait, grace_s)
        try:
            yield under_test
        finally:
            under_test.stop.set()
