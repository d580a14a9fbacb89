"""Seeded series of faults that follow each other closely and overlap."""

import random
from enum import Enum

import msgspec


class FaultKind(Enum):
    """Kinds of faults and changes applied to the running system."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    KILL_ALL = "kill_all"
    RELOAD = "reload"
    STORE_REFUSES = "store_refuses"
    STORE_REFUSES_ONE = "store_refuses_one"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_LATE = "store_late"
    STORE_SLOW = "store_slow"
    STORE_FORGETS = "store_forgets"
    UPSTREAM_MISBEHAVES = "upstream_misbehaves"
    UPSTREAM_DOWN = "upstream_down"
    UPSTREAM_LEAVES = "upstream_leaves"
    UPSTREAM_ANNOUNCES = "upstream_announces"
    UPSTREAM_LIMITED = "upstream_limited"
    UPSTREAM_REPLACED = "upstream_replaced"
    LINK_DELAYED = "link_delayed"
    LINK_SILENT = "link_silent"
    LINK_DEAF = "link_deaf"
    LINK_RESET = "link_reset"
    CONFIG = "config"
    STREAMS_CUT = "streams_cut"
    VERSION_REPLACED = "version_replaced"


class Fault(msgspec.Struct, frozen=True):
    """One fault, ``at_s`` seconds after the start.

    ``target_fraction`` in [0, 1) selects the target from a list.
    """

    at_s: float
    kind: FaultKind
    duration_s: float
    target_fraction: float


_WEIGHTS = {
    FaultKind.KILL: 3,
    FaultKind.PAUSE: 3,
    FaultKind.STOP: 4,
    FaultKind.KILL_ALL: 1,
    FaultKind.RELOAD: 1,
    FaultKind.CONFIG: 4,
    FaultKind.UPSTREAM_MISBEHAVES: 4,
    FaultKind.STREAMS_CUT: 4,
}


def fault_plan(seed: int, length_s: float, faults_per_s: float = 0.8) -> list[Fault]:
    """Return the faults of a run, sorted by time; the same seed gives the same plan."""
    rng = random.Random(seed)
    common = [kind for kind in FaultKind if kind is not FaultKind.VERSION_REPLACED]
    kinds = rng.sample(common, rng.randint(4, len(common)))
    weights = [_WEIGHTS.get(kind, 2) for kind in kinds]
    count = max(int(length_s * faults_per_s), 3)
    faults = [
        Fault(
            at_s=rng.uniform(0.5, length_s),
            kind=rng.choices(kinds, weights)[0],
            duration_s=rng.uniform(0.3, 4.0),
            target_fraction=rng.random(),
        )
        for _ in range(count)
    ]
    faults += _replaced_versions(seed, length_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def _replaced_versions(seed: int, length_s: float) -> list[Fault]:
    """Return up to two replacements of a software version."""
    rng = random.Random(f"versions {seed}")
    return [
        Fault(
            at_s=rng.uniform(0.5, length_s),
            kind=FaultKind.VERSION_REPLACED,
            duration_s=rng.uniform(0.3, 2.0),
            target_fraction=rng.random(),
        )
        for _ in range(rng.randint(0, 2))
    ]
