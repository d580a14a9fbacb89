"""Settings of the gateway role."""

import msgspec

from skylarkferry_core.ids import FailureDomain, Incarnation, NodeId


class GatewaySettings(msgspec.Struct, frozen=True):
    """Addresses and limits of one gateway process.

    ``incarnation`` is new at every start.  ``grace_s`` is the time between SIGTERM and SIGKILL,
    ``cores`` the speed of the host's processor.
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
    log_level: str = "INFO"
