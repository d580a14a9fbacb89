"""Frames of the streams between entries and sidecars, and unary requests to sidecars."""

import msgspec

from skylarkferry_core.ids import (
    CallId,
    CrashId,
    Fingerprint,
    Incarnation,
    NodeId,
    ProgramId,
    UpstreamId,
)
from skylarkferry_core.messages import (
    CacheEvent,
    Fence,
    LoadReport,
    Order,
    Outcome,
)
from skylarkferry_core.states import (
    SealVerdict,
    UpstreamState,
)


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First frame from an entry; ``stream`` numbers the streams of the entry's process."""

    node: NodeId
    incarnation: Incarnation
    stream: int = 0


class Dispatch(msgspec.Struct, frozen=True, tag="dispatch"):
    """Run an order; a repeated dispatch attaches to the existing call at ``offset``."""

    order: Order
    offset: int = 0


class Attach(msgspec.Struct, frozen=True, tag="attach"):
    """Follow a call dispatched earlier, starting at character ``offset`` of its output."""

    call_id: CallId
    fence: Fence
    offset: int = 0


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Stop a call if possible; its outcome is still sent."""

    call_id: CallId
    fence: Fence


class Acknowledge(msgspec.Struct, frozen=True, tag="acknowledge"):
    """These outcomes are stored durably; the sidecar may discard them."""

    call_ids: tuple[CallId, ...]


class ReleaseProgram(msgspec.Struct, frozen=True, tag="release"):
    """The program ended; free its KV cache."""

    program_id: ProgramId
    fence: Fence


class EntryHeartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Stream heartbeat; ``document_version`` is the version in use at the entry."""

    sequence: int
    document_version: int
    quarantined: tuple[Fingerprint, ...] = ()


EntryFrame = Hello | Dispatch | Attach | Cancel | Acknowledge | ReleaseProgram | EntryHeartbeat


class EntryBatch(msgspec.Struct, frozen=True):
    """Frames that an entry sends together; ``time`` is a hybrid logical time."""

    frames: tuple[EntryFrame, ...]
    time: int = 0


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """First frame from a sidecar: its identity, state and load."""

    upstream: UpstreamId
    incarnation: Incarnation
    state: UpstreamState
    load: LoadReport


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Output of a call, starting at character ``offset``."""

    call_id: CallId
    offset: int
    text: str


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """A call's outcome, sent again on each attach until it is acknowledged."""

    outcome: Outcome


class SidecarHeartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Heartbeat with state and load; ``echo`` is the sequence of the last entry heartbeat."""

    sequence: int
    state: UpstreamState
    load: LoadReport
    cache_events: tuple[CacheEvent, ...] = ()
    document_version: int = 0
    echo: int = 0


class StateNotice(msgspec.Struct, frozen=True, tag="state"):
    """The upstream's state changed; sent without waiting for a heartbeat."""

    state: UpstreamState


class CrashNotice(msgspec.Struct, frozen=True, tag="crash"):
    """The upstream crashed while a request with this fingerprint was running on it.

    ``crash`` identifies the crash; several requests and notices can refer to the same one.
    """

    fingerprint: Fingerprint
    alone: bool
    crash: CrashId = CrashId("")


SidecarFrame = Welcome | Chunk | Finished | SidecarHeartbeat | StateNotice | CrashNotice


class SidecarBatch(msgspec.Struct, frozen=True):
    """Frames that a sidecar sends together; ``time`` is a hybrid logical time."""

    frames: tuple[SidecarFrame, ...]
    time: int = 0


class SealRequest(msgspec.Struct, frozen=True):
    """Determine whether a call ran; ``incarnation`` is the sidecar incarnation it was sent to."""

    call_id: CallId
    fence: Fence
    incarnation: Incarnation


class SealReply(msgspec.Struct, frozen=True):
    """Reply to a seal request; ``outcome`` is set only if ``verdict`` is ``executed``."""

    verdict: SealVerdict
    outcome: Outcome | None = None


class DrainRequest(msgspec.Struct, frozen=True):
    """Accept no new work and finish the work in flight."""

    reason: str = ""


class Accepted(msgspec.Struct, frozen=True):
    """Confirmation that a request took effect."""
