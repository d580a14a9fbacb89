"""Quotas of customers: the stage that admits requests."""

import math
from collections import OrderedDict
from collections.abc import Callable

import anyio

from skylarkferry_admission.begun_programs import program_number
from skylarkferry_core.customers import Customer, Quota
from skylarkferry_core.errors import CustomerLimitError
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CustomerId
from skylarkferry_core.routes import Route, RoutingTable
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import ClientRequest
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.quota_charges import QuotaCharge
from skylarkferry_gateway.quota_exchange import (
    CustomerQuota,
    QuotaExchange,
    QuotaWaiter,
    shard_for,
)
from skylarkferry_gateway.watchers import ConfigWatcher

_MAX_LOGGED = 20_000
"""Customers whose last log line is remembered."""
_LOG_INTERVAL_S = 1.0
"""Least time between log lines about one customer's refusals."""


class _Refusals(OrderedDict[CustomerId, tuple[float, int]]):
    """Time of the last log line about a customer's refusals, and their number since."""


class QuotaStage:
    """Admit requests of customers with a quota, or refuse them with the time to come back."""

    def __init__(
        self,
        exchanges: list[QuotaExchange],
        config: ConfigWatcher,
        clock: Callable[[], float],
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.exchanges = exchanges
        self.config = config
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.refusals = _Refusals()
        self.table: RoutingTable | None = None
        self.has_quotas = False

    def current(self) -> RoutingTable | None:
        """Return the routing table in force, or ``None`` if no customer has a quota."""
        table = self.config.current
        if table is not self.table:
            self.table = table
            customers = table.customers.by_name.values() if table is not None else ()
            self.has_quotas = any(customer.quota is not None for customer in customers)
        return table if self.has_quotas else None

    async def follow_joining_gateways(self) -> None:
        """Read the list of gateways early while this one waits for the others to count it.

        When all gateways start at once, their owner then hears the whole list within a second or
        two, and not only after a heartbeat.
        """
        gateways = self.exchanges[0].gateways
        is_counted = gateways.is_counted(anyio.current_time())
        is_whole = all(exchange.is_whole for exchange in self.exchanges)
        if self.current() is not None and not is_counted and not is_whole:
            await gateways.read_joined()

    async def admit(
        self, request: ClientRequest, route: Route, deadline: float
    ) -> QuotaCharge | None:
        """Charge a request that has a quota; raise ``CustomerLimitError`` if it has no room."""
        customer = request.customer
        if customer is None or customer.quota is None:
            return None
        program = program_number(customer.name, request.metadata.program_id)
        programs = self.exchanges[shard_for(customer.name)].programs
        is_later = bool(request.metadata.previous_turn) or request.metadata.is_resumption
        # A request that is not streamed is a tool call of a program that has begun.
        is_begun = is_later or not route.is_streamed or program in programs
        refusal = await self.charge(customer.name, deadline, is_begun=is_begun)
        if refusal is not None:
            self._on_refused(customer, customer.quota, is_begun=is_begun)
            raise refusal
        if request.metadata.program_id:
            programs.begin(program)
        return QuotaCharge(self, customer.name)

    async def charge(
        self, customer: CustomerId, deadline: float, *, is_begun: bool
    ) -> CustomerLimitError | None:
        """Take a token; return the error to respond with if there is none.

        The quota is that of the configuration in force, which may be newer than the request.
        """
        table = self.current()
        exchange = self.exchanges[shard_for(customer)]
        known = exchange.customer_quota(customer, table) if table is not None else None
        if known is None:
            return None
        now = self.clock()
        if known.bucket.take(now, is_begun=is_begun):
            self.metrics.quota_charges.labels(source="stock").inc()
            return None
        room_s = known.bucket.refusal_s(now, is_begun=is_begun)
        if room_s is None:
            room_s = await self._wait(exchange, known, deadline, is_begun=is_begun)
        if room_s is None:
            self.metrics.quota_charges.labels(source="owner").inc()
            return None
        return CustomerLimitError(
            f"the quota of customer {customer} is used up",
            retry_after_s=math.ceil(room_s * 1_000) / 1_000,
        )

    async def _wait(
        self, exchange: QuotaExchange, known: CustomerQuota, deadline: float, *, is_begun: bool
    ) -> float | None:
        """Wait for an exchange; return ``None`` with a token, else the time until there is room."""
        waiter = QuotaWaiter(is_begun=is_begun)
        until = min(deadline, anyio.current_time() + defaults.QUOTA_WAIT_S)
        await exchange.wait(known, waiter, until)
        if waiter.is_granted:
            return None
        if waiter.decided.is_set():
            return waiter.room_s
        return known.bucket.room_s(self.clock(), is_begun=is_begun)

    def give_back(self, customer: CustomerId, tokens: int) -> None:
        """Take back tokens of requests that have certainly not run."""
        table = self.current()
        if not tokens or table is None:
            return
        known = self.exchanges[shard_for(customer)].customer_quota(customer, table)
        if known is not None:
            for _ in range(tokens):
                known.bucket.give_back()
            self.metrics.quota_returns.inc(tokens)

    def _on_refused(self, customer: Customer, quota: Quota, *, is_begun: bool) -> None:
        self.metrics.quota_refusals.labels(program="begun" if is_begun else "new").inc()
        now = self.clock()
        logged_at, count = self.refusals.get(customer.name, (-math.inf, 0))
        count += 1
        if now - logged_at < _LOG_INTERVAL_S:
            self.refusals[customer.name] = (logged_at, count)
            return
        self.refusals[customer.name] = (now, 0)
        self.refusals.move_to_end(customer.name)
        if len(self.refusals) > _MAX_LOGGED:
            self.refusals.popitem(last=False)
        exchange = self.exchanges[shard_for(customer.name)]
        self.log.emit(
            EventKind.GATEWAY_QUOTA_REACHED,
            customer=customer.name,
            rate=quota.rate_per_s,
            burst=quota.burst,
            refused=count,
            owner=exchange.burst_owner.owner,
            counts_burst=exchange.burst_owner.counts_burst(now),
            heard=round(exchange.heard, 2),
        )
