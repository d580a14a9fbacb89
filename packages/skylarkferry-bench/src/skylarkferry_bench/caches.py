"""Prefix cache of the simulated engine: bounded KV memory with LRU eviction."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from skylarkferry_core.ids import Fingerprint, ProgramId, RunId

HeldListener = Callable[[float], None]
ChangeListener = Callable[["CacheKey", int], None]


class CacheKey(msgspec.Struct, frozen=True):
    """Key of a program's run, or of a shared prefix if ``prefix`` is set."""

    program_id: ProgramId = ProgramId("")
    run_id: RunId = RunId("")
    prefix: Fingerprint = Fingerprint("")


class CacheEntry:
    """Cached tokens of one key; a run's tokens exclude those of its shared prefix."""

    __slots__ = ("active_calls", "base", "ended_at", "key", "pinned_until", "tokens")

    def __init__(self, key: CacheKey, base: "CacheEntry | None") -> None:
        self.key = key
        self.base = base
        self.tokens = 0
        self.active_calls = 0
        self.pinned_until = 0.0
        self.ended_at: float | None = None


class PrefixCache:
    """KV memory of ``capacity`` tokens; never evicts entries in use, and pinned ones only last.

    ``on_held`` is called with the token-seconds that were held for ended runs, ``on_change``
    with a key and its number of cached tokens.
    """

    def __init__(self, capacity: int, on_held: HeldListener, on_change: ChangeListener) -> None:
        self.capacity = capacity
        self.on_held = on_held
        self.on_change = on_change
        self.entries: OrderedDict[CacheKey, CacheEntry] = OrderedDict()
        self.used = 0

    def cached_tokens(self, run: CacheKey, prefix: CacheKey | None, prefix_tokens: int) -> int:
        """Return how many tokens of a run's prompt are cached."""
        shared = self.entries.get(prefix) if prefix else None
        if prefix and (shared is None or shared.tokens < prefix_tokens):
            return shared.tokens if shared else 0
        own = self.entries.get(run)
        return prefix_tokens + (own.tokens if own else 0)

    def reserve(
        self, run: CacheKey, prefix: CacheKey | None, prefix_tokens: int, tokens: int, now: float
    ) -> bool:
        """Reserve memory for a call with ``tokens`` in total; return whether it fits."""
        shared = self._get_or_create(prefix, None) if prefix else None
        own = self._get_or_create(run, shared)
        own.base = shared
        own.active_calls += 1
        if shared:
            shared.active_calls += 1
        missing_shared = max(prefix_tokens - shared.tokens, 0) if shared else 0
        missing_own = max(tokens - prefix_tokens - own.tokens, 0)
        if not self._evict_for(missing_shared + missing_own, now):
            self.finish(run, now, 0.0)
            return False
        if shared and missing_shared:
            self._grow(shared, missing_shared)
        self._grow(own, missing_own)
        return True

    def finish(self, run: CacheKey, now: float, keep_s: float) -> None:
        """Release the entries that a call uses; pin the run's entry for ``keep_s`` seconds."""
        own = self.entries.get(run)
        if own is None:
            return
        own.active_calls -= 1
        own.pinned_until = now + keep_s
        if own.base:
            own.base.active_calls -= 1
        self.on_change(run, _prompt_tokens(own))

    def end(self, program_id: ProgramId, now: float, run_id: RunId | None = None) -> None:
        """Mark a program, or one of its runs, as ended; its memory counts as wasted from now on."""
        for key, entry in self.entries.items():
            is_of_program = key.program_id == program_id and not key.prefix
            if is_of_program and run_id in (None, key.run_id) and entry.ended_at is None:
                entry.ended_at = now

    def release(self, program_id: ProgramId, now: float, run_id: RunId | None = None) -> None:
        """Free the memory of a program, or of one of its runs, except entries in use."""
        keys = [key for key in self.entries if key.program_id == program_id and not key.prefix]
        for key in keys:
            if run_id in (None, key.run_id) and not self.entries[key].active_calls:
                self._shrink(self.entries[key], self.entries[key].tokens, now)

    def pin(self, run: CacheKey, until: float) -> None:
        """Pin a run's memory until a time; infinity pins it while its next call is queued."""
        entry = self.entries.get(run)
        if entry is not None:
            entry.pinned_until = max(entry.pinned_until, until)

    def report_held(self, now: float) -> None:
        """Report the token-seconds still held for ended runs."""
        for entry in self.entries.values():
            if entry.ended_at is not None:
                self.on_held(entry.tokens * (now - entry.ended_at))

    def _get_or_create(self, key: CacheKey, base: CacheEntry | None) -> CacheEntry:
        entry = self.entries.get(key)
        if entry is None:
            entry = self.entries[key] = CacheEntry(key, base)
        self.entries.move_to_end(key)
        return entry

    def _grow(self, entry: CacheEntry, tokens: int) -> None:
        entry.tokens += tokens
        self.used += tokens
        self.on_change(entry.key, _prompt_tokens(entry))

    def _evict_for(self, tokens: int, now: float) -> bool:
        for include_pinned in (False, True):
            for entry in list(self.entries.values()):
                missing = self.used + tokens - self.capacity
                if missing <= 0:
                    return True
                if self._evictable(entry, now, include_pinned):
                    self._shrink(entry, min(missing, entry.tokens), now)
        return self.used + tokens <= self.capacity

    def _evictable(self, entry: CacheEntry, now: float, include_pinned: bool) -> bool:
        if entry.active_calls or not entry.tokens:
            return False
        if entry.key.prefix and self._is_base_in_use(entry):
            return False
        return include_pinned or entry.pinned_until <= now

    def _is_base_in_use(self, shared: CacheEntry) -> bool:
        return any(entry.base is shared and entry.tokens for entry in self.entries.values())

    def _shrink(self, entry: CacheEntry, tokens: int, now: float) -> None:
        if entry.ended_at is not None:
            self.on_held(tokens * (now - entry.ended_at))
        entry.tokens -= tokens
        self.used -= tokens
        if not entry.tokens:
            self.entries.pop(entry.key, None)
        self.on_change(entry.key, _prompt_tokens(entry))


def _prompt_tokens(entry: CacheEntry) -> int:
    """Return the cached prompt tokens of a key, including its shared prefix."""
    if not entry.base or not entry.tokens:
        return entry.tokens
    return entry.base.tokens + entry.tokens
