"""Division of an upstream's request limit among gateways that do not talk to each other.

An upstream's time slots follow each other on the wall clock, as many a second as its limit allows;
each admits one request, and they belong to the gateways one after the other.  Gateways whose clocks
or lists differ still send at their share of the limit; only the spacing of their requests is lost.
"""

import math

import msgspec

SLOT_VALID_S = 1.0
"""Time for which an unused slot can be used; bounds how many requests arrive at once."""
MIN_RATE_PER_S = 0.25
"""Rate at which a lower limit is still tested; otherwise no gateway would learn that it ended."""


class TimeSlots(msgspec.Struct, frozen=True):
    """Time slots of one gateway: those with this index in every ``gateways`` slots."""

    index: int
    gateways: int

    def first_after(self, moment: float, rate_per_s: float) -> float:
        """Return the start of the first own slot after a moment, in seconds of the wall clock."""
        number = math.floor(moment * rate_per_s) + 1
        number += (self.index - number) % self.gateways
        while number / rate_per_s <= moment:  # the product above was rounded down
            number += self.gateways
        return number / rate_per_s


class UpstreamLimit:
    """Request limit that an upstream names, and its use by one gateway.

    ``used_until`` is the start of the last slot used, in seconds of the wall clock.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self.used_until = now

    def allows_request(self, slots: TimeSlots, now: float) -> bool:
        """Return whether the gateway may send a request now."""
        return self._next_slot(slots, now) <= now

    def use_slot(self, slots: TimeSlots, now: float) -> None:
        """Use the slot of a request that is sent now."""
        self.used_until = self._next_slot(slots, now)

    def _next_slot(self, slots: TimeSlots, now: float) -> float:
        self.used_until = min(self.used_until, now)  # the clock may have been set back
        rate_per_s = max(self.per_s, MIN_RATE_PER_S)
        return slots.first_after(max(self.used_until, now - SLOT_VALID_S), rate_per_s)
