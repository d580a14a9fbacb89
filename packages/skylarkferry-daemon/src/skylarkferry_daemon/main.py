"""Entry point of ``skylarkferryd``."""

import signal
import sys
from collections.abc import Iterator
from typing import NoReturn

import anyio
import fire

from skylarkferry_core.errors import SettingsInvalidError
from skylarkferry_daemon import settings as settings_module
from skylarkferry_daemon.log import set_up_logging
from skylarkferry_daemon.settings import EntrySettings, Settings, SidecarSettings

EXIT_INVALID_SETTINGS = 2


async def _run_role(settings: Settings, stop: anyio.Event) -> None:
    """Run the role of this process until ``stop`` is set and its work is finished."""
    match settings:
        case EntrySettings():
            from skylarkferry_daemon.entry import run_entry  # noqa: PLC0415

            await run_entry(settings, stop)
        case SidecarSettings():
            from skylarkferry_daemon.sidecar import run_sidecar  # noqa: PLC0415

            await run_sidecar(settings, stop)


async def _watch_signals(stop: anyio.Event) -> None:
    """Start a planned stop on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()


async def _serve(settings: Settings) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, stop)
        await _run_role(settings, stop)
        tasks.cancel_scope.cancel()


def _load_or_exit(path: str) -> Settings:
    try:
        return settings_module.load(path)
    except SettingsInvalidError as error:
        _exit_with(error.detail)


def _exit_with(detail: str) -> NoReturn:
    print(f"skylarkferryd: {detail}", file=sys.stderr)
    sys.exit(EXIT_INVALID_SETTINGS)


def serve(path: str) -> None:
    """Serve with the settings in the file at PATH until SIGTERM."""
    settings = _load_or_exit(path)
    set_up_logging(settings.log_level)
    details: list[str] = []
    try:
        anyio.run(_serve, settings)
    except* SettingsInvalidError as group:
        details.extend(_error_details(group))
    if details:
        _exit_with(f"{path}: {details[0]}")


def _error_details(group: BaseExceptionGroup) -> Iterator[str]:
    """Yield the detail of each settings error in a group."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _error_details(error)
        elif isinstance(error, SettingsInvalidError):
            yield error.detail


def check(path: str) -> None:
    """Check the settings file at PATH; exit with status 2 if it is invalid."""
    _load_or_exit(path)
    print(f"{path}: correct")


def main() -> None:
    """Dispatch the command line."""
    fire.Fire({"serve": serve, "check": check}, name="skylarkferryd")
