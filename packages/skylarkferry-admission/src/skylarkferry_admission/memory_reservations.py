"""KV memory of engines that is reserved for the requests given to them."""

from collections.abc import Hashable, Mapping

import msgspec

from skylarkferry_core.ids import UpstreamId

_MAX_TOKENS = 100_000_000


class MemoryNeed(msgspec.Struct, frozen=True):
    """What a request needs: prompt parts, which running requests share, and tokens of its own."""

    parts: Mapping[str, int]
    own_tokens: int


class _HeldPart:
    """A prompt part at an engine, of the size that the first request stated for it."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.requests = 0


class MemoryReservations:
    """Tokens that the requests at each engine hold until they end.

    A prompt part is held once by all requests that share it.  Parts that no request holds stay in
    the cache but can be evicted, so they do not count.
    """

    def __init__(self) -> None:
        self.reserved: dict[Hashable, tuple[UpstreamId, MemoryNeed]] = {}
        self.parts: dict[UpstreamId, dict[str, _HeldPart]] = {}
        self.tokens: dict[UpstreamId, int] = {}

    def fits(self, upstream: UpstreamId, need: MemoryNeed, kv_tokens: int) -> bool:
        """Return whether a request fits beside the others, or is alone with the engine."""
        held = self.tokens.get(upstream, 0)
        return held == 0 or held + self._added(upstream, need) <= kv_tokens

    def _added(self, upstream: UpstreamId, need: MemoryNeed) -> int:
        held = self.parts.get(upstream, {})
        added = sum(_bounded(size) for part, size in need.parts.items() if part not in held)
        return added + _bounded(need.own_tokens)

    def reserve(self, key: Hashable, upstream: UpstreamId, need: MemoryNeed) -> None:
        """Reserve memory for a request; ``key`` releases it."""
        self.release(key)
        self.tokens[upstream] = self.tokens.get(upstream, 0) + self._added(upstream, need)
        held = self.parts.setdefault(upstream, {})
        for part, size in need.parts.items():
            held.setdefault(part, _HeldPart(_bounded(size))).requests += 1
        self.reserved[key] = (upstream, need)

    def release(self, key: Hashable) -> None:
        """Release what is reserved for a request, if anything is."""
        upstream, need = self.reserved.pop(key, (None, None))
        if upstream is None or need is None:
            return
        held = self.parts[upstream]
        freed = _bounded(need.own_tokens)
        for part in need.parts:
            held[part].requests -= 1
            if not held[part].requests:
                freed += held.pop(part).tokens
        self.tokens[upstream] -= freed
        if not held and not self.tokens[upstream]:
            del self.parts[upstream], self.tokens[upstream]


def _bounded(tokens: int) -> int:
    return min(max(tokens, 0), _MAX_TOKENS)
