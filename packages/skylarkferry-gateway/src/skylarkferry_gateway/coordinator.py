"""Placement for all gateways: choices for one shard are made with knowledge of all attempts."""

import random

import msgspec

from skylarkferry_core.coordination import MAX_SHARD_UPSTREAMS, shard_of
from skylarkferry_core.routes import ServiceSpec
from skylarkferry_gateway.placement import Placer
from skylarkferry_gateway.placement_messages import Answer, Ended, PlacementQuery
from skylarkferry_gateway.upstreams import Upstream, Upstreams
from skylarkferry_gateway.watchers import ConfigWatcher

_MAX_ATTEMPTS = 10_000
"""Attempts that are followed at once; more than all upstreams of a shard can queue."""
_MAX_TIME_LEFT_S = 60.0
_EXPIRY_SLACK_S = 0.5
"""Time after an attempt's deadline at which its end counts as lost on the way."""


class _Attempt(msgspec.Struct, frozen=True):
    """An attempt under way; ``in_flight`` is the number of others there when it began."""

    upstream: Upstream
    in_flight: int
    expires_at: float


class PlacementCoordinator:
    """Choose upstreams for the attempts of all gateways, and follow these until they end."""

    def __init__(self, upstreams: Upstreams, config: ConfigWatcher, rng: random.Random) -> None:
        self.upstreams = upstreams
        self.config = config
        self.placer = Placer(lambda upstream: upstream.shared, rng, sample=MAX_SHARD_UPSTREAMS)
        self.attempts: dict[tuple[str, int], _Attempt] = {}
        self.is_stopping = False

    def place(self, sender: str, number: int, query: PlacementQuery, now: float) -> Answer:
        """Choose an upstream for a gateway's attempt; the answer is empty if there is none."""
        spec = self.service(query)
        members = self.members(query)
        usable = [
            item
            for item in members
            if item.accepts_requests and item.entry.upstream not in query.excluded
        ]
        is_able = not self.is_stopping and len(self.attempts) < _MAX_ATTEMPTS
        if spec is None or not usable or not is_able:
            return Answer(number)
        decision = self.placer.place(query, members, usable, spec.engine, now)
        upstream, view = decision.upstream, decision.upstream.shared
        view.breaker.begin(now)
        self._forget(sender, number)
        time_left_s = min(max(0.0, query.time_left_s), _MAX_TIME_LEFT_S)  # 0 if it is not a number
        expires_at = now + time_left_s + _EXPIRY_SLACK_S
        self.attempts[sender, number] = _Attempt(upstream, view.in_flight, expires_at)
        view.in_flight += 1
        if spec.engine is not None:
            view.record_prompt(query.prompt_parts, spec.engine.kv_tokens)
        return Answer(
            number,
            upstream.entry.upstream,
            decision.requests,
            decision.cached_tokens,
            self._list_age_s(now),
        )

    def service(self, query: PlacementQuery) -> ServiceSpec | None:
        """Return the service of a question, if the configuration has it."""
        table = self.config.current
        return table.services.get(query.service) if table is not None else None

    def members(self, query: PlacementQuery) -> list[Upstream]:
        """Return the upstreams of a question's shard."""
        shards = self.upstreams.shards(query.service)
        if len(shards) == query.shards:
            return shards[query.shard] if 0 <= query.shard < len(shards) else []
        members = self.upstreams.for_service(query.service)  # the lists differ for a moment
        return [
            item for item in members if shard_of(item.entry.upstream, query.shards) == query.shard
        ]

    def _list_age_s(self, now: float) -> float:
        read_at = self.upstreams.read_at
        return now - read_at if read_at is not None else _MAX_TIME_LEFT_S

    def end(self, sender: str, ended: Ended, now: float) -> None:
        """Record how an attempt ended; ignore one that is not known any more."""
        attempt = self._forget(sender, ended.number)
        if attempt is None:
            return
        view = attempt.upstream.shared
        if ended.load is not None:
            followed = max(attempt.in_flight, view.in_flight) + 1
            view.update_load(ended.load, followed, now - max(0.0, ended.load_age_s))
        view.record_outcome(ended.outcome, now)
        if ended.speed is not None:
            self.placer.observe_speed(attempt.upstream, ended.speed, now)

    def forget_expired(self, now: float) -> None:
        """Forget the attempts whose end was not reported."""
        for (sender, number), attempt in list(self.attempts.items()):
            if attempt.expires_at < now:
                self._forget(sender, number)

    def _forget(self, sender: str, number: int) -> _Attempt | None:
        attempt = self.attempts.pop((sender, number), None)
        if attempt is not None:
            attempt.upstream.shared.in_flight -= 1
        return attempt
