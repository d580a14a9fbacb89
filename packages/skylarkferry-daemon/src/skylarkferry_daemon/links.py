"""An entry's streams to all sidecars of the host list."""

from collections.abc import Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from skylarkferry_core.cache_estimates import CacheEstimates
from skylarkferry_core.entry_messages import HostView
from skylarkferry_core.errors import ErrorCode, PlatformUnavailableError, UpstreamLostError
from skylarkferry_core.events import EventKind
from skylarkferry_core.frames import Acknowledge, ReleaseProgram, SealReply, SealRequest
from skylarkferry_core.ids import (
    CallId,
    Incarnation,
    ModelName,
    NodeId,
    PoolName,
    ProgramId,
    UpstreamId,
    program_of,
)
from skylarkferry_core.interfaces import Candidate, Host, HostList
from skylarkferry_core.loads import prompt_tokens
from skylarkferry_core.messages import Fence, ModelWork, Order, Outcome
from skylarkferry_core.outcomes import not_run_outcome
from skylarkferry_core.states import FinalWord, PoolKind, Role, UpstreamState
from skylarkferry_daemon.followed_calls import FollowedCall
from skylarkferry_daemon.interfaces import ChunkSink, Documents
from skylarkferry_daemon.link import Link
from skylarkferry_daemon.log import EventLog
from skylarkferry_daemon.quarantine import Quarantine
from skylarkferry_daemon.seal_requests import seal_at
from skylarkferry_daemon.timers import TimerService

HEARTBEAT_S = 1.0
QUARANTINE_POLL_S = 2.0


class SidecarLinks:
    """Implements ``Sidecars`` with one :class:`Link` for each sidecar in the host list."""

    def __init__(
        self,
        *,
        node: NodeId,
        incarnation: Incarnation,
        host_list: HostList,
        documents: Documents,
        quarantine: Quarantine,
        timers: TimerService,
        log: EventLog,
        hosts_poll_s: float = 1.0,
        heartbeat_s: float = HEARTBEAT_S,
    ) -> None:
        self.node = node
        self.own_incarnation = incarnation
        self.host_list = host_list
        self.documents = documents
        self.quarantine = quarantine
        self.timers = timers
        self.log = log
        self.hosts_poll_s = hosts_poll_s
        self.heartbeat_s = heartbeat_s
        self.links: dict[UpstreamId, Link] = {}
        self.scopes: dict[UpstreamId, anyio.CancelScope] = {}
        self.cache_estimates = CacheEstimates()
        self.engines_used: dict[ProgramId, set[UpstreamId]] = {}

    async def run(self) -> None:
        """Keep the streams open until cancelled."""
        async with anyio.create_task_group() as tasks:
            subscriptions = (
                self.timers.every(self.hosts_poll_s, lambda: self.refresh(tasks)),
                self.timers.every(self.heartbeat_s, self._send_heartbeats),
                self.timers.every(QUARANTINE_POLL_S, self.quarantine.synchronize),
            )
            try:
                await self.refresh(tasks)
                await anyio.sleep_forever()
            finally:
                for subscription in subscriptions:
                    subscription.cancel()

    async def refresh(self, tasks: TaskGroup) -> None:
        """Apply the current host list; keep the previous one if the platform does not answer."""
        try:
            hosts = await self.host_list.hosts()
        except PlatformUnavailableError:
            self.log.emit(EventKind.HOSTS_UNAVAILABLE)
            return
        listed = {UpstreamId(host.name): host for host in hosts if host.role == Role.SIDECAR.value}
        for upstream, host in listed.items():
            self._on_listed(upstream, host, tasks)
        for upstream in self.links.keys() - listed.keys():
            self._on_unlisted(upstream)

    def _on_listed(self, upstream: UpstreamId, host: Host, tasks: TaskGroup) -> None:
        link = self.links.get(upstream)
        if link is not None and link.host.address != host.address:
            self._remove(upstream)
            link = None
        if link is None:
            link = self._add(upstream, host, tasks)
        link.host = host
        link.member.on_listed(host.leaving, self.timers.now())

    def _add(self, upstream: UpstreamId, host: Host, tasks: TaskGroup) -> Link:
        link = Link(
            host,
            node=self.node,
            incarnation=self.own_incarnation,
            heartbeat_s=self.heartbeat_s,
            quarantine=self.quarantine,
            cache_estimates=self.cache_estimates,
            timers=self.timers,
            log=self.log,
        )
        self.links[upstream] = link
        self.scopes[upstream] = anyio.CancelScope()
        tasks.start_soon(self._run_link, link, self.scopes[upstream])
        return link

    async def _run_link(self, link: Link, scope: anyio.CancelScope) -> None:
        with scope:
            await link.run()

    def _on_unlisted(self, upstream: UpstreamId) -> None:
        """Keep the open stream of an unlisted sidecar.

        Remove the sidecar if it is gone and has no calls.
        """
        link = self.links[upstream]
        link.member.on_unlisted()
        if link.member.state(self.timers.now()) is UpstreamState.GONE and not link.calls:
            self._remove(upstream)

    def _remove(self, upstream: UpstreamId) -> None:
        """Close a stream and fail its calls."""
        link = self.links.pop(upstream)
        self.cache_estimates.lost(upstream)
        self.scopes.pop(upstream).cancel()
        for followed in list(link.calls.values()):
            followed.fail("the address of the sidecar changed")

    async def _send_heartbeats(self) -> None:
        for link in list(self.links.values()):
            link.document_version = self.documents.current.version
            await link.send_heartbeat()

    def candidates(self, pool: PoolName) -> list[Candidate]:
        """Return the upstreams of a pool, in any state."""
        links = (link for link in self.links.values() if link.host.pool == pool)
        return [self._candidate(link) for link in links]

    def model_candidates(self, model: ModelName) -> list[Candidate]:
        """Return the upstreams of all pools that serve a model."""
        pools = self.documents.current.pools
        names = [name for name, spec in pools.items() if model in spec.models]
        return [candidate for name in names for candidate in self.candidates(name)]

    def _candidate(self, link: Link) -> Candidate:
        now = self.timers.now()
        spec = self.documents.current.pools.get(link.host.pool)
        return Candidate(
            upstream=link.upstream,
            pool=link.host.pool,
            kind=self._kind(link),
            state=link.member.state(now),
            failure_domain=link.host.failure_domain,
            load=link.member.aged_load(now),
            prefill_tokens_since_report=link.prefill_tokens_since_report,
            share=spec.share if spec is not None else 0.0,
            calls_since_report=link.calls_since_report,
        )

    def _kind(self, link: Link) -> PoolKind:
        spec = self.documents.current.pools.get(link.host.pool)
        return spec.kind if spec is not None else PoolKind.SERVICE

    def incarnation(self, upstream: UpstreamId) -> Incarnation:
        """Return the incarnation of the connected sidecar; empty when not connected."""
        link = self.links.get(upstream)
        if link is None or not link.member.connected:
            return Incarnation("")
        return link.member.incarnation

    async def dispatch(self, upstream: UpstreamId, order: Order, sink: ChunkSink) -> Outcome:
        """Send a call and follow it until its outcome; raise ``UpstreamLostError``."""
        refusal = self.quarantine.refusal(order.fingerprint)
        if refusal is not None:
            return not_run_outcome(order.call_id, refusal.code, refusal.detail)
        link = self.links.get(upstream)
        if link is None:
            return not_run_outcome(order.call_id, ErrorCode.NO_UPSTREAM, f"{upstream} is unknown")
        if self.quarantine.is_suspect(order.fingerprint):
            order = msgspec.structs.replace(order, alone=True)
        self._record_dispatch(link, order)
        followed = FollowedCall(order.call_id, order.fence, sink, order)
        outcome = await link.follow(followed)
        if outcome.word is FinalWord.DONE:
            self.quarantine.on_done(order.fingerprint)
        return outcome

    def _record_dispatch(self, link: Link, order: Order) -> None:
        """Record a call's load, and its engine as one that may hold the program's KV cache."""
        link.prefill_tokens_since_report += prompt_tokens(order)
        link.calls_since_report += 1
        if isinstance(order.work, ModelWork):
            self.engines_used.setdefault(order.program_id, set()).add(link.upstream)

    async def attach(
        self, upstream: UpstreamId, call_id: CallId, fence: Fence, sink: ChunkSink
    ) -> Outcome:
        """Follow a call that another process dispatched; raise ``UpstreamLostError``."""
        return await self._link(upstream).follow(FollowedCall(call_id, fence, sink))

    async def seal(self, upstream: UpstreamId, request: SealRequest) -> SealReply:
        """Determine whether a call ran, or prevent it from running; raise ``UpstreamLostError``."""
        return await seal_at(self._link(upstream).host.address, request)

    def _link(self, upstream: UpstreamId) -> Link:
        link = self.links.get(upstream)
        if link is None:
            error = UpstreamLostError(f"{upstream} is not in the host list")
            error.word = None
            raise error
        return link

    def acknowledge(self, upstream: UpstreamId, call_id: CallId) -> None:
        """Tell the sidecar that an outcome is durable."""
        link = self.links.get(upstream)
        if link is not None:
            link.send_reliably(Acknowledge((call_id,)))

    def release(self, program_id: ProgramId, fence: Fence) -> None:
        """Free a program's KV cache on the engines this process used, or on all if unknown."""
        used = self.engines_used.pop(program_id, None)
        self.cache_estimates.released(program_id)
        for upstream, link in self.links.items():
            if self._kind(link) is not PoolKind.MODEL:
                continue
            if used is None or upstream in used:
                link.send_reliably(ReleaseProgram(program_id, fence))

    def detach(self, program_id: ProgramId) -> None:
        """Let a program's calls continue on their sidecars after this process stops following."""
        for link in self.links.values():
            for followed in link.calls.values():
                if program_of(followed.call_id) == program_id:
                    followed.detached = True

    def hosts(self) -> Sequence[HostView]:
        """Return the state and load of all upstreams as seen by this process."""
        return [self._view(link) for link in self.links.values()]

    def _view(self, link: Link) -> HostView:
        now = self.timers.now()
        return HostView(
            link.upstream,
            self._kind(link),
            link.host.pool,
            link.host.failure_domain,
            link.host.address,
            link.member.state(now),
            link.member.aged_load(now),
        )
