"""Format replies as tables, lines or JSON."""

import sys
from collections.abc import Iterable, Sequence
from datetime import datetime
from typing import Any

import msgspec
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from skylarkferry_core.clocks import wall_time_s
from skylarkferry_core.entry_messages import CallView, EventView, HostView, ProgramView

TABLE_WIDTH_CHARACTERS = 1_000
_MICROS_PER_UNIT = 1_000_000


class Printer:
    """Writes replies to standard output and progress to standard error.

    Tables are as wide as their content: an id that is truncated to the terminal width is useless.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self.out = Console(file=sys.stdout, highlight=False, width=TABLE_WIDTH_CHARACTERS)
        self.err = Console(file=sys.stderr, highlight=False, soft_wrap=True)

    def reply(self, reply: Any, *tables: Table) -> None:
        """Print a reply as JSON or as tables."""
        if self.as_json:
            print(msgspec.json.encode(reply).decode())
            return
        for table in tables:
            self.out.print(table)

    def line(self, text: str) -> None:
        """Print a line without styling."""
        print(text)

    def progress(self, text: str) -> None:
        """Print a progress message."""
        self.err.print(escape(text), style="dim")


def program_table(views: Iterable[ProgramView]) -> Table:
    """Return a table with one row per program."""
    columns = ("program", "customer", "agent", "state", "word", "turns", "tokens", "cost")
    return _table(columns, [_program_row(view) for view in views])


def call_table(calls: Iterable[CallView]) -> Table:
    """Return a table with one row per tool or service call."""
    rows = [
        (call.call_id, call.name, _enum_value(call.word), _enum_value(call.error)) for call in calls
    ]
    return _table(("call", "name", "word", "error"), rows)


def host_table(hosts: Iterable[HostView]) -> Table:
    """Return a table with one row per upstream."""
    columns = ("host", "kind", "pool", "domain", "state", "queued", "running", "slots", "age")
    return _table(columns, [_host_row(host) for host in hosts])


def event_lines(events: Iterable[EventView]) -> list[str]:
    """Return one line per event of a timeline."""
    return [_event_line(event) for event in events]


def _program_row(view: ProgramView) -> Sequence[str]:
    budget = view.budget
    return (
        view.program_id,
        view.customer,
        view.agent,
        view.state,
        _enum_value(view.word),
        f"{view.turns_spent}/{budget.turns}",
        f"{view.tokens_spent}/{budget.tokens}",
        f"{_currency_units(view.cost_spent_micros)}/{_currency_units(budget.cost_micros)}",
    )


def _host_row(host: HostView) -> Sequence[str]:
    load = host.load
    return (
        host.upstream,
        host.kind.value,
        host.pool,
        host.failure_domain,
        host.state.value,
        str(load.queued),
        str(load.running),
        str(load.slots),
        f"{load.age_s:.1f} s",
    )


def _event_line(event: EventView) -> str:
    moment = datetime.fromtimestamp(wall_time_s(event.time)).isoformat(timespec="milliseconds")
    parts = [moment, f"{event.node:<12}", f"[{event.number}]", event.name.lower()]
    if event.program_id:
        parts.append(f"program={event.program_id}")
    parts.extend(f"{name}={value}" for name, value in event.fields.items())
    return " ".join(parts)


def _table(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> Table:
    table = Table(box=None, pad_edge=False, header_style="bold")
    for name in columns:
        table.add_column(name, no_wrap=True)
    for row in rows:
        table.add_row(*(escape(cell) for cell in row))
    return table


def _enum_value(state: Any) -> str:
    return "" if state is None else str(state.value)


def _currency_units(micros: int) -> str:
    return f"{micros / _MICROS_PER_UNIT:.6f}".rstrip("0").rstrip(".")
