"""Division of an upstream's request limit among gateways that do not talk to each other.

An upstream's send slots follow each other on the wall clock, as many a second as its limit allows,
and belong to the gateways in turn.  Gateways whose clocks or lists differ still send at their share
of the limit; only the spacing between their requests is lost.
"""

import math

import msgspec

SLOT_VALID_S = 1.0
"""Time for which an unused slot can be used; bounds how many requests arrive at once."""
MIN_RATE_PER_S = 0.25
"""Rate at which a lower limit is still tested; otherwise no gateway would learn that it ended."""


class SlotTurn(msgspec.Struct, frozen=True):
    """Slots of one gateway at an upstream: those with this index in every ``gateways`` slots."""

    index: int
    gateways: int

    def first_slot(self, rate_per_s: float, after: float) -> float:
        """Return the start of the first own slot after a moment, in seconds of the wall clock."""
        number = math.floor(after * rate_per_s) + 1
        number += (self.index - number) % self.gateways
        while number / rate_per_s <= after:  # the product above was rounded down
            number += self.gateways
        return number / rate_per_s


class UpstreamLimit:
    """Request limit that an upstream names, and its use by one gateway.

    ``used_until`` is the start of the last slot used, in seconds of the wall clock.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self.used_until = now

    def allows_request(self, turn: SlotTurn, now: float) -> bool:
        """Return whether the gateway may send a request now."""
        return self._next_slot(turn, now) <= now

    def use_slot(self, turn: SlotTurn, now: float) -> None:
        """Use the slot of a request that is sent now."""
        self.used_until = self._next_slot(turn, now)

    def _next_slot(self, turn: SlotTurn, now: float) -> float:
        self.used_until = min(self.used_until, now)  # the clock may have been set back
        rate_per_s = max(self.per_s, MIN_RATE_PER_S)
        return turn.first_slot(rate_per_s, max(self.used_until, now - SLOT_VALID_S))
