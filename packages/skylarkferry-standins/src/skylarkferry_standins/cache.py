"""Prefix cache of the engine, with LRU eviction by program when its capacity is exceeded."""

from collections import OrderedDict, deque

import msgspec

CHARACTERS_PER_TOKEN = 4
MAX_EVENTS = 10_000


def token_count(text: str) -> int:
    """Return the number of tokens in a text, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def common_prefix_length(first: str, second: str) -> int:
    """Return the length of the longest common prefix."""
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


class KvEvent(msgspec.Struct):
    """A change in the number of cached tokens of a program."""

    sequence: int
    prompt_cache_key: str
    cached_tokens: int


class CachedProgram(msgspec.Struct):
    """One program's cached conversations by first message; imported tokens have no text."""

    conversations: dict[str, str] = {}
    imported_tokens: int = 0

    def tokens(self) -> int:
        """Return the number of cached tokens."""
        cached = sum(token_count(text) for text in self.conversations.values())
        return max(cached, self.imported_tokens)


class PrefixCache:
    """Cached prefixes by program, with numbered change events."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.programs: OrderedDict[str, CachedProgram] = OrderedDict()
        self.events: deque[KvEvent] = deque(maxlen=MAX_EVENTS)
        self.sequence = 0
        self.used_tokens = 0

    def cached_tokens(self, key: str, head: str, prompt: str) -> int:
        """Return how many prompt tokens are cached; at least one token always needs prefill."""
        program = self.programs.get(key)
        if program is None:
            return 0
        shared = common_prefix_length(program.conversations.get(head, ""), prompt)
        cached = max(shared // CHARACTERS_PER_TOKEN, program.imported_tokens)
        return max(min(cached, token_count(prompt) - 1), 0)

    def store(self, key: str, head: str, text: str) -> None:
        """Cache a conversation's text; evict other programs if the capacity is exceeded."""
        if not key:
            return
        program = self.programs.get(key, CachedProgram())
        conversations = program.conversations | {head: text}
        self._replace(key, CachedProgram(conversations, program.imported_tokens))

    def import_tokens(self, key: str, tokens: int) -> None:
        """Replace the program's cached conversations with tokens computed on another engine."""
        self._replace(key, CachedProgram({}, tokens))

    def release(self, key: str) -> int:
        """Evict a program; return the number of tokens it had cached."""
        program = self.programs.pop(key, None)
        if program is None:
            return 0
        self.used_tokens -= program.tokens()
        self._record(key, 0)
        return program.tokens()

    def events_after(self, sequence: int) -> list[KvEvent]:
        """Return the retained events with sequence numbers above ``sequence``."""
        return [event for event in self.events if event.sequence > sequence]

    def _replace(self, key: str, program: CachedProgram) -> None:
        previous = self.programs.pop(key, CachedProgram())
        self.programs[key] = program
        self.used_tokens += program.tokens() - previous.tokens()
        self._record(key, program.tokens())
        while self.used_tokens > self.capacity_tokens and len(self.programs) > 1:
            self.release(next(iter(self.programs)))

    def _record(self, key: str, tokens: int) -> None:
        self.sequence += 1
        self.events.append(KvEvent(self.sequence, key, tokens))
