"""Timeline of events, merged from the ring buffers of all processes."""

from collections.abc import Sequence

import anyio

from skylarkferry_core.entry_messages import EventView, TimelineReply, TimelineRequest
from skylarkferry_core.errors import SkylarkferryError
from skylarkferry_daemon.interfaces import Ownership, Sidecars
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.peers import Peers
from skylarkferry_wire.methods import PROCESS_TIMELINE

TIMELINE_TIMEOUT_S = 2.0


class TimelineCollector:
    """Reads the event rings of this process, the other entries and the sidecars."""

    def __init__(
        self, log: EventLog, ownership: Ownership, sidecars: Sidecars, peers: Peers
    ) -> None:
        self.log = log
        self.ownership = ownership
        self.sidecars = sidecars
        self.peers = peers

    async def collect(self, request: TimelineRequest) -> Sequence[EventView]:
        """Return the events of all processes that answer, sorted by hybrid logical time."""
        events = list(self.log.timeline(request).events)
        async with anyio.create_task_group() as tasks:
            for address in self._addresses():
                tasks.start_soon(self._read, address, request, events)
        return sorted(events, key=lambda event: (event.time, event.node))

    def _addresses(self) -> set[str]:
        addresses = {host.address for host in self.sidecars.hosts()}
        return addresses | set(self.ownership.node_addresses())

    async def _read(self, address: str, request: TimelineRequest, events: list[EventView]) -> None:
        try:
            reply = await self.peers.call(address, PROCESS_TIMELINE, request, TIMELINE_TIMEOUT_S)
        except SkylarkferryError:
            return
        assert isinstance(reply, TimelineReply)
        events.extend(reply.events)
