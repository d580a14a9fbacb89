"""Decisions about a request: run it now, let it wait, or reject it."""

from enum import Enum

import msgspec

from skylarkferry_core.ids import UpstreamId


class RejectReason(Enum):
    """Why a request is rejected without having run."""

    UNAUTHENTICATED = "unauthenticated"
    """It has no key, or one that no customer holds."""
    UNCERTAIN = "uncertain"
    """The gateway cannot know whether its key is valid."""
    QUOTA = "quota"
    """Its customer's quota is used up."""
    DEADLINE = "deadline"
    """No upstream could complete it before its deadline."""
    QUEUE_FULL = "queue_full"
    """Too many requests that go before it wait."""
    MEMORY = "memory"
    """The process holds as many bytes as it may."""


class RunHere(msgspec.Struct, frozen=True):
    """Send the request to this upstream now."""

    upstream: UpstreamId


class Wait(msgspec.Struct, frozen=True):
    """Keep the request; decide again at a monotonic time, or earlier if something changes."""

    until: float


class Reject(msgspec.Struct, frozen=True):
    """Reject the request; the client may come back after some seconds."""

    reason: RejectReason
    retry_after_s: float


Decision = RunHere | Wait | Reject
