"""Stand-in for the platform: table service, object store and a host list with a delay."""

from enum import Enum
from http import HTTPStatus
from pathlib import Path

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from skylarkferry_standins.http_responses import (
    TruncatedResponse,
    error_response,
    hang,
    invalid_body_response,
    json_response,
    read_body,
)
from skylarkferry_standins.rate_limit import RateLimit
from skylarkferry_standins.table import (
    MAX_REQUEST_BYTES,
    RangeRequest,
    TableRequestError,
    TableStore,
    TxnRequest,
)


class Outage(Enum):
    """How the platform responds during an outage."""

    NONE = "none"
    REFUSING = "refusing"
    SILENT = "silent"


class Loss(Enum):
    """How the response to a committed transaction is lost."""

    CLOSE = "close"
    GATEWAY_TIMEOUT = "gateway_timeout"
    SILENT = "silent"


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults; a new body replaces all of them, an empty body clears them.

    The next ``lose_answers`` transactions commit, but their responses are lost.
    """

    outage: Outage = Outage.NONE
    delay_s: float = 0.0
    lose_answers: int = 0
    loss: Loss = Loss.CLOSE
    writes_per_s: float | None = None
    reads_per_s: float | None = None


class Counters(msgspec.Struct):
    """Requests since the process started; ``written_bytes`` sums the transaction bodies."""

    writes: int = 0
    reads: int = 0
    written_bytes: int = 0
    object_puts: int = 0
    object_gets: int = 0
    object_bytes: int = 0
    host_reads: int = 0


class TargetGroup(msgspec.Struct):
    """One element of a Prometheus HTTP service discovery response."""

    targets: list[str]
    labels: dict[str, str] = {}


class Platform:
    """The three services with their injected faults and counters."""

    def __init__(self, hosts: list[TargetGroup], hosts_lag_s: float) -> None:
        self.table = TableStore()
        self.objects: dict[str, bytes] = {}
        self.hosts = hosts
        self.hosts_lag_s = hosts_lag_s
        self.pending_hosts: list[tuple[float, list[TargetGroup]]] = []
        self.counters = Counters()
        self.set_faults(PlatformFaults())

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the injected faults and reset the rate limits."""
        self.faults = faults
        self.write_limit = RateLimit(faults.writes_per_s)
        self.read_limit = RateLimit(faults.reads_per_s)

    async def outage_response(self, request: Request) -> Response | None:
        """Delay the request; return an error response during an outage, otherwise ``None``."""
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        match self.faults.outage:
            case Outage.NONE:
                return None
            case Outage.REFUSING:
                return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "the platform is down")
            case Outage.SILENT:
                return await hang(request)

    async def range(self, request: Request) -> Response:
        """Handle ``POST /v3/kv/range``."""
        if failure := await self.outage_response(request):
            return failure
        if not self.read_limit.try_acquire(anyio.current_time()):
            return error_response(HTTPStatus.TOO_MANY_REQUESTS, "too many reads")
        body = await read_body(request, RangeRequest)
        self.counters.reads += 1
        return json_response(self.table.range(body))

    async def txn(self, request: Request) -> Response:
        """Handle ``POST /v3/kv/txn``."""
        if failure := await self.outage_response(request):
            return failure
        if not self.write_limit.try_acquire(anyio.current_time()):
            return error_response(HTTPStatus.TOO_MANY_REQUESTS, "too many writes")
        size = len(await request.body())
        if size > MAX_REQUEST_BYTES:
            return error_response(HTTPStatus.BAD_REQUEST, "request is too large")
        response = self.table.txn(await read_body(request, TxnRequest))
        self.counters.writes += 1
        self.counters.written_bytes += size
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return await self.lost_response(request)
        return json_response(response)

    async def lost_response(self, request: Request) -> Response:
        """Return what the client receives when the response to a committed transaction is lost."""
        match self.faults.loss:
            case Loss.CLOSE:
                return TruncatedResponse()
            case Loss.GATEWAY_TIMEOUT:
                return error_response(HTTPStatus.GATEWAY_TIMEOUT, "no answer in time")
            case Loss.SILENT:
                return await hang(request)

    async def object(self, request: Request) -> Response:
        """Handle ``PUT``, ``GET`` and ``DELETE`` of ``/objects/<key>``."""
        if failure := await self.outage_response(request):
            return failure
        key = request.path_params["key"]
        if request.method == "PUT":
            return await self.put_object(key, request)
        if request.method == "DELETE":
            self.objects.pop(key, None)
            return Response(status_code=HTTPStatus.NO_CONTENT)
        self.counters.object_gets += 1
        if key not in self.objects:
            return error_response(HTTPStatus.NOT_FOUND, "NoSuchKey")
        return Response(self.objects[key])

    async def put_object(self, key: str, request: Request) -> Response:
        """Store an object."""
        body = await request.body()
        self.objects[key] = body
        self.counters.object_puts += 1
        self.counters.object_bytes += len(body)
        return Response()

    async def list_hosts(self, request: Request) -> Response:
        """Handle ``GET /hosts`` with the list as it was ``hosts_lag_s`` ago."""
        if failure := await self.outage_response(request):
            return failure
        self.counters.host_reads += 1
        now = anyio.current_time()
        while self.pending_hosts and self.pending_hosts[0][0] <= now:
            self.hosts = self.pending_hosts.pop(0)[1]
        return json_response(self.hosts)

    async def replace_hosts(self, request: Request) -> Response:
        """Handle ``PUT /control/hosts``; the list takes effect after ``hosts_lag_s``."""
        hosts = await read_body(request, list[TargetGroup])
        self.pending_hosts.append((anyio.current_time() + self.hosts_lag_s, hosts))
        return Response(status_code=HTTPStatus.NO_CONTENT)

    async def control_faults(self, request: Request) -> Response:
        """Handle ``GET`` and ``POST /control/faults``."""
        if request.method == "POST":
            self.set_faults(await read_body(request, PlatformFaults))
        return json_response(self.faults)

    async def show_counters(self, _: Request) -> Response:
        """Handle ``GET /control/counters``."""
        return json_response(self.counters)


async def _invalid_table_request(_: Request, error: Exception) -> Response:
    return error_response(HTTPStatus.BAD_REQUEST, str(error))


def load_hosts(path: str) -> list[TargetGroup]:
    """Read the initial host list from a JSON file; an empty path means an empty list."""
    if not path:
        return []
    return msgspec.json.decode(Path(path).read_bytes(), type=list[TargetGroup])


def platform_app(platform: Platform) -> Starlette:
    """Return the ASGI application of the platform."""
    routes = [
        Route("/v3/kv/range", platform.range, methods=["POST"]),
        Route("/v3/kv/txn", platform.txn, methods=["POST"]),
        Route("/objects/{key:path}", platform.object, methods=["PUT", "GET", "DELETE"]),
        Route("/hosts", platform.list_hosts),
        Route("/control/hosts", platform.replace_hosts, methods=["PUT"]),
        Route("/control/faults", platform.control_faults, methods=["GET", "POST"]),
        Route("/control/counters", platform.show_counters),
    ]
    handlers = {
        TableRequestError: _invalid_table_request,
        msgspec.ValidationError: invalid_body_response,
        msgspec.DecodeError: invalid_body_response,
    }
    return Starlette(routes=routes, exception_handlers=handlers)
