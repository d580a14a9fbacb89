"""Time limits of what an owner may grant without a row after it last proved to be the owner.

The store's version of a partition's row proves the ownership at the time of the call. An owner that
was replaced unaware thus stops to grant without rows ``UNRECORDED_GRANTS_S`` after the claim that
replaced it at the latest; then its accounts are as old as those that are deleted as unused, and a
later owner need not count them any more.
"""

import time

from skylarkferry_gateway import defaults


def proof_time() -> float:
    """Return the seconds of a clock that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def is_recent(proven_at: float) -> bool:
    """Return whether an owner may still grant without rows after its last proof."""
    return proof_time() - proven_at <= defaults.UNRECORDED_GRANTS_S


def needs_renewal(proven_at: float) -> bool:
    """Return whether an owner should prove its ownership again, so that it may grant on."""
    return proof_time() - proven_at > defaults.UNRECORDED_GRANTS_S / 2


def are_losses_over(claimed_at: float) -> bool:
    """Return whether what owners granted without rows before a claim was unused for long enough."""
    age_s = proof_time() - claimed_at
    return age_s > defaults.UNRECORDED_GRANTS_S + defaults.ACCOUNT_IDLE_S
