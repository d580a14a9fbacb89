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
    """Receives the output of a call while it runs."""

    def on_chunk(self, chunk: Chunk) -> None:
        """Take output; offsets of one call never leave a gap and never repeat."""


class Sidecars(Protocol):
    """An entry's streams to the sidecars."""

    cache_estimates: CacheEstimates
    """What this entry believes is cached at the engines."""

    def candidates(self, pool: PoolName) -> list[Candidate]:
        """Return the upstreams of a pool, whatever their state."""

    def model_candidates(self, model: ModelName) -> list[Candidate]:
        """Return the upstreams of all pools that serve a model."""

    def incarnation(self, upstream: UpstreamId) -> Incarnation:
        """Return the sidecar's life the stream is connected to; empty when not connected."""

    async def dispatch(self, upstream: UpstreamId, order: Order, sink: ChunkSink) -> Outcome:
        """Order a call and follow it to its outcome, over reconnections.

        Raise ``UpstreamLostError`` when the sidecar cannot be reached or restarted: the call may
        or may not have run.  Cancelling the caller's scope cancels the call at the sidecar.
        """

    async def attach(
        self, upstream: UpstreamId, call_id: CallId, fence: Fence, sink: ChunkSink
    ) -> Outcome:
        """Follow a call that another process ordered; errors as :meth:`dispatch`."""

    async def seal(self, upstream: UpstreamId, request: SealRequest) -> SealReply:
        """Settle whether a call ran; raise ``UpstreamLostError`` when nobody answers."""

    def acknowledge(self, upstream: UpstreamId, call_id: CallId) -> None:
        """Tell the sidecar that an outcome is durable."""

    def release(self, program_id: ProgramId, fence: Fence) -> None:
        """Tell every sidecar that may hold the program's KV cache to free it."""

    def detach(self, program_id: ProgramId) -> None:
        """Let a program's calls go on when they are cancelled here: its next owner follows them."""

    def hosts(self) -> Sequence[HostView]:
        """Return all upstreams as this process sees them."""


class Journal(Protocol):
    """The node's journal on the platform's table."""

    async def append(self, fence: Fence, record: Record, *, durable: bool) -> None:
        """Add a record after all earlier ones of this node.

        With ``durable`` return only when it is in the table; wait through an outage.  Without it
        return at once unless the backlog is full.  Raise ``NotOwnerError`` when the epoch moved.
        """

    def stalled_s(self) -> float:
        """Return for how many seconds the platform has not answered; 0 while it does."""


class PartitionListener(Protocol):
    """Hears of partitions that this node gains and loses."""

    async def on_adopted(self, fence: Fence, records: Sequence[Record]) -> None:
        """Drive the programs whose records these are, in journal order."""

    async def on_lost(self, partition: PartitionNumber) -> None:
        """Stop driving the partition's programs at once."""


class Ownership(Protocol):
    """Which node holds which partition."""

    def fence(self, partition: PartitionNumber) -> Fence | None:
        """Return the fencing number under which this node holds a partition, or ``None``."""

    def owner_address(self, partition: PartitionNumber) -> str | None:
        """Return the gRPC address of the owner as last seen, or ``None``."""

    def node_addresses(self) -> Sequence[str]:
        """Return the gRPC addresses of all live entry nodes but this one."""


class Programs(Protocol):
    """Programs of the whole system, through this entry; any entry answers for any program."""

    async def start(self, request: ProgramRequest) -> ProgramView:
        """Start a program, or return the one its key started; raise typed refusals."""

    async def show(self, selector: ProgramSelector) -> ProgramView:
        """Return a program; raise ``NotFoundError``."""

    async def cancel(self, selector: ProgramSelector) -> ProgramView:
        """Cancel a program; a call that may not be repeated keeps its own final word."""

    def watch(self, selector: ProgramSelector, after: int) -> AsyncIterator[WatchItem]:
        """Iterate steps after number ``after`` and output, until the program ended."""

    async def service(self, request: ServiceRequest) -> ServiceReply:
        """Relay a request to a plain service."""

    async def list(self) -> Sequence[ProgramView]:
        """Return the programs under way on all nodes that answer."""
