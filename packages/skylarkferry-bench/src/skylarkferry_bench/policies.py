"""Scheduling policies that are compared: the product's policy and simple baselines."""

from collections.abc import Mapping

import msgspec

from skylarkferry_core.admissions import DEFAULT_ADMISSION
from skylarkferry_core.placements import DEFAULT_PLACEMENT
from skylarkferry_core.queues import DEFAULT_QUEUE_ORDER


class Policy(msgspec.Struct, frozen=True):
    """Algorithms that a policy uses, by name, and its optional mechanisms.

    ``releases_kv`` frees KV memory at the end of a program, ``retains_kv`` keeps it during pauses,
    and ``uses_kv_gate`` delays calls that would evict kept memory. ``jitters_retries`` randomizes
    retry delays and limits retries by a budget; if it is off, delays double at each attempt.
    ``ends_at_deadline`` ends programs at their deadline.
    """

    name: str
    placement: str
    queue_order: str = "fifo"
    admission: str = "open"
    releases_kv: bool = False
    retains_kv: bool = False
    uses_kv_gate: bool = False
    jitters_retries: bool = False
    ends_at_deadline: bool = False


BASELINES = ("random", "round_robin", "least_load", "sticky", "prefix_hash")
FULL = Policy(
    name="skylarkferry",
    placement=DEFAULT_PLACEMENT,
    queue_order=DEFAULT_QUEUE_ORDER,
    admission=DEFAULT_ADMISSION,
    releases_kv=True,
    retains_kv=True,
    uses_kv_gate=True,
    jitters_retries=True,
    ends_at_deadline=True,
)
POLICIES: Mapping[str, Policy] = {
    **{name: Policy(name, name) for name in BASELINES},
    FULL.name: FULL,
}
ABLATIONS: Mapping[str, Policy] = {
    "fifo queue": msgspec.structs.replace(FULL, name="fifo queue", queue_order="fifo"),
    "no gate": msgspec.structs.replace(FULL, name="no gate", uses_kv_gate=False),
    "no retention": msgspec.structs.replace(FULL, name="no retention", retains_kv=False),
    "no release": msgspec.structs.replace(FULL, name="no release", releases_kv=False),
    "sticky placement": msgspec.structs.replace(FULL, name="sticky placement", placement="sticky"),
    "open admission": msgspec.structs.replace(FULL, name="open admission", admission="open"),
}
"""The product's policy with one mechanism switched off or replaced by a simple algorithm."""
