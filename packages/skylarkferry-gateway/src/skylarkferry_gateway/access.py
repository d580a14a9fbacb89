"""Access control: find out whose request it is, or refuse it, before it is relayed."""

import math

import anyio

from skylarkferry_admission.access import (
    UNCERTAIN_RETRY_AFTER_S,
    RefusalCause,
    Refused,
    decide_access,
    may_have_missed_a_version,
)
from skylarkferry_admission.decisions import RejectReason
from skylarkferry_core.errors import (
    PlatformUnavailableError,
    SkylarkferryError,
    UnauthenticatedError,
)
from skylarkferry_core.events import EventKind
from skylarkferry_core.routes import Route, RoutingTable
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway.customer_requests import request_for
from skylarkferry_gateway.interfaces import HeaderCodec
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.settings import RevocationBounds
from skylarkferry_gateway.watchers import ConfigWatcher

_DETAILS = {
    RefusalCause.NO_KEY: "the route needs one bearer key",
    RefusalCause.UNKNOWN_KEY: "no customer has this key",
    RefusalCause.SHARED_KEY: "several customers list this key, so that it identifies none",
    RefusalCause.UNCONFIRMED: "this gateway may have missed the version that adds the key",
    RefusalCause.REVOCATION: "this gateway cannot know whether the key is still valid",
    RefusalCause.UNSENDABLE_NAME: "the name of the key's customer cannot be sent in a header",
}


class AccessControl:
    """Identify the customers of requests and refuse requests without a valid key."""

    def __init__(
        self,
        config: ConfigWatcher,
        codec: HeaderCodec,
        revocation: RevocationBounds | None,
        *,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.config = config
        self.codec = codec
        is_strict = revocation is not None and revocation.is_strict
        self.key_limit_s = revocation.limit_s if revocation is not None and is_strict else math.inf
        self.log = log
        self.metrics = metrics

    def admit(self, request: ClientRequest, route: Route, table: RoutingTable) -> ClientRequest:
        """Return the request as its customer's, without the key.

        Raise ``UnauthenticatedError``, or ``PlatformUnavailableError`` where this gateway cannot
        know whether the key is valid.
        """
        if not table.customers:
            return request_for(request, route, None, request.headers)
        key = request.metadata.key_digest
        age_s = self.config.age_s(anyio.current_time())
        access = decide_access(key, route, table, age_s, self.key_limit_s)
        if isinstance(access, Refused):
            raise self._refusal(access, request, route, table, age_s)
        headers = self.codec.headers_without_key(request.headers)
        return request_for(request, route, access.customer, headers)

    def check_unknown(self, table: RoutingTable, change: str) -> None:
        """Raise ``PlatformUnavailableError`` if a missed version may make known what is not.

        ``change`` says what that version would do.  A client takes the absence of a route or turn,
        like that of a key, as final.
        """
        age_s = self.config.age_s(anyio.current_time())
        if table.customers and may_have_missed_a_version(age_s):
            self.metrics.access_refusals.labels(cause=RefusalCause.UNCONFIRMED.value).inc()
            raise PlatformUnavailableError(
                f"this gateway may have missed the version that {change}",
                retry_after_s=UNCERTAIN_RETRY_AFTER_S,
            )

    def _refusal(
        self,
        refused: Refused,
        request: ClientRequest,
        route: Route,
        table: RoutingTable,
        age_s: float,
    ) -> SkylarkferryError:
        self.metrics.access_refusals.labels(cause=refused.cause.value).inc()
        self.log.emit(
            EventKind.GATEWAY_ACCESS_REFUSED,
            request.metadata.program_id,
            request=request.metadata.request_id,
            route=route.name,
            config=table.version,
            cause=refused.cause.value,
            config_age_ms=round(age_s * 1_000) if math.isfinite(age_s) else "none",
        )
        detail = _DETAILS[refused.cause]
        if refused.reject.reason is RejectReason.UNAUTHENTICATED:
            return UnauthenticatedError(detail)
        return PlatformUnavailableError(detail, retry_after_s=refused.reject.retry_after_s)
