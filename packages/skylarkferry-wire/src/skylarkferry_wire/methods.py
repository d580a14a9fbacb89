"""gRPC methods with their request and reply types."""

from enum import Enum

import msgspec

from skylarkferry_core.entry_messages import (
    ListReply,
    ListRequest,
    ProgramSelector,
    ProgramView,
    ServiceRequest,
    StartRequest,
    TimelineReply,
    TimelineRequest,
    WatchItem,
    WatchRequest,
)
from skylarkferry_core.frames import (
    Accepted,
    DrainRequest,
    EntryBatch,
    SealReply,
    SealRequest,
    SidecarBatch,
)
from skylarkferry_core.messages import ServiceReply


class Cardinality(Enum):
    """Whether each side of an RPC sends one message or a stream."""

    UNARY = "unary"
    SERVER_STREAM = "server_stream"
    BOTH_STREAM = "both_stream"


class Method(msgspec.Struct, frozen=True):
    """A gRPC method and its message types."""

    service: str
    name: str
    cardinality: Cardinality
    request: type
    reply: type

    @property
    def path(self) -> str:
        """Return the path of the RPC's HTTP/2 request."""
        return f"/{self.service}/{self.name}"


SIDECAR = "skylarkferry.Sidecar"
ENTRY = "skylarkferry.Entry"
PROCESS = "skylarkferry.Process"

SIDECAR_STREAM = Method(SIDECAR, "Stream", Cardinality.BOTH_STREAM, EntryBatch, SidecarBatch)
SIDECAR_SEAL = Method(SIDECAR, "Seal", Cardinality.UNARY, SealRequest, SealReply)
SIDECAR_DRAIN = Method(SIDECAR, "Drain", Cardinality.UNARY, DrainRequest, Accepted)

ENTRY_START = Method(ENTRY, "Start", Cardinality.UNARY, StartRequest, ProgramView)
ENTRY_SHOW = Method(ENTRY, "Show", Cardinality.UNARY, ProgramSelector, ProgramView)
ENTRY_CANCEL = Method(ENTRY, "Cancel", Cardinality.UNARY, ProgramSelector, ProgramView)
ENTRY_WATCH = Method(ENTRY, "Watch", Cardinality.SERVER_STREAM, WatchRequest, WatchItem)
ENTRY_SERVICE = Method(ENTRY, "Service", Cardinality.UNARY, ServiceRequest, ServiceReply)
ENTRY_LIST = Method(ENTRY, "List", Cardinality.UNARY, ListRequest, ListReply)

PROCESS_TIMELINE = Method(PROCESS, "Timeline", Cardinality.UNARY, TimelineRequest, TimelineReply)
