"""Errors of a command and their exit codes."""

from enum import IntEnum

from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.http_messages import ProblemDetails
from skylarkferry_core.states import FinalWord


class ExitCode(IntEnum):
    """Exit code of the command line."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    CONFLICT = 6
    WAITING = 7


class CommandError(Exception):
    """Base of the errors that end the command with one message and an exit code."""

    exit_code = ExitCode.FAILED


class UsageError(CommandError):
    """The command, a file or a setting is invalid."""

    exit_code = ExitCode.USAGE


class UnreachableError(CommandError):
    """No entry answered."""

    exit_code = ExitCode.UNREACHABLE


class RefusedError(CommandError):
    """An entry refused the request with problem details."""

    def __init__(self, problem: ProblemDetails) -> None:
        super().__init__(_problem_message(problem))
        self.problem = problem
        self.exit_code = _exit_code(problem)


def _problem_message(problem: ProblemDetails) -> str:
    word = f", {problem.word.value}" if problem.word else ""
    retry = ""
    if problem.retry_after_s is not None:
        retry = f"; retry after {problem.retry_after_s:g} s"
    return f"{problem.detail} ({problem.code.value}{word}{retry})"


def _exit_code(problem: ProblemDetails) -> ExitCode:
    if problem.code is ErrorCode.DOCUMENT_CONFLICT:
        return ExitCode.CONFLICT
    if problem.word is FinalWord.UNKNOWN:
        return ExitCode.UNKNOWN
    return ExitCode.NOT_RUN
