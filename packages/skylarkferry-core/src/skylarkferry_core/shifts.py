"""Shift of programs between the pools of different providers."""

import math
from collections.abc import Mapping

import msgspec

from skylarkferry_core.ids import PoolName, ProgramId
from skylarkferry_core.rendezvous import weighted_choice

_MAX_MOVE_FRACTION = 0.1


class ShiftDecision(msgspec.Struct, frozen=True):
    """Pool of a program's next turn, and whether its KV cache is moved there."""

    pool: PoolName
    move_kv: bool = False


class KvCost(msgspec.Struct, frozen=True):
    """Cost of moving a running program's KV cache.

    ``prefill_s`` is the time to recompute it, ``transfer_s`` the time to export and import it
    (infinite if the engines cannot do this), ``remaining_s`` the expected remaining work of the
    program.
    """

    prefill_s: float = 0.0
    transfer_s: float = math.inf
    remaining_s: float = math.inf


_UNKNOWN_COST = KvCost()


def pool_for_new_program(
    program_id: ProgramId, shares: Mapping[PoolName, float]
) -> PoolName | None:
    """Return the pool of a new program by weighted rendezvous hashing, or ``None`` without shares.

    If one pool's share grows, programs move only to that pool; if it shrinks, programs move only
    away from that pool.
    """
    return weighted_choice(program_id, shares)


def pool_for_running_program(
    program_id: ProgramId,
    current: PoolName,
    shares: Mapping[PoolName, float],
    cost: KvCost = _UNKNOWN_COST,
) -> ShiftDecision:
    """Decide between two turns whether a running program moves to the pool chosen by share.

    The program stays if its pool has a share and moving costs more than a tenth of the program's
    remaining work; otherwise it moves. Its KV cache is moved too if the transfer is faster than
    recomputing.
    """
    target = pool_for_new_program(program_id, shares)
    if target is None or target == current:
        return ShiftDecision(current)
    move_kv = cost.transfer_s < cost.prefill_s
    if shares.get(current, 0.0) <= 0:
        return ShiftDecision(target, move_kv)
    move_s = min(cost.transfer_s, cost.prefill_s)
    if move_s <= _MAX_MOVE_FRACTION * cost.remaining_s:
        return ShiftDecision(target, move_kv)
    return ShiftDecision(current)
