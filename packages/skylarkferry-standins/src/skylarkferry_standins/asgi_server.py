"""Serve an ASGI application until the process receives a signal."""

import logging
import signal

import anyio
import hypercorn.asyncio
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

KEEP_ALIVE_S = 3_600.0
BACKLOG = 1_024


def _config(listen: str) -> Config:
    config = Config()
    config.bind = [listen]
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = 0.1
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    return config


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def serve(app: ASGIFramework, listen: str) -> None:
    """Serve ``app`` on ``listen`` (``host:port``) until SIGTERM or SIGINT."""
    logging.getLogger("hypercorn").setLevel(logging.CRITICAL)

    async def run() -> None:
        await hypercorn.asyncio.serve(app, _config(listen), shutdown_trigger=_wait_for_signal)

    anyio.run(run)
