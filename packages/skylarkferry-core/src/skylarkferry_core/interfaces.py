"""Protocols of what varies: platform services and policy decisions."""

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
    """A table row; ``version`` grows with each write and is 0 for a row that does not exist."""

    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, frozen=True):
    """The row must be at this version; 0 means that it must not exist."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Put a row, or delete it when ``value`` is ``None``."""

    key: str
    value: bytes | None


class Table(Protocol):
    """The platform's transactional table service."""

    async def read(self, key: str) -> Row:
        """Return the row, at version 0 when absent; raise ``PlatformUnavailableError``."""

    async def scan(self, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``, in key order."""

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Write all or nothing and return the new version of the written rows.

        Raise ``WriteConflictError`` when a condition does not hold, and
        ``PlatformUnavailableError`` when the answer did not come: the write may have taken effect.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, body: bytes) -> None:
        """Store an object; raise ``PlatformUnavailableError``."""

    async def get(self, key: str) -> bytes | None:
        """Return an object or ``None``; raise ``PlatformUnavailableError``."""

    async def delete(self, key: str) -> None:
        """Delete an object if it exists; raise ``PlatformUnavailableError``."""


class Host(msgspec.Struct, frozen=True):
    """One entry of the platform's lagging host list; ``address`` is the sidecar's or node's."""

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
    """Learned speed of an upstream: prefill in total, decode for one call, in tokens a second."""

    prefill_tokens_per_s: float = 5_000.0
    decode_tokens_per_s: float = 40.0


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that could take a call.

    ``prefill_tokens_since_report`` counts prefill tokens and ``calls_since_report`` calls that this node sent after the
    load was reported; ``cached_tokens`` is what the node believes of the prompt is in the
    upstream's cache, and ``cache_confidence`` (0 to 1) how far it believes it.
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


class PlacementRequest(msgspec.Struct, frozen=True):
    """A call to place; token counts are estimates.

    ``prefix`` identifies the first ``prefix_tokens`` of the prompt, which other programs share.
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
        """Return the upstream to use, or ``None`` when none may take the call."""


class QueueOrder(Protocol):
    """Orders the queue before an upstream."""

    def next_index(self, queue: Sequence["QueuedOrder"], now: float) -> int:
        """Return the index of the order to run next; the queue is not empty."""


class QueuedOrder(msgspec.Struct, frozen=True):
    """An order in a sidecar's queue and the monotonic time, in seconds, it came at."""

    order: Order
    queued_at: float
