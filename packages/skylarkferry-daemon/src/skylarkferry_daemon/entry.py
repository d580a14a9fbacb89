"""The entry role: accept, authenticate, admit, drive, place, dispatch, relay."""

import anyio

from skylarkferry_daemon.settings import EntrySettings


async def run_entry(settings: EntrySettings, stop: anyio.Event) -> None:
    """Serve as an entry until ``stop`` is set, then hand over and finish."""
    await stop.wait()
