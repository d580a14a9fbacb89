"""Settings of the gateway role."""

import msgspec

from skylarkferry_core.ids import FailureDomain, Incarnation, NodeId


class QuotaBounds(msgspec.Struct, frozen=True):
    """How exactly the quotas of customers have to be kept over all gateways.

    In any window, a customer's requests may exceed its quota by the share ``over`` and by
    ``slack`` requests.
    """

    window_s: float
    over: float
    slack: float


class RevocationBounds(msgspec.Struct, frozen=True):
    """How long a key may be used after the last contact with the platform, if that is limited."""

    is_strict: bool
    limit_s: float


class GatewaySettings(msgspec.Struct, frozen=True):
    """Addresses and limits of one gateway process.

    ``incarnation`` is new at every start.  ``grace_s`` is the time between SIGTERM and SIGKILL,
    ``cores`` the speed of the host's processor, ``link_bytes_per_s`` that of its network link;
    0 means that it is not known.  The bounds are ``None`` if the platform names none.
    """

    node: NodeId
    incarnation: Incarnation
    failure_domain: FailureDomain
    client_listen: str
    ready_listen: str
    metrics_listen: str
    peer_listen: str
    memory_bytes: int
    grace_s: float
    cores: float = 1.0
    link_bytes_per_s: float = 0.0
    quota_bounds: QuotaBounds | None = None
    revocation: RevocationBounds | None = None
    log_level: str = "INFO"
