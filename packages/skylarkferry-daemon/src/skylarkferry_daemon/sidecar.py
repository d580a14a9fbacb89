"""The sidecar role: queue, call table, fencing, drain and KV retention before one upstream."""

import anyio

from skylarkferry_daemon.settings import SidecarSettings


async def run_sidecar(settings: SidecarSettings, stop: anyio.Event) -> None:
    """Serve as a sidecar until ``stop`` is set, then drain."""
    await stop.wait()
