"""Shift of programs between the pools of several providers."""

import math
from collections.abc import Mapping

import msgspec
import xxhash

from skylarkferry_core.ids import PoolName, ProgramId

_HASH_RANGE = float(1 << 64)
_MOVE_FRACTION = 0.1


class ShiftDecision(msgspec.Struct, frozen=True):
    """Pool of a program's next turn, and whether its KV cache is exported to it."""

    pool: PoolName
    move_kv: bool = False


class KvCost(msgspec.Struct, frozen=True):
    """What a running program's cache is worth.

    ``prefill_s`` is the time to compute it again, ``transfer_s`` the time to export and import it
    (infinite where the engines cannot), ``remaining_s`` the work the program still expects.
    """

    prefill_s: float = 0.0
    transfer_s: float = math.inf
    remaining_s: float = math.inf


_UNKNOWN_COST = KvCost()


def pool_for_new_program(
    program_id: ProgramId, shares: Mapping[PoolName, float]
) -> PoolName | None:
    """Return the pool of a new program, by weighted rendezvous hashing; ``None`` without shares.

    While one pool's share grows, programs move to that pool only; while it falls, only from it.
    """
    open_pools = [pool for pool, share in shares.items() if share > 0]
    if not open_pools:
        return None
    return max(open_pools, key=lambda pool: (_score(program_id, pool, shares[pool]), pool))


def pool_for_running_program(
    program_id: ProgramId,
    current: PoolName,
    shares: Mapping[PoolName, float],
    cost: KvCost = _UNKNOWN_COST,
) -> ShiftDecision:
    """Decide at a turn border whether a running program follows the shares.

    It stays while its pool has a share and moving costs more than a tenth of what is left of it;
    without a share it leaves, with its KV cache when the transfer is faster than computing again.
    """
    target = pool_for_new_program(program_id, shares)
    if target is None or target == current:
        return ShiftDecision(current)
    move_kv = cost.transfer_s < cost.prefill_s
    if shares.get(current, 0.0) <= 0:
        return ShiftDecision(target, move_kv)
    move_s = min(cost.transfer_s, cost.prefill_s)
    if move_s <= _MOVE_FRACTION * cost.remaining_s:
        return ShiftDecision(target, move_kv)
    return ShiftDecision(current)


def _score(program_id: ProgramId, pool: PoolName, share: float) -> float:
    digest = xxhash.xxh64_intdigest(f"{program_id}\x00{pool}".encode())
    return -share / math.log((digest + 0.5) / _HASH_RANGE)
