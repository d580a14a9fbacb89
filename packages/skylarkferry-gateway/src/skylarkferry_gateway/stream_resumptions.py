"""Resumption of streams by clients: which service and software version a stream has to go on at."""

import random
from enum import Enum

import anyio

from skylarkferry_core.errors import (
    PlatformUnavailableError,
    SkylarkferryError,
    UnknownStreamError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ServiceName
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.messages import ClientRequest, StreamOrigin
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.service_versions import ServiceVersions
from skylarkferry_gateway.stream_origins import StreamOrigins

_MAX_PEERS = 16
"""Other gateways that are asked for a stream."""


class OriginSource(Enum):
    """Where a gateway found the origin of a stream that a client resumes."""

    MEMORY = "memory"
    LIST = "list"
    """The service has had one version only."""
    STORE = "store"
    PEER = "peer"
    UNKNOWN = "unknown"


class StreamResumptions:
    """Find the origins of streams that clients resume, and record those of streams that begin."""

    def __init__(
        self,
        origins: StreamOrigins,
        versions: ServiceVersions,
        store: FailoverStore,
        rng: random.Random,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.origins = origins
        self.versions = versions
        self.store = store
        self.rng = rng
        self.log = log
        self.metrics = metrics

    def on_list_read(self) -> None:
        """Apply the latest upstream list; share streams that began before a version came."""
        for service in self.versions.update(anyio.current_time()):
            self.origins.share(service)

    def on_first_event(self, request: ClientRequest, origin: StreamOrigin) -> None:
        """Record that a stream sends its first event to a client."""
        stream = request.metadata.resumed_request or request.metadata.request_id
        if self.origins.get(stream) is None:
            is_shared = self.versions.needs_record(origin.service, anyio.current_time())
            self.origins.record(stream, origin, is_shared=is_shared)

    async def find(self, request: ClientRequest, service: ServiceName) -> StreamOrigin:
        """Return where a resumed stream has to go on; raise ``UnknownStreamError``.

        ``service`` is the one that the request would be sent to if it began a stream.
        """
        origin, source = await self._find(request.metadata.resumed_request, service)
        self.metrics.stream_resumptions.labels(source=source.value).inc()
        self.log.emit(
            EventKind.GATEWAY_STREAM_RESUMED,
            request.metadata.program_id,
            request=request.metadata.request_id,
            resumes=request.metadata.resumed_request,
            last_event=request.metadata.last_event_id,
            service=origin.service if origin is not None else service,
            version=origin.version if origin is not None else "",
            source=source.value,
        )
        if origin is None:
            raise UnknownStreamError(
                "the version that began the stream is not known",
                retry_after_s=defaults.RETRY_AFTER_S,
            )
        return origin

    async def _find(
        self, stream: str, service: ServiceName
    ) -> tuple[StreamOrigin | None, OriginSource]:
        known = self.origins.get(stream)
        if known is not None:
            return known, OriginSource.MEMORY
        now = anyio.current_time()
        if self.versions.covers_all_streams(now):
            sole = self.versions.sole_version(service, now)
            if sole is not None:
                return StreamOrigin(service, sole), OriginSource.LIST
        is_certain = True
        if stream:
            try:
                stored = await self._read(stream)
            except PlatformUnavailableError:
                stored, is_certain = None, False
            if stored is not None:
                return self._remembered(stream, stored), OriginSource.STORE
        sole = self.versions.sole_version(service, anyio.current_time())
        # Without a row, the stream began while the service had one version.
        if is_certain and sole is not None:
            return StreamOrigin(service, sole), OriginSource.LIST
        told = await self._ask_peers(stream) if stream else None
        if told is not None:
            return self._remembered(stream, told), OriginSource.PEER
        return None, OriginSource.UNKNOWN

    def _remembered(self, stream: str, origin: StreamOrigin) -> StreamOrigin:
        self.origins.remember(stream, origin)
        return origin

    async def _read(self, stream: str) -> StreamOrigin | None:
        if self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
            raise PlatformUnavailableError("the store does not answer")
        with anyio.move_on_after(defaults.STORE_TIMEOUT_S):
            return await self.origins.read(stream)
        raise PlatformUnavailableError("the store did not answer in time")

    async def _ask_peers(self, stream: str) -> StreamOrigin | None:
        """Ask other gateways, which know the streams that they relayed lately."""
        addresses = sorted(self.store.peer_addresses())
        found: list[StreamOrigin] = []

        async def ask(address: str) -> None:
            try:
                origin = await self.store.peers.stream_origin(address, stream)
            except SkylarkferryError as error:
                self.log.emit(
                    EventKind.GATEWAY_PEER_SILENT, peer=address, call="stream", detail=error.detail
                )
                return
            if origin is not None:
                found.append(origin)
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for address in self.rng.sample(addresses, min(_MAX_PEERS, len(addresses))):
                tasks.start_soon(ask, address)
        return found[0] if found else None
