"""Selection of a request's service and of the upstream of each attempt."""

import math
import random
from collections.abc import Sequence

import anyio
import msgspec

from skylarkferry_core.coordination import shards_for
from skylarkferry_core.ids import (
    FailureDomain,
    NodeId,
    PoolName,
    ProgramId,
    ServiceName,
    UpstreamId,
)
from skylarkferry_core.prefix_homes import PrefixHomes
from skylarkferry_core.routes import Route
from skylarkferry_core.shifts import pool_for_new_program
from skylarkferry_gateway import defaults
from skylarkferry_gateway.attempts import Attempts
from skylarkferry_gateway.coordinators import Coordinators, SilenceReason
from skylarkferry_gateway.limit_shares import LimitShares
from skylarkferry_gateway.messages import ClientRequest, ReportedLoad
from skylarkferry_gateway.placement import PlacementDecision, Placer
from skylarkferry_gateway.placement_calls import PlacementCalls
from skylarkferry_gateway.placement_messages import (
    Answer,
    Ended,
    PlacementQuery,
    SpeedSample,
)
from skylarkferry_gateway.upstream_views import AttemptOutcome
from skylarkferry_gateway.upstreams import Upstream, Upstreams
from skylarkferry_gateway.version_assignments import VersionAssignments

_SAMPLE = 8
"""Engines that this gateway compares without a coordinator, among those with an old load report."""


class Ticket(msgspec.Struct, frozen=True):
    """An attempt that a coordinator follows, and the address that learns its end."""

    coordinator: NodeId
    address: str
    number: int


class Selection:
    """A selected upstream, and what is known of the attempt when it ends.

    ``alive_at`` is a monotonic time at which the process that got the request was alive.
    """

    def __init__(self, decision: PlacementDecision, ticket: Ticket | None = None) -> None:
        self.upstream = decision.upstream
        self.cached_tokens = decision.cached_tokens
        self.requests = decision.requests
        self.report_age_s = decision.report_age_s
        self.ticket = ticket
        self.outcome = AttemptOutcome.ABANDONED
        self.load: ReportedLoad | None = None
        self.load_at = 0.0
        self.alive_at = -math.inf
        self.speed: SpeedSample | None = None


class UpstreamSelector:
    """Select engines by the coordinator's choice, and all else by this gateway's own view."""

    def __init__(
        self,
        upstreams: Upstreams,
        assignments: VersionAssignments,
        limits: LimitShares,
        coordinators: Coordinators,
        calls: PlacementCalls,
        *,
        domain: FailureDomain,
        rng: random.Random,
    ) -> None:
        self.upstreams = upstreams
        self.assignments = assignments
        self.limits = limits
        self.coordinators = coordinators
        self.calls = calls
        self.domain = domain
        self.placer = Placer(lambda upstream: upstream.local, rng, _SAMPLE, PrefixHomes())

    def choose_service(self, request: ClientRequest, route: Route) -> ServiceName:
        """Return the request's service; with weighted services, a program's requests share one."""
        if len(route.shares) == 1:
            return route.shares[0].service
        metadata = request.metadata
        key = metadata.program_id or metadata.affinity_key or metadata.stream
        weights = {PoolName(share.service): share.weight for share in route.shares}
        chosen = pool_for_new_program(ProgramId(key), weights)
        return ServiceName(chosen) if chosen is not None else route.shares[0].service

    async def select(self, attempts: Attempts) -> Selection | None:
        """Return the upstream to send to, or ``None`` if no untried one accepts requests."""
        shards = self.upstreams.shards(attempts.service)
        preferred = shards_for(_shard_key(attempts.request), len(shards))
        for shard in preferred:
            selection = await self._select_in(attempts, shards[shard], shard, len(shards))
            if selection is not None:
                return selection
        members = self.upstreams.for_service(attempts.service)
        return await self._select_in(attempts, members, None, len(shards))

    async def _select_in(
        self, attempts: Attempts, members: Sequence[Upstream], shard: int | None, shards: int
    ) -> Selection | None:
        now = anyio.current_time()
        usable = self._usable(attempts, members, now)
        if not usable:
            return None
        query = self._query(attempts, members, usable, now)
        if attempts.engine is not None and shard is not None:
            query = msgspec.structs.replace(query, shard=shard, shards=shards)
            selection = await self._ask_coordinator(query, usable)
            if selection is not None:
                return selection
            now = anyio.current_time()
            usable = self._usable(attempts, members, now)  # the list may have changed meanwhile
            if not usable:
                return None
        return Selection(self.placer.place(query, members, usable, attempts.engine, now))

    def _usable(
        self, attempts: Attempts, members: Sequence[Upstream], now: float
    ) -> list[Upstream]:
        """Return the upstreams to choose from: those with room for the body, or all if none has."""
        untried = _untried(attempts, members)
        usable = [item for item in untried if self.limits.allows_request(item)]
        if attempts.route.is_resumable and attempts.required_version is None:
            usable = self.assignments.suitable(attempts, usable, now)
        with_room = [item for item in usable if item.bodies.has_room_for(attempts.body_bytes)]
        return with_room or usable

    async def _ask_coordinator(
        self, query: PlacementQuery, usable: Sequence[Upstream]
    ) -> Selection | None:
        """Return the coordinator's choice, or ``None`` if there is none that can be used."""
        node = self.coordinators.coordinator(query.service, query.shard)
        if node is None:
            return None
        address = self.coordinators.address(node)
        asked_at = anyio.current_time()
        answer = await self.calls.ask(address, query)
        waited_s = anyio.current_time() - asked_at
        reason = self._silence_reason(answer, waited_s)
        if reason is not None:
            self.coordinators.avoid(node, query.service, reason)
        if answer is None or not answer.upstream:
            return None
        chosen = next((item for item in usable if item.entry.upstream == answer.upstream), None)
        if chosen is None or not chosen.accepts_requests:
            self.calls.end(address, Ended(answer.number, AttemptOutcome.ABANDONED))
            return None
        decision = PlacementDecision(chosen, answer.cached_tokens, answer.requests, None)
        return Selection(decision, Ticket(node, address, answer.number))

    def _silence_reason(self, answer: Answer | None, waited_s: float) -> SilenceReason | None:
        """Return why the next coordinator is to be used, or ``None`` to keep this one."""
        if answer is None:
            # A longer wait means that this process itself was paused.
            was_paused = waited_s > 2 * defaults.PLACEMENT_TIMEOUT_S
            return None if was_paused else SilenceReason.TIMEOUT
        if not answer.upstream:
            return SilenceReason.UNABLE
        read_at = self.upstreams.read_at
        own_age_s = anyio.current_time() - read_at if read_at is not None else answer.list_age_s
        if answer.list_age_s > own_age_s + defaults.LIST_OUTAGE_S:
            return SilenceReason.OLD_LIST
        return None

    def on_attempt_ended(self, selection: Selection) -> None:
        """Report the end of an attempt to the coordinator that chose its upstream."""
        ticket = selection.ticket
        if ticket is None:
            return
        age_s = anyio.current_time() - selection.load_at if selection.load is not None else 0.0
        self.calls.end(
            ticket.address,
            Ended(ticket.number, selection.outcome, selection.load, age_s, selection.speed),
        )

    def _query(
        self,
        attempts: Attempts,
        members: Sequence[Upstream],
        usable: Sequence[Upstream],
        now: float,
    ) -> PlacementQuery:
        metadata = attempts.request.metadata
        names = {item.entry.upstream for item in usable}
        parts = metadata.prompt_parts
        cached = {item.entry.upstream: item.local.prompt_cache.cached(parts) for item in usable}
        best = max(cached, key=lambda name: cached[name])
        idle_s = attempts.idle_limit_s
        return PlacementQuery(
            service=attempts.service,
            failure_domain=self.domain,
            program_id=metadata.program_id,
            affinity_key=metadata.affinity_key,
            is_sticky=attempts.route.is_sticky,
            prompt_parts=parts,
            prompt_tokens=prompt_tokens(attempts.request),
            output_tokens=metadata.output_tokens,
            time_left_s=attempts.remaining_s(now),
            excluded=tuple(
                item.entry.upstream for item in members if item.entry.upstream not in names
            ),
            connected=tuple(
                item.entry.upstream for item in usable if item.has_idle_connection(now, idle_s)
            ),
            cached_upstream=best if cached[best] else UpstreamId(""),
            cached_tokens=cached[best],
        )

    def has_untried(self, attempts: Attempts) -> bool:
        """Return whether an untried upstream accepts requests now."""
        members = self.upstreams.for_service(attempts.service)
        return bool(self._usable(attempts, members, anyio.current_time()))

    def is_limited(self, attempts: Attempts) -> bool:
        """Return whether untried upstreams would accept the request if not for their limits."""
        return any(not self.limits.allows_request(item) for item in self._all_untried(attempts))

    def needs_store(self, attempts: Attempts) -> bool:
        """Return whether a stream could begin if its version could be recorded."""
        is_beginning = attempts.route.is_resumable and attempts.required_version is None
        is_lost = is_beginning and self.assignments.is_store_lost()
        return is_lost and bool(self._all_untried(attempts))

    def _all_untried(self, attempts: Attempts) -> list[Upstream]:
        return _untried(attempts, self.upstreams.for_service(attempts.service))


def _untried(attempts: Attempts, members: Sequence[Upstream]) -> list[Upstream]:
    return [item for item in members if item.accepts_requests and attempts.accepts(item)]


def _shard_key(request: ClientRequest) -> str:
    """Return what the requests that should meet in one shard have in common."""
    metadata = request.metadata
    if metadata.prompt_parts:
        return metadata.prompt_parts[0].part_id
    return metadata.affinity_key or metadata.program_id or metadata.turn_id


def prompt_tokens(request: ClientRequest) -> int:
    """Return the length of a request's prompt: as given by the client, or the sum of its parts."""
    metadata = request.metadata
    return max(metadata.prompt_tokens, sum(part.tokens for part in metadata.prompt_parts))
