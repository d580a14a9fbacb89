"""Protocols of the replaceable parts: platform services and scheduling policies."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from skylarkferry_core.document import SiteSpec
from skylarkferry_core.ids import (
    FailureDomain,
    Fingerprint,
    PoolName,
    ProgramId,
    RunId,
    UpstreamId,
)
from skylarkferry_core.messages import LoadReport, Order
from skylarkferry_core.states import PoolKind, UpstreamState


class Row(msgspec.Struct, frozen=True):
    """A table row; ``version`` increases with each write and is 0 if the row does not exist."""

    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, frozen=True):
    """Requires the row to be at this version; 0 means that the row must not exist."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Puts a row, or deletes it if ``value`` is ``None``."""

    key: str
    value: bytes | None


class Table(Protocol):
    """The platform's transactional table service."""

    async def read(self, key: str) -> Row:
        """Return the row, with version 0 if absent; raise ``PlatformUnavailableError``."""

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``, in key order."""

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Apply all writes atomically and return the new version of the written rows.

        Raise ``WriteConflictError`` if a condition does not hold, and ``PlatformUnavailableError``
        if no answer arrived; in this case the writes may have taken effect.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, body: bytes) -> None:
        """Store an object; raise ``PlatformUnavailableError``."""

    async def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if absent; raise ``PlatformUnavailableError``."""

    async def delete(self, key: str) -> None:
        """Delete an object if it exists; raise ``PlatformUnavailableError``."""


class Host(msgspec.Struct, frozen=True):
    """One item of the platform's host list, which may be out of date.

    ``address`` is the address of the host's sidecar or node.
    """

    name: str
    role: str
    address: str
    failure_domain: FailureDomain
    pool: PoolName = PoolName("")
    leaving: bool = False


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    async def hosts(self) -> list[Host]:
        """Return the hosts; raise ``PlatformUnavailableError``."""


class Speed(msgspec.Struct, frozen=True):
    """Estimated speed of an upstream: total prefill rate and decode rate per call, in tokens/s."""

    prefill_tokens_per_s: float = 5_000.0
    decode_tokens_per_s: float = 40.0


class Candidate(msgspec.Struct, frozen=True):
    """An upstream on which a call could be placed.

    ``prefill_tokens_since_report`` and ``calls_since_report`` count what this node sent after the
    load was reported. ``cached_tokens`` estimates how much of the prompt is in the upstream's
    cache; ``cache_confidence`` (0 to 1) is the confidence in this estimate. ``connect_s`` is the
    expected time to open a connection, 0 if an idle one can be used. ``slowdown`` is how long work
    takes on the host at this moment, relative to the usual time that ``speed`` states.
    """

    upstream: UpstreamId
    pool: PoolName
    kind: PoolKind
    state: UpstreamState
    failure_domain: FailureDomain
    load: LoadReport
    prefill_tokens_since_report: int = 0
    cached_tokens: int = 0
    cache_confidence: float = 1.0
    share: float = 1.0
    calls_since_report: int = 0
    speed: Speed = Speed()
    connect_s: float = 0.0
    slowdown: float = 1.0


class PlacementRequest(msgspec.Struct, frozen=True):
    """A call to place; token counts are estimates.

    ``prefix`` identifies the first ``prefix_tokens`` tokens of the prompt, which other programs
    share.
    """

    program_id: ProgramId
    prompt_tokens: int
    output_tokens: int
    failure_domain: FailureDomain
    last_upstream: UpstreamId = UpstreamId("")
    run_id: RunId = RunId("0")
    prefix: Fingerprint = Fingerprint("")
    prefix_tokens: int = 0


class Placement(Protocol):
    """Chooses the upstream of a call."""

    def place(
        self, request: PlacementRequest, candidates: Sequence[Candidate], site: SiteSpec
    ) -> UpstreamId | None:
        """Return the upstream to use, or ``None`` if no candidate may take the call."""


class QueueOrder(Protocol):
    """Chooses the next order from the queue of an upstream."""

    def next_index(self, queue: Sequence["QueuedOrder"], now: float) -> int:
        """Return the index of the order to run next; ``queue`` must not be empty."""


class QueuedOrder(msgspec.Struct, frozen=True):
    """An order in a sidecar's queue; ``queued_at`` is its monotonic arrival time in seconds."""

    order: Order
    queued_at: float
