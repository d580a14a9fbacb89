"""Catalogue of gRPC methods: the messages each takes and gives."""

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


class Shape(Enum):
    """How many messages each side sends."""

    UNARY = "unary"
    SERVER_STREAM = "server_stream"
    BOTH_STREAM = "both_stream"


class Method(msgspec.Struct, frozen=True):
    """One gRPC method."""

    service: str
    name: str
    shape: Shape
    request: type
    reply: type

    @property
    def path(self) -> str:
        """Return the method's path on the wire."""
        return f"/{self.service}/{self.name}"


SIDECAR = "skylarkferry.Sidecar"
ENTRY = "skylarkferry.Entry"
PROCESS = "skylarkferry.Process"

SIDECAR_STREAM = Method(SIDECAR, "Stream", Shape.BOTH_STREAM, EntryBatch, SidecarBatch)
SIDECAR_SEAL = Method(SIDECAR, "Seal", Shape.UNARY, SealRequest, SealReply)
SIDECAR_DRAIN = Method(SIDECAR, "Drain", Shape.UNARY, DrainRequest, Accepted)

ENTRY_START = Method(ENTRY, "Start", Shape.UNARY, StartRequest, ProgramView)
ENTRY_SHOW = Method(ENTRY, "Show", Shape.UNARY, ProgramSelector, ProgramView)
ENTRY_CANCEL = Method(ENTRY, "Cancel", Shape.UNARY, ProgramSelector, ProgramView)
ENTRY_WATCH = Method(ENTRY, "Watch", Shape.SERVER_STREAM, WatchRequest, WatchItem)
ENTRY_SERVICE = Method(ENTRY, "Service", Shape.UNARY, ServiceRequest, ServiceReply)
ENTRY_LIST = Method(ENTRY, "List", Shape.UNARY, ListRequest, ListReply)

PROCESS_TIMELINE = Method(PROCESS, "Timeline", Shape.UNARY, TimelineRequest, TimelineReply)
