"""How many tokens of a quota may be kept where, so that all gateways together stay in its bound.

The exact limit is a token bucket.  Its rate is divided among the listed gateways, and what is kept
anywhere at the beginning of a window has to fit into the burst and what the bound allows above it.
"""

import math

import msgspec

from skylarkferry_core.customers import Quota

BURST_HELD_S = 1.0
"""Time for which a gateway's share of the burst stays at an owner that it does not ask any more.

It is counted from the owner's answer that the gateway's last question names, so that no delay of a
datagram extends it.
"""
BURST_MOVED_AFTER_S = 1.05
"""Time without a question to another owner after which the share of the burst counts at this one.

Longer than ``BURST_HELD_S`` by more than clocks of different hosts deviate in that time.
"""
MAX_SHARE_S = 0.18
"""Accrual that a gateway keeps before it deposits it; two intervals of exchange nearly fit in."""
_TRANSIT_S = 0.05
"""Accrual that may be on the way: the longest wait for an owner's answer."""
_SILENT_PART = 0.4
"""Part of ``over`` that covers the accrual of gateways that are counted twice.

With the usual ``over`` of 0.1, this is one gateway of 27, and nearly two thirds are left for what
is kept in buckets.
"""
_LOCAL_PART = 0.75
"""Part of what is left for gateways' own stock.

The rest lets an owner without shares of the burst pass tokens on.
"""
_PASSING_OWNERS = 3
"""Owners that may have heard from one gateway within ``BURST_HELD_S``: those that are tried."""
_AHEAD_S = 0.1
"""Accrual that a full pool holds above the burst.

The pool gets the accrual up to an interval of exchange late; without this, a request that the exact
bucket has a token for would be refused for as long.
"""
_MIN_SPREAD_S = 0.15
_MIN_SPREAD_PART = 0.25
"""Least part of a quota for stock and passing, if the bound allows nothing above the burst: this
time's accrual, up to this part of the burst."""
_MAX_LOCAL = 100_000
"""Most tokens that one gateway keeps, far below the largest count that a question may carry."""
_MIN_POOL = 1.0
"""A pool that cannot hold one token would never grant any."""


class QuotaMargin(msgspec.Struct, frozen=True):
    """What the requests of any window may exceed ``rate x window + burst`` by."""

    window_s: float = 0.0
    over: float = 0.0
    slack: float = 0.0

    @property
    def silent(self) -> float:
        """Return the share of all accrual that may be counted twice."""
        return self.over * _SILENT_PART


class StockLimits(msgspec.Struct, frozen=True):
    """Tokens of a customer that may be kept: in pools, in passing pools, and by all gateways."""

    pool: float
    passing: float
    local: float


def stock_limits(quota: Quota, margin: QuotaMargin) -> StockLimits:
    """Return what may be kept where.

    pool + 3 x passing + local + ``MAX_SHARE_S`` and ``_TRANSIT_S`` of accrual are at most the burst
    and what the bound allows above it, less the accrual that is counted twice.  It does not hold
    for bursts of less than half a second of the rate without such an allowance.
    """
    allowed = margin.over * (quota.rate_per_s * margin.window_s + quota.burst) + margin.slack
    extra = allowed - margin.silent * quota.rate_per_s * margin.window_s
    extra -= (MAX_SHARE_S + _TRANSIT_S) * quota.rate_per_s
    ahead = min(_AHEAD_S * quota.rate_per_s, max(extra, 0.0) / 2)
    least = min(_MIN_SPREAD_S * quota.rate_per_s, _MIN_SPREAD_PART * quota.burst)
    spread = max(extra - ahead, least)
    pool = quota.burst + min(ahead, extra - spread)
    return StockLimits(
        pool=max(pool, _MIN_POOL),
        passing=spread * (1 - _LOCAL_PART) / _PASSING_OWNERS,
        local=spread * _LOCAL_PART,
    )


def local_limit(quota: Quota, margin: QuotaMargin, weight: float) -> int:
    """Return how many tokens a gateway with this share of the accrual may keep."""
    return math.floor(min(stock_limits(quota, margin).local * weight, _MAX_LOCAL))
