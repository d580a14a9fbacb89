"""Selection of the upstream for a call."""

import itertools
from collections.abc import Callable, Mapping, Sequence
from random import Random

import xxhash

from skylarkferry_core.document import SiteSpec
from skylarkferry_core.ids import PoolName, UpstreamId
from skylarkferry_core.interfaces import Candidate, Placement, PlacementRequest
from skylarkferry_core.shifts import pool_for_new_program, pool_for_running_program
from skylarkferry_core.states import UpstreamState

_RANDOM_CANDIDATES = 2
_EVICTION_WEIGHT = 0.5
_LOAD_BOUND = 1.25
_FULL_MEMORY_WAIT_S = 4.0
_UNKNOWN_CALL_S = 1.0


def usable_candidates(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> list[Candidate]:
    """Return the live candidates of the pool chosen by share.

    If no candidate of any pool is live, choose among the suspect ones in the same way.
    """
    for state in (UpstreamState.LIVE, UpstreamState.SUSPECT):
        found = [candidate for candidate in candidates if candidate.state is state]
        if found:
            return _in_chosen_pool(request, found)
    return []


def _in_chosen_pool(request: PlacementRequest, candidates: list[Candidate]) -> list[Candidate]:
    shares: dict[PoolName, float] = {item.pool: item.share for item in candidates}
    if len(shares) < 2:
        return candidates
    pool = _chosen_pool(request, candidates, shares)
    return [item for item in candidates if item.pool == pool] or candidates


def _chosen_pool(
    request: PlacementRequest, candidates: list[Candidate], shares: Mapping[PoolName, float]
) -> PoolName | None:
    for candidate in candidates:
        if candidate.upstream == request.last_upstream:
            return pool_for_running_program(request.program_id, candidate.pool, shares).pool
    return pool_for_new_program(request.program_id, shares)


class RandomPlacement:
    """Choose uniformly at random among the usable upstreams."""

    def __init__(self, random: Random) -> None:
        self.random = random

    def place(
        self, request: PlacementRequest, candidates: Sequence[Candidate], site: SiteSpec
    ) -> UpstreamId | None:
        """Return a random usable upstream."""
        found = usable_candidates(request, candidates)
        return self.random.choice(found).upstream if found else None


class RoundRobinPlacement:
    """Round robin over the usable upstreams."""

    def __init__(self, random: Random) -> None:
        self.turn = itertools.count(random.randrange(1 << 16))

    def place(
        self, request: PlacementRequest, candidates: Sequence[Candidate], site: SiteSpec
    ) -> UpstreamId | None:
        """Return the next usable upstream."""
        found = usable_candidates(request, candidates)
        return found[next(self.turn) % len(found)].upstream if found else None


class LeastLoadPlacement:
    """Choose the upstream with the fewest calls: those reported plus those sent since the report.

    If several have the fewest, one with an idle connection is preferred, then one in the own
    failure domain.
    """

    def __init__(self, random: Random) -> None:
        self.random = random

    def place(
        self, request: PlacementRequest, candidates: Sequence[Candidate], site: SiteSpec
    ) -> UpstreamId | None:
        """Return the least loaded usable upstream."""
        found = usable_candidates(request, candidates)
        if not found:
            return None
        return min(found, key=lambda item: self._rank(request, item)).upstream

    def _rank(self, request: PlacementRequest, item: Candidate) -> tuple[int, float, bool, float]:
        is_far = item.failure_domain != request.failure_domain
        return calls_at(item), item.connect_s, is_far, self.random.random()


class LeastDelayPlacement:
    """Choose the upstream that ends a call first, where hosts report how slow they are.

    The delay counts in the usual time of a call. Among equal ones, the rank is that of
    ``LeastLoadPlacement``.
    """

    def __init__(self, random: Random) -> None:
        self.random = random

    def place(
        self, request: PlacementRequest, candidates: Sequence[Candidate], site: SiteSpec
    ) -> UpstreamId | None:
        """Return the usable upstream with the least delay."""
        found = usable_candidates(request, candidates)
        if not found:
            return None
        return min(found, key=lambda item: self._rank(request, item)).upstream

    def _rank(
        self, request: PlacementRequest, item: Candidate
    ) -> tuple[float, int, float, bool, float]:
        is_far = item.failure_domain != request.failure_domain
        delay = call_delay(item)
        return delay, calls_at(item), item.connect_s, is_far, self.random.random()


class StickyPlacement:
    """The program's last upstream if it is usable, else the least loaded one."""

    def __init__(self, random: Random) -> None:
        self.fallback = LeastLoadPlacement(random)

    def place(
        self, request: PlacementRequest, candidates: Sequence[Candidate], site: SiteSpec
    ) -> UpstreamId | None:
        """Return the upstream of the program's last call if usable, else the least loaded one."""
        for candidate in usable_candidates(request, candidates):
            if candidate.upstream == request.last_upstream:
                return candidate.upstream
        return self.fallback.place(request, candidates, site)


class PrefixHashPlacement:
    """Rendezvous hashing by shared prefix, or by program if the prompt has none.

    Upstreams with more than ``bound`` times the mean number of calls are skipped.
    """

    def __init__(self, random: Random, bound: float = _LOAD_BOUND) -> None:
        self.random = random
        self.bound = bound

    def place(
        self, request: PlacementRequest, candidates: Sequence[Candidate], site: SiteSpec
    ) -> UpstreamId | None:
        """Return the upstream with the highest hash among those within the bound."""
        found = usable_candidates(request, candidates)
        if not found:
            return None
        key = request.prefix or request.program_id
        limit = self.bound * (sum(map(_slowed_calls, found)) + 1) / len(found)
        within = [item for item in found if _slowed_calls(item) < limit]
        return max(within or found, key=lambda item: rendezvous(key, item.upstream)).upstream


class CompletionPlacement:
    """Choose the upstream with the lowest weighted sum of completion time and wasted cache.

    Both are estimates. The policy compares the program's last upstream, the one with the most of
    the prompt cached, and ``sample`` random ones, so that nodes with the same stale load reports do
    not all choose the same upstream.
    """

    def __init__(self, random: Random, sample: int = _RANDOM_CANDIDATES) -> None:
        self.random = random
        self.sample = sample

    def place(
        self, request: PlacementRequest, candidates: Sequence[Candidate], site: SiteSpec
    ) -> UpstreamId | None:
        """Return the upstream with the lowest cost, or ``None`` if none is usable."""
        found = usable_candidates(request, candidates)
        if not found:
            return None
        best_cached = max(cached_at(request, item) for item in found)
        shortlist = self._shortlist(request, found, best_cached)
        return min(shortlist, key=lambda item: cost_of(request, item, best_cached, site)).upstream

    def _shortlist(
        self, request: PlacementRequest, found: list[Candidate], best_cached: float
    ) -> list[Candidate]:
        if len(found) <= self.sample:
            return found
        chosen = self.random.sample(found, self.sample)
        for candidate in found:
            is_last = candidate.upstream == request.last_upstream
            holds_most = best_cached > 0 and cached_at(request, candidate) >= best_cached
            if is_last or holds_most:
                chosen.append(candidate)
        return chosen


def calls_at(candidate: Candidate) -> int:
    """Return the number of calls at an upstream: reported ones plus those sent since the report."""
    return candidate.load.queued + candidate.load.running + candidate.calls_since_report


def _slowed_calls(candidate: Candidate) -> float:
    """Return the calls at an upstream, weighted by how long its host takes for them."""
    return calls_at(candidate) * candidate.slowdown


def call_delay(candidate: Candidate) -> float:
    """Return the expected time in which the slots end a call and those before it.

    It counts in the usual time of a call.
    """
    return candidate.slowdown * (calls_at(candidate) + 1) / candidate.load.slots


def cached_at(request: PlacementRequest, candidate: Candidate) -> float:
    """Return the expected number of prompt tokens in the upstream's cache."""
    return min(candidate.cached_tokens, request.prompt_tokens) * candidate.cache_confidence


def wait_s(candidate: Candidate) -> float:
    """Return the expected seconds before an upstream starts a new call."""
    load = candidate.load
    speed = candidate.speed
    prefilled = load.age_s * speed.prefill_tokens_per_s
    backlog = (
        max(load.queued_prefill_tokens - prefilled, 0.0) + candidate.prefill_tokens_since_report
    )
    prefill_wait_s = backlog / speed.prefill_tokens_per_s
    ahead = calls_at(candidate) + 1 - load.slots
    if ahead <= 0 or load.running == 0:
        return prefill_wait_s
    mean_left_s = load.running_output_tokens / load.running / speed.decode_tokens_per_s
    return prefill_wait_s + ahead * (mean_left_s or _UNKNOWN_CALL_S) / load.slots


def memory_wait_s(candidate: Candidate) -> float:
    """Return the expected wait for KV memory in seconds, proportional to the part in use."""
    load = candidate.load
    if load.kv_tokens <= 0:
        return 0.0
    return (
        _FULL_MEMORY_WAIT_S
        * (load.held_kv_tokens + candidate.prefill_tokens_since_report)
        / load.kv_tokens
    )


def prefill_s(request: PlacementRequest, candidate: Candidate) -> float:
    """Return the seconds to prefill the uncached part of the prompt."""
    uncached = request.prompt_tokens - cached_at(request, candidate)
    return uncached / candidate.speed.prefill_tokens_per_s


def decode_s(request: PlacementRequest, candidate: Candidate) -> float:
    """Return the seconds to decode the output or run a tool, slowed by the upstream's calls."""
    alone_s = request.output_tokens / candidate.speed.decode_tokens_per_s or _UNKNOWN_CALL_S
    return alone_s * (1.0 + calls_at(candidate) / candidate.load.slots)


def completion_s(request: PlacementRequest, candidate: Candidate) -> float:
    """Return the expected seconds until the call ends at an upstream."""
    total_wait_s = wait_s(candidate) + memory_wait_s(candidate)
    return total_wait_s + prefill_s(request, candidate) + decode_s(request, candidate)


def delay_s(request: PlacementRequest, candidate: Candidate) -> float:
    """Return the sum of the seconds by which the call's prefill delays each running call."""
    running = min(calls_at(candidate), candidate.load.slots)
    return running * prefill_s(request, candidate)


def waste_s(request: PlacementRequest, candidate: Candidate, best_cached: float) -> float:
    """Return the seconds of avoidable prefill for tokens cached elsewhere and for evicted cache."""
    cached = cached_at(request, candidate)
    repeated = best_cached - cached
    evicted = 0.0
    if candidate.load.kv_tokens:
        needed = request.prompt_tokens - cached + request.output_tokens
        evicted = max(needed - candidate.load.free_kv_tokens, 0.0)
    wasted = repeated + _EVICTION_WEIGHT * evicted
    return wasted / candidate.speed.prefill_tokens_per_s


def cost_of(
    request: PlacementRequest, candidate: Candidate, best_cached: float, site: SiteSpec
) -> float:
    """Return the weighted cost of an upstream, in seconds."""
    latency_s = completion_s(request, candidate) + delay_s(request, candidate)
    wasted_s = waste_s(request, candidate, best_cached)
    crossing_s = site.crossing_s if candidate.failure_domain != request.failure_domain else 0.0
    extra_s = crossing_s + candidate.connect_s
    return site.latency_weight * latency_s + site.cache_weight * wasted_s + extra_s


def rendezvous(key: str, upstream: UpstreamId) -> int:
    """Return the rendezvous hash of a key and an upstream, which is equal in every process.

    Callers choose the upstream with the highest hash.
    """
    return xxhash.xxh64_intdigest(f"{key}\x00{upstream}".encode())


PLACEMENTS: Mapping[str, Callable[[Random], Placement]] = {
    "random": RandomPlacement,
    "round_robin": RoundRobinPlacement,
    "least_load": LeastLoadPlacement,
    "sticky": StickyPlacement,
    "prefix_hash": PrefixHashPlacement,
    "completion": CompletionPlacement,
}
DEFAULT_PLACEMENT = "completion"
