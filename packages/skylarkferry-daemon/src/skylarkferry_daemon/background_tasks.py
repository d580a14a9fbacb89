"""Background tasks of a process, of which none ends the process by an unexpected error."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from skylarkferry_core.errors import ErrorCode
from skylarkferry_core.events import EventKind
from skylarkferry_daemon.log import EventLog

Work = Callable[..., Coroutine[Any, Any, Any]]

FIRST_RESTART_S = 0.1
"""Delay before a task that failed is started again; it doubles with each further failure."""
LONGEST_RESTART_S = 5.0
"""Longest such delay; a task that has run for longer than this starts with the first one again."""


class TaskStarter(Protocol):
    """What components need to start tasks; a task group, or ``BackgroundTasks``."""

    def start_soon(self, func: Work, *args: Any, name: object = None) -> None:
        """Start a task."""


class BackgroundTasks:
    """Start tasks whose unexpected errors are logged and counted."""

    def __init__(
        self,
        tasks: TaskGroup,
        log: EventLog,
        on_failure: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.tasks = tasks
        self.log = log
        self.on_failure = on_failure
        self.failures = 0

    def start_soon(self, func: Work, *args: Any, name: object = None) -> None:
        """Run a task once."""
        self.tasks.start_soon(self._run, func, args, _task_name(func, name))

    def contain(self, func: Work) -> Callable[..., Coroutine[Any, Any, None]]:
        """Return a function for tasks that others start: it does what ``func`` does, contained."""

        async def contained(*args: Any) -> None:
            await self._run(func, args, _task_name(func, None))

        return contained

    def keep_running(self, func: Work, *args: Any) -> None:
        """Run a task until it returns; start it again whenever it fails."""
        self.tasks.start_soon(self._keep_running, func, args, _task_name(func, None))

    async def _run(self, func: Work, args: tuple[Any, ...], name: str) -> bool:
        """Run a task and return whether it ended without an error."""
        try:
            await func(*args)
        except Exception as error:
            self.failures += 1
            self.on_failure(name)
            self.log.emit(
                EventKind.TASK_FAILED,
                code=ErrorCode.INTERNAL.value,
                task=name,
                detail=describe_errors(error),
            )
            return False
        return True

    async def _keep_running(self, func: Work, args: tuple[Any, ...], name: str) -> None:
        delay_s = FIRST_RESTART_S
        while True:
            began = anyio.current_time()
            if await self._run(func, args, name):
                return
            if anyio.current_time() - began > LONGEST_RESTART_S:
                delay_s = FIRST_RESTART_S
            await anyio.sleep(delay_s)
            delay_s = min(delay_s * 2, LONGEST_RESTART_S)


def _task_name(func: Work, name: object) -> str:
    return str(name or getattr(func, "__qualname__", func))


def describe_errors(error: Exception) -> str:
    """Return the type and message of an error, or those of all errors of a group."""
    if isinstance(error, ExceptionGroup):
        return "; ".join(describe_errors(item) for item in error.exceptions)
    return repr(error)
