"""Protocols between the stages of a daemon."""

from collections.abc import AsyncIterator, Sequence
from typing import Protocol

from skylarkferry_core.cache_estimates import CacheEstimates
from skylarkferry_core.document import Document
from skylarkferry_core.entry_messages import (
    HostView,
    ProgramRequest,
    ProgramSelector,
    ProgramView,
    ServiceRequest,
    WatchItem,
)
from skylarkferry_core.frames import Chunk, SealReply, SealRequest
from skylarkferry_core.ids import (
    CallId,
    Incarnation,
    ModelName,
    PartitionNumber,
    PoolName,
    ProgramId,
    UpstreamId,
)
from skylarkferry_core.interfaces import Candidate
from skylarkferry_core.messages import Fence, Order, Outcome, ServiceReply
from skylarkferry_core.records import Record


class Documents(Protocol):
    """The configuration document in force at this process."""

    current: Document


class ChunkSink(Protocol):
    """Receiver of the output of a running call."""

    def on_chunk(self, chunk: Chunk) -> None:
        """Receive output; the offsets of a call have no gaps and no repeats."""


class Sidecars(Protocol):
    """An entry's streams to the sidecars."""

    cache_estimates: CacheEstimates
    """This entry's estimates of the KV cache contents of the engines."""

    def candidates(self, pool: PoolName) -> list[Candidate]:
        """Return the upstreams of a pool in any state."""

    def model_candidates(self, model: ModelName) -> list[Candidate]:
        """Return the upstreams of all pools that serve a model."""

    def incarnation(self, upstream: UpstreamId) -> Incarnation:
        """Return the connected sidecar's incarnation, or an empty one if not connected."""

    async def dispatch(self, upstream: UpstreamId, order: Order, sink: ChunkSink) -> Outcome:
        """Dispatch a call and return its outcome; reconnections of the stream do not end the call.

        Raise ``UpstreamLostError`` if the sidecar is unreachable or has restarted: the call may or
        may not have run.  Cancelling the caller's scope cancels the call at the sidecar.
        """

    async def attach(
        self, upstream: UpstreamId, call_id: CallId, fence: Fence, sink: ChunkSink
    ) -> Outcome:
        """Return the outcome of a call that another process dispatched.

        Raise the errors of :meth:`dispatch`.
        """

    async def seal(self, upstream: UpstreamId, request: SealRequest) -> SealReply:
        """Prevent a call from starting if it has not started, and return whether it ran.

        Raise ``UpstreamLostError`` if the sidecar does not answer.
        """

    def acknowledge(self, upstream: UpstreamId, call_id: CallId) -> None:
        """Notify the sidecar that a call's outcome is durable."""

    def release(self, program_id: ProgramId, fence: Fence) -> None:
        """Release the program's KV cache at every sidecar that may hold it."""

    def detach(self, program_id: ProgramId) -> None:
        """Let a program's calls continue at their sidecars when this process stops following them.

        The program's next owner attaches to them.
        """

    def hosts(self) -> Sequence[HostView]:
        """Return all upstreams as seen by this process."""


class Journal(Protocol):
    """The node's journal on the platform's table."""

    async def append(self, fence: Fence, record: Record, *, durable: bool) -> None:
        """Append a record after all earlier ones of this node.

        With ``durable``, wait until it is in the table, also through an outage.  Otherwise return
        at once unless the backlog is full.  Raise ``NotOwnerError`` if the partition is not held
        at the fence's epoch.
        """

    def stalled_s(self) -> float:
        """Return how long the platform has been unavailable, in seconds; 0 if it is available."""


class PartitionListener(Protocol):
    """Receiver of notifications about partitions that this node acquires and loses."""

    async def on_acquired(self, fence: Fence, records: Sequence[Record]) -> None:
        """Resume the programs of ``records``, which are in journal order."""

    async def on_lost(self, partition: PartitionNumber) -> None:
        """Stop running the partition's programs at once."""


class Ownership(Protocol):
    """Lookup of the nodes that hold the partitions."""

    def fence(self, partition: PartitionNumber) -> Fence | None:
        """Return the fence under which this node holds a partition, or ``None``."""

    def owner_address(self, partition: PartitionNumber) -> str | None:
        """Return the gRPC address of the owner as last seen, or ``None``."""

    def node_addresses(self) -> Sequence[str]:
        """Return the gRPC addresses of all other live entry nodes."""


class Programs(Protocol):
    """Access to all programs of the system; any entry serves any program."""

    async def start(self, request: ProgramRequest) -> ProgramView:
        """Start a program, or return the one started with the same key; raise typed errors."""

    async def show(self, selector: ProgramSelector) -> ProgramView:
        """Return a program; raise ``NotFoundError``."""

    async def cancel(self, selector: ProgramSelector) -> ProgramView:
        """Cancel a program; the outcome of a call that is not repeatable is still recorded."""

    def watch(self, selector: ProgramSelector, after: int) -> AsyncIterator[WatchItem]:
        """Iterate over output and the steps after number ``after`` until the program ends."""

    async def service(self, request: ServiceRequest) -> ServiceReply:
        """Relay a request to a plain service."""

    async def list(self) -> Sequence[ProgramView]:
        """Return the running programs of all nodes that answer."""
