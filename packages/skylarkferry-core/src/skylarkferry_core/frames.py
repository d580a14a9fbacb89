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
    """First frame of a stream: who the entry is; ``stream`` counts the process's streams."""

    node: NodeId
    incarnation: Incarnation
    stream: int = 0


class Dispatch(msgspec.Struct, frozen=True, tag="dispatch"):
    """Run an order; a repeat attaches to the first one, from ``offset`` on."""

    order: Order
    offset: int = 0


class Attach(msgspec.Struct, frozen=True, tag="attach"):
    """Follow a call that was dispatched before, from ``offset`` characters of its output on."""

    call_id: CallId
    fence: Fence
    offset: int = 0


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Stop a call if it can be stopped; its outcome still comes."""

    call_id: CallId
    fence: Fence


class Acknowledge(msgspec.Struct, frozen=True, tag="acknowledge"):
    """These outcomes are durable; the sidecar may forget them."""

    call_ids: tuple[CallId, ...]


class ReleaseProgram(msgspec.Struct, frozen=True, tag="release"):
    """The program ended; free its KV cache."""

    program_id: ProgramId
    fence: Fence


class EntryHeartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Liveness of the stream; ``document_version`` is the one in force at the entry."""

    sequence: int
    document_version: int
    quarantined: tuple[Fingerprint, ...] = ()


EntryFrame = Hello | Dispatch | Attach | Cancel | Acknowledge | ReleaseProgram | EntryHeartbeat


class EntryBatch(msgspec.Struct, frozen=True):
    """What an entry sends at once, at a hybrid logical time."""

    frames: tuple[EntryFrame, ...]
    time: int = 0


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """First frame of a stream: who the sidecar is and how it stands."""

    upstream: UpstreamId
    incarnation: Incarnation
    state: UpstreamState
    load: LoadReport


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Output of a call that starts at character ``offset``."""

    call_id: CallId
    offset: int
    text: str


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """A call's outcome, repeated on each attach until it is acknowledged."""

    outcome: Outcome


class SidecarHeartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """Liveness, state and load; ``echo`` is the sequence of the last entry heartbeat."""

    sequence: int
    state: UpstreamState
    load: LoadReport
    cache_events: tuple[CacheEvent, ...] = ()
    document_version: int = 0
    echo: int = 0


class StateNotice(msgspec.Struct, frozen=True, tag="state"):
    """The upstream's state changed; sent at once."""

    state: UpstreamState


class CrashNotice(msgspec.Struct, frozen=True, tag="crash"):
    """The upstream crashed while the request of this fingerprint ran on it.

    ``crash`` names the crash: several requests, or several notices, can be of one.
    """

    fingerprint: Fingerprint
    alone: bool
    crash: CrashId = CrashId("")


SidecarFrame = Welcome | Chunk | Finished | SidecarHeartbeat | StateNotice | CrashNotice


class SidecarBatch(msgspec.Struct, frozen=True):
    """What a sidecar sends at once, at a hybrid logical time."""

    frames: tuple[SidecarFrame, ...]
    time: int = 0


class SealRequest(msgspec.Struct, frozen=True):
    """Settle whether a call ran; ``incarnation`` is the sidecar's life that was ordered it."""

    call_id: CallId
    fence: Fence
    incarnation: Incarnation


class SealReply(msgspec.Struct, frozen=True):
    """Answer to a seal; ``outcome`` comes with ``executed`` only."""

    verdict: SealVerdict
    outcome: Outcome | None = None


class DrainRequest(msgspec.Struct, frozen=True):
    """Take no new work; finish what is in flight."""

    reason: str = ""


class Accepted(msgspec.Struct, frozen=True):
    """The request took effect."""
