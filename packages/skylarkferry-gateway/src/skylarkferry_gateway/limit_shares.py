"""Share of this gateway in the request limits that upstreams name."""

from collections.abc import Callable

import anyio

from skylarkferry_core.request_limits import TimeSlots, UpstreamLimit
from skylarkferry_gateway.gateway_list import GatewayList
from skylarkferry_gateway.upstreams import Upstream


class LimitShares:
    """Allow requests to upstreams that name a limit only in the time slots of this gateway."""

    def __init__(self, gateways: GatewayList, wall_clock: Callable[[], float]) -> None:
        self.gateways = gateways
        self.wall_clock = wall_clock

    def set_limit(self, upstream: Upstream, per_s: float | None) -> None:
        """Apply the limit that an upstream named last; ``None`` if it named none."""
        if per_s is None:
            upstream.limit = None
        elif upstream.limit is None:
            upstream.limit = UpstreamLimit(per_s, self.wall_clock())
        else:
            upstream.limit.per_s = per_s

    def allows_request(self, upstream: Upstream) -> bool:
        """Return whether a request may be sent to the upstream now.

        A gateway that is not yet known to all others has no share of any limit.
        """
        if upstream.limit is None:
            return True
        slots = self._time_slots(upstream)
        return slots is not None and upstream.limit.allows_request(slots, self.wall_clock())

    def on_request(self, upstream: Upstream) -> None:
        """Count a request that is about to be sent."""
        slots = self._time_slots(upstream)
        if upstream.limit is not None and slots is not None:
            upstream.limit.use_slot(slots, self.wall_clock())

    def _time_slots(self, upstream: Upstream) -> TimeSlots | None:
        return self.gateways.time_slots(upstream.entry.upstream, anyio.current_time())
