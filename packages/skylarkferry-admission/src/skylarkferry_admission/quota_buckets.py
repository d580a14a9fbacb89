"""What one gateway holds of customers' quotas: accrual to deposit, stock, and what is known."""

import math
from typing import Annotated

import msgspec

from skylarkferry_admission.quota_limits import (
    BURST_HELD_S,
    BURST_MOVED_AFTER_S,
    MAX_SHARE_S,
    QuotaMargin,
    local_limit,
)
from skylarkferry_core.customers import Quota

PAUSE_S = 1.0
"""Time without a step after which a process counts as paused; what it held then is dropped."""
_IDLE_S = 5.0
"""Time without a request after which a customer's bucket is forgotten."""
_RETURN_AFTER_S = 0.5
"""Time without a request after which stock goes back to the owner's pool."""
_MIN_RETRY_S = 0.01
"""Shortest time to come back; a client's next request takes longer to arrive."""


_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway needs of a customer's quota, and what it gives back.

    ``begun`` and ``new`` requests wait for a token, of programs that have begun and of others;
    ``stock`` tokens are for requests to come.  ``arrived_begun`` and ``arrived_new`` requests came
    since the last exchange, and ``started`` new ones of them ran from stock.
    """

    customer: int
    rate_per_s: Annotated[float, msgspec.Meta(gt=0, le=1e12)]
    burst: _Amount
    returned: _Count = 0
    begun: _Count = 0
    new: _Count = 0
    stock: _Count = 0
    arrived_begun: _Count = 0
    arrived_new: _Count = 0
    started: _Count = 0


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that an owner grants, and when there is room for more requests.

    The next one of a begun or new program that is refused has room after ``begun_s`` or ``new_s``,
    and each further one a gap later.  While the quota is scarce, new programs do not start from
    stock.
    """

    customer: int
    begun: _Count = 0
    new: _Count = 0
    stock: _Count = 0
    begun_s: _Amount = 0.0
    new_s: _Amount = 0.0
    begun_gap_s: _Amount = 0.0
    new_gap_s: _Amount = 0.0
    is_scarce: bool = False


class ShareClock:
    """Accrual of one gateway that it has not deposited, in seconds; the same for all customers."""

    def __init__(self, now: float) -> None:
        self.kept_s = 0.0
        self.at = now

    def advance(self, now: float, *, is_counted: bool) -> None:
        """Accrue until now, if all gateways count this one."""
        if is_counted:
            self.kept_s = min(self.kept_s + max(now - self.at, 0.0), MAX_SHARE_S)
        self.at = now

    def take(self) -> float:
        """Return what is to be deposited; it is gone here, whether it arrives or not."""
        taken, self.kept_s = self.kept_s, 0.0
        return taken

    def clear(self) -> None:
        """Drop what is kept."""
        self.kept_s = 0.0


class BurstOwner:
    """Which owner has this gateway's share of the burst, and since when."""

    def __init__(self, now: float) -> None:
        self.owner = ""
        self.left_at = now
        self.echo: tuple[int, float] | None = None
        self.echo_at = -math.inf

    def use(self, owner: str, now: float) -> bool:
        """Use an owner from now on; return whether it is another one."""
        if owner == self.owner:
            return False
        self.owner = owner
        self.left_at = now
        self.echo = None
        return True

    def sole_owner_s(self, now: float) -> float:
        """Return the time for which no other owner was asked."""
        return now - self.left_at

    def counts_burst(self, now: float) -> bool:
        """Return whether the share of the burst counts at the owner."""
        return self.sole_owner_s(now) >= BURST_MOVED_AFTER_S

    def on_answer(self, echo: tuple[int, float], asked_at: float) -> None:
        """Keep the owner's time, which the next question names."""
        self.echo = echo
        self.echo_at = asked_at

    def current_echo(self, now: float) -> tuple[int, float] | None:
        """Return the owner's time to name; ``None`` if the owner would take it as too old."""
        return self.echo if now - self.echo_at < BURST_HELD_S else None


class _Room:
    """When there is room for more requests of one class, and how many were told so."""

    def __init__(self) -> None:
        self.at = -math.inf
        self.gap_s = 0.0
        self.blocked_until = -math.inf
        self.told = 0

    def set(self, now: float, room_s: float, gap_s: float, until: float) -> None:
        self.at, self.gap_s, self.told = now + room_s, gap_s, 0
        self.blocked_until = min(self.at, until)

    def next_s(self, now: float) -> float:
        """Return the time until there is room for one more, which is told so."""
        room_s = max(self.at - now, 0.0) + self.told * self.gap_s
        self.told += 1
        return max(room_s, _MIN_RETRY_S)


class QuotaBucket:
    """Tokens of one customer at one gateway, and what the owner said last."""

    def __init__(self, customer: int, quota: Quota, now: float) -> None:
        self.customer = customer
        self.quota = quota
        self.tokens = 0
        self.arrived = {True: 0, False: 0}
        self.started = 0
        self.rooms = {True: _Room(), False: _Room()}
        self.is_scarce = False
        self.used_at = now

    def take(self, now: float, *, is_begun: bool) -> bool:
        """Count a request; return whether it may run now."""
        self.used_at = now
        self.arrived[is_begun] += 1
        if self.tokens < 1 or (self.is_scarce and not is_begun):
            return False
        self.tokens -= 1
        self.started += not is_begun
        return True

    def refusal_s(self, now: float, *, is_begun: bool) -> float | None:
        """Return after which time a request has room; ``None`` if the owner has to be asked."""
        room = self.rooms[is_begun]
        return room.next_s(now) if now < room.blocked_until else None

    def room_s(self, now: float, *, is_begun: bool) -> float:
        """Return the time until there is room for a request that did not get a token."""
        return self.rooms[is_begun].next_s(now)

    def give_back(self) -> None:
        """Take back the token of a request that has certainly not run."""
        self.tokens += 1

    def needs_exchange(self, margin: QuotaMargin, weight: float, now: float) -> bool:
        """Return whether there is something to tell the owner."""
        return any(self.arrived.values()) or self.tokens > self._limit(margin, weight, now)

    def demand(
        self, margin: QuotaMargin, weight: float, now: float, *, begun: int, new: int
    ) -> Demand:
        """Return what is needed and given back; what is given back is gone here."""
        limit = self._limit(margin, weight, now)
        returned = max(self.tokens - limit, 0)
        self.tokens -= returned
        arrived, self.arrived = self.arrived, {True: 0, False: 0}
        started, self.started = self.started, 0
        return Demand(
            customer=self.customer,
            rate_per_s=self.quota.rate_per_s,
            burst=self.quota.burst,
            returned=returned,
            begun=begun,
            new=new,
            stock=limit - self.tokens,
            arrived_begun=arrived[True],
            arrived_new=arrived[False],
            started=started,
        )

    def _limit(self, margin: QuotaMargin, weight: float, now: float) -> int:
        if now - self.used_at > _RETURN_AFTER_S:
            return 0
        return local_limit(self.quota, margin, weight)

    def set_quota(self, quota: Quota, margin: QuotaMargin, weight: float) -> None:
        """Apply a changed quota to the stock, too; a raised one is asked for at once."""
        if quota.rate_per_s > self.quota.rate_per_s or quota.burst > self.quota.burst:
            self.rooms = {True: _Room(), False: _Room()}
        self.quota = quota
        self.tokens = min(self.tokens, local_limit(quota, margin, weight))

    def on_grant(self, grant: Grant, now: float, next_at: float) -> None:
        """Take the stock that the owner granted; refuse by its word until ``next_at`` at most."""
        self.tokens += grant.stock
        self.is_scarce = grant.is_scarce
        self.rooms[True].set(now, grant.begun_s, grant.begun_gap_s, next_at)
        self.rooms[False].set(now, grant.new_s, grant.new_gap_s, next_at)

    def is_idle(self, now: float) -> bool:
        """Return whether the bucket can be forgotten."""
        return now - self.used_at > _IDLE_S and self.tokens == 0
