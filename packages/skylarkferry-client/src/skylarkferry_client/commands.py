"""Commands for callers and operators."""

import re
import time
import uuid
from importlib.metadata import version as package_version

import msgspec

from skylarkferry_client.api import api_path
from skylarkferry_client.config_commands import ConfigCommands
from skylarkferry_client.failures import CommandError, ExitCode, UsageError
from skylarkferry_client.files import ProgramFile, read_program
from skylarkferry_client.session import Session
from skylarkferry_client.tables import call_table, event_lines, host_table, program_table
from skylarkferry_core.clocks import HybridClock
from skylarkferry_core.entry_messages import HostsReply, ListReply, ProgramView, TimelineReply
from skylarkferry_core.events import EventKind, event_kind
from skylarkferry_core.frames import Accepted
from skylarkferry_core.http_messages import DrainBody
from skylarkferry_core.states import FinalWord, ProgramState

LONG_POLL_S = 5.0
_AGE_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
_UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


class EventCommands:
    """Explain numbered events."""

    def explain(self, number: int) -> None:
        """Print the name, level and meaning of event NUMBER."""
        kind = event_kind(number)
        if kind is None:
            numbers = ", ".join(str(each.number) for each in EventKind)
            raise UsageError(f"expected one of {numbers}, found '{number}'")
        print(f"{kind.number} {kind.name.lower()} ({kind.level.value}): {kind.meaning}")


class Commands:
    """Run and follow agent programs, and operate skylarkferry.

    Exit codes: 0 done, 1 failed, 2 invalid command, file or setting, 3 not run, 4 unknown whether
    it ran, 5 no entry answered, 6 the section has changed since it was read, 7 not ended yet.

    --url HTTP://HOST:PORT[,...] or SKYLARKFERRY_URL lists the entries to try one after the other;
    --token or SKYLARKFERRY_TOKEN is the bearer token; --settings FILE holds both; --json prints
    JSON.
    """

    def __init__(
        self, url: str = "", token: str = "", settings: str = "", json: bool = False
    ) -> None:
        self._session = Session(str(url), str(token), str(settings), json)
        self.config = ConfigCommands(self._session)
        self.events = EventCommands()

    def programs(self) -> None:
        """List the running programs."""
        reply = self._session.api().get(api_path("programs"), ListReply)
        self._session.printer.reply(reply, program_table(reply.programs))

    def show(self, program: str) -> None:
        """Show the state, budget use and calls of PROGRAM."""
        self._print_program(self._program(str(program)))

    def answer(self, program: str, wait: float = 0.0) -> None:
        """Print the answer of PROGRAM; --wait SECONDS waits up to that long for it."""
        self._print_answer(self._await_answer(str(program), float(wait)))

    def cancel(self, program: str) -> None:
        """Cancel PROGRAM; a call that may not be repeated keeps its own outcome."""
        view = self._session.api().delete(api_path("programs", str(program)), ProgramView)
        self._print_program(view)

    def run(self, file: str) -> None:
        """Start the program in FILE and wait for its answer."""
        program = read_program(str(file))
        if not program.request_key:
            program = msgspec.structs.replace(program, request_key=str(uuid.uuid4()))
        view = self._start(program)
        self._session.printer.progress(f"program {view.program_id} accepted")
        self._print_answer(self._await_answer(view.program_id, program.deadline_s))

    def hosts(self) -> None:
        """List the upstreams with their state and load."""
        reply = self._session.api().get(api_path("hosts"), HostsReply)
        self._session.printer.reply(reply, host_table(reply.hosts))

    def drain(self, host: str, reason: str = "") -> None:
        """Drain HOST: it accepts no new work and finishes the work in flight."""
        path = api_path("hosts", str(host), "drain")
        self._session.api().post(path, DrainBody(str(reason)), Accepted)
        self._session.printer.reply(Accepted())
        self._session.printer.progress(f"{host} accepts no new work")

    def timeline(self, program: str = "", since: str = "") -> None:
        """Print the events of all processes, sorted by time.

        --program ID selects one program; --since AGE (such as 30s or 5m) skips older events.
        """
        query = {"program": str(program), "since": str(_since_stamp(str(since)))}
        reply = self._session.api().get(api_path("timeline"), TimelineReply, **query)
        if self._session.printer.as_json:
            self._session.printer.reply(reply)
            return
        for line in event_lines(reply.events):
            self._session.printer.line(line)

    def version(self) -> None:
        """Print the version of this command."""
        self._session.printer.line(package_version("skylarkferry-client"))

    def _program(self, program: str) -> ProgramView:
        return self._session.api().get(api_path("programs", program), ProgramView)

    def _start(self, program: ProgramFile) -> ProgramView:
        return self._session.api().post(api_path("programs"), program, ProgramView)

    def _await_answer(self, program: str, wait_s: float) -> ProgramView:
        """Poll until the program has ended or ``wait_s`` seconds have passed."""
        end = time.monotonic() + wait_s
        path = api_path("programs", program, "answer")
        while True:
            poll_s = max(0.0, min(LONG_POLL_S, end - time.monotonic()))
            view = self._session.api().get(path, ProgramView, wait_s=f"{poll_s:.3f}")
            if view.state == ProgramState.ENDED.value or time.monotonic() >= end:
                return view
            spent = f"{view.turns_spent} turns, {view.tokens_spent} tokens"
            self._session.printer.progress(f"program {program} {view.state}: {spent}")

    def _print_program(self, view: ProgramView) -> None:
        self._session.printer.reply(view, program_table([view]), call_table(view.calls))

    def _print_answer(self, view: ProgramView) -> None:
        """Print the answer; unless the program succeeded, raise an error with its exit code."""
        if self._session.printer.as_json:
            self._session.printer.reply(view)
        else:
            self._session.printer.line(view.answer)
        code = _exit_code(view)
        if code is not ExitCode.DONE:
            raise _program_error(view, code)


def _exit_code(view: ProgramView) -> ExitCode:
    if view.state != ProgramState.ENDED.value:
        return ExitCode.WAITING
    if view.word is FinalWord.UNKNOWN:
        return ExitCode.UNKNOWN
    if view.word is FinalWord.NOT_RUN:
        return ExitCode.NOT_RUN
    return ExitCode.FAILED if view.error else ExitCode.DONE


def _program_error(view: ProgramView, code: ExitCode) -> CommandError:
    word = view.word.value if view.word else "no answer yet"
    reason = view.error.value if view.error else view.state
    error = CommandError(f"program {view.program_id}: {word}, {reason} {view.detail}".rstrip())
    error.exit_code = code
    return error


def _since_stamp(age: str) -> int:
    """Return the hybrid logical time ``age`` ago, or 0 if ``age`` is empty."""
    if not age:
        return 0
    matched = _AGE_PATTERN.fullmatch(age)
    if matched is None:
        raise UsageError(f"--since: expected an age as 30s, 5m or 2h, found '{age}'")
    age_s = float(matched.group(1)) * _UNIT_S[matched.group(2)]
    return HybridClock().stamp(time.time() - age_s)
