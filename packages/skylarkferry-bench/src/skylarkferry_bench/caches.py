"""Prefix cache of the fake engine: limited memory, least recently used first."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from skylarkferry_core.ids import Fingerprint, ProgramId, RunId

HeldListener = Callable[[float], None]
ChangeListener = Callable[["CacheKey", int], None]


class CacheKey(msgspec.Struct, frozen=True):
    """A run of a program, or a shared prefix when ``prefix`` is set."""

    program_id: ProgramId = ProgramId("")
    run_id: RunId = RunId("")
    prefix: Fingerprint = Fingerprint("")


class CacheEntry:
    """Tokens of one key; those of a run come on top of its shared prefix."""

    __slots__ = ("base", "ended_at", "key", "pinned_until", "tokens", "users")

    def __init__(self, key: CacheKey, base: "CacheEntry | None") -> None:
        self.key = key
        self.base = base
        self.tokens = 0
        self.users = 0
        self.pinned_until = 0.0
        self.ended_at: float | None = None


class PrefixCache:
    """KV memory of ``capacity`` tokens; entries in use stay, pinned ones go last.

    ``on_held`` hears of token-seconds held for runs that had ended, ``on_change`` of the cached
    tokens of a key.
    """

    def __init__(self, capacity: int, on_held: HeldListener, on_change: ChangeListener) -> None:
        self.capacity = capacity
        self.on_held = on_held
        self.on_change = on_change
        self.entries: OrderedDict[CacheKey, CacheEntry] = OrderedDict()
        self.used = 0

    def cached(self, run: CacheKey, prefix: CacheKey | None, prefix_tokens: int) -> int:
        """Return the tokens of a run's prompt that are cached."""
        shared = self.entries.get(prefix) if prefix else None
        if prefix and (shared is None or shared.tokens < prefix_tokens):
            return shared.tokens if shared else 0
        own = self.entries.get(run)
        return prefix_tokens + (own.tokens if own else 0)

    def start(
        self, run: CacheKey, prefix: CacheKey | None, prefix_tokens: int, tokens: int, now: float
    ) -> bool:
        """Reserve ``tokens`` in all for a call of a run; return whether they fit."""
        shared = self._touch(prefix, None) if prefix else None
        own = self._touch(run, shared)
        own.base = shared
        own.users += 1
        if shared:
            shared.users += 1
        missing_shared = max(prefix_tokens - shared.tokens, 0) if shared else 0
        missing_own = max(tokens - prefix_tokens - own.tokens, 0)
        if not self._make_room(missing_shared + missing_own, now):
            self.stop(run, now, 0.0)
            return False
        if shared and missing_shared:
            self._grow(shared, missing_shared)
        self._grow(own, missing_own)
        return True

    def stop(self, run: CacheKey, now: float, keep_s: float) -> None:
        """End a call's use of its entries and pin the run's for ``keep_s`` seconds."""
        own = self.entries.get(run)
        if own is None:
            return
        own.users -= 1
        own.pinned_until = now + keep_s
        if own.base:
            own.base.users -= 1
        self.on_change(run, _prompt_tokens(own))

    def end(self, program_id: ProgramId, now: float, run_id: RunId | None = None) -> None:
        """Note that a program, or one run of it, ended; its memory is held in vain from now on."""
        for key, entry in self.entries.items():
            of_program = key.program_id == program_id and not key.prefix
            if of_program and run_id in (None, key.run_id) and entry.ended_at is None:
                entry.ended_at = now

    def release(self, program_id: ProgramId, now: float, run_id: RunId | None = None) -> None:
        """Free the memory of a program, or of one run of it, but for entries in use."""
        keys = [key for key in self.entries if key.program_id == program_id and not key.prefix]
        for key in keys:
            if run_id in (None, key.run_id) and not self.entries[key].users:
                self._shrink(self.entries[key], self.entries[key].tokens, now)

    def pin(self, run: CacheKey, until: float) -> None:
        """Keep a run's memory until a time, or without one while its next call is queued."""
        entry = self.entries.get(run)
        if entry is not None:
            entry.pinned_until = max(entry.pinned_until, until)

    def settle(self, now: float) -> None:
        """Report what is still held for ended runs."""
        for entry in self.entries.values():
            if entry.ended_at is not None:
                self.on_held(entry.tokens * (now - entry.ended_at))

    def _touch(self, key: CacheKey, base: CacheEntry | None) -> CacheEntry:
        entry = self.entries.get(key)
        if entry is None:
            entry = self.entries[key] = CacheEntry(key, base)
        self.entries.move_to_end(key)
        return entry

    def _grow(self, entry: CacheEntry, tokens: int) -> None:
        entry.tokens += tokens
        self.used += tokens
        self.on_change(entry.key, _prompt_tokens(entry))

    def _make_room(self, tokens: int, now: float) -> bool:
        for pinned_too in (False, True):
            for entry in list(self.entries.values()):
                missing = self.used + tokens - self.capacity
                if missing <= 0:
                    return True
                if self._evictable(entry, now, pinned_too):
                    self._shrink(entry, min(missing, entry.tokens), now)
        return self.used + tokens <= self.capacity

    def _evictable(self, entry: CacheEntry, now: float, pinned_too: bool) -> bool:
        if entry.users or not entry.tokens:
            return False
        if entry.key.prefix and self._is_base(entry):
            return False
        return pinned_too or entry.pinned_until <= now

    def _is_base(self, shared: CacheEntry) -> bool:
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
    """Return the cached length of a key's prompt, with the shared prefix below it."""
    if not entry.base or not entry.tokens:
        return entry.tokens
    return entry.base.tokens + entry.tokens
