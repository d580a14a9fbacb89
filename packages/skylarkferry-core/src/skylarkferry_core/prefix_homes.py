"""Home engines of shared prompt prefixes, which all processes choose alike without coordination.

If the prefixes in use do not all fit in every engine's memory, rendezvous hashing assigns each one
to a subset of the engines, so that few engines prefill it and it stays in their caches.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.placements import rendezvous

_PREFIX_MEMORY_FRACTION = 0.5
"""Fraction of an engine's KV memory for shared prefixes; the rest holds other request tokens."""
_MIN_HOMES = 2
"""Minimum number of engines that cache a prefix, so that the loss of one engine leaves a copy."""
_IN_USE_S = 20.0
"""A prefix counts as in use for this time after its last use: a few program durations."""
_MAX_PREFIXES = 1_000


class _Prefix(msgspec.Struct):
    tokens: int
    used_at: float


class PrefixHomes:
    """Shared prefixes in use, as observed by one process."""

    def __init__(self) -> None:
        self.prefixes: OrderedDict[str, _Prefix] = OrderedDict()

    def record_use(self, prefix: str, tokens: int, now: float) -> None:
        """Record the use of a prefix of ``tokens`` tokens at monotonic time ``now``."""
        self.prefixes[prefix] = _Prefix(tokens, now)
        self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > _MAX_PREFIXES or self._oldest_is_unused(now):
            self.prefixes.popitem(last=False)

    def _oldest_is_unused(self, now: float) -> bool:
        oldest = next(iter(self.prefixes.values()))
        return now - oldest.used_at > _IN_USE_S

    def all_fit(self, kv_tokens: int) -> bool:
        """Return whether all prefixes in use fit in ``kv_tokens`` tokens of engine memory."""
        return self._tokens() <= _PREFIX_MEMORY_FRACTION * kv_tokens

    def _tokens(self) -> int:
        return sum(item.tokens for item in self.prefixes.values())

    def home_engines(
        self, prefix: str, engines: Sequence[UpstreamId], kv_tokens: int
    ) -> frozenset[UpstreamId]:
        """Return the home engines of a prefix; each engine has ``kv_tokens`` tokens of memory."""
        if self.all_fit(kv_tokens):
            return frozenset(engines)
        share = _PREFIX_MEMORY_FRACTION * kv_tokens / self._tokens()
        count = max(round(len(engines) * share), _MIN_HOMES)
        return _top_ranked(prefix, engines, count)


def first_home_engines(prefix: str, engines: Sequence[UpstreamId]) -> frozenset[UpstreamId]:
    """Return the engines that all processes try first for a prefix without recorded use."""
    return _top_ranked(prefix, engines, _MIN_HOMES)


def _top_ranked(prefix: str, engines: Sequence[UpstreamId], count: int) -> frozenset[UpstreamId]:
    ranked = sorted(engines, key=lambda item: rendezvous(prefix, item), reverse=True)
    return frozenset(ranked[:count])
