"""Software versions that the upstreams of each service have had lately."""

from collections.abc import Iterable, Mapping

from skylarkferry_core.ids import ServiceName
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import UpstreamEntry
from skylarkferry_gateway.upstreams import Upstream, Upstreams

_LIST_FRESH_S = 1.5
"""Age up to which the upstream list counts as current; a poll and its call take 1.3 s at most."""
_NEW_VERSION_S = 2.0
"""Time after which every gateway with a current list has seen a version that this one has seen."""


_NO_SHARES: Mapping[str, int] = {}


def shares_by_service(entries: Iterable[UpstreamEntry]) -> dict[ServiceName, dict[str, int]]:
    """Return the slots by software version of each service's upstreams that are not leaving."""
    shares: dict[ServiceName, dict[str, int]] = {}
    for entry in entries:
        if not entry.is_leaving:
            slots = shares.setdefault(entry.service, {})
            slots[entry.software_version] = slots.get(entry.software_version, 0) + entry.slots
    return shares


class ServiceVersions:
    """When each version of a service was first and last listed, in monotonic time.

    ``listed_shares`` holds the slots by version of each service, as of the latest list.
    """

    def __init__(self, upstreams: Upstreams) -> None:
        self.upstreams = upstreams
        self.updated_at: float | None = None
        self.followed_from: float | None = None
        self.first_listed: dict[ServiceName, dict[str, float]] = {}
        self.last_listed: dict[ServiceName, dict[str, float]] = {}
        self.listed_shares: dict[ServiceName, dict[str, int]] = {}

    def update(self, now: float) -> None:
        """Apply the latest upstream list.

        Versions that were listed when this process started do not count as new.
        """
        first_at = now if self.updated_at is not None else now - _NEW_VERSION_S
        if self.updated_at is None or now - self.updated_at > defaults.LIST_OUTAGE_S:
            self.followed_from = now
        self.updated_at = now
        for service, members in self.upstreams.by_service.items():
            first = self.first_listed.setdefault(service, {})
            last = self.last_listed.setdefault(service, {})
            for upstream in members:
                version = upstream.entry.software_version
                first.setdefault(version, first_at)
                last[version] = now
        entries = (upstream.entry for upstream in self.upstreams.upstreams.values())
        self.listed_shares = shares_by_service(entries)
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        for service, last in self.last_listed.items():
            for version, listed_at in list(last.items()):
                if now - listed_at > defaults.STREAM_KEEP_S + defaults.STREAM_KEEP_MARGIN_S:
                    del last[version], self.first_listed[service][version]

    def shares(self, service: ServiceName) -> Mapping[str, int]:
        """Return the slots by version of a service's upstreams that are not leaving."""
        return self.listed_shares.get(service, _NO_SHARES)

    def sole_version(self, service: ServiceName, now: float) -> str | None:
        """Return the only version that this process has seen lately, if its list is current."""
        if not self._is_current(now):
            return None
        last = self.last_listed.get(service, {})
        recent = [version for version, at in last.items() if now - at <= defaults.STREAM_KEEP_S]
        return recent[0] if len(recent) == 1 else None

    def covers_all_streams(self, now: float) -> bool:
        """Return whether this process has read the list for longer than any stream lasts.

        A version may come and leave unseen while the list cannot be read.
        """
        followed_from = self.followed_from
        return followed_from is not None and now - followed_from >= defaults.STREAM_KEEP_S

    def without_new(self, upstreams: list[Upstream], now: float) -> list[Upstream]:
        """Return the upstreams whose version other gateways know too, or all if there are none."""
        known = [item for item in upstreams if not self._is_new(item, now)]
        return known or upstreams

    def _is_new(self, upstream: Upstream, now: float) -> bool:
        entry = upstream.entry
        first = self.first_listed.get(entry.service, {})
        return now - first.get(entry.software_version, now) < _NEW_VERSION_S

    def _is_current(self, now: float) -> bool:
        read_at = self.upstreams.read_at
        return read_at is not None and now - read_at <= _LIST_FRESH_S
