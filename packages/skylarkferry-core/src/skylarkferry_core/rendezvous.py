"""Weighted rendezvous hashing: which of several names a key belongs to."""

import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

import xxhash

Name = TypeVar("Name", bound=str)

_HASH_RANGE = float(1 << 64)


def weighted_choice(key: str, shares: Mapping[Name, float]) -> Name | None:
    """Return the name for a key in proportion to the shares, or ``None`` without shares.

    If one share grows, keys move only to that name; if it shrinks, keys move only away from it.
    """
    open_names = [name for name, share in shares.items() if share > 0]
    if not open_names:
        return None
    return max(open_names, key=lambda name: (_score(key, name, shares[name]), name))


def ranked_names(key: str, names: Iterable[Name]) -> list[Name]:
    """Return names in the order of preference for a key; a name that leaves changes no other."""
    return sorted(names, key=lambda name: (_digest(key, name), name), reverse=True)


def _score(key: str, name: str, share: float) -> float:
    return -share / math.log((_digest(key, name) + 0.5) / _HASH_RANGE)


def _digest(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode("utf-8", "surrogateescape"))
