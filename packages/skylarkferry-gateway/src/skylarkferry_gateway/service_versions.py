"""Software versions that the upstreams of each service have had lately."""

from collections.abc import Iterable, Mapping

import anyio

from skylarkferry_core.ids import ServiceName
from skylarkferry_gateway import defaults
from skylarkferry_gateway.messages import UpstreamEntry
from skylarkferry_gateway.upstreams import Upstream, Upstreams

_NEXT_READ_S = defaults.UPSTREAMS_POLL_S + defaults.STORE_TIMEOUT_S
"""Time in which a read of the upstream list begins and ends."""
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

    ``listed_shares`` holds the slots by version of each service, as of the latest list. The store
    was asked for that list at ``asked_at``; its answer tells nothing of later changes.
    """

    def __init__(self, upstreams: Upstreams) -> None:
        self.upstreams = upstreams
        self.asked_at: float | None = None
        self.last_read_began_at: float | None = None
        self.read_ended = anyio.Event()
        self.followed_from: float | None = None
        self.first_listed: dict[ServiceName, dict[str, float]] = {}
        self.last_listed: dict[ServiceName, dict[str, float]] = {}
        self.listed_shares: dict[ServiceName, dict[str, int]] = {}

    def update(self, asked_at: float, now: float) -> None:
        """Apply the latest upstream list.

        Versions that were listed when this process started do not count as new.
        """
        first_at = now if self.asked_at is not None else now - _NEW_VERSION_S
        if self.asked_at is None or now - self.asked_at > defaults.LIST_OUTAGE_S:
            self.followed_from = now
        self.asked_at = asked_at
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
        self.on_read_ended(asked_at)

    def on_read_ended(self, asked_at: float) -> None:
        """Wake those that wait for a read of the list, also if it failed."""
        self.last_read_began_at = asked_at
        self.read_ended.set()
        self.read_ended = anyio.Event()

    def _forget_old(self, now: float) -> None:
        for service, last in self.last_listed.items():
            for version, listed_at in list(last.items()):
                if now - listed_at > defaults.STREAM_KEEP_S + defaults.STREAM_KEEP_MARGIN_S:
                    del last[version], self.first_listed[service][version]

    def shares(self, service: ServiceName) -> Mapping[str, int]:
        """Return the slots by version of a service's upstreams that are not leaving."""
        return self.listed_shares.get(service, _NO_SHARES)

    async def is_read_since(self, began_at: float) -> bool:
        """Wait for a read of the list that begins after a time; return whether it succeeded."""
        with anyio.move_on_after(_NEXT_READ_S):
            while not _is_since(self.last_read_began_at, began_at):
                await self.read_ended.wait()
        return _is_since(self.asked_at, began_at)

    def sole_version(self, service: ServiceName, now: float) -> str | None:
        """Return the only version that this process has seen lately."""
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


def _is_since(time: float | None, began_at: float) -> bool:
    return time is not None and time >= began_at
