"""Handling of client requests: decoding, routing, relaying and logging."""

import math

import anyio

from skylarkferry_core.errors import (
    BadRequestError,
    ErrorCode,
    NoConfigurationError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    SkylarkferryError,
    UnknownRouteError,
    UnknownStreamError,
    UnknownTurnError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import ServiceName
from skylarkferry_core.routes import ClientLimits, Route, RoutingTable
from skylarkferry_daemon.log import NO_PROGRAM
from skylarkferry_gateway import defaults
from skylarkferry_gateway.access import AccessControl
from skylarkferry_gateway.attempts import Attempts, deadline_of
from skylarkferry_gateway.buffered_relay import BufferedRelay
from skylarkferry_gateway.failover_store import FailoverStore
from skylarkferry_gateway.http_server import (
    ClientConnection,
    ClientLeftError,
    ReceivedRequest,
    ResponseState,
)
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.planned_stop import PlannedStop
from skylarkferry_gateway.quota_charges import QuotaCharge
from skylarkferry_gateway.quotas import QuotaStage
from skylarkferry_gateway.relay_context import RelayContext
from skylarkferry_gateway.stream_relay import StreamBrokenError, StreamRelay
from skylarkferry_gateway.turns import ActiveTurn, TurnServices
from skylarkferry_gateway.watchers import ConfigWatcher

_NO_LIMITS = ClientLimits()


class Gateway:
    """Route and relay client requests and log their outcomes."""

    def __init__(
        self,
        context: RelayContext,
        config: ConfigWatcher,
        turn_services: TurnServices,
        store: FailoverStore,
        *,
        access: AccessControl,
        quotas: QuotaStage,
    ) -> None:
        self.context = context
        self.config = config
        self.turn_services = turn_services
        self.store = store
        self.access = access
        self.quotas = quotas
        self.planned_stop = PlannedStop()
        self.log = context.log
        self.metrics = context.metrics
        self.buffered_relay = BufferedRelay(context)

    def limits(self) -> ClientLimits:
        """Return the client limits in force; the defaults before a configuration was read."""
        return self.config.current.limits if self.config.current is not None else _NO_LIMITS

    async def handle(self, received: ReceivedRequest, client: ClientConnection) -> None:
        """Respond to one request, turning every expected error into a response or a log line."""
        received_at = anyio.current_time()
        self.metrics.requests_under_way.inc()
        outcome, reason = "failed", ""
        request: ClientRequest | None = None
        route: Route | None = None
        try:
            request = self._decode(received, received_at)
            route, table = self._find_route(request)
            request = self.access.admit(request, route, table)
            outcome = str(await self._relay(request, route, table, client))
        except StreamBrokenError as error:
            outcome = "broken_off"
            self.log.emit(
                EventKind.GATEWAY_BROKEN_OFF, request=_request_id(request), detail=str(error)
            )
        except ClientLeftError:
            outcome = "left"
        except SkylarkferryError as error:
            outcome, reason = f"{int(error.status)} {error.code.value}", error.detail
            await self._respond_with_error(error, client, _time_left_s(request))
        except Exception as error:
            self.log.emit(
                EventKind.TASK_FAILED,
                request=_request_id(request),
                code=ErrorCode.INTERNAL.value,
                detail=repr(error),
            )
            # An upstream may have executed the request before the error.
            unknown = OutcomeUnknownError("internal error of the gateway")
            await self._respond_with_error(unknown, client, _time_left_s(request))
        finally:
            self.metrics.requests_under_way.dec()
            self._log_outcome(request, route, outcome, reason, received_at)

    def _decode(self, received: ReceivedRequest, received_at: float) -> ClientRequest:
        metadata = self.context.codec.decode_request(received.headers)
        if not metadata.request_id:
            raise BadRequestError("the request has no request id header")
        target = received.target.decode("latin-1")
        return ClientRequest(
            method=received.method,
            target=received.target,
            host=received.header(b"host").decode("latin-1"),
            path=target.partition("?")[0],
            headers=received.headers,
            body=received.body,
            metadata=metadata,
            received_at=received_at,
        )

    def _find_route(self, request: ClientRequest) -> tuple[Route, RoutingTable]:
        table = self.config.current
        if table is None:
            raise NoConfigurationError("no configuration has been read yet")
        route = table.match(request.host, request.path)
        if route is None:
            self.access.check_unknown(table, "adds the route")
            raise UnknownRouteError(f"no matching route in configuration version {table.version}")
        return route, table

    async def _relay(
        self, request: ClientRequest, route: Route, table: RoutingTable, client: ClientConnection
    ) -> int:
        refusal = self.context.crashes.refusal(request)
        if refusal is None:
            refusal = self.planned_stop.refusal(deadline_of(request, route))
        if refusal is not None:
            raise refusal
        charge = await self.quotas.admit(request, route, deadline_of(request, route))
        try:
            return await self._relay_admitted(request, route, table, client, charge)
        finally:
            if charge is not None:
                charge.settle()

    async def _relay_admitted(
        self,
        request: ClientRequest,
        route: Route,
        table: RoutingTable,
        client: ClientConnection,
        charge: QuotaCharge | None,
    ) -> int:
        service = self.context.selector.choose_service(request, route)
        if not route.is_streamed:
            attempts = self._attempts(request, route, table, service)
            attempts.charge = charge
            return await self.buffered_relay.relay(attempts, client)
        attempts = await self._stream_attempts(request, route, table, service)
        attempts.charge = charge
        store_deadline = attempts.deadline + defaults.DEADLINE_SLACK_S
        work = ActiveTurn(request, route, attempts.engine, self.turn_services, store_deadline)
        try:
            relay = StreamRelay(self.context, attempts, client, work, await work.begin())
            status = await relay.relay()
        except UnknownTurnError:
            # The turn may be that of the customer to which the key has moved.
            self.access.check_unknown(table, "moves the key")
            raise
        finally:
            work.settle()
        if relay.first_event_at is not None:
            self.metrics.first_event.observe(relay.first_event_at - request.received_at)
        return status

    async def _stream_attempts(
        self, request: ClientRequest, route: Route, table: RoutingTable, service: ServiceName
    ) -> Attempts:
        """Return the attempts for a stream; those of a resumed one keep its service and version."""
        if not request.metadata.is_resumption:
            attempts = self._attempts(request, route, table, service)
            attempts.has_moved = self._has_moved(request, table)
            return attempts
        origin = await self.context.resumptions.find(
            request,
            service,
            has_moved=self._has_moved(request, table),
            knows_moves=self.config.changes.covers_all_streams(anyio.current_time()),
        )
        if origin.service not in {share.service for share in route.shares}:
            raise UnknownStreamError(
                "the route does not lead to the service of the stream any more"
            )
        attempts = self._attempts(request, route, table, origin.service)
        attempts.required_version = origin.version
        return attempts

    def _has_moved(self, request: ClientRequest, table: RoutingTable) -> bool:
        now = anyio.current_time()
        return self.config.changes.has_changed(request.host, request.path, table, now)

    def _attempts(
        self, request: ClientRequest, route: Route, table: RoutingTable, service: ServiceName
    ) -> Attempts:
        return Attempts(request, route, table, service, self.planned_stop.answer_by)

    async def _respond_with_error(
        self, error: SkylarkferryError, client: ClientConnection, time_left_s: float
    ) -> None:
        if client.response_state is not ResponseState.NONE:
            return
        closes_connection = isinstance(error, PlatformUnavailableError | NoConfigurationError)
        if closes_connection and error.retry_after_s is None:
            error.retry_after_s = self.store.retry_after_s(time_left_s)
        try:
            await client.send_error(error, closes_connection=closes_connection)
        except ClientLeftError:
            return

    def _log_outcome(
        self,
        request: ClientRequest | None,
        route: Route | None,
        outcome: str,
        reason: str,
        started_at: float,
    ) -> None:
        latency_s = anyio.current_time() - started_at
        kind = route.kind.value if route is not None else "none"
        self.metrics.requests.labels(kind=kind, outcome=outcome).inc()
        self.metrics.latency.labels(kind=kind).observe(latency_s)
        client_left = outcome == "left"
        table = self.config.current
        named = {}
        if request is not None and request.customer is not None:
            named["customer"] = request.customer.name
        self.log.emit(
            EventKind.GATEWAY_CLIENT_LEFT if client_left else EventKind.GATEWAY_ANSWERED,
            request.metadata.program_id if request is not None else NO_PROGRAM,
            request=_request_id(request),
            route=route.name if route is not None else "",
            config=table.version if table is not None else 0,
            outcome=outcome,
            reason=reason,
            ms=round(latency_s * 1_000),
            **named,
        )


def _time_left_s(request: ClientRequest | None) -> float:
    """Return how long the client of a request still waits; infinite if that is not known."""
    if request is None:
        return math.inf
    return request.metadata.time_left_s - (anyio.current_time() - request.received_at)


def _request_id(request: ClientRequest | None) -> str:
    return request.metadata.request_id if request is not None else ""
