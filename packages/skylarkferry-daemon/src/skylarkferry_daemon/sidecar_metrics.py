"""Metrics and health endpoint of a sidecar."""

import asyncio
import socket
from contextlib import AsyncExitStack, suppress

import anyio
import hypercorn.asyncio
from anyio.abc import TaskGroup
from hypercorn.config import Config
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from skylarkferry_core.errors import SettingsInvalidError
from skylarkferry_core.states import UpstreamState
from skylarkferry_daemon.sidecar_state import SidecarState

SHUTDOWN_GRACE_S = 0.5


class SidecarCollector(Collector):
    """Prometheus collector that reads the sidecar's state on each scrape."""

    def __init__(self, state: SidecarState) -> None:
        self.table = state.table
        self.hub = state.hub
        self.drain = state.drain
        self.crash_registry = state.crash_registry

    def collect(self) -> list[GaugeMetricFamily]:
        """Return the current metric values."""
        leaving = self.drain.announced() is UpstreamState.LEAVING
        values = {
            "queued_calls": (len(self.table.queue), "Calls in the queue."),
            "running_calls": (len(self.table.running), "Calls on the upstream."),
            "kept_calls": (len(self.table.calls), "Calls in the call table."),
            "unsettled_calls": (self.table.unsettled, "Unrepeatable calls not acknowledged."),
            "entry_streams": (len(self.hub.streams), "Open streams to entries."),
            "quarantined_requests": (
                len(self.crash_registry.quarantined()),
                "Requests in quarantine.",
            ),
            "leaving": (int(leaving), "1 while the sidecar drains."),
            "upstream_reachable": (int(self.drain.reachable), "1 while the upstream connects."),
        }
        return [
            GaugeMetricFamily(f"skylarkferry_sidecar_{name}", text, value=value)
            for name, (value, text) in values.items()
        ]


def metrics_app(collector: SidecarCollector) -> Starlette:
    """Return the HTTP application with ``/metrics`` and ``/healthz``."""
    registry = CollectorRegistry()
    registry.register(collector)

    async def metrics(_: Request) -> Response:
        return Response(generate_latest(registry), media_type=CONTENT_TYPE_LATEST)

    async def healthz(_: Request) -> Response:
        return PlainTextResponse(collector.drain.announced().value)

    return Starlette(routes=[Route("/metrics", metrics), Route("/healthz", healthz)])


def _bind(address: str) -> int:
    """Return the file descriptor of a listening socket; raise ``SettingsInvalidError``."""
    host, _, port = address.partition(":")
    try:
        return socket.create_server((host, int(port))).detach()
    except OSError as error:
        raise SettingsInvalidError(f"cannot listen on {address}") from error


def serve_metrics(app: Starlette, address: str, stack: AsyncExitStack, tasks: TaskGroup) -> None:
    """Serve on ``address`` until ``stack`` closes."""
    config = Config()
    config.bind = [f"fd://{_bind(address)}"]
    config.graceful_timeout = SHUTDOWN_GRACE_S
    config.accesslog = None
    config.errorlog = None
    stopped = anyio.Event()
    stack.callback(stopped.set)

    async def run() -> None:
        # Hypercorn raises InvalidStateError when a connection outlives the graceful timeout.
        with suppress(asyncio.InvalidStateError):
            await hypercorn.asyncio.serve(app, config, shutdown_trigger=stopped.wait)

    tasks.start_soon(run)
