"""Division of a service's upstreams into shards, and the gateways that coordinate these.

All processes derive both from lists that they read anyway, so that they agree without a message as
far as their lists agree.
"""

from collections.abc import Mapping

import xxhash

from skylarkferry_core.ids import NodeId, ServiceName, UpstreamId

NO_LINKS: Mapping[NodeId, float] = {}
MAX_SHARD_UPSTREAMS = 64
"""Upstreams that one coordinator compares for each request."""
_MIN_CORES_RATIO = 0.5
"""Hosts with less than this share of the fastest host's cores do not coordinate."""
_MIN_LINK_RATIO = 0.25
"""Hosts with less than this share of the widest link do not coordinate.

Their own responses delay the answers, for which other gateways wait 50 ms at most.
"""
_JUMP_MULTIPLIER = 2_862_933_555_777_941_757
_MASK_64 = (1 << 64) - 1


def shard_count(upstreams: int) -> int:
    """Return the number of shards of a service with this many upstreams."""
    return max(-(-upstreams // MAX_SHARD_UPSTREAMS), 1)


def shard_of(upstream: UpstreamId, shards: int) -> int:
    """Return the shard of an upstream; few upstreams move when the number of shards changes."""
    return _jump_hash(_hash("upstream", upstream), shards)


def shards_for(key: str, shards: int) -> tuple[int, ...]:
    """Return the one or two shards for requests with this key, the preferred one first."""
    first = _jump_hash(_hash("first", key), shards)
    second = _jump_hash(_hash("second", key), shards)
    return (first,) if first == second else (first, second)


def ranked_coordinators(
    service: ServiceName,
    shard: int,
    cores: Mapping[NodeId, float],
    links: Mapping[NodeId, float] = NO_LINKS,
) -> list[NodeId]:
    """Return the gateways that may coordinate a shard, the preferred one first.

    ``cores`` holds the processor cores of each gateway's host, ``links`` the rates of the links
    that are known.  A host whose link is not known counts as one with the widest.
    """
    enough = max(cores.values(), default=0.0) * _MIN_CORES_RATIO
    fast = [node for node, node_cores in cores.items() if node_cores >= enough]
    wide = [node for node in fast if _share_of(node, links) >= _MIN_LINK_RATIO]
    fast = wide or fast
    return sorted(fast, key=lambda node: _hash(f"{service}/{shard}", node), reverse=True)


def host_shares(
    cores: Mapping[NodeId, float], links: Mapping[NodeId, float]
) -> dict[NodeId, float]:
    """Return what each host can do for others relative to the strongest, by what it has least of.

    ``links`` holds the rates of the links that are known; 0 and absent ones count as the widest.
    """
    return {node: min(_share_of(node, cores), _share_of(node, links)) for node in cores}


def _share_of(node: NodeId, amounts: Mapping[NodeId, float]) -> float:
    most = max(amounts.values(), default=0.0)
    amount = amounts.get(node, 0.0)
    return amount / most if amount > 0 else 1.0


def _jump_hash(key: int, buckets: int) -> int:
    """Return the bucket of a 64-bit key by jump consistent hashing (Lamping and Veach, 2014)."""
    bucket, following = -1, 0
    while following < buckets:
        bucket = following
        key = (key * _JUMP_MULTIPLIER + 1) & _MASK_64
        following = int((bucket + 1) * (1 << 31) / ((key >> 33) + 1))
    return bucket


def _hash(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\x00{member}".encode())
