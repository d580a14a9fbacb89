"""Exchange of one gateway with the owner of a shard of customers: deposits, demands and grants."""

import math
from collections.abc import Callable, Iterable
from functools import partial

import anyio
import msgspec
import xxhash

from skylarkferry_admission.begun_programs import BegunPrograms
from skylarkferry_admission.quota_buckets import (
    PAUSE_S,
    BurstOwner,
    Demand,
    Grant,
    QuotaBucket,
    ShareClock,
)
from skylarkferry_admission.quota_limits import QuotaMargin
from skylarkferry_admission.quota_pools import Deposit
from skylarkferry_core.coordination import shard_of
from skylarkferry_core.customers import Quota
from skylarkferry_core.events import EventKind
from skylarkferry_core.ids import CustomerId, NodeId, UpstreamId
from skylarkferry_core.routes import RoutingTable
from skylarkferry_daemon.log import EventLog
from skylarkferry_gateway import defaults
from skylarkferry_gateway.metrics import GatewayMetrics
from skylarkferry_gateway.placement_calls import PlacementCalls
from skylarkferry_gateway.quota_messages import MAX_DEMANDS, QUOTA_SHARDS, QuotaAnswer, QuotaAsk
from skylarkferry_gateway.quota_owners import OwnedPools, QuotaOwnerRanks

_MAX_PROGRAMS = 20_000
"""Programs that are remembered as begun; some minutes of a deployment."""


class QuotaWaiter:
    """A request that waits for a token; ``room_s`` is set if it got none."""

    def __init__(self, *, is_begun: bool) -> None:
        self.is_begun = is_begun
        self.decided = anyio.Event()
        self.is_granted = False
        self.has_left = False
        self.room_s = 0.0

    def grant(self) -> None:
        """Let the request run."""
        self.is_granted = True
        self.decided.set()

    def refuse(self, room_s: float) -> None:
        """Refuse the request until there is room for it."""
        self.room_s = room_s
        self.decided.set()


class CustomerQuota:
    """A customer's bucket at this gateway, and the requests that wait for tokens."""

    def __init__(self, customer: int, quota: Quota, now: float) -> None:
        self.bucket = QuotaBucket(customer, quota, now)
        self.waiters: list[QuotaWaiter] = []


def shard_for(customer: CustomerId) -> int:
    """Return the shard of a customer."""
    return shard_of(UpstreamId(customer), QUOTA_SHARDS)


class QuotaExchange:
    """Exchange with the owner of one shard, at intervals and when requests need tokens.

    What is deposited is gone here, and what is granted is gone there, so that a lost datagram
    loses tokens and never makes any.  An answer that comes late is not used.
    """

    def __init__(
        self,
        shard: int,
        ranks: QuotaOwnerRanks,
        owned: OwnedPools,
        calls: PlacementCalls,
        *,
        margin: QuotaMargin,
        clock: Callable[[], float],
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self.shard = shard
        self.ranks = ranks
        self.owned = owned
        self.calls = calls
        self.gateways = ranks.gateways
        self.margin = margin
        self.clock = clock
        self.log = log
        self.metrics = metrics
        now = clock()
        self.share = ShareClock(now)
        self.burst_owner = BurstOwner(now)
        self.customers: dict[CustomerId, CustomerQuota] = {}
        self.programs = BegunPrograms(_MAX_PROGRAMS)
        self.needed = anyio.Event()
        self.stepped_at = now
        self.next_at = now
        self.heard = 0.0
        self.is_whole = False
        self.heard_at = -math.inf
        self.version: int | None = None
        self.probed_at = -math.inf

    @property
    def weight(self) -> float:
        """Return this gateway's share of each quota."""
        return 1.0 / max(len(self.gateways.nodes), 1)

    def customer_quota(self, name: CustomerId, table: RoutingTable) -> CustomerQuota | None:
        """Return what is held of a customer's quota; ``None`` if it has none in this table."""
        self.use(table)
        now = self.clock()
        self._drop_after_pause(now)
        known = self.customers.get(name)
        if known is None:
            quota = _quota_of(name, table)
            if quota is None:
                return None
            number = xxhash.xxh64_intdigest(name.encode())
            known = self.customers[name] = CustomerQuota(number, quota, now)
        return known

    def use(self, table: RoutingTable) -> None:
        """Apply the quotas of a newer configuration, also to the tokens that are held."""
        if table.version == self.version:
            return
        self.version = table.version
        for name, known in list(self.customers.items()):
            quota = _quota_of(name, table)
            if quota is not None:
                known.bucket.set_quota(quota, self.margin, self.weight)
                continue
            del self.customers[name]
            for waiter in known.waiters:
                waiter.grant()

    async def wait(self, known: CustomerQuota, waiter: QuotaWaiter, until: float) -> None:
        """Let a request wait for the next exchange; ``until`` is a monotonic time."""
        known.waiters.append(waiter)
        self.needed.set()
        try:
            with anyio.move_on_at(until):
                await waiter.decided.wait()
        except BaseException:
            if waiter.is_granted:
                known.bucket.give_back()
            raise
        finally:
            waiter.has_left = True

    async def run(self, table: Callable[[], RoutingTable | None]) -> None:
        """Exchange until cancelled; ``table`` returns ``None`` while no customer has a quota."""
        while True:
            await self.wait_until_due()
            await self.step(table())

    async def wait_until_due(self) -> None:
        """Wait until the next deposit, or until a request needs a token."""
        with anyio.move_on_after(max(self.next_at - self.clock(), 0.0)):
            await self.needed.wait()
        await anyio.sleep(defaults.QUOTA_BATCH_S)

    async def step(self, table: RoutingTable | None) -> None:
        """Exchange once, unless no customer has a quota."""
        self.needed = anyio.Event()
        now = self.clock()
        self.owned.advance(now)
        self._drop_after_pause(now)
        if table is None:
            self.share.advance(now, is_counted=False)
            self.share.clear()
            self._drop_customers()
            self.next_at = now + defaults.QUOTA_QUIET_INTERVAL_S
            return
        self.use(table)
        await self._exchange(table.version)
        self._probe_silent()

    def _drop_customers(self) -> None:
        """Let all waiting requests run once no customer has a quota."""
        for known in self.customers.values():
            for waiter in known.waiters:
                waiter.grant()
        self.customers.clear()

    def _drop_after_pause(self, now: float) -> None:
        """Drop what a paused process held: its tokens may have been accrued again elsewhere."""
        paused_s = now - self.stepped_at
        self.stepped_at = now
        if paused_s <= PAUSE_S:
            return
        dropped = sum(known.bucket.tokens for known in self.customers.values())
        for known in self.customers.values():
            known.bucket.tokens = 0
        self.share.clear()
        self.share.at = now
        self.log.emit(
            EventKind.GATEWAY_QUOTA_DROPPED,
            shard=self.shard,
            paused_ms=round(paused_s * 1_000),
            tokens=dropped,
        )

    def _is_counted(self, now: float) -> bool:
        """Return whether all gateways count this one, so that its share is its own."""
        if self.gateways.is_counted(anyio.current_time()):
            return True
        return self.is_whole and now - self.heard_at <= PAUSE_S

    async def _exchange(self, version: int) -> None:
        """Ask the owners in rank until one answers, and decide about the waiting requests."""
        now = self.clock()
        self.share.advance(now, is_counted=self._is_counted(now))
        waiting = self._collect_waiting()
        demands = self._demands(waiting, now)
        answer = None
        for node in self.ranks.candidates(self.shard):
            before = self.burst_owner.owner
            if self.burst_owner.use(node, self.clock()):
                self.ranks.on_change(self.shard, before, node)
                self.programs.on_new_owner()
            is_known = self.burst_owner.current_echo(self.clock()) is not None
            answer = await self._ask(node, version, demands)
            if answer is None:
                self.ranks.on_silent(node)
                # The silent owner may have taken what was given back.
                demands = {
                    name: msgspec.structs.replace(item, returned=0)
                    for name, item in demands.items()
                }
                continue
            demands = self._apply(answer, demands, waiting)
            if not is_known and any(waiting.values()):
                # The owner did not know this gateway; it takes its deposit only now.
                answer = await self._ask(node, version, demands)
                if answer is not None:
                    self._apply(answer, demands, waiting)
            break
        self._refuse(waiting)
        now = self.clock()
        is_active = answer is not None and answer.is_active
        self.next_at = now + (
            defaults.QUOTA_INTERVAL_S if is_active else defaults.QUOTA_QUIET_INTERVAL_S
        )
        for name, known in list(self.customers.items()):
            if known.bucket.is_idle(now) and not known.waiters:
                del self.customers[name]

    def _collect_waiting(self) -> dict[CustomerId, list[QuotaWaiter]]:
        waiting: dict[CustomerId, list[QuotaWaiter]] = {}
        for name, known in self.customers.items():
            if known.waiters:
                if len(waiting) == MAX_DEMANDS:
                    self.needed.set()
                    break
                waiting[name] = [waiter for waiter in known.waiters if not waiter.has_left]
                known.waiters = []
        return waiting

    def _demands(
        self, waiting: dict[CustomerId, list[QuotaWaiter]], now: float
    ) -> dict[CustomerId, Demand]:
        demands = {name: self._demand(name, waiting[name], now) for name in waiting}
        for name, known in self.customers.items():
            if len(demands) == MAX_DEMANDS:
                break
            is_needed = known.bucket.needs_exchange(self.margin, self.weight, now)
            if name not in demands and is_needed:
                demands[name] = self._demand(name, [], now)
        return demands

    def _demand(self, name: CustomerId, waiters: list[QuotaWaiter], now: float) -> Demand:
        begun = sum(waiter.is_begun for waiter in waiters)
        bucket = self.customers[name].bucket
        new = len(waiters) - begun
        return bucket.demand(self.margin, self.weight, now, begun=begun, new=new)

    async def _ask(
        self, node: NodeId, version: int, demands: dict[CustomerId, Demand]
    ) -> QuotaAnswer | None:
        """Ask one owner, twice if needed; what was given back or deposited is sent once."""
        ask = self._question(version, demands)
        if node == self.gateways.node:
            return self._on_answer(ask, self.owned.answer(ask), self.clock(), "own")
        address = self.ranks.address(node)
        asked_at = self.clock()
        answer = await self.calls.ask_quota(address, ask, defaults.QUOTA_RESEND_S)
        if answer is None:
            self.metrics.quota_exchanges.labels(outcome="repeated").inc()
            repeated = {name: _without_news(item) for name, item in demands.items()}
            ask = self._question(version, repeated)
            asked_at = self.clock()
            rest_s = defaults.QUOTA_TIMEOUT_S - defaults.QUOTA_RESEND_S
            answer = await self.calls.ask_quota(address, ask, rest_s)
        if answer is None:
            self.metrics.quota_exchanges.labels(outcome="silent").inc()
            return None
        return self._on_answer(ask, answer, asked_at, "answered")

    def _question(self, version: int, demands: dict[CustomerId, Demand]) -> QuotaAsk:
        now = self.clock()
        echo = self.burst_owner.current_echo(now)
        share_s = self.share.take() if echo is not None else 0.0
        sole_owner_s = self.burst_owner.sole_owner_s(now)
        deposit = Deposit(
            self.gateways.node, self.weight, share_s, sole_owner_s, self.gateways.has_read_own, echo
        )
        number = self.calls.next_number()
        return QuotaAsk(
            number,
            self.shard,
            version,
            started=self.programs.to_tell(),
            position=self.programs.position,
            deposit=deposit,
            demands=tuple(demands.values()),
        )

    def _on_answer(
        self, ask: QuotaAsk, answer: QuotaAnswer, asked_at: float, outcome: str
    ) -> QuotaAnswer:
        self.programs.on_told(len(ask.started), answer.started, answer.position)
        self.metrics.quota_exchanges.labels(outcome=outcome).inc()
        self.burst_owner.on_answer(answer.echo, asked_at)
        self.heard, self.is_whole, self.heard_at = answer.heard, answer.is_whole, asked_at
        return answer

    def _apply(
        self,
        answer: QuotaAnswer,
        demands: dict[CustomerId, Demand],
        waiting: dict[CustomerId, list[QuotaWaiter]],
    ) -> dict[CustomerId, Demand]:
        """Hand out what was granted; return what is still needed, with nothing to give back."""
        grants = {grant.customer: grant for grant in answer.grants}
        still: dict[CustomerId, Demand] = {}
        for name, demand in demands.items():
            grant = grants.get(demand.customer)
            known = self.customers.get(name)
            if grant is None or known is None:
                continue
            known.bucket.on_grant(grant, self.clock(), self.clock() + defaults.QUOTA_INTERVAL_S)
            if name not in waiting:
                continue
            left = _hand_out(known.bucket, grant, waiting[name])
            waiting[name] = left
            if left:
                begun = sum(waiter.is_begun for waiter in left)
                still[name] = _without_news(demand, begun=begun, new=len(left) - begun)
        return still

    def _refuse(self, waiting: dict[CustomerId, list[QuotaWaiter]]) -> None:
        now = self.clock()
        for name, waiters in waiting.items():
            known = self.customers.get(name)
            for waiter in waiters:
                if known is None:  # its limit ended meanwhile
                    waiter.grant()
                else:
                    waiter.refuse(known.bucket.room_s(now, is_begun=waiter.is_begun))

    def _probe_silent(self) -> None:
        """Find out whether silent owners answer again; the share of the burst stays where it is."""
        now = self.clock()
        if self.ranks.silent and now - self.probed_at >= defaults.QUOTA_PROBE_INTERVAL_S:
            self.probed_at = now
            for node in sorted(self.ranks.silent):
                ask = QuotaAsk(self.calls.next_number(), self.shard, self.version or 0)
                on_answer = partial(self.ranks.on_answer, node)
                self.calls.probe_quota(self.ranks.address(node), ask, on_answer)


def _quota_of(name: CustomerId, table: RoutingTable) -> Quota | None:
    customer = table.customers.by_name.get(name)
    return customer.quota if customer is not None else None


def _without_news(demand: Demand, **changes: int) -> Demand:
    """Return a demand that repeats neither what was given back nor the requests that arrived."""
    return msgspec.structs.replace(
        demand, returned=0, arrived_begun=0, arrived_new=0, started=0, **changes
    )


def _hand_out(
    bucket: QuotaBucket, grant: Grant, waiters: Iterable[QuotaWaiter]
) -> list[QuotaWaiter]:
    """Give tokens to waiting requests, begun programs first; return those without one."""
    tokens = {True: grant.begun, False: grant.new}
    left: list[QuotaWaiter] = []
    for waiter in waiters:
        if waiter.has_left:
            continue
        if tokens[waiter.is_begun]:
            tokens[waiter.is_begun] -= 1
            waiter.grant()
        else:
            left.append(waiter)
    bucket.tokens += sum(tokens.values())  # of requests that do not wait any more
    return left
