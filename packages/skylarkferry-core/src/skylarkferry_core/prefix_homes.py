"""Engines that keep a shared prompt prefix, chosen alike by all processes without a word.

Where the prefixes in use do not all fit in every engine's memory, each one gets some of the engines
by rendezvous hashing, so that few engines read it and it stays in their caches.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.placements import rendezvous

_CACHE_SHARE = 0.5
"""Share of an engine's KV memory for shared prefixes; the rest holds what requests add."""
_MIN_HOMES = 2
"""Engines of a prefix at least, so that it survives the loss of one."""
_WINDOW_S = 20.0
"""Time after its last use for which a prefix counts as in use; some programs' length."""
_MAX_PREFIXES = 1_000


class _Prefix(msgspec.Struct):
    tokens: int
    used_at: float


class PrefixHomes:
    """Shared prefixes in use, as one process sees them."""

    def __init__(self) -> None:
        self.prefixes: OrderedDict[str, _Prefix] = OrderedDict()

    def record_use(self, prefix: str, tokens: int, now: float) -> None:
        """Note the use of a prefix of ``tokens`` tokens at a monotonic time."""
        self.prefixes[prefix] = _Prefix(tokens, now)
        self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > _MAX_PREFIXES or self._oldest_is_unused(now):
            self.prefixes.popitem(last=False)

    def _oldest_is_unused(self, now: float) -> bool:
        oldest = next(iter(self.prefixes.values()))
        return now - oldest.used_at > _WINDOW_S

    def all_fit(self, kv_tokens: int) -> bool:
        """Tell whether an engine with ``kv_tokens`` tokens of memory keeps all prefixes in use."""
        return self._tokens() <= _CACHE_SHARE * kv_tokens

    def _tokens(self) -> int:
        return sum(item.tokens for item in self.prefixes.values())

    def homes(
        self, prefix: str, engines: Sequence[UpstreamId], kv_tokens: int
    ) -> frozenset[UpstreamId]:
        """Return the engines that keep a prefix, of engines with ``kv_tokens`` tokens of memory."""
        if self.all_fit(kv_tokens):
            return frozenset(engines)
        share = _CACHE_SHARE * kv_tokens / self._tokens()
        count = max(round(len(engines) * share), _MIN_HOMES)
        return _ranked(prefix, engines, count)


def first_homes(prefix: str, engines: Sequence[UpstreamId]) -> frozenset[UpstreamId]:
    """Return the engines that all processes try first for a prefix of which they know nothing."""
    return _ranked(prefix, engines, _MIN_HOMES)


def _ranked(prefix: str, engines: Sequence[UpstreamId], count: int) -> frozenset[UpstreamId]:
    ranked = sorted(engines, key=lambda item: rendezvous(prefix, item), reverse=True)
    return frozenset(ranked[:count])
