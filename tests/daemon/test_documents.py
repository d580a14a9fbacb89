"""Accepted edits never revert and all processes converge, under generated table faults."""

from collections import deque
from contextlib import suppress

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    HasLength,
    LessThan,
    MatchesException,
    Not,
    Raises,
)

from edge_fakes import TEXTS, first_edit
from skylarkferry_core.errors import (
    DocumentConflictError,
    DocumentInvalidError,
    ErrorCode,
    OutcomeUnknownError,
    PlatformUnavailableError,
    SkylarkferryError,
    WriteConflictError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.http_messages import SectionChange
from skylarkferry_core.interfaces import Row
from skylarkferry_core.validation import check_texts
from skylarkferry_daemon.document_edits import Edit
from skylarkferry_daemon.document_rows import SECTION_PREFIX, VERSION_KEY, SectionRow, VersionRow
from skylarkferry_daemon.documents import TableDocuments

TOOLS = {
    "small": TEXTS["tools"],
    "large": '{"strength": {"pool": "shop", "path": "/strength"}, '
    '"stock": {"pool": "shop", "path": "/stock"}}',
}
AGENTS = {
    "small": TEXTS["agents"],
    "large": '{"sizing": {"model": "calc", "instructions": "S.", "tools": ["strength", "stock"]}}',
}
VARIANTS = {"tools": TOOLS, "agents": AGENTS}
TEAMS = (
    TEXTS["teams"].replace('"agents"', '"agents", "tools"').replace('"sites"', '"sites", "agents"')
)
READER_COUNT = 3
STALE_READ_AGE = 3
FAULTS = ("up", "up", "up", "down", "lost", "late", "old")


class SingleYield:
    """Awaitable that returns control to the caller of ``send`` once."""

    def __await__(self):
        yield


async def yield_once(_delay_s=0.0):
    await SingleYield()


class EventKindLog:
    """Event log that keeps only the kinds of events."""

    def __init__(self):
        self.kinds = []

    def emit(self, kind, **_fields):
        self.kinds.append(kind)


class FaultyTable:
    """A table that loses answers, is unavailable, applies writes late and serves stale reads."""

    def __init__(self):
        self.history = [{}]
        self.late = deque()
        self.fault = "up"

    @property
    def rows(self):
        return self.history[-1]

    async def read(self, key):
        rows = await self._rows_seen()
        return rows.get(key, Row(key, b"", 0))

    async def scan(self, prefix):
        rows = await self._rows_seen()
        return [row for key, row in sorted(rows.items()) if key.startswith(prefix)]

    async def _rows_seen(self):
        await yield_once()
        if self.fault in ("down", "lost", "late"):
            raise PlatformUnavailableError("down")
        seen = self.history[-STALE_READ_AGE:][0] if self.fault == "old" else self.rows
        await yield_once()
        return seen

    async def transact(self, conditions, writes):
        await yield_once()
        fault = self.fault
        if fault == "late":
            self.late.append((conditions, writes))
        if fault in ("down", "late"):
            raise PlatformUnavailableError("down")
        version = self.land(conditions, writes)
        if fault == "lost":
            raise PlatformUnavailableError("the answer was lost")
        await yield_once()
        return version

    def land(self, conditions, writes):
        for condition in conditions:
            if self.rows.get(condition.key, Row("", b"", 0)).version != condition.version:
                raise WriteConflictError(condition.key)
        version = len(self.history)
        changed = {write.key: Row(write.key, write.value, version) for write in writes}
        self.history.append(self.rows | changed)
        return version

    def land_late(self):
        with suppress(WriteConflictError):
            self.land(*self.late.popleft())


class World:
    """Processes that read and edit one document, run one table operation at a time."""

    def __init__(self):
        self.table = FaultyTable()
        self.readers = [self.new_reader() for _ in range(READER_COUNT)]
        self.running = []
        self.edits = []
        self.verdicts = {}
        self.spawn("first", self.readers[0].edit(initial_edit()))
        self.drain()

    def new_reader(self):
        reader = TableDocuments(self.table, EventKindLog())
        reader.editor.sleep = yield_once
        return reader

    def spawn(self, name, coroutine):
        self.running.append((name, coroutine))

    def advance(self, index):
        name, coroutine = self.running[index]
        before = [reader.current.version for reader in self.readers]
        try:
            coroutine.send(None)
        except StopIteration as finished:
            self.running.pop(index)
            self.verdicts[name] = finished.value
        except SkylarkferryError as error:
            self.running.pop(index)
            self.verdicts[name] = error
        for old, reader in zip(before, self.readers, strict=True):
            assert_that(reader.current.version, Not(LessThan(old)))

    def drain(self):
        self.table.fault = "up"
        while self.running:
            self.advance(0)

    def step(self, action, index, fault, sections, size):
        self.table.fault = fault
        if action == "edit":
            self.start_edit(index, sections, size)
        elif action == "poll":
            self.spawn(None, self.readers[index % READER_COUNT].refresh())
        elif action == "restart":
            self.readers[index % READER_COUNT] = self.new_reader()
        elif action == "land" and self.table.late:
            self.table.land_late()
        elif action == "run" and self.running:
            self.advance(index % len(self.running))

    def start_edit(self, index, sections, size):
        reader = self.readers[index % READER_COUNT]
        base = reader.snapshot.section_version
        changes = tuple(
            SectionChange(section, VARIANTS[section][size], base(section)) for section in sections
        )
        team = ("models-team", "sites-team")[index % 2]
        edit = Edit(f"edit-{len(self.edits)}", team, changes)
        self.edits.append(edit)
        self.spawn(edit.edit_id, reader.edit(edit))


def initial_edit():
    first = first_edit()
    changes = [
        msgspec.structs.replace(change, text=TEAMS) if change.section == "teams" else change
        for change in first.changes
    ]
    return Edit("first", "", tuple(changes))


class ReferenceDocument:
    """Reference model: an edit is applied as a whole or refused."""

    def __init__(self):
        self.version = 0
        self.sections = {}

    def apply(self, edit):
        for change in edit.changes:
            stored = self.sections.get(change.section, (0, ""))
            assert_that(change.base_version, Equals(stored[0]))
        self.version += 1
        for change in edit.changes:
            self.sections[change.section] = (self.version, change.text)


def stored_document(rows):
    """Return version and sections of a table state, and the ids of the edits that made it."""
    version = msgspec.json.decode(rows[VERSION_KEY].value, type=VersionRow).version
    sections = {}
    edit_ids = set()
    for key, row in rows.items():
        if key.startswith(SECTION_PREFIX):
            section = msgspec.json.decode(row.value, type=SectionRow)
            sections[key.removeprefix(SECTION_PREFIX)] = (section.version, section.text)
            edit_ids |= {mark.edit_id for mark in section.edits if mark.version == version}
    return version, sections, edit_ids


def replay(world):
    """Apply the accepted edits to the reference model.

    Return the version of each accepted edit and the texts of each version.
    """
    edits = {edit.edit_id: edit for edit in [initial_edit(), *world.edits]}
    reference = ReferenceDocument()
    accepted = {}
    texts = {0: {}}
    for rows in world.table.history[1:]:
        version, sections, edit_ids = stored_document(rows)
        assert_that(edit_ids, HasLength(1))
        edit_id = edit_ids.pop()
        assert_that(accepted, Not(Contains(edit_id)))
        reference.apply(edits[edit_id])
        accepted[edit_id] = reference.version
        assert_that((version, sections), Equals((reference.version, reference.sections)))
        texts[version] = {name: text for name, (_, text) in sections.items()}
        assert_that(check_texts(texts[version]), Equals(()))
    return accepted, texts


def check_verdicts(world, accepted):
    for edit in world.edits:
        verdict = world.verdicts[edit.edit_id]
        if not isinstance(verdict, SkylarkferryError):
            assert_that(accepted.get(edit.edit_id), Equals(verdict.version))
        elif verdict.code is not ErrorCode.OUTCOME_UNKNOWN:
            assert_that(accepted, Not(Contains(edit.edit_id)))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("edit", "poll", "restart", "land", "run", "run", "run", "run", "run")),
        st.integers(0, 5),
        st.sampled_from(FAULTS),
        st.sampled_from((("tools",), ("agents",), ("tools", "agents"))),
        st.sampled_from(("small", "large")),
    ),
    min_size=40,
    max_size=120,
)


@given(STEPS)
def test_accepted_edits_never_revert_and_all_processes_converge(steps):
    world = World()
    for step in steps:
        world.step(*step)
    world.drain()
    while world.table.late:
        world.table.land_late()
    for reader in world.readers:
        world.spawn(None, reader.refresh())
    world.drain()
    accepted, texts = replay(world)
    check_verdicts(world, accepted)
    newest = max(texts)
    for reader in world.readers:
        assert_that(reader.current.version, Equals(newest))
        assert_that(reader.snapshot.texts(), Equals(texts[newest]))


def complete(coroutine):
    """Run a coroutine until it returns."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as finished:
        return finished.value


def edit_of(world, section, size, base_version, edit_id="edit"):
    change = SectionChange(section, VARIANTS[section][size], base_version)
    return Edit(edit_id, "models-team", (change,))


def advance_with_faults(world, running, *faults):
    """Run one table operation of an edit per fault."""
    for fault in faults:
        world.table.fault = fault
        running.send(None)


def test_lost_answer_is_resolved_by_reading():
    world = World()
    running = world.readers[0].edit(edit_of(world, "tools", "large", 1))
    advance_with_faults(world, running, "up", "up", "up", "lost")
    world.table.fault = "up"
    other = world.readers[1].edit(edit_of(world, "tools", "small", 2, "later"))
    assert_that(complete(other).version, Equals(3))
    assert_that(complete(running).version, Equals(2))
    assert_that(world.readers[0].log.kinds, Contains(EventKind.DOCUMENT_RESOLVED))


def test_stale_read_does_not_refuse_an_accepted_edit():
    world = World()
    complete(world.readers[0].edit(edit_of(world, "tools", "large", 1)))
    running = world.readers[0].edit(edit_of(world, "tools", "small", 2, "late"))
    advance_with_faults(world, running, "up", "up", "up", "lost", "old", "old")
    world.table.fault = "up"
    assert_that(complete(running).version, Equals(3))


def test_unresolved_edit_is_unknown_and_its_repeat_finds_the_outcome():
    world = World()
    edit = edit_of(world, "tools", "large", 1)
    running = world.readers[0].edit(edit)
    advance_with_faults(world, running, "up", "up", "up", "late")
    world.table.fault = "down"
    assert_that(lambda: complete(running), raises_error(OutcomeUnknownError))
    world.table.land_late()
    world.table.fault = "up"
    assert_that(complete(world.readers[1].edit(edit)).version, Equals(2))


def test_second_edit_from_the_same_base_version_is_a_conflict():
    world = World()
    complete(world.readers[0].edit(edit_of(world, "tools", "large", 1)))
    late = edit_of(world, "tools", "small", 1, "late")
    assert_that(lambda: complete(world.readers[1].edit(late)), raises_error(DocumentConflictError))


def test_sections_that_are_only_valid_separately_are_refused():
    world = World()
    late = edit_of(world, "agents", "large", 1)
    assert_that(lambda: complete(world.readers[1].edit(late)), raises_error(DocumentInvalidError))


def test_section_text_is_stored_unchanged():
    world = World()
    assert_that(world.readers[0].snapshot.sections["models"].text, Equals(TEXTS["models"]))
    assert_that(TEXTS["models"], Contains("// sizing model"))


def test_inconsistent_scan_is_not_applied():
    world = World()
    complete(world.readers[1].refresh())
    old = world.table.rows
    complete(world.readers[0].edit(edit_of(world, "tools", "large", 1)))
    key = SECTION_PREFIX + "tools"
    world.table.history.append(world.table.rows | {key: old[key]})
    complete(world.readers[1].refresh())
    assert_that(world.readers[1].current.version, Equals(1))
    assert_that(world.readers[1].log.kinds, Contains(EventKind.DOCUMENT_STALE))


def raises_error(kind):
    return Raises(MatchesException(kind))
