"""Weighted rendezvous hashing: which of several names a key belongs to."""

import math
from collections.abc import Mapping
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


def _score(key: str, name: str, share: float) -> float:
    digest = xxhash.xxh64_intdigest(f"{key}\x00{name}".encode("utf-8", "surrogateescape"))
    return -share / math.log((digest + 0.5) / _HASH_RANGE)
