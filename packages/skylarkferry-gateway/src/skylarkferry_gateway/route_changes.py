"""Paths that have led to other services lately, as far as this process has seen."""

from skylarkferry_core.ids import ServiceName
from skylarkferry_core.routes import RoutingTable, ServiceShare, host_name

_Prefix = tuple[str, str]
"""Host and path prefix of a route."""


class RouteChanges:
    """When the services of each prefix were last changed, in monotonic time.

    ``followed_from`` is the time since which they have been seen, ``None`` before the first table.
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.followed_from: float | None = None
        self.changed_at: dict[_Prefix, float] = {}

    def begin(self, now: float) -> None:
        """Follow the changes from now on."""
        self.followed_from = now

    def update(
        self, before: RoutingTable, table: RoutingTable, now: float
    ) -> frozenset[ServiceName]:
        """Record the prefixes that lead to other services than before.

        Return the services to which resumable streams of these prefixes led.
        """
        left: set[ServiceName] = set()
        self.changed_at = {
            prefix: at for prefix, at in self.changed_at.items() if now - at <= self.keep_s
        }
        for prefix in _altered_routes(before, table):
            if _shares(before, prefix) != _shares(table, prefix):
                self.changed_at[prefix] = now
                route = before.match(*prefix)
                if route is not None and route.is_resumable:
                    left.update(share.service for share in route.shares)
        return frozenset(left)

    def covers_all_streams(self, now: float) -> bool:
        """Return whether all changes within ``keep_s`` have been seen."""
        return self.followed_from is not None and now - self.followed_from >= self.keep_s

    def has_changed(self, host: str, path: str, table: RoutingTable, now: float) -> bool:
        """Return whether a path has led to other services, or to none, within ``keep_s``.

        Only changes of its route and of longer prefixes count: shorter ones were never its route.
        """
        route = table.match(host, path)
        shortest = len(route.prefix) if route is not None else 0
        name = host_name(host)
        end = path.rfind("/")
        while end + 1 >= shortest and end >= 0:
            changed_at = self.changed_at.get((name, path[: end + 1]))
            if changed_at is not None and now - changed_at <= self.keep_s:
                return True
            end = path.rfind("/", 0, end)
        return False


def _altered_routes(before: RoutingTable, table: RoutingTable) -> set[_Prefix]:
    """Return the prefixes that are in one table only, or have other services there."""
    altered = before.by_prefix.keys() ^ table.by_prefix.keys()
    for prefix, route in table.by_prefix.items():
        earlier = before.by_prefix.get(prefix)
        if earlier is not None and earlier.shares != route.shares:
            altered.add(prefix)
    return altered


def _shares(table: RoutingTable, prefix: _Prefix) -> tuple[ServiceShare, ...]:
    """Return the services of a prefix's paths, also of one that is no route's own."""
    route = table.match(*prefix)
    return route.shares if route is not None else ()
