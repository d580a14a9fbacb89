"""Engines that keep a shared prompt prefix, chosen alike by all processes without a word.

Where the prefixes in use do not all fit beside the requests that run, each one gets some of the
engines by rendezvous hashing, as many as its part of the requests, so that few engines read it and
it stays in their caches.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from skylarkferry_core.ids import UpstreamId
from skylarkferry_core.placements import rendezvous

_MIN_HOMES = 2
"""Engines of a prefix at least, so that it survives the loss of one."""
_HALF_LIFE_S = 10.0
"""Time after which a use counts half; some programs' length."""
_LEAST_USES = 0.1
"""Uses below which a prefix is forgotten: three half-lives after a single one."""
_MAX_PREFIXES = 1_000


class _Prefix(msgspec.Struct):
    tokens: int
    uses: float
    used_at: float


class PrefixHomes:
    """Shared prefixes in use, as one process sees them; ``prompt_tokens`` is a prompt's mean."""

    def __init__(self) -> None:
        self.prefixes: OrderedDict[str, _Prefix] = OrderedDict()
        self.prompt_tokens = 0.0

    def note(self, prefix: str, tokens: int, prompt_tokens: int, now: float) -> None:
        """Note a prompt that begins with a prefix of ``tokens`` tokens, at a monotonic time."""
        known = self.prefixes.pop(prefix, None)
        uses = _decayed(known, now) + 1.0 if known is not None else 1.0
        self.prefixes[prefix] = _Prefix(tokens, uses, now)
        weight = 1.0 / min(self._uses(now), _MAX_PREFIXES)
        self.prompt_tokens += weight * (prompt_tokens - self.prompt_tokens)
        while len(self.prefixes) > _MAX_PREFIXES or self._is_oldest_unused(now):
            self.prefixes.popitem(last=False)

    def _is_oldest_unused(self, now: float) -> bool:
        return _decayed(next(iter(self.prefixes.values())), now) < _LEAST_USES

    def _uses(self, now: float) -> float:
        return sum(_decayed(item, now) for item in self.prefixes.values())

    def _room(self, kv_tokens: int, slots: int) -> float:
        """Return the share of all prefixes that an engine keeps beside full places."""
        wanted = sum(item.tokens for item in self.prefixes.values())
        free = max(kv_tokens - slots * self.prompt_tokens, 0.0)
        return free / wanted if wanted else 1.0

    def fit(self, kv_tokens: int, slots: int) -> bool:
        """Tell whether an engine keeps all prefixes beside its full places."""
        return self._room(kv_tokens, slots) >= 1.0

    def homes(
        self, prefix: str, engines: Sequence[UpstreamId], kv_tokens: int, slots: int
    ) -> frozenset[UpstreamId]:
        """Return the engines that keep a prefix, by its part of all uses."""
        known = self.prefixes[prefix]
        room = self._room(kv_tokens, slots)
        if room >= 1.0:
            return frozenset(engines)
        part = _decayed(known, known.used_at) / self._uses(known.used_at) * len(self.prefixes)
        return _ranked(prefix, engines, round(len(engines) * room * part))


def first_homes(prefix: str, engines: Sequence[UpstreamId]) -> frozenset[UpstreamId]:
    """Return the engines that all processes try first for a prefix of which they know nothing."""
    return _ranked(prefix, engines, _MIN_HOMES)


def _ranked(prefix: str, engines: Sequence[UpstreamId], count: int) -> frozenset[UpstreamId]:
    ranked = sorted(engines, key=lambda item: rendezvous(prefix, item), reverse=True)
    return frozenset(ranked[: max(count, _MIN_HOMES)])


def _decayed(prefix: _Prefix, now: float) -> float:
    return float(prefix.uses * 0.5 ** (max(now - prefix.used_at, 0.0) / _HALF_LIFE_S))
