"""Routes of plain and streamed requests to services, and their lookup table."""

from collections.abc import Mapping
from enum import Enum

import msgspec

from skylarkferry_core.customers import NO_CUSTOMERS, CustomerTable
from skylarkferry_core.ids import ServiceName

MAX_HEADER_BYTES = 16_384


class RequestKind(Enum):
    """Kind of a route's requests; it determines whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and its weight among the services of a route."""

    service: ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Route for requests to one host and path prefix; ``prefix`` starts and ends with a slash.

    A public route needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int = 1
    priority: int = 0
    retains_context: bool = False
    retention_s: float = 0.0
    is_sticky: bool = False
    is_resumable: bool = False
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    @property
    def is_streamed(self) -> bool:
        """Return whether responses are event streams."""
        return self.kind is RequestKind.STREAMING


class EngineSpec(msgspec.Struct, frozen=True):
    """A service's model engine: concurrent requests, KV cache size, tokens per event."""

    slots: int
    kv_tokens: int
    tokens_per_event: int = 1


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service; ``max_connections`` limits the connections of all callers to one upstream."""

    name: ServiceName
    health_path: str = "/health"
    max_connections: int = 64
    engine: EngineSpec | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size of client requests and on how long clients may take or stay idle."""

    header_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class RoutingTable:
    """One version of the routes, services and customers."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[ServiceName, ServiceSpec],
        limits: ClientLimits,
        customers: CustomerTable = NO_CUSTOMERS,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.customers = customers
        self.by_prefix = {(route.host, route.prefix): route for route in routes}

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route whose prefix is the longest match for ``path``, or ``None``."""
        name = host_name(host)
        end = path.rfind("/")
        while end >= 0:
            route = self.by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def host_name(host: str) -> str:
    """Return the host name of a Host header in lower case, without the port."""
    name, separator, port = host.rpartition(":")
    return (name if separator and port.isdigit() else host).lower()
