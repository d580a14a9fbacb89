"""Policies under comparison: the product's decisions and plain baselines."""

from collections.abc import Mapping

import msgspec

from skylarkferry_core.admissions import DEFAULT_ADMISSION
from skylarkferry_core.placements import DEFAULT_PLACEMENT
from skylarkferry_core.queues import DEFAULT_QUEUE_ORDER


class Policy(msgspec.Struct, frozen=True):
    """Names of the decisions of a policy, and which of the others it takes.

    ``releases`` frees memory at a program's end, ``retains`` keeps it over pauses, ``gates`` holds
    calls back that would evict kept memory, ``jitters`` spreads retries and keeps to a budget;
    without the last they follow a fixed doubling.  ``cuts`` ends programs at their deadline.
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
"""The product's policy with one decision replaced by its plain version."""
