"""Resumption of streams by clients: which service and software version a stream has to go on at."""

import random
from contextlib import suppress
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
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.messages import ClientRequest, RequestMetadata, StreamOrigin
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.service_versions import ServiceVersions
from skylarkferry_gateway.stream_handover import ranked_peers
from skylarkferry_gateway.stream_origins import StreamOrigins, StreamRow
from skylarkferry_gateway.version_assignments import VersionAssignments

_MAX_PEERS = 16
"""Other gateways that are asked for a stream."""
_MAX_RANKED_PEERS = 8
"""Those that are asked because an ending gateway may have told them; the rest are random."""
_ROW_TIMEOUT_S = defaults.STORE_TIMEOUT_S
"""Longest delay of a first event for the row of its stream."""


class OriginSource(Enum):
    """Where a gateway found the origin of a stream that a client resumes."""

    MEMORY = "memory"
    LIST = "list"
    """The service has had one version only, also by a list read since the client resumed."""
    STORE = "store"
    ASSIGNMENT = "assignment"
    """The stream has no row."""
    PEER = "peer"
    MOVED = "moved"
    """The stream has no row, and may have begun at the service to which its path led before."""
    UNKNOWN = "unknown"


_OF_PRESENT_SERVICE = (OriginSource.LIST, OriginSource.ASSIGNMENT)
"""Sources that tell a version only of the service to which a stream's path leads now."""
_OF_OTHER_GATEWAYS = (OriginSource.STORE, OriginSource.PEER)
"""Sources of streams whose rows, if they have any, other gateways have written."""


class StreamResumptions:
    """Find the origins of streams that clients resume, and record those of streams that begin."""

    def __init__(
        self,
        origins: StreamOrigins,
        versions: ServiceVersions,
        assignments: VersionAssignments,
        store: FailoverStore,
        rng: random.Random,
        *,
        gateways: GatewayList,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.origins = origins
        self.versions = versions
        self.assignments = assignments
        self.store = store
        self.gateways = gateways
        self.rng = rng
        self.log = log
        self.metrics = metrics

    def on_attempt(self, attempts: Attempts, origin: StreamOrigin) -> None:
        """Queue the row of a stream that may begin at an upstream, if it needs one."""
        metadata = attempts.request.metadata
        if metadata.is_resumption:
            return
        is_needed = self.assignments.needs_row(origin.service, metadata, origin.version)
        if is_needed or attempts.stream_row is not None:
            attempts.stream_row = self.origins.store_row(metadata.stream, origin)
        elif attempts.has_moved:
            # Not waited for: without its row, the stream is rejected when it is resumed elsewhere.
            self.origins.store_row(metadata.stream, origin)

    async def on_first_event(self, attempts: Attempts, origin: StreamOrigin) -> bool:
        """Record a stream before its first event is sent; return False if that is not possible."""
        request = attempts.request
        if attempts.stream_row is not None and not await self._is_stored(attempts.stream_row):
            self.metrics.stream_records.labels(outcome="late").inc()
            self.log.emit(
                EventKind.GATEWAY_STREAM_UNRECORDED,
                request.metadata.program_id,
                request=request.metadata.request_id,
                service=origin.service,
                version=origin.version,
                store_lost=self.assignments.is_store_lost(),
            )
            return False
        self._on_relayed(attempts, origin)
        return True

    def on_first_resumed_event(self, attempts: Attempts) -> None:
        """Keep a resumed stream while it is relayed."""
        version = attempts.required_version
        if attempts.request.metadata.resumed_request and version is not None:
            self._on_relayed(attempts, StreamOrigin(attempts.service, version))

    def _on_relayed(self, attempts: Attempts, origin: StreamOrigin) -> None:
        self.origins.on_relayed(attempts.request.metadata.stream, origin)
        attempts.is_stream_kept = True

    def on_relay_ended(self, attempts: Attempts) -> None:
        """Count the time for which the stream can be resumed from now on."""
        if attempts.is_stream_kept:
            attempts.is_stream_kept = False
            self.origins.on_relay_ended(attempts.request.metadata.stream)

    async def _is_stored(self, row: StreamRow) -> bool:
        if not self.assignments.is_store_lost():
            with anyio.move_on_after(_ROW_TIMEOUT_S):
                await row.stored.wait()
        return row.stored.is_set()

    async def find(
        self,
        request: ClientRequest,
        service: ServiceName,
        *,
        has_moved: bool = False,
        knows_moves: bool = True,
    ) -> StreamOrigin:
        """Return where a resumed stream has to go on; raise ``UnknownStreamError``.

        ``service`` is the one that the request would be sent to if it began a stream, ``has_moved``
        whether it would have been sent to another one lately, ``knows_moves`` whether this gateway
        would know that.
        """
        origin, source = await self._find(request.metadata, service)
        if source in _OF_PRESENT_SERVICE:
            if has_moved:
                origin, source = None, OriginSource.MOVED
            elif not knows_moves:
                told = await self._ask_peers_briefly(request.metadata.resumed_request)
                if told not in (None, origin):
                    origin, source = told, OriginSource.PEER
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
        # A version from the list is remembered once an upstream has sent an event of the stream.
        if request.metadata.resumed_request and source is not OriginSource.LIST:
            self.origins.remember(request.metadata.resumed_request, origin)
        if source in _OF_OTHER_GATEWAYS:
            # Otherwise the gateway that wrote the row deletes it while the stream goes on here.
            self.origins.renew_row(request.metadata.resumed_request, origin)
        return origin

    async def _find(
        self, metadata: RequestMetadata, service: ServiceName
    ) -> tuple[StreamOrigin | None, OriginSource]:
        stream = metadata.resumed_request
        known = self.origins.get(stream)
        if known is not None:
            return known, OriginSource.MEMORY
        began_at = anyio.current_time()
        if not stream:
            return await self._find_unnamed(metadata, service, began_at)
        try:
            told, source = await self._read(metadata, service)
        except PlatformUnavailableError:
            told, source = await self._ask_peers(stream), OriginSource.PEER
        if told is not None:
            return told, source
        # The list comes last: another gateway may have begun the stream by a later one.
        listed = await self._listed_version(service, began_at)
        if listed is None or not self.versions.covers_all_streams(anyio.current_time()):
            return None, OriginSource.UNKNOWN
        return StreamOrigin(service, listed), OriginSource.LIST

    async def _find_unnamed(
        self, metadata: RequestMetadata, service: ServiceName, began_at: float
    ) -> tuple[StreamOrigin | None, OriginSource]:
        """Find the origin of a stream whose id is not known: the service has one version only."""
        listed = await self._listed_version(service, began_at)
        if listed is not None and self.versions.covers_all_streams(anyio.current_time()):
            return StreamOrigin(service, listed), OriginSource.LIST
        if self.assignments.is_sole(service, listed):
            with suppress(PlatformUnavailableError):
                return await self._read(metadata, service)
        return None, OriginSource.UNKNOWN

    async def _listed_version(self, service: ServiceName, began_at: float) -> str | None:
        """Return the only version listed lately, by a list that is not older than the request."""
        if self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
            return None
        if not await self.versions.is_read_since(began_at):
            return None
        return self.versions.sole_version(service, anyio.current_time())

    async def _read(
        self, metadata: RequestMetadata, service: ServiceName
    ) -> tuple[StreamOrigin | None, OriginSource]:
        """Find the origin in the store; raise ``PlatformUnavailableError``."""
        if self.store.unavailable_s() > defaults.STORE_LOST_AFTER_S:
            raise PlatformUnavailableError("the store does not answer")
        with anyio.move_on_after(defaults.STORE_TIMEOUT_S):
            stored = await self.origins.read(metadata.resumed_request)
            if stored is not None:
                return stored, OriginSource.STORE
            assignment = await self.assignments.read(service)
            version = assignment.version(metadata.assignment_key) if assignment else None
            if version is None:
                return None, OriginSource.UNKNOWN
            return StreamOrigin(service, version), OriginSource.ASSIGNMENT
        raise PlatformUnavailableError("the store did not answer in time")

    async def _ask_peers_briefly(self, stream: str) -> StreamOrigin | None:
        """Ask other gateways where another answer is at hand."""
        if stream:
            with anyio.move_on_after(defaults.PEER_TIMEOUT_S):
                return await self._ask_peers(stream)
        return None

    async def _ask_peers(self, stream: str) -> StreamOrigin | None:
        """Ask other gateways, which know the streams that they relayed or were told of lately."""
        ranked = ranked_peers(self.gateways, stream)[:_MAX_RANKED_PEERS]
        others = sorted(self.gateways.peer_addresses().difference(ranked))
        sampled = self.rng.sample(others, min(_MAX_PEERS - len(ranked), len(others)))
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
            for address in [*ranked, *sampled]:
                tasks.start_soon(ask, address)
        return found[0] if found else None
