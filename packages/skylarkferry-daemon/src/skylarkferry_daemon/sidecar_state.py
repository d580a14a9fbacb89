"""State shared by the components of a sidecar."""

import uuid

import anyio

from skylarkferry_core.calls import CallTable, TableLimits
from skylarkferry_core.crashes import CrashRegistry
from skylarkferry_core.drains import DrainState
from skylarkferry_core.fences import FenceGuard
from skylarkferry_core.ids import Incarnation
from skylarkferry_core.loads import EngineMemory, load_report
from skylarkferry_core.messages import CacheEvent, LoadReport
from skylarkferry_core.queues import DEFAULT_QUEUE_ORDER, QUEUE_ORDERS
from skylarkferry_daemon.entry_streams import StreamHub
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.settings import SidecarSettings
from skylarkferry_daemon.timers import TimerService


class SidecarState:
    """Call table, registries, streams, timers and log of one sidecar process."""

    def __init__(self, settings: SidecarSettings) -> None:
        self.settings = settings
        self.incarnation = Incarnation(uuid.uuid4().hex)
        self.timers = TimerService()
        self.log = EventLog(settings.upstream, settings.ring_events)
        self.fences = FenceGuard()
        self.drain = DrainState()
        self.crash_registry = CrashRegistry()
        limits = TableLimits(settings.slots, settings.queue_limit, settings.outcomes_kept)
        queue_order = QUEUE_ORDERS[DEFAULT_QUEUE_ORDER]()
        self.table = CallTable(self.incarnation, limits, queue_order, self.fences)
        self.hub = StreamHub(self.table)
        self.memory = EngineMemory()
        self.cache_events: list[CacheEvent] = []
        self.upstream_crashes = 0
        self.progress = anyio.Event()

    def load(self) -> LoadReport:
        """Return the current load report."""
        return self.table.gate.with_kv_memory(
            load_report(self.table, self.memory), self.timers.now()
        )

    def pop_cache_events(self) -> tuple[CacheEvent, ...]:
        """Return and clear the cache events that no heartbeat has carried yet."""
        events, self.cache_events = tuple(self.cache_events), []
        return events

    def notify_progress(self) -> None:
        """Wake tasks that wait for calls to end or outcomes to be delivered."""
        self.progress.set()
        self.progress = anyio.Event()

    def is_idle(self) -> bool:
        """Return whether no call runs on the upstream."""
        return not self.table.running

    def is_delivered(self) -> bool:
        """Return whether outcomes are all sent and, for unrepeatable calls, acknowledged."""
        return self.hub.is_flushed() and self.table.unsettled == 0
