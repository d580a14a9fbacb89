"""What the owner of a shard of customers holds of their quotas: deposits of all gateways.

Tokens are conserved: the pools get what gateways deposit, which these no longer have.  The same is
true of the burst: a pool may hold as much of it as the gateways that ask this owner have shares.
"""

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec

from skylarkferry_admission.quota_buckets import Demand, Grant
from skylarkferry_admission.quota_limits import (
    BURST_HELD_S,
    BURST_MOVED_AFTER_S,
    MAX_SHARE_S,
    QuotaMargin,
    StockLimits,
    stock_limits,
)
from skylarkferry_core.customers import Quota

MAX_POOLS = 20_000
"""Pools kept for one shard; more customers than a configuration of 4 MB lists."""
_DEMAND_S = 1.0
"""Time over which the rate of a customer's requests is averaged."""
_UNMET_S = 0.3
"""Time for which refused requests of a gateway count as waiting; two or three exchanges."""
_RESERVE_S = 0.25
"""Requests of begun programs for which tokens are kept from new ones while the quota is scarce."""
_MAX_RESERVE_PART = 0.5
_PROGRAM_MEMORY_S = 20.0
"""Time over which the number of requests of a program is learnt; some programs' durations."""
_PRIOR_PROGRAMS = 3.0
_PRIOR_REQUESTS = 4.0
"""Requests of a program that are assumed at first, with the weight of so many programs."""
_MAX_REQUESTS = 50.0
_MAJORITY = 0.5
_ROUNDING = 1e-6


class Deposit(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway deposits for all customers of a shard.

    ``share_s`` seconds of accrual, of which the gateway has the share ``weight``.  It has asked no
    other owner for ``sole_owner_s``.  ``is_settled`` is whether it has read the list of gateways
    since it entered its own row.  ``echo`` is the time that this owner named in its last answer.
    """

    node: str
    weight: Annotated[float, msgspec.Meta(ge=0, le=1)]
    share_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_SHARE_S)]
    sole_owner_s: Annotated[float, msgspec.Meta(ge=0)]
    is_settled: bool = False
    echo: tuple[int, float] | None = None


class _BurstShare(msgspec.Struct):
    until: float
    weight: float
    counts_burst: bool
    is_settled: bool


class _Unmet(msgspec.Struct):
    at: float
    begun: int
    new: int


class _Rate:
    """Requests per second, averaged over ``_DEMAND_S``."""

    def __init__(self, now: float) -> None:
        self.count = 0.0
        self.at = now

    def add(self, count: int, now: float) -> None:
        self.count = self.per_s(now) * _DEMAND_S + count
        self.at = now

    def per_s(self, now: float) -> float:
        return self.count * math.exp(-max(now - self.at, 0.0) / _DEMAND_S) / _DEMAND_S


class _Pool:
    """Tokens of one customer, and what its requests need.

    ``starts`` counts requests that programs which are to begin may need: it accrues with the quota,
    and a new program takes as many as programs need on average.
    """

    def __init__(self, quota: Quota, limits: StockLimits, shares: float, now: float) -> None:
        self.quota = quota
        self.limits = limits
        self.version = -1
        self.tokens = 0.0
        self.shares = shares
        self.starts = quota.burst
        self.begun = _Rate(now)
        self.new = _Rate(now)
        self.granted_begun = _PRIOR_PROGRAMS * (_PRIOR_REQUESTS - 1)
        self.granted_new = _PRIOR_PROGRAMS
        self.granted_at = now
        self.unmet: dict[str, _Unmet] = {}

    def settle(self, shares: float, cap: float) -> None:
        """Add what was deposited since the last call, up to what the pool may hold."""
        added = (shares - self.shares) * self.quota.rate_per_s
        self.shares = shares
        self.tokens = min(self.tokens + added, cap)
        self.starts = min(self.starts + added, self.quota.burst + self.quota.rate_per_s)

    def unmet_requests(self, now: float) -> _Unmet:
        """Return the requests of all gateways that were refused lately."""
        self.unmet = {node: item for node, item in self.unmet.items() if now - item.at <= _UNMET_S}
        begun = sum(item.begun for item in self.unmet.values())
        return _Unmet(now, begun, sum(item.new for item in self.unmet.values()))

    def room(
        self, elsewhere: _Unmet, unmet: _Unmet, reserve: float, per_program: float
    ) -> tuple[float, float, float, float]:
        """Return when there is room for more begun and new requests, and the gaps between these.

        New ones come after all begun ones.  ``per_program`` is 0 if programs may start freely.
        """
        rate = self.quota.rate_per_s
        begun = elsewhere.begun + unmet.begun
        new = elsewhere.new + unmet.new
        begun_s = max(begun + 1 - self.tokens, 0.0) / rate
        new_s = max(begun + new + 1 + reserve - self.tokens, 0.0) / rate
        if per_program and self.starts <= 0:
            new_s = max(new_s, (new * per_program - self.starts) / rate)
        # Tokens go to all gateways where requests wait, in proportion to these.
        begun_gap_s = begun / max(unmet.begun, 1) if begun else 1.0
        new_gap_s = (new / max(unmet.new, 1) if new else 1.0) * max(per_program, 1.0)
        return begun_s, new_s, begun_gap_s / rate, new_gap_s / rate

    def requests_per_program(self) -> float:
        return min(1.0 + self.granted_begun / self.granted_new, _MAX_REQUESTS)

    def count_granted(self, begun: int, new: int, now: float) -> None:
        kept = math.exp(-max(now - self.granted_at, 0.0) / _PROGRAM_MEMORY_S)
        prior = (1 - kept) * _PRIOR_PROGRAMS
        self.granted_begun = self.granted_begun * kept + prior * (_PRIOR_REQUESTS - 1) + begun
        self.granted_new = self.granted_new * kept + prior + new
        self.granted_at = now


class QuotaPools:
    """The pools of one shard at its owner.

    ``nonce`` distinguishes this process from an earlier one of the same name.  Any gateway may be
    an owner for those that ask it; what they deposit here, nobody else has.
    """

    def __init__(self, nonce: int, margin: QuotaMargin, now: float) -> None:
        self.nonce = nonce
        self.margin = margin
        self.burst_shares: dict[str, _BurstShare] = {}
        self.numbers: dict[str, tuple[int, float]] = {}
        self.pools: dict[int, _Pool] = {}
        self.shares = 0.0
        self.base = 0.0
        self.moved = 0.0
        self.heard = 0.0
        self.is_whole = False
        self.at = now
        self.granted_at = -math.inf

    def advance(self, now: float) -> None:
        """Drop the shares of the burst that are over, and what pools may not hold without them.

        A paused process has no shares of the burst when it wakes, so that it holds nothing.
        """
        if self.moved > _MAJORITY:
            silent = min(self.margin.silent, max(1.0 - self.heard, 0.0))
            self.shares += silent * min(max(now - self.at, 0.0), BURST_HELD_S)
        self.at = now
        expired = [node for node, share in self.burst_shares.items() if share.until < now]
        if expired:
            for node in expired:
                del self.burst_shares[node]
            self._count_burst_shares()
        if len(self.numbers) > 2 * len(self.burst_shares) + 1:
            self.numbers = {
                node: item
                for node, item in self.numbers.items()
                if now - item[1] <= 2 * BURST_HELD_S
            }

    def _count_burst_shares(self) -> None:
        before = self.moved, self.heard
        self.heard = sum(share.weight for share in self.burst_shares.values())
        self.moved = sum(share.weight for share in self.burst_shares.values() if share.counts_burst)
        self.is_whole = self._hears_whole_list()
        if self.moved < before[0] or self.heard < before[1]:
            self.base = self.shares  # pools made later cannot have more
            for pool in self.pools.values():
                pool.settle(self.shares, self._cap(pool))

    def _hears_whole_list(self) -> bool:
        """Return whether exactly the gateways of one list ask here, so that nobody else accrues.

        A gateway that is not on their list entered its row after all of them had read it, so that
        its own list is longer.
        """
        burst_shares = list(self.burst_shares.values())
        is_one_list = len({share.weight for share in burst_shares}) == 1
        is_settled = all(share.is_settled for share in burst_shares)
        return is_one_list and is_settled and abs(self.heard - 1.0) < _ROUNDING

    def _cap(self, pool: _Pool) -> float:
        limits = pool.limits
        return min(self.moved, 1.0) * limits.pool + min(self.heard, 1.0) * limits.passing

    def deposit(self, number: int, deposit: Deposit, now: float) -> bool:
        """Take a deposit and a share of the burst; return False for a late or repeated question.

        The share of a late question may have been kept for long, so that it does not count.
        """
        self.advance(now)
        last, counted_at = self.numbers.get(deposit.node, (-1, now))
        # Numbers begin with the wall clock, which may be behind at a host that replaces another.
        # A question that was counted so long ago names a time that is too old by now.
        if number <= last and now - counted_at <= 2 * BURST_HELD_S:
            return False
        self.numbers[deposit.node] = (number, now)
        echo = deposit.echo
        if echo is None or echo[0] != self.nonce or not 0 <= now - echo[1] <= BURST_HELD_S:
            return False
        weight = min(max(deposit.weight, 0.0), 1.0)
        counts_burst = deposit.sole_owner_s >= BURST_MOVED_AFTER_S
        share = _BurstShare(echo[1] + BURST_HELD_S, weight, counts_burst, deposit.is_settled)
        before = self.burst_shares.get(deposit.node)
        self.burst_shares[deposit.node] = share
        if before is None or msgspec.structs.replace(before, until=share.until) != share:
            self._count_burst_shares()
        # Gateways that have different lists may claim more than the whole together.
        self.shares += min(max(deposit.share_s, 0.0), MAX_SHARE_S) * weight / max(self.heard, 1.0)
        return True

    def grant(
        self, node: str, version: int, demands: Iterable[Demand], now: float, *, is_current: bool
    ) -> list[Grant]:
        """Return what a gateway gets; it gives nothing back unless its question ``is_current``."""
        return [self._grant(node, version, demand, now, is_current) for demand in demands]

    def _grant(
        self, node: str, version: int, demand: Demand, now: float, is_current: bool
    ) -> Grant:
        pool = self._pool(version, demand, now)
        if is_current:
            pool.tokens += max(demand.returned, 0.0)
        pool.settle(self.shares, self._cap(pool))
        pool.begun.add(demand.arrived_begun, now)
        pool.new.add(demand.arrived_new, now)
        pool.unmet.pop(node, None)
        elsewhere = pool.unmet_requests(now)
        is_crowded = elsewhere.begun + elsewhere.new > 0
        demand_rate = pool.begun.per_s(now) + pool.new.per_s(now)
        is_scarce = is_crowded or demand_rate > pool.quota.rate_per_s
        begun = min(demand.begun, int(pool.tokens))
        pool.tokens -= begun
        reserve, may_start = 0.0, demand.new
        per_program = pool.requests_per_program()
        if is_scarce:
            most = _MAX_RESERVE_PART * min(pool.quota.burst, self._cap(pool))
            reserve = min(_RESERVE_S * pool.begun.per_s(now), most)
            may_start = math.ceil(max(pool.starts, 0.0) / per_program)
        free = max(int(pool.tokens - reserve), 0)
        new = min(demand.new, free, may_start)
        is_met = begun == demand.begun and new == demand.new
        stock = min(demand.stock, free - new) if is_met and not is_crowded else 0
        pool.tokens -= new + stock
        pool.starts -= (new + demand.started) * per_program
        pool.count_granted(demand.arrived_begun, new + demand.started, now)
        if begun or new or stock:
            self.granted_at = now
        unmet = _Unmet(now, demand.begun - begun, demand.new - new)
        if not is_met:
            pool.unmet[node] = unmet
        room = pool.room(elsewhere, unmet, reserve, per_program if is_scarce else 0.0)
        return Grant(demand.customer, begun, new, stock, *room, is_scarce)

    def _pool(self, version: int, demand: Demand, now: float) -> _Pool:
        quota = Quota(demand.rate_per_s, demand.burst)
        pool = self.pools.get(demand.customer)
        if pool is None:
            if len(self.pools) >= MAX_POOLS:
                del self.pools[next(iter(self.pools))]
                self.base = self.shares  # what the dropped pool had granted is forgotten
            limits = stock_limits(quota, self.margin)
            pool = self.pools[demand.customer] = _Pool(quota, limits, self.base, now)
        if version > pool.version:
            if quota != pool.quota:
                pool.settle(self.shares, self._cap(pool))
                pool.quota, pool.limits = quota, stock_limits(quota, self.margin)
            pool.version = version
        return pool

    def is_active(self, now: float) -> bool:
        """Return whether tokens were granted lately, so that deposits are needed often."""
        return now - self.granted_at <= 2 * BURST_HELD_S
